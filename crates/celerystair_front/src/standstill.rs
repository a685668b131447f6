//! Waits for upstreams that a standstill of this process doesn't end: silence is judged by the bytes
//! that were read, and a process that doesn't run reads none. `celerystair_policy` decides.

use std::pin::Pin;

use celerystair_core::{prelude::*, time::before_deadline};
use celerystair_policy::standstill::{RunningClock, SilenceWait, TICK_INTERVAL_MS};
use celerystair_telemetry::prelude::*;

use crate::front::PlatformRouter;

/// Keeps the clock of the time in which this process runs, and logs each standstill.
pub async fn keep_running_clock(router: PlatformRouter, stop: Stop) {
    while !stop.is_ended() {
        let mut clock = router.running_clock.get();
        if let Some(standstill_ms) = clock.tick(now_unix_ms()) {
            info!(router.log, "stood_still"; "ms" => standstill_ms);
        }
        router.running_clock.set(clock);
        sleep_ms(TICK_INTERVAL_MS).await;
    }
}

/// Returns the result of `work`, or `None` once the upstream has been silent for `silence_ms`.
pub async fn before_silence<T>(
    router: &PlatformRouter,
    silence_ms: u64,
    work: Pin<&mut impl Future<Output = T>>,
) -> Option<T> {
    let left_ms = |clock: &RunningClock, wait, now| clock.silence_left_ms(wait, silence_ms, now);
    wait_for(router, left_ms, work).await
}

/// Returns the result of `work`, or `None` once `wait_ms` have passed; a standstill counts, but what
/// has arrived in it is read first.
pub async fn before_bound<T>(
    router: &PlatformRouter,
    wait_ms: u64,
    work: Pin<&mut impl Future<Output = T>>,
) -> Option<T> {
    let left_ms = |clock: &RunningClock, wait, now| clock.bounded_wait_left_ms(wait, wait_ms, now);
    wait_for(router, left_ms, work).await
}

async fn wait_for<T>(
    router: &PlatformRouter,
    left_ms: impl Fn(&RunningClock, SilenceWait, u64) -> u64,
    mut work: Pin<&mut impl Future<Output = T>>,
) -> Option<T> {
    let wait = router.running_clock.get().begin_wait(now_unix_ms());
    loop {
        let now = now_unix_ms();
        let left_ms = left_ms(&router.running_clock.get(), wait, now);
        if left_ms == 0 {
            return None;
        }
        if let Some(result) = before_deadline(now + left_ms, work.as_mut()).await {
            return Some(result);
        }
    }
}
