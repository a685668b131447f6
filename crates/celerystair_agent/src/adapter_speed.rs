//! Local adaptive concurrency of adapter loads: how many this agent runs at once, by how long
//! they take. No call to another process is on the way of a load; see `docs/COLD_STARTS.md`.

use std::cell::Cell;

/// Loads over which a mean is taken, for one load's time says little: at full speed the longest
/// take three times as long as the shortest.
const WINDOW_LOADS: u32 = 8;
/// A mean beyond this many times the best one shows that the weight store is crowded.
const CROWDED_RATIO: f64 = 1.5;
/// What crowding leaves of the limit.
const BACK_OFF: f64 = 0.5;
/// What each window adds to the best mean, so that a store that became slower for good is not
/// taken for crowded for ever.
const FORGET: f64 = 1.02;
const LIMIT_START: f64 = 8.0;
const LIMIT_MAX: f64 = 32.0;

/// The adapter loads that this agent allows itself: more after a window at full speed, half as
/// many once they slow.
#[derive(Debug)]
pub struct AdapterSpeed {
    limit: Cell<f64>,
    best_us: Cell<f64>,
    window_us: Cell<u64>,
    window_loads: Cell<u32>,
}

impl Default for AdapterSpeed {
    fn default() -> Self {
        Self {
            limit: Cell::new(LIMIT_START),
            best_us: Cell::new(f64::INFINITY),
            window_us: Cell::new(0),
            window_loads: Cell::new(0),
        }
    }
}

impl AdapterSpeed {
    /// Loads at once.
    pub fn limit(&self) -> u32 {
        self.limit.get() as u32
    }

    /// Takes in a load that has ended.
    pub fn note(&self, load_us: u64) {
        self.window_us.set(self.window_us.get() + load_us);
        self.window_loads.set(self.window_loads.get() + 1);
        if self.window_loads.get() < WINDOW_LOADS {
            return;
        }
        let mean_us = self.window_us.replace(0) as f64 / f64::from(self.window_loads.replace(0));
        let best_us = (self.best_us.get() * FORGET).min(mean_us);
        self.best_us.set(best_us);
        let limit = self.limit.get();
        let next = if mean_us > best_us * CROWDED_RATIO {
            limit * BACK_OFF
        } else {
            limit + 1.0
        };
        self.limit.set(next.clamp(1.0, LIMIT_MAX));
    }
}
