//! Estimates how many routers divide the fleet-wide limits, from the counts that agents report.
//! An agent may know of too few routers, because it has just started, was paused, lost datagrams or
//! is partitioned; a router that trusted the lowest count would use the shares of others, too.
//!
//! Too high a count costs a router a part of its share, but too low a count violates a fleet-wide
//! limit; so the estimate is the highest count within a sliding window.

use std::collections::VecDeque;

/// Length of the sliding window. Agents report their count at intervals of a few seconds at most,
/// and one that has restarted knows every router again after a few rounds of gossip.
const WINDOW_MS: u64 = 60_000;

/// The highest router count that agents have reported within a sliding window.
#[derive(Clone, Debug, Default)]
pub struct RouterCountEstimate {
    /// Times and counts. Counts decrease from front to back: a new count removes all lower or equal
    /// ones before it.
    counts: VecDeque<(u64, u32)>,
}

impl RouterCountEstimate {
    /// Records an agent's count; 0 means that the agent knows none and is ignored.
    pub fn record_count(&mut self, routers: u32, now_unix_ms: u64) {
        if routers == 0 {
            return;
        }
        while self
            .counts
            .back()
            .is_some_and(|(_, count)| *count <= routers)
        {
            self.counts.pop_back();
        }
        self.counts.push_back((now_unix_ms, routers));
        self.drop_expired(now_unix_ms);
    }

    /// Returns the highest count in the window, or `None` if no agent has reported one.
    pub fn routers(&self, now_unix_ms: u64) -> Option<u32> {
        let is_current =
            |(reported_unix_ms, _): &&(u64, u32)| now_unix_ms < reported_unix_ms + WINDOW_MS;
        self.counts.iter().find(is_current).map(|(_, count)| *count)
    }

    fn drop_expired(&mut self, now_unix_ms: u64) {
        let is_expired =
            |(reported_unix_ms, _): &(u64, u32)| now_unix_ms >= reported_unix_ms + WINDOW_MS;
        while self.counts.front().is_some_and(is_expired) {
            self.counts.pop_front();
        }
    }
}
