//! Which requests are refused after crashes of upstreams, and which only run alone.

use celerystair_core::prelude::*;
use celerystair_journal::suspects::{CrashReport, SuspectObject, clear_suspect, record_crash};
use celerystair_platform::prelude::*;
use celerystair_standin::prelude::*;

const FINGERPRINT: u64 = 7;

fn with_store<F: Future<Output = ()>>(work: impl FnOnce(Store) -> F) {
    compio::runtime::Runtime::new()
        .expect("the runtime starts")
        .block_on(async {
            let stop = Stop::new();
            let address =
                run_platform(PlatformSettings::default(), &stop).expect("the platform starts");
            let settings = StoreSettings {
                url: format!("http://{address}"),
                call_timeout_ms: 10_000,
                watch_timeout_ms: 10_000,
                calls_per_second: 200,
            };
            work(Store::new(settings).expect("the client is created")).await;
            stop.end();
        });
}

/// Records a crash of the request in `attempt` and returns the updated suspect.
async fn crash(store: &Store, attempt: &AttemptId, ran_alone: bool) -> SuspectObject {
    let crash = CrashReport {
        fingerprint: FINGERPRINT,
        attempt: attempt.clone(),
        ran_alone,
        expires_unix_ms: now_unix_ms() + 3_600_000,
    };
    record_crash(store, &crash)
        .await
        .expect("the crash is recorded")
}

#[test]
fn a_request_is_refused_only_after_it_crashed_an_upstream_alone() {
    with_store(|store| async move {
        for _ in 0..3 {
            let suspect = crash(&store, &AttemptId::random(), false).await;
            assert!(suspect.is_active_at(now_unix_ms()));
            assert!(!suspect.is_refused_at(now_unix_ms()));
        }
        let suspect = crash(&store, &AttemptId::random(), true).await;
        assert_eq!((suspect.crashes, suspect.crashes_alone), (4, 1));
        assert!(suspect.is_refused_at(now_unix_ms()));
    });
}

#[test]
fn one_crash_alone_is_not_refused_and_counts_once_if_written_twice() {
    with_store(|store| async move {
        let attempt = AttemptId::random();
        for _ in 0..2 {
            // The same crash again, as if the response of the first write had been lost.
            let suspect = crash(&store, &attempt, true).await;
            assert_eq!((suspect.crashes, suspect.crashes_alone), (1, 1));
            assert!(!suspect.is_refused_at(now_unix_ms()));
        }
        let suspect = crash(&store, &AttemptId::random(), false).await;
        assert!(suspect.is_refused_at(now_unix_ms()));
    });
}

#[test]
fn a_finished_request_is_cleared_unless_it_reached_the_crash_limit() {
    with_store(|store| async move {
        crash(&store, &AttemptId::random(), false).await;
        crash(&store, &AttemptId::random(), false).await;
        clear_suspect(&store, FINGERPRINT)
            .await
            .expect("the suspect can be cleared");
        let suspect = crash(&store, &AttemptId::random(), true).await;
        assert_eq!((suspect.crashes, suspect.crashes_alone), (1, 1));
        crash(&store, &AttemptId::random(), true).await;
        clear_suspect(&store, FINGERPRINT)
            .await
            .expect("the suspect can be cleared");
        let suspect = crash(&store, &AttemptId::random(), true).await;
        assert_eq!(suspect.crashes, 3);
    });
}
