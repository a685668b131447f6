//! A graceful-shutdown signal, shared by the tasks of a process.

use std::sync::{
    Arc,
    atomic::{AtomicU8, Ordering},
};

use event_listener::Event;

const RUNNING: u8 = 0;
const DRAINING: u8 = 1;
const STOPPED: u8 = 2;

/// A graceful shutdown in two phases: draining, in which tasks accept no new work and finish what
/// is in flight, and then the end, at which every task stops. Clones share one signal.
#[derive(Clone, Debug, Default)]
pub struct Stop {
    inner: Arc<StopState>,
}

#[derive(Debug)]
struct StopState {
    phase: AtomicU8,
    draining: Event,
    ended: Event,
}

impl Default for StopState {
    fn default() -> Self {
        Self {
            phase: AtomicU8::new(RUNNING),
            draining: Event::new(),
            ended: Event::new(),
        }
    }
}

impl Stop {
    /// Creates a signal with no shutdown requested.
    pub fn new() -> Self {
        Self::default()
    }

    /// Begins draining: tasks accept no new work and finish what is in flight.
    pub fn drain(&self) {
        self.advance_to(DRAINING);
    }

    /// Ends the shutdown: every task stops, and work in flight is cut off.
    pub fn end(&self) {
        self.advance_to(STOPPED);
    }

    /// Returns whether draining has begun.
    pub fn is_draining(&self) -> bool {
        self.inner.phase.load(Ordering::Acquire) >= DRAINING
    }

    /// Returns whether tasks have to stop.
    pub fn is_ended(&self) -> bool {
        self.inner.phase.load(Ordering::Acquire) >= STOPPED
    }

    /// Waits until draining begins.
    pub async fn draining(&self) {
        self.wait_for(DRAINING, &self.inner.draining).await;
    }

    /// Waits until tasks have to stop.
    pub async fn ended(&self) {
        self.wait_for(STOPPED, &self.inner.ended).await;
    }

    fn advance_to(&self, phase: u8) {
        self.inner.phase.fetch_max(phase, Ordering::AcqRel);
        self.inner.draining.notify(1);
        if phase == STOPPED {
            self.inner.ended.notify(1);
        }
    }

    /// Waits until the signal reaches `phase`. Each woken task wakes the next: waking all of them
    /// at once from another thread can fill their runtime's bounded wake queue, which the runtime
    /// can't empty while the notifying thread holds the event's lock.
    async fn wait_for(&self, phase: u8, event: &Event) {
        loop {
            let listener = event.listen();
            if self.inner.phase.load(Ordering::Acquire) >= phase {
                drop(listener);
                event.notify(1);
                return;
            }
            listener.await;
        }
    }
}
