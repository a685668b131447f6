//! The timer of HTTP connections.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
    time::{Duration, Instant},
};

use cyper_core::CompioTimer;
use hyper::rt::{Sleep, Timer};

/// A timer whose sleeps may be polled again after completion. The HTTP/2 keep-alive does so when a
/// peer has stalled; the runtime's own sleep would then panic in the connection's task, and after
/// it in each task that uses the connection.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectionTimer;

/// A sleep that stays ready once it has completed.
struct FusedSleep(Option<Pin<Box<dyn Sleep>>>);

impl Future for FusedSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if let Some(sleep) = &mut self.0 {
            ready!(sleep.as_mut().poll(cx));
            self.0 = None;
        }
        Poll::Ready(())
    }
}

impl Sleep for FusedSleep {}

impl Timer for ConnectionTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn Sleep>> {
        Box::pin(FusedSleep(Some(CompioTimer.sleep(duration))))
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn Sleep>> {
        Box::pin(FusedSleep(Some(CompioTimer.sleep_until(deadline))))
    }
}
