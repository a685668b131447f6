//! The queue for turns at an upstream.

use celerystair_agent::queue::{RunQueue, RunRequest};
use celerystair_core::prelude::*;

const SERVICE_MS: u64 = 400;
const WAITING_MAX: u32 = 100;

/// A request of an organisation for a turn.
fn run_request(organisation: &str, priority: u32, deadline_unix_ms: u64) -> RunRequest<'_> {
    RunRequest {
        organisation,
        priority,
        deadline_unix_ms,
        waiting_max: WAITING_MAX,
    }
}

/// A queue of one turn whose requests are known to take at least [`SERVICE_MS`].
async fn busy_queue() -> (RunQueue, celerystair_agent::queue::RunPermit) {
    let queue = RunQueue::new(1);
    let forever = now_unix_ms() + 600_000;
    let first = queue
        .acquire(run_request("office", 1, forever))
        .await
        .expect("a free turn");
    sleep_ms(SERVICE_MS).await;
    drop(first);
    let running = queue
        .acquire(run_request("office", 1, forever))
        .await
        .expect("a free turn");
    (queue, running)
}

#[test]
fn a_request_that_heavier_ones_push_past_its_deadline_is_refused_then() {
    compio::runtime::Runtime::new()
        .expect("a runtime")
        .block_on(async {
            let (queue, running) = busy_queue().await;
            // Light enough to be overtaken, with time for 25 turns by the mean that was seen.
            let deadline_unix_ms = now_unix_ms() + 25 * SERVICE_MS;
            let lighter = queue.clone();
            let light = compio::runtime::spawn(async move {
                lighter
                    .acquire(run_request("office", 1, deadline_unix_ms))
                    .await
                    .map(drop)
            });
            let mut heavy = Vec::new();
            for _ in 0..WAITING_MAX - 1 {
                let heavier = queue.clone();
                heavy.push(compio::runtime::spawn(async move {
                    heavier
                        .acquire(run_request("office", 9, now_unix_ms() + 3_600_000))
                        .await
                        .map(drop)
                }));
                sleep_ms(1).await;
            }
            // Its turn would come behind the heavier ones, though none of them has run yet.
            while queue.waiting() >= WAITING_MAX {
                assert!(
                    now_unix_ms() < deadline_unix_ms,
                    "it still waits at its deadline"
                );
                sleep_ms(5).await;
            }
            drop(running);
            let refusal = light
                .await
                .expect("the task ends")
                .expect_err("it is refused");
            assert_eq!(refusal.run, RunState::NotRun);
            assert_eq!(refusal.reason, RefusalReason::Overloaded);
            assert!(refusal.retry_after_ms > 0);
            for request in heavy {
                assert!(request.await.expect("the task ends").is_ok());
            }
        });
}

#[test]
fn a_turn_that_is_granted_to_a_waiter_that_left_goes_to_the_next() {
    compio::runtime::Runtime::new()
        .expect("a runtime")
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
fn a_organisation_that_sends_few_requests_stands_before_one_that_sends_many() {
    compio::runtime::Runtime::new()
        .expect("a runtime")
        .block_on(async {
            let (queue, running) = busy_queue().await;
            let (order, served) = async_channel::unbounded();
            let deadline_unix_ms = now_unix_ms() + 600_000;
            let mut calls = Vec::new();
            let organisations = [("hangang", 40), ("office", 5)];
            for (organisation, count) in organisations {
                for _ in 0..count {
                    let (asked, order) = (queue.clone(), order.clone());
                    calls.push(compio::runtime::spawn(async move {
                        let turn = asked
                            .acquire(run_request(organisation, 1, deadline_unix_ms))
                            .await;
                        order.try_send(organisation).ok();
                        turn.map(drop)
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
            // One of each organisation after the other; the turn before was the office's.
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
