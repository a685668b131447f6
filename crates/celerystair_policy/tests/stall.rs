//! Replays a burst that fills engines' memory: they put runs back, and requests hear nothing.

use celerystair_policy::{prelude::*, stall::should_switch_upstream};

const STALLED: StallInputs = StallInputs {
    is_repeatable: true,
    attempts: 1,
    attempts_max: 2,
    has_retry_budget: true,
    has_ready_alternative: true,
};

#[test]
fn a_silent_stream_goes_where_it_can_go_on_at_once() {
    assert!(should_switch_upstream(&STALLED));
}

#[test]
fn a_silent_stream_with_nowhere_to_go_waits_for_its_upstream() {
    let nowhere = [
        StallInputs {
            is_repeatable: false,
            ..STALLED
        },
        StallInputs {
            attempts: 2,
            ..STALLED
        },
        StallInputs {
            has_retry_budget: false,
            ..STALLED
        },
        StallInputs {
            has_ready_alternative: false,
            ..STALLED
        },
    ];
    for inputs in nowhere {
        assert!(!should_switch_upstream(&inputs), "{inputs:?}");
    }
}

/// Streams that an engine puts back for a time, while every other engine is full as well: each must
/// come to its end.
#[test]
fn no_stream_is_broken_off_while_all_engines_are_full() {
    let (mut budget, now) = (bound(), 10_000);
    for _ in 0..100 {
        budget.record_request(now);
    }
    let mut broken_off = 0;
    for stream in 0..200_u64 {
        let at = now + stream * 20;
        let inputs = StallInputs {
            has_retry_budget: budget.can_retry(at, Some(5)),
            has_ready_alternative: false,
            ..STALLED
        };
        broken_off += u32::from(should_switch_upstream(&inputs));
    }
    assert_eq!(broken_off, 0);
}

/// As many go elsewhere as the retry budget allows, and asking uses none of it.
#[test]
fn asking_for_a_retry_takes_none() {
    let mut budget = bound();
    for _ in 0..1000 {
        assert!(budget.can_retry(10_000, Some(5)));
    }
    let mut taken = 0;
    while budget.can_retry(10_000, Some(5)) {
        assert!(budget.try_take(10_000, Some(5), EarlierAttempts::Settled));
        taken += 1;
    }
    assert!(taken > 0 && !budget.try_take(10_000, Some(5), EarlierAttempts::Settled));
}

fn bound() -> RetryBudget {
    let bound = RetryBound {
        ratio: 0.2,
        slack: 56.0,
        window_ms: 10_000,
    };
    RetryBudget::new(bound, 0)
}
