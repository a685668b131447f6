//! The fleet's bound on retries, kept by each router for its part.

use celerystair_policy::prelude::*;

const BOUND: RetryBound = RetryBound {
    ratio: 0.2,
    slack: 56.0,
    window_ms: 10_000,
};

/// Half of the upstreams vanish: each request fails once and wants a retry, at five routers that
/// get uneven parts of the load. In every window the sum stays within the fleet's bound.
#[test]
fn no_window_has_more_retries_than_the_fleet_may_make() {
    arbtest::arbtest(|u| {
        let routers = u.int_in_range(1..=8)?;
        let mut budgets = vec![RetryBudget::new(BOUND, 0); routers];
        let mut requests: Vec<u64> = Vec::new();
        let mut retries: Vec<u64> = Vec::new();
        let mut now_unix_ms = 1_000_000;
        for _ in 0..400 {
            now_unix_ms += u.int_in_range(0..=120)?;
            let router = u.int_in_range(0..=routers - 1)?;
            budgets[router].note_request(now_unix_ms);
            requests.push(now_unix_ms);
            if u.ratio(9, 10)? && budgets[router].take(now_unix_ms, routers as u32) {
                retries.push(now_unix_ms);
            }
        }
        for end in &retries {
            let in_window = |time: &&u64| **time <= *end && **time + BOUND.window_ms > *end;
            let retries_made = retries.iter().filter(in_window).count() as f64;
            let asked = requests.iter().filter(in_window).count() as f64;
            assert!(
                retries_made <= BOUND.ratio * asked + BOUND.slack,
                "{retries_made} of {asked}"
            );
        }
        Ok(())
    });
}

#[test]
fn a_router_that_does_not_know_the_others_keeps_to_a_small_part() {
    let mut alone = RetryBudget::new(BOUND, 0);
    let mut among_many = RetryBudget::new(BOUND, 0);
    let taken = |budget: &mut RetryBudget, routers| {
        (0..100).filter(|_| budget.take(5_000, routers)).count()
    };
    let (alone, among_many) = (taken(&mut alone, 1), taken(&mut among_many, 16));
    assert!(alone > 30);
    assert!(among_many * 16 <= 56);
}
