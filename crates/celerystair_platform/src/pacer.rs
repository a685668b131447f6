//! Rate limiter of the calls that one process makes to the store, by priority, with backoff when
//! the platform answers 429.

use std::cell::{Cell, RefCell};

use celerystair_core::prelude::*;

use crate::backoff::Backoff;

const TOO_MANY_REQUESTS: u16 = 429;

/// Which calls go first when the rate limit is reached.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum CallPriority {
    /// Claims, journal entries and the operator's configuration; callers or accelerators wait for them.
    Urgent,
    /// All other calls.
    Normal,
}

/// Numbers of calls that a process has made to the store since it started.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CallCounts {
    /// Calls with [`CallPriority::Urgent`].
    pub urgent: u64,
    /// Calls with [`CallPriority::Normal`], including watches in flight.
    pub normal: u64,
    /// Calls that the platform rejected with status 429.
    pub limited: u64,
}

/// Token bucket for normal calls; urgent calls are never delayed. While the platform answers 429,
/// normal calls also wait for an exponential backoff, which leaves the platform's rate limit to
/// urgent calls.
pub struct RateLimiter {
    calls_per_second: f64,
    tokens: Cell<f64>,
    refilled_unix_ms: Cell<u64>,
    not_before_unix_ms: Cell<u64>,
    backoff: RefCell<Backoff>,
    counts: Cell<CallCounts>,
}

impl RateLimiter {
    /// Creates a full bucket that holds the tokens of one second.
    pub fn new(calls_per_second: u32) -> Self {
        let calls_per_second = f64::from(calls_per_second.max(1));
        Self {
            calls_per_second,
            tokens: Cell::new(calls_per_second),
            refilled_unix_ms: Cell::new(now_unix_ms()),
            not_before_unix_ms: Cell::new(0),
            backoff: RefCell::default(),
            counts: Cell::default(),
        }
    }

    /// Waits until a call may be sent and counts it; returns `false` if that would be at or after
    /// the deadline.
    pub async fn acquire(&self, priority: CallPriority, deadline_unix_ms: u64) -> bool {
        if priority == CallPriority::Normal {
            let start_unix_ms = self.not_before_unix_ms.get().max(self.reserve_token());
            if start_unix_ms >= deadline_unix_ms {
                self.tokens.set(self.tokens.get() + 1.0);
                return false;
            }
            if start_unix_ms > now_unix_ms() {
                sleep_until_unix_ms(start_unix_ms).await;
            }
        }
        let mut counts = self.counts.get();
        match priority {
            CallPriority::Normal => counts.normal += 1,
            CallPriority::Urgent => counts.urgent += 1,
        }
        self.counts.set(counts);
        true
    }

    /// Records the status of a response: 429 starts or extends the backoff, any other resets it.
    pub fn record_status(&self, status: u16) {
        if status != TOO_MANY_REQUESTS {
            self.backoff.borrow_mut().reset();
            return;
        }
        let mut counts = self.counts.get();
        counts.limited += 1;
        self.counts.set(counts);
        let wait_ms = self.backoff.borrow_mut().next_ms();
        let not_before = now_unix_ms() + wait_ms;
        self.not_before_unix_ms
            .set(self.not_before_unix_ms.get().max(not_before));
    }

    /// Returns the numbers of calls made so far.
    pub fn counts(&self) -> CallCounts {
        self.counts.get()
    }

    /// Takes a token, in advance if the bucket is empty; returns the time at which the bucket will
    /// have earned it.
    fn reserve_token(&self) -> u64 {
        let now = now_unix_ms();
        let elapsed_ms = now.saturating_sub(self.refilled_unix_ms.replace(now));
        let earned = elapsed_ms as f64 / 1000.0 * self.calls_per_second;
        let tokens = (self.tokens.get() + earned).min(self.calls_per_second) - 1.0;
        self.tokens.set(tokens);
        if tokens >= 0.0 {
            return now;
        }
        now + (-tokens / self.calls_per_second * 1000.0) as u64
    }
}
