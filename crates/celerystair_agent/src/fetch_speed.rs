//! Local adaptive concurrency: how many fetches this agent runs at once, by the speed it sees.

use std::cell::Cell;

/// Below this share of the best speed seen, the weight store is taken to be crowded.
const CONGESTED_SPEED_RATIO: f64 = 0.6;
/// What crowding leaves of the limit.
const DECREASE_FACTOR: f64 = 0.5;
/// What one fetch takes from the best speed seen, so that a store that became slower for good
/// is not taken for crowded for ever.
const BEST_SPEED_DECAY: f64 = 0.98;
const LIMIT_MAX: f64 = 8.0;

/// The fetches that this agent allows itself: one more after a round at full speed, half as
/// many once they slow.
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
    /// Fetches at once.
    pub fn limit(&self) -> u32 {
        self.limit.get() as u32
    }

    /// Takes in a fetch that has ended.
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
