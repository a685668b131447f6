//! The state of each attempt.
//!
//! A router that lost its connection during an attempt settles it here. An attempt that had not
//! started gets a tombstone, which guarantees that it never will.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use celerystair_core::prelude::*;
use event_listener::{Event, EventListener};

/// How long an attempt is kept after its deadline, so that a delayed settle request still finds it.
const RETENTION_MS: u64 = 60_000;

/// The state of one attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptPhase {
    /// The attempt waits.
    Queued,
    /// The attempt was sent to the upstream.
    Started,
    /// The attempt has ended at the upstream.
    Done,
    /// The attempt has not started and never will.
    NotRun,
}

/// The attempts of one incarnation of an agent.
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
    /// Registers a new attempt; false if its identifier is known already, be it by a tombstone.
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

    /// Marks a queued attempt as started; false if it must not be sent to the upstream.
    pub fn try_start(&self, id: &AttemptId) -> bool {
        self.advance(id, AttemptPhase::Queued, AttemptPhase::Started)
    }

    /// Marks a started attempt as ended at the upstream.
    pub fn mark_done(&self, id: &AttemptId) {
        self.advance(id, AttemptPhase::Started, AttemptPhase::Done);
    }

    /// Returns the attempt's phase, or `None` if the attempt is unknown.
    pub fn phase(&self, id: &AttemptId) -> Option<AttemptPhase> {
        self.by_id.borrow().get(id).map(|entry| entry.phase)
    }

    /// Marks a queued attempt as one that never starts.
    pub fn mark_not_run(&self, id: &AttemptId) {
        self.advance(id, AttemptPhase::Queued, AttemptPhase::NotRun);
    }

    /// Returns the attempt's phase. An attempt that is queued or unknown gets a tombstone first,
    /// so that it never starts.
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

    /// Returns a listener that is notified when the queued attempt gets a tombstone, or `None` if
    /// the attempt is unknown.
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
