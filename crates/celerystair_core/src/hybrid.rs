//! Hybrid logical time, which orders events across processes whose wall clocks disagree.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use crate::time::now_unix_ms;

/// Low bits of a timestamp, which count events within one millisecond.
const COUNTER_BITS: u32 = 16;

/// A hybrid logical clock. Its timestamps increase strictly and exceed that of every message
/// received so far. The upper bits hold Unix milliseconds, the low 16 a counter within one
/// millisecond. Clones share one clock.
#[derive(Clone, Debug, Default)]
pub struct HybridClock {
    latest: Arc<AtomicU64>,
}

impl HybridClock {
    /// Returns the timestamp of a local event or of a message about to be sent.
    pub fn tick(&self) -> u64 {
        self.advance(0)
    }

    /// Returns the timestamp of the receipt of a message stamped `remote`.
    pub fn observe(&self, remote: u64) -> u64 {
        self.advance(remote)
    }

    fn advance(&self, remote: u64) -> u64 {
        let physical = now_unix_ms() << COUNTER_BITS;
        let next = |last: u64| physical.max(last.max(remote) + 1);
        let previous = self
            .latest
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |last| Some(next(last)))
            .unwrap_or_default();
        next(previous)
    }
}

/// Returns the Unix milliseconds of a hybrid timestamp.
pub fn unix_ms_of(hybrid_time: u64) -> u64 {
    hybrid_time >> COUNTER_BITS
}
