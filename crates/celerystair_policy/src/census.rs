//! How many routers share what is meant for all of them. Answers agents that have heard of few
//! routers, because they have just started, stood still, lost datagrams or are cut off: a router that
//! believes the lowest count takes the parts of the others, too.
//!
//! Too high a count costs a router a part of its share, and too low a count breaks a bound of the
//! fleet; so the highest count of a while holds.

use std::collections::VecDeque;

/// A count holds for this long. Agents tell theirs every few seconds at most, and one that has lost its
/// memory has heard of every router again within a few rounds of their news.
const COUNT_HOLDS_MS: u64 = 60_000;

/// What agents have told of the number of routers.
#[derive(Clone, Debug, Default)]
pub struct RouterCountEstimate {
    /// Times and counts: later ones are lower, since a higher one outdates all before it.
    told: VecDeque<(u64, u32)>,
}

impl RouterCountEstimate {
    /// Takes in an agent's count; 0 tells nothing.
    pub fn record_count(&mut self, routers: u32, now_unix_ms: u64) {
        if routers == 0 {
            return;
        }
        while self.told.back().is_some_and(|(_, count)| *count <= routers) {
            self.told.pop_back();
        }
        self.told.push_back((now_unix_ms, routers));
        self.forget(now_unix_ms);
    }

    /// How many routers there are at most; `None` if no agent has told for long.
    pub fn routers(&self, now_unix_ms: u64) -> Option<u32> {
        let holds = |(told_unix_ms, _): &&(u64, u32)| now_unix_ms < told_unix_ms + COUNT_HOLDS_MS;
        self.told.iter().find(holds).map(|(_, count)| *count)
    }

    fn forget(&mut self, now_unix_ms: u64) {
        let is_old = |(told_unix_ms, _): &(u64, u32)| now_unix_ms >= told_unix_ms + COUNT_HOLDS_MS;
        while self.told.front().is_some_and(is_old) {
            self.told.pop_front();
        }
    }
}
