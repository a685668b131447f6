//! Detects stalls of the callers' own thread, which other work on the machine causes, or a test
//! that starts and stops roles from the same thread. A stalled caller reads a response that much
//! later than it arrived.

use std::{cell::RefCell, collections::VecDeque, rc::Rc, time::Instant};

use celerystair_core::prelude::*;

const PROBE_INTERVAL_MS: u64 = 10;
/// Shorter delays are due to the resolution of the timer.
const STALL_MIN_MS: u64 = 5;
/// How long a stall is kept; longer than any caller waits past its deadline.
const RETENTION_MS: u64 = 60_000;
/// Stalls that end less than this before a deadline may still delay a response that arrived in
/// time.
const BEFORE_DEADLINE_MS: u64 = 500;

/// The recent stalls of one thread, detected by a task on it that should run every few
/// milliseconds.
#[derive(Clone, Default)]
pub struct Stalls {
    /// End and length of each stall.
    recent: Rc<RefCell<VecDeque<(u64, u64)>>>,
}

impl Stalls {
    /// Starts to watch the current thread, for as long as the result or a clone of it exists.
    pub fn watch() -> Self {
        let stalls = Self::default();
        let recent = Rc::downgrade(&stalls.recent);
        compio::runtime::spawn(async move {
            loop {
                let start = Instant::now();
                sleep_ms(PROBE_INTERVAL_MS).await;
                let Some(recent) = recent.upgrade() else {
                    return;
                };
                let stall_ms =
                    (start.elapsed().as_millis() as u64).saturating_sub(PROBE_INTERVAL_MS);
                if stall_ms >= STALL_MIN_MS {
                    record_stall(&mut recent.borrow_mut(), stall_ms);
                }
            }
        })
        .detach();
        stalls
    }

    /// Returns how long the thread has stalled since shortly before `deadline_unix_ms`, in total.
    pub fn around_ms(&self, deadline_unix_ms: u64) -> u64 {
        let since_unix_ms = deadline_unix_ms.saturating_sub(BEFORE_DEADLINE_MS);
        let recent = self.recent.borrow();
        let recent = recent
            .iter()
            .filter(|(ended_unix_ms, _)| *ended_unix_ms >= since_unix_ms);
        recent.map(|(_, stall_ms)| stall_ms).sum()
    }
}

fn record_stall(recent: &mut VecDeque<(u64, u64)>, stall_ms: u64) {
    let now = now_unix_ms();
    while recent
        .front()
        .is_some_and(|(ended_unix_ms, _)| ended_unix_ms + RETENTION_MS < now)
    {
        recent.pop_front();
    }
    recent.push_back((now, stall_ms));
}
