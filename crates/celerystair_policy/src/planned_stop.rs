//! Whether a request is taken while a planned stop is under way. What still runs when the process ends
//! is cut, so a request that is expected to run longer is refused before it is passed on: its caller then
//! finds a router that stays. See `docs/PLATFORM.md`, "Planned stops".

use std::collections::VecDeque;

use celerystair_core::prelude::*;

use crate::fleet::{RequestKind, Route};

/// How many answers of a route are remembered: enough to hold a long one among many short ones.
const ANSWERS_MAX: usize = 64;
/// The most routes whose answers are remembered; operators may name new ones with each version.
const ROUTES_MAX: usize = 1024;
/// How much longer than the longest remembered answer one may take, as a part of that.
const LONGER_SHARE: f64 = 0.25;
/// How many times the operator's target a plain answer may take where none is remembered.
const TARGET_MULTIPLE: u64 = 4;

/// How long the latest answers of each route took, from when their request was passed on to their end.
#[derive(Debug, Default)]
pub struct AnswerDurations {
    by_route: HashMap<String, VecDeque<u64>>,
}

impl AnswerDurations {
    /// Records an answer that was passed on whole.
    pub fn record(&mut self, route: &str, duration_ms: u64) {
        if !self.by_route.contains_key(route) && self.by_route.len() >= ROUTES_MAX {
            self.by_route.clear();
        }
        let latest = self.by_route.entry(route.to_owned()).or_default();
        if latest.len() >= ANSWERS_MAX {
            latest.pop_front();
        }
        latest.push_back(duration_ms);
    }

    /// Returns how many answers of the route are remembered.
    pub fn answers(&self, route: &Route) -> usize {
        self.by_route.get(&route.name).map_or(0, VecDeque::len)
    }

    /// Returns how long an answer of the route is expected to take at most. Where none is remembered, the
    /// operator's target tells of a plain answer, and nothing of a stream, whose target is its first
    /// event's: `None`.
    pub fn expected_ms(&self, route: &Route) -> Option<u64> {
        let remembered = self.by_route.get(&route.name);
        let longest_ms = remembered.and_then(|durations_ms| durations_ms.iter().max());
        match longest_ms {
            Some(longest_ms) => Some(longest_ms + (*longest_ms as f64 * LONGER_SHARE) as u64),
            None if route.kind == RequestKind::Stream => None,
            None => Some(route.target_latency_ms.saturating_mul(TARGET_MULTIPLE)),
        }
    }
}

/// When a planned stop began, and when it cuts what still runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlannedStop {
    /// When it was asked for.
    pub began_unix_ms: u64,
    /// When the process begins to cut what runs.
    pub cuts_unix_ms: u64,
}

/// Returns whether a request that is passed on now gets its answer by `ends_unix_ms`, when the process
/// begins to cut what runs. By its deadline it has one in any case, and one of which nothing is expected
/// may take until then.
pub fn can_end_before_stop(
    expected_ms: Option<u64>,
    deadline_unix_ms: u64,
    ends_unix_ms: u64,
    now_unix_ms: u64,
) -> bool {
    let expected_unix_ms = expected_ms.map(|ms| now_unix_ms.saturating_add(ms));
    let answered_unix_ms = expected_unix_ms.map_or(deadline_unix_ms, |at| at.min(deadline_unix_ms));
    answered_unix_ms <= ends_unix_ms
}
