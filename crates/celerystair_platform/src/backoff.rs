//! Exponential backoff between attempts. The jitter keeps processes that failed at the same time
//! from retrying at the same time.

use celerystair_core::prelude::*;

const INITIAL_WAIT_MS: u64 = 50;
const MAX_WAIT_MS: u64 = 2000;

/// Exponential backoff with jitter: each wait is drawn between half of an upper bound and the whole
/// of it, and the bound doubles each time until it reaches a maximum.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    max_wait_ms: u64,
}

impl Default for Backoff {
    fn default() -> Self {
        Self {
            max_wait_ms: INITIAL_WAIT_MS,
        }
    }
}

impl Backoff {
    /// Returns to the shortest wait; to be called after a success.
    pub fn reset(&mut self) {
        self.max_wait_ms = INITIAL_WAIT_MS;
    }

    /// Returns the next wait in milliseconds and doubles the upper bound.
    pub fn next_ms(&mut self) -> u64 {
        let wait_ms = rand::random_range(self.max_wait_ms / 2..=self.max_wait_ms);
        self.max_wait_ms = (self.max_wait_ms * 2).min(MAX_WAIT_MS);
        wait_ms
    }

    /// Sleeps for [`next_ms`](Self::next_ms).
    pub async fn wait(&mut self) {
        sleep_ms(self.next_ms()).await;
    }
}
