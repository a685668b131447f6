//! How a router keeps to the rate limit that an upstream names for all routers together. An
//! upstream in need takes a few requests a second, while every router would send it that many.
//!
//! Routers don't tell each other what they send: a report would arrive later than the requests that
//! it should prevent. Each keeps to an equal share, by the number of routers. A router that sends
//! little saves up a part of its share for a burst, as far as the tolerance of the bound covers the
//! bursts of all routers at once. In a large fleet that is less than one request for each router;
//! there the right to send one comes up at regular times, different for each router, and lapses soon.
//! An upstream may also ask a router for a pause, in which it takes nothing from it.
//!
//! See `docs/OVERLOAD.md`.

/// The length of the windows in which the platform counts an upstream's requests.
pub const WINDOW_SECONDS: f64 = 4.0;
/// In a window, an upstream gets at most this many times what its limit allows, and
/// [`TOLERATED_EXTRA`] requests more.
pub const TOLERATED_FACTOR: f64 = 1.5;
/// See [`TOLERATED_FACTOR`].
pub const TOLERATED_EXTRA: f64 = 5.0;

/// The share of the tolerance that is used for bursts. The rest covers requests that are delayed on
/// their way, and routers that are missing from the count.
const BURST_SHARE: f64 = 0.8;
/// The share of the limit that is used where the right to send lapses: the times at which it comes up
/// at different routers are not coordinated, and may be close together by chance.
const UNCOORDINATED_SHARE: f64 = 0.8;
/// For how long the right to send one request lasts there.
const LAPSE_SECONDS: f64 = 0.5;
/// The lowest limit that is kept. An upstream that takes nothing gets one request now and then, in
/// whose response it may lift its limit.
const PER_SECOND_MIN: f64 = 0.25;

/// The longest pause that is kept. An upstream that asks for more has most probably lost its clock.
pub const PAUSE_MAX_MS: u64 = 3_600_000;

/// Returns until when an upstream wants nothing from this router, if it has asked for a pause of
/// `pause_ms` now, and before for one until `known_until_unix_ms`.
pub fn pause_until_unix_ms(known_until_unix_ms: u64, pause_ms: u64, now_unix_ms: u64) -> u64 {
    known_until_unix_ms.max(now_unix_ms + pause_ms.min(PAUSE_MAX_MS))
}

/// A router's share of an upstream's rate limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Requests per second that the upstream accepts from all routers together.
    pub per_second: f64,
    /// Requests that may be sent now; a fraction is on its way to one.
    tokens: f64,
    refilled_unix_ms: u64,
}

/// What a share of the limit amounts to.
struct Share {
    tokens_per_second: f64,
    tokens_max: f64,
    /// Whether a token that is not used in time is lost, so that the next one comes up at the usual
    /// time, instead of being kept.
    lapses: bool,
}

impl Share {
    fn of(per_second: f64, routers: u32) -> Self {
        let routers = f64::from(routers.max(1));
        let per_second = per_second.max(PER_SECOND_MIN);
        let tolerance = (TOLERATED_FACTOR - 1.0) * WINDOW_SECONDS * per_second + TOLERATED_EXTRA;
        let burst = tolerance * BURST_SHARE / routers;
        if burst >= 1.0 {
            return Self {
                tokens_per_second: per_second / routers,
                tokens_max: burst,
                lapses: false,
            };
        }
        let tokens_per_second = per_second / routers * UNCOORDINATED_SHARE;
        Self {
            tokens_per_second,
            tokens_max: 1.0 + tokens_per_second * LAPSE_SECONDS,
            lapses: true,
        }
    }
}

impl RateLimit {
    /// Creates the share of a limit that was first named at `now_unix_ms`. `phase`, from 0 to 1, is
    /// drawn by each router, so that they don't all send their first request at the same time.
    pub fn new(per_second: f64, phase: f64, now_unix_ms: u64) -> Self {
        Self {
            per_second,
            tokens: phase.clamp(0.0, 1.0),
            refilled_unix_ms: now_unix_ms,
        }
    }

    /// Returns when the next request may be sent: `now_unix_ms` if one may be sent now.
    pub fn next_unix_ms(&mut self, routers: u32, now_unix_ms: u64) -> u64 {
        let share = self.refill(routers, now_unix_ms);
        let missing = (1.0 - self.tokens).max(0.0);
        now_unix_ms + (missing / share.tokens_per_second * 1000.0).ceil() as u64
    }

    /// Counts a request that is sent.
    pub fn spend(&mut self, routers: u32, now_unix_ms: u64) {
        self.refill(routers, now_unix_ms);
        self.tokens -= 1.0;
    }

    /// Returns the time between two requests of a router that sends without pause.
    pub fn interval_ms(&self, routers: u32) -> u64 {
        (1000.0 / Share::of(self.per_second, routers).tokens_per_second) as u64
    }

    fn refill(&mut self, routers: u32, now_unix_ms: u64) -> Share {
        let share = Share::of(self.per_second, routers);
        let elapsed_ms = now_unix_ms.saturating_sub(self.refilled_unix_ms);
        self.refilled_unix_ms = now_unix_ms;
        self.tokens += elapsed_ms as f64 / 1000.0 * share.tokens_per_second;
        if self.tokens > share.tokens_max {
            self.tokens = if share.lapses {
                self.tokens - (self.tokens - share.tokens_max).ceil()
            } else {
                share.tokens_max
            };
        }
        share
    }
}
