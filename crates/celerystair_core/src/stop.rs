//! The signal of a planned stop, shared by the tasks of a process.

use std::sync::{
    Arc,
    atomic::{AtomicU8, Ordering},
};

use event_listener::Event;

/// Nobody has asked for a stop; the state of a new signal.
const RUNNING: u8 = 0;
const DRAINING: u8 = 1;
const STOPPED: u8 = 2;

/// A planned stop in two steps: drain (take nothing new, finish what is there), then end.
#[derive(Clone, Debug, Default)]
pub struct Stop {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    state: AtomicU8,
    draining: Event,
    ended: Event,
}

impl Default for Inner {
    fn default() -> Self {
        Self {
            state: AtomicU8::new(RUNNING),
            draining: Event::new(),
            ended: Event::new(),
        }
    }
}

impl Stop {
    /// A signal that nobody has given yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Asks every task to take nothing new and to finish what it has.
    pub fn drain(&self) {
        self.raise(DRAINING);
    }

    /// Asks every task to end.
    pub fn end(&self) {
        self.raise(STOPPED);
    }

    /// Whether a stop has begun.
    pub fn is_draining(&self) -> bool {
        self.inner.state.load(Ordering::Acquire) >= DRAINING
    }

    /// Whether tasks are to end.
    pub fn is_ended(&self) -> bool {
        self.inner.state.load(Ordering::Acquire) >= STOPPED
    }

    /// Returns once a stop has begun.
    pub async fn draining(&self) {
        self.reached(DRAINING, &self.inner.draining).await;
    }

    /// Returns once tasks are to end.
    pub async fn ended(&self) {
        self.reached(STOPPED, &self.inner.ended).await;
    }

    fn raise(&self, state: u8) {
        self.inner.state.fetch_max(state, Ordering::AcqRel);
        self.inner.draining.notify(1);
        if state == STOPPED {
            self.inner.ended.notify(1);
        }
    }

    /// Each waiter that wakes wakes the next. To wake all at once from another thread can fill
    /// the queue of wakes of their runtime, while the event's lock keeps it from emptying it.
    async fn reached(&self, state: u8, event: &Event) {
        loop {
            let listener = event.listen();
            if self.inner.state.load(Ordering::Acquire) >= state {
                drop(listener);
                event.notify(1);
                return;
            }
            listener.await;
        }
    }
}
