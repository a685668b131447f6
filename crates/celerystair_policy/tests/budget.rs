//! The fleet's bound on retries, kept by each router for its part.

use celerystair_policy::{budget::EarlierAttempts::*, prelude::*};

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
            budgets[router].record_request(now_unix_ms);
            requests.push(now_unix_ms);
            if u.ratio(9, 10)?
                && budgets[router].try_take(now_unix_ms, Some(routers as u32), Settled)
            {
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
        (0..100)
            .filter(|_| budget.try_take(BOUND.window_ms, Some(routers), Settled))
            .count()
    };
    let (alone, among_many) = (taken(&mut alone, 1), taken(&mut among_many, 16));
    assert!(alone > 30);
    assert!(among_many * 16 <= 56);
}

/// What the fleet has done.
#[derive(Default)]
struct Fleet {
    requests_unix_ms: Vec<u64>,
    retries_unix_ms: Vec<u64>,
}

impl Fleet {
    /// Every window, wherever it begins: retries against the requests in it, in the one before it or
    /// in the one half a window before it, whichever has most.
    fn check(&mut self) {
        self.requests_unix_ms.sort_unstable();
        self.retries_unix_ms.sort_unstable();
        let count = |times: &[u64], from: u64| {
            let before = times.partition_point(|time| *time < from);
            let up_to = times.partition_point(|time| *time < from + BOUND.window_ms);
            (up_to - before) as f64
        };
        let last = self.retries_unix_ms.iter().max().copied().unwrap_or(0);
        for from in (BOUND.window_ms..=last).step_by(20) {
            let retries = count(&self.retries_unix_ms, from);
            let requests = [from, from - BOUND.window_ms / 2, from - BOUND.window_ms]
                .map(|from| count(&self.requests_unix_ms, from))
                .into_iter()
                .fold(0.0, f64::max);
            assert!(
                retries <= BOUND.ratio * requests + BOUND.slack,
                "{retries} retries of {requests} requests in the window from {from} on"
            );
        }
    }
}

/// Five routers, of which each is started anew every two seconds while every request fails.
#[test]
fn routers_that_start_anew_do_not_spend_their_share_again() {
    const ROUTERS: u32 = 5;
    let mut fleet = Fleet::default();
    let mut budgets = vec![RetryBudget::new(BOUND, 0); ROUTERS as usize];
    for now_unix_ms in (20_000..50_000).step_by(40) {
        let router = (now_unix_ms / 40 % u64::from(ROUTERS)) as usize;
        if now_unix_ms >= 35_000 && now_unix_ms % 2000 < 200 {
            budgets[router] = RetryBudget::new(BOUND, now_unix_ms);
        }
        budgets[router].record_request(now_unix_ms);
        fleet.requests_unix_ms.push(now_unix_ms);
        while budgets[router].try_take(now_unix_ms, Some(ROUTERS), Settled) {
            fleet.retries_unix_ms.push(now_unix_ms);
        }
    }
    fleet.check();
}

/// Two bursts of requests seven seconds apart; all of them fail once the second has come.
#[test]
fn two_bursts_do_not_both_count_where_the_bound_counts_one() {
    const ROUTERS: u32 = 5;
    let mut fleet = Fleet::default();
    let mut budgets = vec![RetryBudget::new(BOUND, 0); ROUTERS as usize];
    for burst_unix_ms in [30_000, 37_000] {
        for number in 0..2000 {
            let now_unix_ms = burst_unix_ms + number / 20;
            budgets[number as usize % ROUTERS as usize].record_request(now_unix_ms);
            fleet.requests_unix_ms.push(now_unix_ms);
        }
    }
    for budget in &mut budgets {
        while budget.try_take(37_200, Some(ROUTERS), Settled) {
            fleet.retries_unix_ms.push(37_200);
        }
    }
    fleet.check();
}

