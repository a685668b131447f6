//! Unix time, sleeps and deadlines. The wall clock is read once and advanced by the monotonic
//! clock, so that a step of the wall clock moves no deadline. In tests, all processes of a fleet
//! may run their clocks faster by the same whole factor (`clock_scale` in the settings).

use std::{
    future::Future,
    sync::{
        OnceLock,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

static CLOCK_SCALE: AtomicU64 = AtomicU64::new(1);
static ANCHOR: OnceLock<Anchor> = OnceLock::new();

/// The one reading of the wall clock, and the monotonic time at which it was taken.
struct Anchor {
    start: Instant,
    unix_us: u64,
}

/// Makes this process's clock run `scale` times as fast. Call it before the first reading, or time
/// jumps.
pub fn set_clock_scale(scale: u64) {
    CLOCK_SCALE.store(scale.max(1), Ordering::Relaxed);
}

/// Returns the factor by which the clock runs faster than real time; 1 in production.
pub fn clock_scale() -> u64 {
    CLOCK_SCALE.load(Ordering::Relaxed)
}

/// Returns the scaled time in microseconds since the Unix epoch.
pub fn now_unix_us() -> u64 {
    let anchor = ANCHOR.get_or_init(|| Anchor {
        start: Instant::now(),
        unix_us: SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |elapsed| elapsed.as_micros() as u64),
    });
    (anchor.unix_us + anchor.start.elapsed().as_micros() as u64) * clock_scale()
}

/// Returns the scaled time in milliseconds since the Unix epoch.
pub fn now_unix_ms() -> u64 {
    now_unix_us() / 1000
}

/// Returns the milliseconds that remain until `deadline_unix_ms`; 0 once it has passed.
pub fn remaining_ms(deadline_unix_ms: u64) -> u64 {
    deadline_unix_ms.saturating_sub(now_unix_ms())
}

/// Translates a time, such as a deadline, from the sender's clock to this process's clock, given
/// the time of sending by the former and of receipt by the latter. What remained until
/// `remote_unix_ms` at sending remains at receipt, so that clock skew neither refuses a request
/// early nor lets it overrun. The delay of the message is ignored. A `sent_unix_ms` of 0 is
/// unknown: the time stays as it is.
pub fn to_local_unix_ms(remote_unix_ms: u64, sent_unix_ms: u64, received_unix_ms: u64) -> u64 {
    if sent_unix_ms == 0 {
        return remote_unix_ms;
    }
    received_unix_ms + remote_unix_ms.saturating_sub(sent_unix_ms)
}

/// Sleeps for `interval_ms` by this process's scaled clock.
pub async fn sleep_ms(interval_ms: u64) {
    compio::time::sleep(real_duration(interval_ms)).await;
}

/// Sleeps until `deadline_unix_ms` by this process's scaled clock.
pub async fn sleep_until_unix_ms(deadline_unix_ms: u64) {
    sleep_ms(remaining_ms(deadline_unix_ms)).await;
}

/// Returns the result of `work`, or drops it and returns `None` if `deadline_unix_ms` comes first.
///
/// `work` is boxed: otherwise each nested deadline would double the size of a request's task.
pub fn before_deadline<T>(
    deadline_unix_ms: u64,
    work: impl Future<Output = T>,
) -> impl Future<Output = Option<T>> {
    let work = Box::pin(work);
    let timeout = real_duration(remaining_ms(deadline_unix_ms));
    async move { compio::time::timeout(timeout, work).await.ok() }
}

/// Converts an interval of the scaled clock to real time.
fn real_duration(interval_ms: u64) -> Duration {
    // An unbounded sleep, such as one until `u64::MAX` (never), would overflow the timer.
    const SLEEP_MAX_US: u64 = 365 * 24 * 3600 * 1_000_000;
    Duration::from_micros((interval_ms.saturating_mul(1000) / clock_scale()).min(SLEEP_MAX_US))
}
