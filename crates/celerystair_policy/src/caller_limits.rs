//! Until when a caller's connection may be idle, as versions of the configuration change the limits.
//!
//! A caller reuses a connection by the limit that it knows, which may be the one before or after the
//! limit that this router knows. A connection is therefore kept for the longest limit that its caller
//! may rely on. What is kept too long costs little, and what is closed too early loses a request.

use std::collections::VecDeque;

use crate::fleet::CallerLimits;

/// Within this time of a change, a caller may still go by the limit before it.
const LEARN_MS: u64 = 30_000;
/// Time for a response to reach its caller, whose connection is idle only then, and for the next
/// request to arrive, so that the two don't cross a close.
const CROSSING_MS: u64 = 2000;
/// No limit is longer, so that the connections of callers that vanished end at some time.
const LIMIT_MAX_MS: u64 = 24 * 3600 * 1000;
/// The most changes that are remembered; beyond it, the two oldest count as one of the longer limit.
const CHANGES_MAX: usize = 64;

/// The limits on callers' connections that are in force and those that were, as far as callers may
/// still rely on them; the default ones until the first are recorded.
#[derive(Clone, Debug, Default)]
pub struct CallerLimitHistory {
    idle: LimitHistory,
    head: LimitHistory,
}

impl CallerLimitHistory {
    /// Records the limits in force from now on.
    pub fn record(&mut self, limits: &CallerLimits, now_unix_ms: u64) {
        self.idle.record(limits.idle_timeout_ms, now_unix_ms);
        self.head.record(limits.head_timeout_ms, now_unix_ms);
    }

    /// Returns until when a connection is kept that has been idle since then.
    pub fn idle_until_unix_ms(&self, idle_since_unix_ms: u64) -> u64 {
        let longest_ms = self.idle.longest_ms(idle_since_unix_ms);
        let limit_ms = longest_ms.unwrap_or(CallerLimits::default().idle_timeout_ms);
        until(idle_since_unix_ms, limit_ms)
    }

    /// Returns until when a connection is kept that was accepted then and has had no request. The limit
    /// on idleness may be too short for a first one to arrive.
    pub fn first_request_until_unix_ms(&self, accepted_unix_ms: u64) -> u64 {
        let head_until_unix_ms = self.head_until_unix_ms(accepted_unix_ms);
        head_until_unix_ms.max(self.idle_until_unix_ms(accepted_unix_ms))
    }

    /// Returns until when the head of a request must be whole of which the first byte arrived then.
    pub fn head_until_unix_ms(&self, begun_unix_ms: u64) -> u64 {
        let longest_ms = self.head.longest_ms(begun_unix_ms);
        let limit_ms = longest_ms.unwrap_or(CallerLimits::default().head_timeout_ms);
        until(begun_unix_ms, limit_ms)
    }
}

fn until(since_unix_ms: u64, limit_ms: u64) -> u64 {
    since_unix_ms.saturating_add(limit_ms.saturating_add(CROSSING_MS))
}

/// One limit over time, oldest first.
#[derive(Clone, Debug, Default)]
struct LimitHistory(VecDeque<LimitChange>);

#[derive(Clone, Copy, Debug)]
struct LimitChange {
    from_unix_ms: u64,
    limit_ms: u64,
}

impl LimitHistory {
    fn record(&mut self, limit_ms: u64, now_unix_ms: u64) {
        let limit_ms = limit_ms.min(LIMIT_MAX_MS);
        if self.0.back().is_some_and(|last| last.limit_ms == limit_ms) {
            return;
        }
        self.0.push_back(LimitChange {
            from_unix_ms: now_unix_ms,
            limit_ms,
        });
        self.forget(now_unix_ms);
    }

    /// Returns the longest limit that a caller may rely on whose connection has waited since then, if
    /// any has been recorded.
    fn longest_ms(&self, since_unix_ms: u64) -> Option<u64> {
        let relied_on_unix_ms = since_unix_ms.saturating_sub(LEARN_MS);
        let ends = self.0.iter().skip(1).map(|next| next.from_unix_ms);
        let changes = self.0.iter().zip(ends.chain([u64::MAX]));
        let relied_on = changes.filter(|(_, end_unix_ms)| *end_unix_ms > relied_on_unix_ms);
        let limits = relied_on.map(|(change, _)| change.limit_ms);
        limits.max()
    }

    /// Forgets the changes that no connection can still rely on.
    fn forget(&mut self, now_unix_ms: u64) {
        let longest_ms = self.0.iter().map(|change| change.limit_ms).max();
        let kept_ms = longest_ms.unwrap_or(0) + LEARN_MS + CROSSING_MS;
        while let Some(next) = self.0.get(1).copied() {
            let is_over = next.from_unix_ms.saturating_add(kept_ms) < now_unix_ms;
            let is_too_many = self.0.len() > CHANGES_MAX;
            if !is_over && !is_too_many {
                return;
            }
            let oldest = self.0.pop_front();
            if let (false, Some(oldest), Some(first)) = (is_over, oldest, self.0.front_mut()) {
                first.from_unix_ms = oldest.from_unix_ms;
                first.limit_ms = first.limit_ms.max(oldest.limit_ms);
            }
        }
    }
}