/// Routers that hear of no agent can't tell how many share the slack: a fleet of any size keeps to the
/// bound.
#[test]
fn routers_that_know_no_count_do_not_spend_shares_of_a_guess() {
    const ROUTERS: usize = 50;
    let mut fleet = Fleet::default();
    let mut budgets = vec![RetryBudget::new(BOUND, 0); ROUTERS];
    for now_unix_ms in (30_000..50_000).step_by(50) {
        let budget = &mut budgets[now_unix_ms as usize / 50 % ROUTERS];
        budget.record_request(now_unix_ms);
        fleet.requests_unix_ms.push(now_unix_ms);
        while budget.try_take(now_unix_ms, None, Settled) {
            fleet.retries_unix_ms.push(now_unix_ms);
        }
    }
    fleet.check();
}

/// Lives that may begin within a window: what the routers' shares leave of the slack.
const STARTS_MAX: usize = 22;

/// Bursts and lulls, routers that start anew, counts that are too high or missing: no window has more
/// retries than the fleet may make, wherever it begins.
#[test]
fn no_window_has_more_retries_whatever_comes_when() {
    arbtest::arbtest(|u| {
        let routers = u.int_in_range(1..=8)?;
        let mut fleet = Fleet::default();
        let mut budgets = vec![RetryBudget::new(BOUND, 0); routers];
        let mut starts_unix_ms: Vec<u64> = Vec::new();
        let mut now_unix_ms = 30_000;
        for _ in 0..60 {
            now_unix_ms += u.int_in_range(0..=2500)?;
            let router = u.int_in_range(0..=routers - 1)?;
            let of_late = starts_unix_ms
                .iter()
                .filter(|at| now_unix_ms < **at + BOUND.window_ms);
            if u.ratio(1, 4)? && of_late.count() < STARTS_MAX {
                starts_unix_ms.push(now_unix_ms);
                budgets[router] = RetryBudget::new(BOUND, now_unix_ms);
            }
            let requests = u.int_in_range(0..=60)? * u.int_in_range(0..=4)?;
            for _ in 0..requests {
                budgets[router].record_request(now_unix_ms);
                fleet.requests_unix_ms.push(now_unix_ms);
            }
            let told = u
                .ratio(4, 5)?
                .then_some(routers as u32 + u.int_in_range(0..=2)?);
            let wanted = u.int_in_range(0..=requests + 3)?;
            for _ in 0..wanted {
                if budgets[router].try_take(now_unix_ms, told, Settled) {
                    fleet.retries_unix_ms.push(now_unix_ms);
                }
            }
        }
        fleet.check();
        Ok(())
    });
}

/// All upstreams stand still for eight seconds and read then what was sent to them, beside requests
/// that all fail: each retry arrives in the first window that holds both.
#[test]
fn what_upstreams_hold_back_is_counted_when_they_go_on() {
    const ROUTERS: u32 = 5;
    const GO_ON_UNIX_MS: u64 = 38_000;
    let mut fleet = Fleet::default();
    let mut budgets = vec![RetryBudget::new(BOUND, 0); ROUTERS as usize];
    for now_unix_ms in (20_000..50_000).step_by(40) {
        let budget = &mut budgets[(now_unix_ms / 40 % u64::from(ROUTERS)) as usize];
        budget.record_request(now_unix_ms);
        fleet.requests_unix_ms.push(now_unix_ms);
        let is_failing = now_unix_ms >= 30_000;
        let is_held_back = now_unix_ms < GO_ON_UNIX_MS;
        let earlier = if is_held_back { InDoubt } else { Settled };
        while is_failing && budget.try_take(now_unix_ms, Some(ROUTERS), earlier) {
            fleet.retries_unix_ms.push(now_unix_ms.max(GO_ON_UNIX_MS));
        }
    }
    fleet.check();
}

/// Load that has just begun earns retries at once, in the first window of a life, too.
#[test]
fn requests_earn_retries_as_soon_as_they_come() {
    let mut budget = RetryBudget::new(BOUND, 30_000);
    for _ in 0..100 {
        budget.record_request(30_050);
    }
    let taken = (0..100).filter(|_| budget.try_take(30_090, None, Settled));
    assert!(taken.count() as f64 >= BOUND.ratio * 100.0 / 2.0);
}
