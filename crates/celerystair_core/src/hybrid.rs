//! Hybrid logical time: orders events over processes without trusting their wall clocks.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use crate::time::now_unix_ms;

/// Bits below the milliseconds that count events within one.
const COUNTER_BITS: u32 = 16;

/// A clock that never goes back and never stands behind a message that it has seen. The upper
/// bits are Unix milliseconds, the lower [`COUNTER_BITS`] count within one.
#[derive(Clone, Debug, Default)]
pub struct HybridClock {
    last: Arc<AtomicU64>,
}

impl HybridClock {
    /// The time of a local event, or of a message that is about to be sent.
    pub fn tick(&self) -> u64 {
        self.advance(0)
    }

    /// The time of the receipt of a message that carried `remote`.
    pub fn observe(&self, remote: u64) -> u64 {
        self.advance(remote)
    }

    fn advance(&self, remote: u64) -> u64 {
        let physical = now_unix_ms() << COUNTER_BITS;
        let next = |last: u64| physical.max(last.max(remote) + 1);
        let previous = self
            .last
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |last| Some(next(last)))
            .unwrap_or_default();
        next(previous)
    }
}

/// The Unix milliseconds in a hybrid time.
pub fn unix_ms_of(hybrid_time: u64) -> u64 {
    hybrid_time >> COUNTER_BITS
}
