//! Limits retries to a share of the requests, so that retries can't multiply the load when many
//! upstreams fail at once. See `docs/OVERLOAD.md`.

use std::cell::Cell;

/// The initial and the maximum balance, in retries.
const BALANCE_MAX: f64 = 20.0;

/// A balance of retries: every request adds a fraction of a retry, every retry takes one.
pub struct RetryBudget {
    balance: Cell<f64>,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            balance: Cell::new(BALANCE_MAX),
        }
    }
}

impl RetryBudget {
    /// Adds `percent` of a retry to the balance, once per request.
    pub fn deposit(&self, percent: u32) {
        let balance = self.balance.get() + f64::from(percent) / 100.0;
        self.balance.set(balance.min(BALANCE_MAX));
    }

    /// Withdraws one retry; returns false if the balance is below one.
    pub fn try_withdraw(&self) -> bool {
        let balance = self.balance.get();
        if balance < 1.0 {
            return false;
        }
        self.balance.set(balance - 1.0);
        true
    }
}
