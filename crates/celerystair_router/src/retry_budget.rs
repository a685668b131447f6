//! A bound on retries, as a share of first attempts, so that retries can't multiply the load
//! when many upstreams fail at once. See `docs/OVERLOAD.md`.

use std::cell::Cell;

/// Retries that a router may make before it has seen any first attempt, and the most that it
/// saves up.
const SAVED_MAX: f64 = 20.0;

/// Retries that may still be made.
pub struct RetryBudget {
    saved: Cell<f64>,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            saved: Cell::new(SAVED_MAX),
        }
    }
}

impl RetryBudget {
    /// Counts a first attempt, which earns `percent` of a retry.
    pub fn earn(&self, percent: u32) {
        let saved = self.saved.get() + f64::from(percent) / 100.0;
        self.saved.set(saved.min(SAVED_MAX));
    }

    /// Takes one retry; false if none is left.
    pub fn take(&self) -> bool {
        let saved = self.saved.get();
        if saved < 1.0 {
            return false;
        }
        self.saved.set(saved - 1.0);
        true
    }
}
