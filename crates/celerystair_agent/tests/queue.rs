//! Tests of the admission queue in front of an upstream.

use celerystair_agent::queue::{RunQueue, RunRequest};
use celerystair_core::prelude::*;

const SERVICE_MS: u64 = 400;
const WAITING_MAX: u32 = 100;

/// A request of `organisation` for a permit.
fn run_request(organisation: &str, priority: u32, deadline_unix_ms: u64) -> RunRequest<'_> {
    RunRequest {
        organisation,
        priority,
        deadline_unix_ms,
        waiting_max: WAITING_MAX,
    }
}

/// Returns a queue with a single permit, which is taken, and an average service time of at least
/// [`SERVICE_MS`].
async fn busy_queue() -> (RunQueue, celerystair_agent::queue::RunPermit) {
    let queue = RunQueue::new(1);
    let forever = now_unix_ms() + 600_000;
    let first = queue
        .acquire(run_request("office", 1, forever))
        .await
        .expect("a free permit is granted");
    sleep_ms(SERVICE_MS).await;
    drop(first);
    let running = queue
        .acquire(run_request("office", 1, forever))
        .await
        .expect("a free permit is granted");
    (queue, running)
}

/// A request that newer ones of higher priority overtake must not wait in vain until its
/// deadline.
#[test]
fn a_request_pushed_past_its_deadline_by_higher_priority_is_refused_at_once() {
    compio::runtime::Runtime::new()
        .expect("the runtime starts")
        .block_on(async {
            let (queue, running) = busy_queue().await;
            // A low priority, and a deadline after 25 service times of the measured average.
            let deadline_unix_ms = now_unix_ms() + 25 * SERVICE_MS;
            let low_queue = queue.clone();
            let low = compio::runtime::spawn(async move {
                low_queue
                    .acquire(run_request("office", 1, deadline_unix_ms))
                    .await
                    .map(drop)
            });
            let mut high = Vec::new();
            for _ in 0..WAITING_MAX - 1 {
                let high_queue = queue.clone();
                high.push(compio::runtime::spawn(async move {
                    high_queue
                        .acquire(run_request("office", 9, now_unix_ms() + 3_600_000))
                        .await
                        .map(drop)
                }));
                sleep_ms(1).await;
            }
            // Its expected grant is now past its deadline, though no other request has run yet.
            while queue.waiting() >= WAITING_MAX {
                assert!(
                    now_unix_ms() < deadline_unix_ms,
                    "the overtaken request still waits at its deadline"
                );
                sleep_ms(5).await;
            }
            drop(running);
            let refusal = low
                .await
                .expect("the task ends")
                .expect_err("the overtaken request is refused");
            assert_eq!(refusal.run, RunState::NotRun);
            assert_eq!(refusal.reason, RefusalReason::Overloaded);
            assert!(refusal.retry_after_ms > 0);
            for request in high {
                assert!(request.await.expect("the task ends").is_ok());
            }
        });
}

#[test]
fn a_permit_is_not_lost_when_a_waiter_gives_up() {
    compio::runtime::Runtime::new()
        .expect("the runtime starts")
        .block_on(async {
            let (queue, running) = busy_queue().await;
            let forever = now_unix_ms() + 600_000;
            {
                let leaving = std::pin::pin!(queue.acquire(run_request("office", 5, forever)));
                let soon = now_unix_ms() + 20;
                let gave_up = celerystair_core::time::before_deadline(soon, leaving).await;
                assert!(gave_up.is_none());
            }
            assert_eq!(queue.waiting(), 0);
            drop(running);
            let next = queue.acquire(run_request("office", 1, forever)).await;
            assert!(next.is_ok());
            assert_eq!(queue.running(), 1);
        });
}

#[test]
fn an_organisation_with_few_requests_is_not_starved_by_one_with_many() {
    compio::runtime::Runtime::new()
        .expect("the runtime starts")
        .block_on(async {
            let (queue, running) = busy_queue().await;
            let (served_sender, served) = async_channel::unbounded();
            let deadline_unix_ms = now_unix_ms() + 600_000;
            let mut calls = Vec::new();
            let organisations = [("hangang", 40), ("office", 5)];
            for (organisation, count) in organisations {
                for _ in 0..count {
                    let (task_queue, served_sender) = (queue.clone(), served_sender.clone());
                    calls.push(compio::runtime::spawn(async move {
                        let permit = task_queue
                            .acquire(run_request(organisation, 1, deadline_unix_ms))
                            .await;
                        served_sender.try_send(organisation).ok();
                        permit.map(drop)
                    }));
                    while queue.waiting() < calls.len() as u32 {
                        sleep_ms(1).await;
                    }
                }
            }
            drop(running);
            for call in calls {
                assert!(call.await.expect("the task ends").is_ok());
            }
            // The organisations alternate. The first permit was the office's, so hangang goes
            // first, and the next 11 grants include all 5 of the office.
            let first: Vec<&str> = std::iter::from_fn(|| served.try_recv().ok())
                .take(11)
                .collect();
            let few = first
                .iter()
                .filter(|organisation| **organisation == "office")
                .count();
            assert_eq!(few, 5, "{first:?}");
        });
}
