//! The fleet-wide bound on retries, to which each router contributes its share.

use celerystair_policy::{budget::EarlierAttempts::*, prelude::*};

const BOUND: RetryBound = RetryBound {
    ratio: 0.2,
    slack: 56.0,
    window_ms: 10_000,
};

/// Half of the upstreams vanish: nearly every request fails and needs a retry, at up to eight
/// routers with uneven load. In every window the sum of the retries must stay within the bound.
#[test]
fn no_window_exceeds_the_fleet_wide_retry_bound() {
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
            let requests_made = requests.iter().filter(in_window).count() as f64;
            assert!(
                retries_made <= BOUND.ratio * requests_made + BOUND.slack,
                "{retries_made} retries of {requests_made} requests"
            );
        }
        Ok(())
    });
}

#[test]
fn each_router_keeps_to_its_share_of_the_slack() {
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

/// The requests and retries of all routers.
#[derive(Default)]
struct Fleet {
    requests_unix_ms: Vec<u64>,
    retries_unix_ms: Vec<u64>,
}

impl Fleet {
    /// Checks the bound in every window, wherever it begins: the retries against the requests in
    /// the window, in the one before it or in the one half a window earlier, whichever has the
    /// most.
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

/// Five routers restart every two seconds while every request fails.
#[test]
fn routers_do_not_spend_their_share_again_after_a_restart() {
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

/// Two bursts of requests are seven seconds apart, and all of them fail after the second. The bound
/// counts only one of the bursts, so the routers must not spend retries for both.
#[test]
fn two_bursts_do_not_both_earn_retries_in_one_window() {
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

/// Routers without contact to an agent don't know how many routers divide the slack. A fleet of any
/// size must keep to the bound.
#[test]
fn routers_without_a_router_count_keep_to_the_bound() {
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

/// The most routers that may start within a window: the part of the slack that the routers' shares
/// leave.
const STARTS_MAX: usize = 22;

/// With bursts and lulls, router restarts, and router counts that are too high or missing, no
/// window may exceed the bound, wherever it begins.
#[test]
fn no_window_exceeds_the_retry_bound_with_bursts_and_restarts() {
    arbtest::arbtest(|u| {
        let routers = u.int_in_range(1..=8)?;
        let mut fleet = Fleet::default();
        let mut budgets = vec![RetryBudget::new(BOUND, 0); routers];
        let mut starts_unix_ms: Vec<u64> = Vec::new();
        let mut now_unix_ms = 30_000;
        for _ in 0..60 {
            now_unix_ms += u.int_in_range(0..=2500)?;
            let router = u.int_in_range(0..=routers - 1)?;
            let recent = starts_unix_ms
                .iter()
                .filter(|at| now_unix_ms < **at + BOUND.window_ms);
            if u.ratio(1, 4)? && recent.count() < STARTS_MAX {
                starts_unix_ms.push(now_unix_ms);
                budgets[router] = RetryBudget::new(BOUND, now_unix_ms);
            }
            let requests = u.int_in_range(0..=60)? * u.int_in_range(0..=4)?;
            for _ in 0..requests {
                budgets[router].record_request(now_unix_ms);
                fleet.requests_unix_ms.push(now_unix_ms);
            }
            let router_count = u
                .ratio(4, 5)?
                .then_some(routers as u32 + u.int_in_range(0..=2)?);
            let wanted = u.int_in_range(0..=requests + 3)?;
            for _ in 0..wanted {
                if budgets[router].try_take(now_unix_ms, router_count, Settled) {
                    fleet.retries_unix_ms.push(now_unix_ms);
                }
            }
        }
        fleet.check();
        Ok(())
    });
}

/// All upstreams are paused for eight seconds and then read what was sent to them meanwhile, while
/// all requests fail: the delayed retries arrive in the same window as the new ones.
#[test]
fn retries_that_paused_upstreams_delay_count_when_they_arrive() {
    const ROUTERS: u32 = 5;
    const RESUME_UNIX_MS: u64 = 38_000;
    let mut fleet = Fleet::default();
    let mut budgets = vec![RetryBudget::new(BOUND, 0); ROUTERS as usize];
    for now_unix_ms in (20_000..50_000).step_by(40) {
        let budget = &mut budgets[(now_unix_ms / 40 % u64::from(ROUTERS)) as usize];
        budget.record_request(now_unix_ms);
        fleet.requests_unix_ms.push(now_unix_ms);
        let is_failing = now_unix_ms >= 30_000;
        let is_delayed = now_unix_ms < RESUME_UNIX_MS;
        let earlier = if is_delayed { InDoubt } else { Settled };
        while is_failing && budget.try_take(now_unix_ms, Some(ROUTERS), earlier) {
            fleet.retries_unix_ms.push(now_unix_ms.max(RESUME_UNIX_MS));
        }
    }
    fleet.check();
}

/// New load must earn retries immediately, also in the first window after a start.
#[test]
fn requests_earn_retries_immediately() {
    let mut budget = RetryBudget::new(BOUND, 30_000);
    for _ in 0..100 {
        budget.record_request(30_050);
    }
    let taken = (0..100).filter(|_| budget.try_take(30_090, None, Settled));
    assert!(taken.count() as f64 >= BOUND.ratio * 100.0 / 2.0);
}
