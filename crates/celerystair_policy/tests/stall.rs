//! Simulates a burst that fills the engines' memory: they preempt runs, and requests stall.

use celerystair_policy::{
    prelude::*,
    stall::{MoveObstacle, should_switch_upstream},
};

const STALLED: StallInputs = StallInputs {
    is_repeatable: true,
    attempts: 1,
    attempts_max: 2,
    obstacle: None,
    has_retry_budget: true,
    has_ready_alternative: true,
};

#[test]
fn a_stalled_stream_switches_to_an_upstream_that_is_ready() {
    assert!(should_switch_upstream(&STALLED));
}

#[test]
fn a_stalled_stream_that_cannot_switch_waits_for_its_upstream() {
    let cannot_switch = [
        StallInputs {
            is_repeatable: false,
            ..STALLED
        },
        StallInputs {
            attempts: 2,
            ..STALLED
        },
        StallInputs {
            obstacle: Some(MoveObstacle::Suspected),
            ..STALLED
        },
        StallInputs {
            obstacle: Some(MoveObstacle::Stopping),
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
    for inputs in cannot_switch {
        assert!(!should_switch_upstream(&inputs), "{inputs:?}");
    }
}

/// An engine preempts streams for a while, and every other engine is full as well. No stream may be
/// aborted, since each can still complete.
#[test]
fn no_stream_is_aborted_while_all_engines_are_full() {
    let (mut budget, now) = (bound(), 10_000);
    for _ in 0..100 {
        budget.record_request(now);
    }
    let mut aborted = 0;
    for stream in 0..200_u64 {
        let at = now + stream * 20;
        let inputs = StallInputs {
            has_retry_budget: budget.can_retry(at, Some(5)),
            has_ready_alternative: false,
            ..STALLED
        };
        aborted += u32::from(should_switch_upstream(&inputs));
    }
    assert_eq!(aborted, 0);
}

/// As many requests switch as the retry budget allows, and checking the budget doesn't spend it.
#[test]
fn checking_the_retry_budget_does_not_spend_it() {
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
