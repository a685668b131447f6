//! Whether one more attempt fits the fleet's share of retries. Answers half of the upstreams
//! vanishing at once: without a bound, every request would be sent again and again.
//!
//! The bound holds for the sum over all routers and all their lives, so each keeps to its part of it.
//! A process can't know what the one before it has spent; until a window has passed since its start
//! it lives on what its own requests earn, and one retry. So does one that can't tell how many routers
//! share the slack. See `docs/OVERLOAD.md`.

use std::collections::VecDeque;

/// The fleet's bound: retries in any window of `window_ms` stay within `ratio` of the requests
/// in it plus `slack`.
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
/// Part of the bound that is used; the rest covers requests whose first attempt was counted in
/// another window than their retry.
const USED_SHARE: f64 = 0.7;

/// What a decision about a retry goes by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryStanding {
    /// Requests of this router in the window.
    pub requests: usize,
    /// Retries of this router in the window.
    pub retries: usize,
    /// Retries that it may make in the window.
    pub allowed: f64,
    /// Routers among which the slack was divided; `None` if their number was not known.
    pub routers: Option<u32>,
    /// How long this router has run.
    pub life_ms: u64,
}

impl RetryStanding {
    /// Whether one more retry fits.
    pub fn has_room(&self) -> bool {
        (self.retries + 1) as f64 <= self.allowed
    }
}

/// One router's retries at one service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    bound: RetryBound,
    started_unix_ms: u64,
    requests_unix_ms: VecDeque<u64>,
    retries_unix_ms: VecDeque<u64>,
}

impl RetryBudget {
    /// Nothing has been sent yet by a router that runs since `started_unix_ms`.
    pub fn new(bound: RetryBound, started_unix_ms: u64) -> Self {
        Self {
            bound,
            started_unix_ms,
            requests_unix_ms: VecDeque::new(),
            retries_unix_ms: VecDeque::new(),
        }
    }

    /// Counts a request.
    pub fn note_request(&mut self, now_unix_ms: u64) {
        self.forget(now_unix_ms);
        self.requests_unix_ms.push_back(now_unix_ms);
    }

    /// What a router may retry that shares the slack with `routers` in all, if their number is known.
    pub fn standing(&mut self, now_unix_ms: u64, routers: Option<u32>) -> RetryStanding {
        self.forget(now_unix_ms);
        let life_ms = now_unix_ms.saturating_sub(self.started_unix_ms);
        let own_slack = match routers {
            Some(routers) if life_ms >= self.bound.window_ms => {
                self.bound.slack / f64::from(routers.max(1)) * USED_SHARE
            }
            _ => FIRST_SLACK,
        };
        let earned = self.bound.ratio * self.requests_unix_ms.len() as f64 * USED_SHARE;
        RetryStanding {
            requests: self.requests_unix_ms.len(),
            retries: self.retries_unix_ms.len(),
            allowed: earned + own_slack,
            routers,
            life_ms,
        }
    }

    /// Whether there is a retry left.
    pub fn has_room(&mut self, now_unix_ms: u64, routers: Option<u32>) -> bool {
        self.standing(now_unix_ms, routers).has_room()
    }

    /// Takes one retry, if there is one left.
    pub fn take(&mut self, now_unix_ms: u64, routers: Option<u32>) -> bool {
        let has_room = self.has_room(now_unix_ms, routers);
        if has_room {
            self.retries_unix_ms.push_back(now_unix_ms);
        }
        has_room
    }

    fn forget(&mut self, now_unix_ms: u64) {
        let since_unix_ms = now_unix_ms.saturating_sub(self.bound.window_ms);
        for times in [&mut self.requests_unix_ms, &mut self.retries_unix_ms] {
            while times.front().is_some_and(|time| *time < since_unix_ms) {
                times.pop_front();
            }
        }
    }
}
