//! Exponential backoff between attempts. The jitter keeps processes that failed at the same time
//! from retrying at the same time.

use celerystair_core::prelude::*;

const INITIAL_WAIT_MS: u64 = 50;
const MAX_WAIT_MS: u64 = 2000;

/// Exponential backoff with jitter: each wait is drawn between half of an upper bound and the whole
/// of it, and the bound doubles each time until it reaches a maximum.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    /// Upper bound of the next wait.
    wait_ms: u64,
    max_wait_ms: u64,
}

impl Default for Backoff {
    fn default() -> Self {
        Self::up_to(MAX_WAIT_MS)
    }
}

impl Backoff {
    /// Creates a backoff whose waits grow to `max_wait_ms` at most.
    pub fn up_to(max_wait_ms: u64) -> Self {
        Self {
            wait_ms: INITIAL_WAIT_MS.min(max_wait_ms),
            max_wait_ms,
        }
    }

    /// Returns to the shortest wait; to be called after a success.
    pub fn reset(&mut self) {
        self.wait_ms = INITIAL_WAIT_MS.min(self.max_wait_ms);
    }

    /// Returns the next wait in milliseconds and doubles the upper bound.
    pub fn next_ms(&mut self) -> u64 {
        let wait_ms = rand::random_range(self.wait_ms / 2..=self.wait_ms);
        self.wait_ms = (self.wait_ms * 2).min(self.max_wait_ms);
        wait_ms
    }

    /// Sleeps for [`next_ms`](Self::next_ms).
    pub async fn wait(&mut self) {
        sleep_ms(self.next_ms()).await;
    }
}
