//! The revision of the fleet's configuration that this process has in force.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use celerystair_core::prelude::*;
use celerystair_platform::{objects::CONFIG_HEAD, prelude::*};
use event_listener::{Event, EventListener};

use crate::fleet::FleetDocument;

/// The configuration in force here, shared by the tasks of a thread. Its revision only rises.
#[derive(Clone, Default)]
pub struct FleetConfig {
    inner: Rc<Inner>,
}

#[derive(Default)]
struct Inner {
    document: RefCell<Rc<FleetDocument>>,
    heard_revision: Cell<u64>,
    changed: Event,
}

impl FleetConfig {
    /// Starts to follow `config/head` until `stop` ends.
    pub fn start(store: &Store, stop: &Stop) -> Self {
        let config = Self::default();
        let mirror: Mirror<FleetDocument> = Mirror::start(store, "config/", stop);
        let (task, stop) = (config.clone(), stop.clone());
        compio::runtime::spawn(async move {
            while !stop.is_ended() {
                let changed = mirror.listen();
                if let Some((_, document)) = mirror.get(&CONFIG_HEAD["config/".len()..]) {
                    task.apply(document);
                }
                changed.await;
            }
        })
        .detach();
        config
    }

    /// The document in force.
    pub fn current(&self) -> Rc<FleetDocument> {
        self.inner.document.borrow().clone()
    }

    /// The revision in force; 0 before any was read.
    pub fn revision(&self) -> u64 {
        self.inner.document.borrow().revision
    }

    /// Puts `document` in force if its revision is higher; says whether it was.
    pub fn apply(&self, document: Rc<FleetDocument>) -> bool {
        if document.revision <= self.revision() {
            return false;
        }
        *self.inner.document.borrow_mut() = document;
        self.inner.changed.notify(usize::MAX);
        true
    }

    /// Notes that a peer has `revision` in force, so that a higher one can be fetched.
    pub fn hear(&self, revision: u64) {
        if revision > self.inner.heard_revision.get() {
            self.inner.heard_revision.set(revision);
            self.inner.changed.notify(usize::MAX);
        }
    }

    /// The highest revision that a peer has reported.
    pub fn heard_revision(&self) -> u64 {
        self.inner.heard_revision.get()
    }

    /// Wakes when the revision in force, or the one heard of, rises.
    pub fn listen(&self) -> EventListener {
        self.inner.changed.listen()
    }
}
