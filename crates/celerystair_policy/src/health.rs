//! Which upstreams are left out for a while. Answers upstreams that fail part of their requests
//! while they call themselves healthy, and those that go down and up by turns: each failure in a
//! row doubles the time, one success ends it.

/// The shortest time for which an upstream is left out after a failure.
const DOUBT_MIN_MS: u64 = 250;
/// The longest.
const DOUBT_MAX_MS: u64 = 4000;
/// Failures that weigh nothing yet: one lost answer is no sign of a sick upstream.
const FREE_FAILURES: f64 = 1.0;
/// What a success leaves of the failures counted before.
const SUCCESS_KEEPS: f64 = 0.5;

/// What a router has seen of one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UpstreamHealth {
    failures: f64,
    doubted_until_unix_ms: u64,
}

impl UpstreamHealth {
    /// Notes an answer of the upstream's own.
    pub fn record_success(&mut self) {
        self.failures *= SUCCESS_KEEPS;
        if self.failures < FREE_FAILURES {
            self.doubted_until_unix_ms = 0;
        }
    }

    /// Notes an attempt that failed there; `is_certain` if the upstream could not be reached.
    pub fn record_failure(&mut self, is_certain: bool, now_unix_ms: u64) {
        self.failures += if is_certain { 2.0 } else { 1.0 };
        if self.failures > FREE_FAILURES {
            let doublings = (self.failures - FREE_FAILURES).min(5.0) as u32;
            let doubt_ms = (DOUBT_MIN_MS << doublings).min(DOUBT_MAX_MS);
            self.doubted_until_unix_ms = now_unix_ms + doubt_ms;
        }
    }

    /// Whether others are to be tried first.
    pub fn is_in_backoff(&self, now_unix_ms: u64) -> bool {
        now_unix_ms < self.doubted_until_unix_ms
    }
}
