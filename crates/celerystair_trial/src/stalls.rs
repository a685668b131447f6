//! How long the callers' own thread was kept from running: by other work on the machine, or by a
//! test that starts and ends roles from the same thread. An answer is read that much later than it
//! came.

use std::{cell::RefCell, collections::VecDeque, rc::Rc, time::Instant};

use celerystair_core::prelude::*;

const PROBE_INTERVAL_MS: u64 = 10;
/// Shorter delays are those of the clock.
const STALL_MIN_MS: u64 = 5;
/// For how long a stall is remembered; longer than any caller waits past its deadline.
const MEMORY_MS: u64 = 60_000;
/// Stalls this long before a deadline may still delay an answer that came before it.
const BEFORE_DEADLINE_MS: u64 = 500;

/// The stalls of one thread, noticed by a task of it that should run every few milliseconds.
#[derive(Clone, Default)]
pub struct Stalls {
    /// When each ended, and how long it was.
    recent: Rc<RefCell<VecDeque<(u64, u64)>>>,
}

impl Stalls {
    /// Begins to watch this thread, for as long as somebody holds the result.
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
                let late_ms =
                    (start.elapsed().as_millis() as u64).saturating_sub(PROBE_INTERVAL_MS);
                if late_ms >= STALL_MIN_MS {
                    note(&mut recent.borrow_mut(), late_ms);
                }
            }
        })
        .detach();
        stalls
    }

    /// How long the thread was kept from running around `deadline_unix_ms` and since then.
    pub fn around_ms(&self, deadline_unix_ms: u64) -> u64 {
        let since_unix_ms = deadline_unix_ms.saturating_sub(BEFORE_DEADLINE_MS);
        let recent = self.recent.borrow();
        let recent = recent.iter().filter(|(ended, _)| *ended >= since_unix_ms);
        recent.map(|(_, late_ms)| late_ms).sum()
    }
}

fn note(recent: &mut VecDeque<(u64, u64)>, late_ms: u64) {
    let now = now_unix_ms();
    while recent
        .front()
        .is_some_and(|(ended, _)| ended + MEMORY_MS < now)
    {
        recent.pop_front();
    }
    recent.push_back((now, late_ms));
}
