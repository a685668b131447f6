//! Whether one more attempt fits the fleet's share of retries. Answers half of the upstreams
//! vanishing at once: without a bound, every request would be sent again and again.
//!
//! The bound holds for the sum over all routers and all their lives, so each keeps to its part of it.
//! A process can't know what the one before it has spent; until a window has passed since its start
//! it lives on what its own requests earn, and one retry. So does one that can't tell how many routers
//! share the slack. See `docs/OVERLOAD.md`.

use std::collections::BTreeMap;

/// The fleet's bound, for any window of `window_ms`: retries in it stay within `ratio` of the requests
/// plus `slack`. The requests are those in the window, in the one before it or in the one half a
/// window before it, whichever has most.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBound {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries that need no request.
    pub slack: f64,
    /// The window's length.
    pub window_ms: u64,
}

/// Retries that need no request, of a router that does not know its share, or is in the first window
/// of its life. Without any, a router that takes few requests could not repeat the first of them.
const FIRST_SLACK: f64 = 1.0;
/// Part of the slack that routers divide. The rest covers lives that have just begun, and routers that
/// the count has missed.
const SLACK_SHARE: f64 = 0.6;
/// Parts into which a window is divided. Times within one are not told apart; a window that begins
/// within one counts its retries and, of the window before, not the requests of its first slot.
const SLOTS: u64 = 100;

/// What is known of a request's attempts before a retry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EarlierAttempts {
    /// Each has arrived by now, or never will.
    Settled,
    /// One was sent and not heard of: a stopped process or a cut link may hold it back.
    InDoubt,
}

/// A retry arrives within this: a new connection may take part of it.
const ARRIVAL_MS: u64 = 500;
/// What a stopped process or a cut link holds back arrives within this.
const HELD_BACK_MS: u64 = 20_000;

/// What a decision about a retry goes by: the window that leaves least room.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryAllowance {
    /// Requests of this router in the window and in the one before it.
    pub requests: u32,
    /// Retries of this router in the window.
    pub retries: u32,
    /// Retries that it may make in the window.
    pub allowed: f64,
    /// Routers among which the slack was divided; `None` if their number was not known.
    pub routers: Option<u32>,
}

impl RetryAllowance {
    /// Whether one more retry fits.
    pub fn can_retry(&self) -> bool {
        f64::from(self.retries + 1) <= self.allowed
    }
}

/// One router's retries at one service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    bound: RetryBound,
    started_unix_ms: u64,
    requests_by_slot: BTreeMap<u64, u32>,
    /// By when upstreams have received what the retry adds to their arrivals.
    retries_by_slot: BTreeMap<u64, u32>,
}

impl RetryBudget {
    /// Nothing has been sent yet by a router that runs since `started_unix_ms`.
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
        self.forget(now_unix_ms);
        let slot = self.slot(now_unix_ms);
        *self.requests_by_slot.entry(slot).or_default() += 1;
    }

    /// What a router may retry that shares the slack with `routers` in all, if their number is known.
    ///
    /// For every window that may hold a retry made now, the retries since it began stay within half the
    /// ratio of the requests in it and in the window before it. Of these two the bound counts the one
    /// with more requests of all routers, which is half of both or more; so what each router keeps to,
    /// all keep to together, however load moves between them.
    pub fn allowance(&mut self, now_unix_ms: u64, routers: Option<u32>) -> RetryAllowance {
        self.forget(now_unix_ms);
        let own_slack = match routers {
            Some(routers) if now_unix_ms >= self.started_unix_ms + self.bound.window_ms => {
                self.bound.slack / f64::from(routers.max(1)) * SLACK_SHARE
            }
            _ => FIRST_SLACK,
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
        let room = |allowance: &RetryAllowance| allowance.allowed - f64::from(allowance.retries);
        let tightest = windows.min_by(|a, b| room(a).total_cmp(&room(b)));
        tightest.unwrap_or(RetryAllowance {
            requests: 0,
            retries: 0,
            allowed: own_slack,
            routers,
        })
    }

    /// Whether there is a retry left.
    pub fn can_retry(&mut self, now_unix_ms: u64, routers: Option<u32>) -> bool {
        self.allowance(now_unix_ms, routers).can_retry()
    }

    /// Takes one retry, if there is one left. Whichever of a request's attempts arrives last is the
    /// repeat, so one after an attempt in doubt counts until that can't arrive any more.
    pub fn try_take(
        &mut self,
        now_unix_ms: u64,
        routers: Option<u32>,
        earlier: EarlierAttempts,
    ) -> bool {
        let has_room = self.can_retry(now_unix_ms, routers);
        if has_room {
            let arrived_unix_ms = match earlier {
                EarlierAttempts::Settled => now_unix_ms + ARRIVAL_MS,
                EarlierAttempts::InDoubt => now_unix_ms + HELD_BACK_MS,
            };
            let slot = self.slot(arrived_unix_ms);
            *self.retries_by_slot.entry(slot).or_default() += 1;
        }
        has_room
    }

    fn slot(&self, unix_ms: u64) -> u64 {
        unix_ms / (self.bound.window_ms / SLOTS).max(1)
    }

    /// Drops what no window counts that may hold a retry made now.
    fn forget(&mut self, now_unix_ms: u64) {
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
