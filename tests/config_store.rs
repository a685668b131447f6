//! The store's client: what goes first, and what a refused call leads to.

mod support;

use celerystair::{
    core::prelude::*,
    platform::{pacer::RateLimiter, prelude::*},
    standin::prelude::*,
};
use futures_util::FutureExt;
use serde_json::json;
use support::{
    block_on,
    config::{process_settings, set_faults, start_platform},
};

fn store_at(url: &str) -> Store {
    Store::new(process_settings(url, Vec::new()).platform).expect("a store")
}

#[test]
fn urgent_calls_go_first_when_the_rate_is_spent() {
    block_on(async {
        let rate_limiter = RateLimiter::new(2);
        let soon = || now_unix_ms() + 1;
        let long = now_unix_ms() + 60_000;
        assert!(rate_limiter.acquire(CallPriority::Normal, long).await);
        // Calls that wait for a turn leave none to others for most of a minute.
        let mut waiting: Vec<_> = (0..100)
            .map(|_| Box::pin(rate_limiter.acquire(CallPriority::Normal, long)))
            .collect();
        for turn in &mut waiting {
            turn.now_or_never();
        }
        assert!(
            !rate_limiter.acquire(CallPriority::Normal, soon()).await,
            "over its rate"
        );
        assert!(rate_limiter.acquire(CallPriority::Urgent, soon()).await);
        assert_eq!(rate_limiter.counts().urgent, 1);
    });
}

#[test]
fn a_refusal_for_the_rate_holds_back_all_but_urgent_calls() {
    block_on(async {
        let rate_limiter = RateLimiter::new(1000);
        for _ in 0..12 {
            rate_limiter.record_status(429);
        }
        assert!(
            !rate_limiter
                .acquire(CallPriority::Normal, now_unix_ms() + 1)
                .await
        );
        assert!(
            rate_limiter
                .acquire(CallPriority::Urgent, now_unix_ms() + 1)
                .await
        );
        assert_eq!(rate_limiter.counts().limited, 12);
    });
}

#[test]
fn a_call_that_could_not_be_sent_has_failed_and_a_lost_answer_is_unknown() {
    block_on(async {
        let stop = Stop::new();
        let url = start_platform(&stop);
        let store = store_at(&url);
        let put = |key: &'static str| {
            let store = &store;
            async move {
                let value = json!({"n": 1});
                let expected = Expected::Absent;
                store.put(key, &value, expected, CallPriority::Normal).await
            }
        };
        let faults = |down, lose_write_answers_percent| PlatformFaults {
            down,
            lose_write_answers_percent,
            ..PlatformFaults::default()
        };
        set_faults(&url, &faults(true, 0)).await;
        assert!(matches!(put("x/1").await, Err(StoreError::Failed { .. })));
        set_faults(&url, &faults(false, 100)).await;
        assert!(matches!(
            put("x/2").await,
            Err(StoreError::OutcomeUnknown { .. })
        ));
        set_faults(&url, &faults(false, 0)).await;
        assert!(store.get("x/1").await.expect("read").is_none());
        assert!(store.get("x/2").await.expect("read").is_some());
        let nobody = store_at("http://127.0.0.1:1");
        assert!(matches!(
            nobody.get("x").await,
            Err(StoreError::Failed { .. })
        ));
        stop.end();
    });
}

#[test]
fn an_instance_that_was_never_seen_is_not_gone() {
    let instances = Instances::default();
    let row = |instance: &str, state| InstanceEntry {
        instance: instance.into(),
        state,
    };
    instances.apply_list(&[
        row("a", InstanceState::Live),
        row("b", InstanceState::Leaving),
    ]);
    assert_eq!(instances.state("b"), Some(InstanceState::Leaving));
    assert!(!instances.is_gone("a") && !instances.is_gone("b") && !instances.is_gone("new"));
    instances.apply_list(&[row("a", InstanceState::Live)]);
    assert!(instances.is_gone("b") && !instances.is_gone("new"));
}
