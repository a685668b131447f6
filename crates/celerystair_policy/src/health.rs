//! Passive health checks: failures put an upstream in backoff, and others are tried first. This
//! covers upstreams that fail part of their requests while they report themselves as healthy, and
//! those that flap. Each consecutive failure doubles the backoff; successes halve the failure
//! count, and end the backoff once it is below the tolerated number.

/// The base of the exponential backoff.
const BACKOFF_MIN_MS: u64 = 250;
/// The longest backoff.
const BACKOFF_MAX_MS: u64 = 4000;
/// Failures that cause no backoff: one lost answer doesn't show that an upstream is unhealthy.
const TOLERATED_FAILURES: f64 = 1.0;
/// The factor by which a success reduces the failure count.
const SUCCESS_DECAY: f64 = 0.5;

/// The health of one upstream, by the outcomes of a router's own attempts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UpstreamHealth {
    failures: f64,
    backoff_until_unix_ms: u64,
}

impl UpstreamHealth {
    /// Records an answer that the upstream itself gave.
    pub fn record_success(&mut self) {
        self.failures *= SUCCESS_DECAY;
        if self.failures < TOLERATED_FAILURES {
            self.backoff_until_unix_ms = 0;
        }
    }

    /// Records a failed attempt. A conclusive failure, such as an unreachable upstream, counts
    /// twice, so that a single one causes a backoff.
    pub fn record_failure(&mut self, is_conclusive: bool, now_unix_ms: u64) {
        self.failures += if is_conclusive { 2.0 } else { 1.0 };
        if self.failures > TOLERATED_FAILURES {
            let doublings = (self.failures - TOLERATED_FAILURES).min(5.0) as u32;
            let backoff_ms = (BACKOFF_MIN_MS << doublings).min(BACKOFF_MAX_MS);
            self.backoff_until_unix_ms = now_unix_ms + backoff_ms;
        }
    }

    /// Whether other upstreams should be tried first.
    pub fn is_in_backoff(&self, now_unix_ms: u64) -> bool {
        now_unix_ms < self.backoff_until_unix_ms
    }
}
