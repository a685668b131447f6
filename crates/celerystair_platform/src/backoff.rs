//! Waiting between tries: twice as long each time, with jitter, so that many processes that
//! failed together don't try again together.

use celerystair_core::prelude::*;

const INITIAL_WAIT_MS: u64 = 50;
const MAX_WAIT_MS: u64 = 2000;

/// The wait before the next try.
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
    /// Begins anew after a success.
    pub fn reset(&mut self) {
        self.max_wait_ms = INITIAL_WAIT_MS;
    }

    /// How long to wait now; longer the next time.
    pub fn next_ms(&mut self) -> u64 {
        let wait_ms = rand::random_range(self.max_wait_ms / 2..=self.max_wait_ms);
        self.max_wait_ms = (self.max_wait_ms * 2).min(MAX_WAIT_MS);
        wait_ms
    }

    /// Waits.
    pub async fn wait(&mut self) {
        sleep_ms(self.next_ms()).await;
    }
}
