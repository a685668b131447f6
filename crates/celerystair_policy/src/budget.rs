//! The retry budget: whether one more retry fits the fleet-wide bound. When half of the upstreams
//! vanish at once, retries without a bound would multiply the load.
//!
//! The bound holds for the sum over all routers, including earlier incarnations of their processes,
//! so each router keeps to its share. A process can't know what its predecessor has spent; until
//! one window has passed since its start, it may only make the retries that its own requests earn,
//! and one more. The same holds for a router that doesn't know how many routers divide the slack.
//! See `docs/OVERLOAD.md`.

use std::collections::BTreeMap;

/// The fleet-wide bound: in any window of `window_ms`, there are at most `ratio` times the requests
/// plus `slack` retries. The requests are those in the same window, in the window before it or in
/// the one half a window earlier, whichever has the most.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBound {
    /// Retries that are allowed per request.
    pub ratio: f64,
    /// Retries that are allowed per window regardless of the requests.
    pub slack: f64,
    /// The length of the window.
    pub window_ms: u64,
}

/// The slack of a router that doesn't know its share, or is in the first window since its start.
/// Without any, a router with few requests could not retry the first of them.
const INITIAL_SLACK: f64 = 1.0;
/// The share of the slack that the routers divide. The rest covers processes that have just
/// started, and routers that are missing from the count.
const SLACK_SHARE: f64 = 0.6;
/// The number of time slots in a window. Times within one slot are not distinguished: a window that
/// begins within a slot counts all retries of that slot, but not the requests in the first slot of
/// the window before it.
const SLOTS: u64 = 100;

/// What is known of the attempts of a request before a retry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EarlierAttempts {
    /// Each has arrived at its upstream, or never will.
    Settled,
    /// One was sent without any response, and may arrive late: a paused process or a broken link
    /// may delay it.
    InDoubt,
}

/// The time within which a retry arrives, part of which a new connection may take.
const ARRIVAL_MS: u64 = 500;
/// The time within which an attempt arrives that a paused process or a broken link delays.
const DELAYED_ARRIVAL_MS: u64 = 20_000;

/// The state of the budget in the window that allows the fewest retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryAllowance {
    /// Requests of this router in the window and in the one before it.
    pub requests: u32,
    /// Retries of this router in the window.
    pub retries: u32,
    /// The most retries that this router may make in the window.
    pub allowed: f64,
    /// The number of routers that divide the slack; `None` if it is not known.
    pub routers: Option<u32>,
}

impl RetryAllowance {
    /// Whether the window allows one more retry.
    pub fn can_retry(&self) -> bool {
        f64::from(self.retries + 1) <= self.allowed
    }
}

/// The retry budget of one router for one service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    bound: RetryBound,
    started_unix_ms: u64,
    requests_by_slot: BTreeMap<u64, u32>,
    /// Retries, by the slot in which they have arrived at the latest.
    retries_by_slot: BTreeMap<u64, u32>,
}

impl RetryBudget {
    /// Creates the budget of a router that started at `started_unix_ms`.
    pub fn new(bound: RetryBound, started_unix_ms: u64) -> Self {
        Self {
            bound,
            started_unix_ms,
            requests_by_slot: BTreeMap::new(),
            retries_by_slot: BTreeMap::new(),
        }
    }

    /// Counts a request.
    pub fn record_request(&mut self, now_unix_ms: u64) {
        self.drop_outdated(now_unix_ms);
        let slot = self.slot(now_unix_ms);
        *self.requests_by_slot.entry(slot).or_default() += 1;
    }

    /// Returns what this router may retry now, if `routers` routers divide the slack.
    ///
    /// In every window that may include a retry made now, the retries since its beginning stay
    /// within half the ratio times the requests in that window and in the one before it. The bound
    /// counts whichever of these two windows has more requests over all routers, which is at least
    /// half of their sum. So if each router keeps to its limit, the fleet keeps to the bound,
    /// however load moves between routers.
    pub fn allowance(&mut self, now_unix_ms: u64, routers: Option<u32>) -> RetryAllowance {
        self.drop_outdated(now_unix_ms);
        let own_slack = match routers {
            Some(routers) if now_unix_ms >= self.started_unix_ms + self.bound.window_ms => {
                self.bound.slack / f64::from(routers.max(1)) * SLACK_SHARE
            }
            _ => INITIAL_SLACK,
        };
        let now_slot = self.slot(now_unix_ms);
        let first_counted = |begin: u64| (begin + 1).saturating_sub(SLOTS);
        let mut requests = sum_from(&self.requests_by_slot, first_counted(now_slot + 1));
        let mut retries = sum_from(&self.retries_by_slot, now_slot + 1);
        let begins = (now_slot.saturating_sub(SLOTS)..=now_slot).rev();
        let windows = begins.map(|begin| {
            requests += count_at(&self.requests_by_slot, first_counted(begin));
            retries += count_at(&self.retries_by_slot, begin);
            RetryAllowance {
                requests,
                retries,
                allowed: self.bound.ratio / 2.0 * f64::from(requests) + own_slack,
                routers,
            }
        });
        let left = |allowance: &RetryAllowance| allowance.allowed - f64::from(allowance.retries);
        let tightest = windows.min_by(|a, b| left(a).total_cmp(&left(b)));
        tightest.unwrap_or(RetryAllowance {
            requests: 0,
            retries: 0,
            allowed: own_slack,
            routers,
        })
    }

    /// Whether the budget allows one more retry.
    pub fn can_retry(&mut self, now_unix_ms: u64, routers: Option<u32>) -> bool {
        self.allowance(now_unix_ms, routers).can_retry()
    }

    /// Spends one retry if the budget allows it, and returns whether it did. The attempt that
    /// arrives last is the one that upstreams see as the retry; so after an attempt in doubt, the
    /// retry counts until that attempt can't arrive any more.
    pub fn try_take(
        &mut self,
        now_unix_ms: u64,
        routers: Option<u32>,
        earlier: EarlierAttempts,
    ) -> bool {
        let can_retry = self.can_retry(now_unix_ms, routers);
        if can_retry {
            let arrived_unix_ms = match earlier {
                EarlierAttempts::Settled => now_unix_ms + ARRIVAL_MS,
                EarlierAttempts::InDoubt => now_unix_ms + DELAYED_ARRIVAL_MS,
            };
            let slot = self.slot(arrived_unix_ms);
            *self.retries_by_slot.entry(slot).or_default() += 1;
        }
        can_retry
    }

    fn slot(&self, unix_ms: u64) -> u64 {
        unix_ms / (self.bound.window_ms / SLOTS).max(1)
    }

    /// Drops counts that no window uses that may include a retry made now.
    fn drop_outdated(&mut self, now_unix_ms: u64) {
        let now_slot = self.slot(now_unix_ms);
        drop_before(
            &mut self.requests_by_slot,
            now_slot.saturating_sub(2 * SLOTS),
        );
        drop_before(&mut self.retries_by_slot, now_slot.saturating_sub(SLOTS));
    }
}

fn count_at(counts: &BTreeMap<u64, u32>, slot: u64) -> u32 {
    counts.get(&slot).copied().unwrap_or_default()
}

fn sum_from(counts: &BTreeMap<u64, u32>, first: u64) -> u32 {
    counts.range(first..).map(|(_, count)| count).sum()
}

fn drop_before(counts: &mut BTreeMap<u64, u32>, first: u64) {
    while counts
        .first_key_value()
        .is_some_and(|(slot, _)| *slot < first)
    {
        counts.pop_first();
    }
}
