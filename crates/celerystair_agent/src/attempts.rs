//! What became of each attempt. A router that lost sight of an attempt asks here; one that had
//! not started gets a tombstone, and then it is true that it never will.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use celerystair_core::prelude::*;
use event_listener::{Event, EventListener};

/// An attempt is remembered this long after its deadline, so that a slow question still finds it.
const RETENTION_MS: u64 = 60_000;

/// The state of one attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptPhase {
    /// It waits.
    Queued,
    /// It was handed to the upstream.
    Started,
    /// It ended at the upstream.
    Done,
    /// It never started, and never will.
    NotRun,
}

/// The attempts of one life of an agent.
#[derive(Default)]
pub struct Attempts {
    by_id: RefCell<HashMap<AttemptId, Entry>>,
    purge_unix_ms: Cell<u64>,
}

struct Entry {
    phase: AttemptPhase,
    forget_unix_ms: u64,
    cancelled: Rc<Event>,
}

impl Attempts {
    /// Notes a new attempt; false if its identifier is known already, also by a tombstone.
    pub fn register(&self, id: &AttemptId, deadline_unix_ms: u64) -> bool {
        self.purge();
        let mut by_id = self.by_id.borrow_mut();
        if by_id.contains_key(id) {
            return false;
        }
        by_id.insert(
            id.clone(),
            new_entry(AttemptPhase::Queued, deadline_unix_ms),
        );
        true
    }

    /// Marks the attempt as handed to the upstream; false if it must not be.
    pub fn try_start(&self, id: &AttemptId) -> bool {
        self.advance(id, AttemptPhase::Queued, AttemptPhase::Started)
    }

    /// Marks the attempt as ended at the upstream.
    pub fn mark_done(&self, id: &AttemptId) {
        self.advance(id, AttemptPhase::Started, AttemptPhase::Done);
    }

    /// What is known of the attempt.
    pub fn phase(&self, id: &AttemptId) -> Option<AttemptPhase> {
        self.by_id.borrow().get(id).map(|entry| entry.phase)
    }

    /// Marks a queued attempt as one that never runs.
    pub fn mark_not_run(&self, id: &AttemptId) {
        self.advance(id, AttemptPhase::Queued, AttemptPhase::NotRun);
    }

    /// What became of the attempt. One that has not started, or was never seen, gets a
    /// tombstone and never will.
    pub fn settle(&self, id: &AttemptId) -> AttemptPhase {
        let mut by_id = self.by_id.borrow_mut();
        let found = by_id
            .entry(id.clone())
            .or_insert_with(|| new_entry(AttemptPhase::NotRun, now_unix_ms() + RETENTION_MS));
        if found.phase == AttemptPhase::Queued {
            found.phase = AttemptPhase::NotRun;
            found.cancelled.notify(usize::MAX);
        }
        found.phase
    }

    /// Wakes when the attempt gets its tombstone.
    pub fn listen_cancelled(&self, id: &AttemptId) -> Option<EventListener> {
        self.by_id
            .borrow()
            .get(id)
            .map(|entry| entry.cancelled.listen())
    }

    fn advance(&self, id: &AttemptId, from: AttemptPhase, to: AttemptPhase) -> bool {
        let mut by_id = self.by_id.borrow_mut();
        match by_id.get_mut(id) {
            Some(entry) if entry.phase == from => {
                entry.phase = to;
                true
            }
            _ => false,
        }
    }

    fn purge(&self) {
        let now = now_unix_ms();
        if now >= self.purge_unix_ms.get() {
            self.purge_unix_ms.set(now + RETENTION_MS / 4);
            self.by_id
                .borrow_mut()
                .retain(|_, entry| entry.forget_unix_ms > now);
        }
    }
}

fn new_entry(phase: AttemptPhase, deadline_unix_ms: u64) -> Entry {
    Entry {
        phase,
        forget_unix_ms: deadline_unix_ms + RETENTION_MS,
        cancelled: Rc::new(Event::new()),
    }
}
