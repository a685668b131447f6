//! Rate limiting of calls to the platform.

use std::cell::Cell;

use celerystair_core::prelude::*;

/// A token bucket that holds at most the tokens of one second.
#[derive(Default)]
pub(super) struct TokenBucket {
    tokens: Cell<f64>,
    refilled_unix_ms: Cell<u64>,
}

impl TokenBucket {
    /// Refills the bucket at `per_second`, then takes a token and returns true if there is one.
    pub(super) fn try_take(&self, per_second: f64) -> bool {
        let now = now_unix_ms();
        let earned = (now - self.refilled_unix_ms.replace(now)) as f64 / 1000.0 * per_second;
        let tokens = (self.tokens.get() + earned).min(per_second);
        let taken = tokens >= 1.0;
        self.tokens.set(if taken { tokens - 1.0 } else { tokens });
        taken
    }
}
