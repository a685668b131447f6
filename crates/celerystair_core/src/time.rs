//! Time. Wall time is read once at start and carried on by the monotonic clock, so that a
//! step of the wall clock moves no deadline. A process may run its clock faster, by a whole
//! factor that all processes of one trial share (`clock_scale` in the settings).

use std::{
    future::Future,
    sync::{
        OnceLock,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

static SCALE: AtomicU64 = AtomicU64::new(1);
static ANCHOR: OnceLock<Anchor> = OnceLock::new();

struct Anchor {
    start: Instant,
    unix_us: u64,
}

/// Lets the clock of this process run `scale` times as fast; takes effect only before the
/// first reading. For trials on a scaled clock.
pub fn set_clock_scale(scale: u64) {
    SCALE.store(scale.max(1), Ordering::Relaxed);
}

/// The factor by which the clock runs fast; 1 in production.
pub fn clock_scale() -> u64 {
    SCALE.load(Ordering::Relaxed)
}

/// Microseconds since the Unix epoch.
pub fn now_unix_us() -> u64 {
    let anchor = ANCHOR.get_or_init(|| Anchor {
        start: Instant::now(),
        unix_us: SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |elapsed| elapsed.as_micros() as u64),
    });
    (anchor.unix_us + anchor.start.elapsed().as_micros() as u64) * clock_scale()
}

/// Milliseconds since the Unix epoch.
pub fn now_unix_ms() -> u64 {
    now_unix_us() / 1000
}

/// Milliseconds left until `deadline_unix_ms`; 0 once it is past.
pub fn remaining_ms(deadline_unix_ms: u64) -> u64 {
    deadline_unix_ms.saturating_sub(now_unix_ms())
}

/// A deadline by this process's clock, for one that left `sent_unix_ms` by the sender's: the time
/// that was left then is left now, so that clocks which differ refuse and overrun nothing. The
/// way of the message is taken for instant. A `sent_unix_ms` of 0 is not known.
pub fn to_local_unix_ms(deadline_unix_ms: u64, sent_unix_ms: u64, received_unix_ms: u64) -> u64 {
    if sent_unix_ms == 0 {
        return deadline_unix_ms;
    }
    received_unix_ms + deadline_unix_ms.saturating_sub(sent_unix_ms)
}

/// Sleeps for `interval_ms` of this process's clock.
pub async fn sleep_ms(interval_ms: u64) {
    compio::time::sleep(real(interval_ms)).await;
}

/// Sleeps until `deadline_unix_ms`.
pub async fn sleep_until_unix_ms(deadline_unix_ms: u64) {
    sleep_ms(remaining_ms(deadline_unix_ms)).await;
}

/// The result of `work`, or `None` if `deadline_unix_ms` comes first; `work` is then dropped.
///
/// `work` is boxed: nested deadlines would otherwise double the size of a request's task each.
pub fn before_deadline<T>(
    deadline_unix_ms: u64,
    work: impl Future<Output = T>,
) -> impl Future<Output = Option<T>> {
    let work = Box::pin(work);
    let left = real(remaining_ms(deadline_unix_ms));
    async move { compio::time::timeout(left, work).await.ok() }
}

fn real(interval_ms: u64) -> Duration {
    // Without a bound, a sleep for "never" would overflow the timer.
    const LONGEST_US: u64 = 365 * 24 * 3600 * 1_000_000;
    Duration::from_micros((interval_ms.saturating_mul(1000) / clock_scale()).min(LONGEST_US))
}
