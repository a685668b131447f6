//! The timer that HTTP connections use.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
    time::{Duration, Instant},
};

use cyper_core::CompioTimer;
use hyper::rt::{Sleep, Timer};

/// Sleeps that may be polled again once they have ended. HTTP/2's keep-alive does so when a
/// peer has stalled, and the runtime's own would panic in the task that has the connection and
/// then in each that uses it.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectionTimer;

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
