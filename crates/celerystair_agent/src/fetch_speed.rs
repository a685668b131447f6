//! An adaptive limit on concurrent fetches, from the speed that this agent measures: additive
//! increase, multiplicative decrease.

use std::cell::Cell;

/// A fetch slower than this share of the best speed counts as a sign of congestion.
const CONGESTED_SPEED_RATIO: f64 = 0.6;
/// Factor by which congestion reduces the limit.
const DECREASE_FACTOR: f64 = 0.5;
/// Factor by which each fetch reduces the best speed, so that a store that became permanently
/// slower does not count as congested for ever.
const BEST_SPEED_DECAY: f64 = 0.98;
const LIMIT_MAX: f64 = 8.0;

/// A limit on concurrent fetches that grows by one after each round at full speed and is halved
/// when a fetch slows down.
#[derive(Debug)]
pub struct FetchLimiter {
    limit: Cell<f64>,
    best_bytes_per_ms: Cell<f64>,
}

impl Default for FetchLimiter {
    fn default() -> Self {
        Self {
            limit: Cell::new(1.0),
            best_bytes_per_ms: Cell::new(0.0),
        }
    }
}

impl FetchLimiter {
    /// Returns how many fetches may run at once, from 1 to 8.
    pub fn limit(&self) -> u32 {
        self.limit.get() as u32
    }

    /// Adapts the limit to a fetch that has ended.
    pub fn record_fetch(&self, bytes: u64, fetch_ms: u64) {
        let speed = bytes as f64 / fetch_ms.max(1) as f64;
        let best = (self.best_bytes_per_ms.get() * BEST_SPEED_DECAY).max(speed);
        self.best_bytes_per_ms.set(best);
        let limit = self.limit.get();
        let next = if speed < best * CONGESTED_SPEED_RATIO {
            limit * DECREASE_FACTOR
        } else {
            limit + 1.0 / limit
        };
        self.limit.set(next.clamp(1.0, LIMIT_MAX));
    }
}
