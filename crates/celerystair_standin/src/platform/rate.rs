//! The rates that the platform allows.

use std::cell::Cell;

use celerystair_core::prelude::*;

/// Tokens that are earned at a rate and taken by calls.
#[derive(Default)]
pub(super) struct TokenBucket {
    tokens: Cell<f64>,
    filled_unix_ms: Cell<u64>,
}

impl TokenBucket {
    /// Takes a token if there is one; the bucket holds those of one second.
    pub(super) fn take(&self, per_second: f64) -> bool {
        let now = now_unix_ms();
        let earned = (now - self.filled_unix_ms.replace(now)) as f64 / 1000.0 * per_second;
        let tokens = (self.tokens.get() + earned).min(per_second);
        let taken = tokens >= 1.0;
        self.tokens.set(if taken { tokens - 1.0 } else { tokens });
        taken
    }
}
