//! The revision of the fleet's configuration that this process has in force.

use std::{
    cell::{Cell, RefCell},
    pin::pin,
    rc::Rc,
};

use celerystair_core::prelude::*;
use celerystair_platform::{objects::CONFIG_HEAD_KEY, prelude::*};
use event_listener::{Event, EventListener};
use futures_util::future::select;
use serde_json::Value;
use thiserror::Error;

use crate::{change::FieldProblem, fleet::FleetDocument, queries::check_document::check_document};

/// How often a process that leaves the watch to others reads the store itself.
const READ_INTERVAL_MS: u64 = 60_000;
/// A watch that has missed a change is found out by a plain read this long after the last.
const WATCH_REREAD_MS: u64 = 120_000;
/// How long changes gather before the watch is renewed.
const WATCH_GATHER_MS: u64 = 100;

/// Why a document was not put in force; the earlier one stays.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum DocumentRefusal {
    /// It fails the check.
    #[error("revision {revision} fails the check: {problems:?}")]
    BadFields {
        /// Its revision.
        revision: u64,
        /// What is wrong.
        problems: Vec<FieldProblem>,
    },
    /// It is not what this version of the program reads.
    #[error("a document can't be read: {detail}")]
    Unreadable {
        /// The parser's reason.
        detail: String,
    },
}

/// The configuration in force here, shared by the tasks of a thread. Its revision only rises.
#[derive(Clone, Default)]
pub struct FleetConfig {
    inner: Rc<Inner>,
}

#[derive(Default)]
struct Inner {
    document: RefCell<Rc<FleetDocument>>,
    highest_peer_revision: Cell<u64>,
    refused_revision: Cell<u64>,
    known: Cell<bool>,
    refusal: RefCell<Option<DocumentRefusal>>,
    changed: Event,
}

impl FleetConfig {
    /// Starts to follow `config/head` until `stop` ends. While `watches` says no, the store is
    /// read seldom, and changes come from peers.
    pub fn start(store: &Store, watches: impl Fn() -> bool + 'static, stop: &Stop) -> Self {
        let config = Self::default();
        let (task, store, stop) = (config.clone(), store.clone(), stop.clone());
        compio::runtime::spawn(async move { follow(&task, &store, watches, &stop).await }).detach();
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

    /// Puts `document` in force if its revision is higher and it passes the check; says
    /// whether it was.
    pub fn apply(&self, document: Rc<FleetDocument>) -> bool {
        if document.revision <= self.revision() {
            return false;
        }
        let problems = check_document(&document);
        if !problems.is_empty() {
            self.note_refused(document.revision);
            self.refuse(DocumentRefusal::BadFields {
                revision: document.revision,
                problems,
            });
            return false;
        }
        *self.inner.document.borrow_mut() = document;
        self.inner.known.set(true);
        self.inner.changed.notify(usize::MAX);
        true
    }

    /// Notes that a peer has `revision` in force, so that a higher one can be fetched.
    pub fn record_peer_revision(&self, revision: u64) {
        if revision > self.inner.highest_peer_revision.get() {
            self.inner.highest_peer_revision.set(revision);
            self.inner.changed.notify(usize::MAX);
        }
    }

    /// The highest revision that a peer has reported.
    pub fn highest_peer_revision(&self) -> u64 {
        self.inner.highest_peer_revision.get()
    }

    /// The highest revision that this process can't put in force; there is no use in fetching it
    /// again.
    pub fn refused_revision(&self) -> u64 {
        self.inner.refused_revision.get()
    }

    fn note_refused(&self, revision: u64) {
        let refused = self.inner.refused_revision.get().max(revision);
        self.inner.refused_revision.set(refused);
    }

    /// Puts the document in force that a peer has sent as JSON.
    pub fn apply_json(&self, json: &[u8]) -> bool {
        match serde_json::from_slice::<FleetDocument>(json) {
            Ok(document) => self.apply(Rc::new(document)),
            Err(error) => {
                let value = serde_json::from_slice::<Value>(json).unwrap_or_default();
                self.note_refused(value["revision"].as_u64().unwrap_or_default());
                self.refuse(DocumentRefusal::Unreadable {
                    detail: error.to_string(),
                });
                false
            }
        }
    }

    /// Why the last document that came was not put in force, once for each reason.
    pub fn take_refusal(&self) -> Option<DocumentRefusal> {
        self.inner.refusal.borrow_mut().take()
    }

    fn refuse(&self, refusal: DocumentRefusal) {
        *self.inner.refusal.borrow_mut() = Some(refusal);
        self.inner.changed.notify(usize::MAX);
    }

    fn apply_object(&self, object: &Object) -> Result<(), StoreError> {
        match object.read::<FleetDocument>() {
            Ok(document) => {
                self.apply(Rc::new(document));
                Ok(())
            }
            Err(error) => {
                self.note_refused(object.value["revision"].as_u64().unwrap_or_default());
                self.refuse(DocumentRefusal::Unreadable {
                    detail: error.to_string(),
                });
                Err(error)
            }
        }
    }

    /// Whether the store or a peer has said what is in force. A process that has just started
    /// serves nothing before: what it would assume may have been changed long ago.
    pub fn is_known(&self) -> bool {
        self.inner.known.get()
    }

    /// Returns once [`is_known`](Self::is_known) holds.
    pub async fn wait_until_known(&self) {
        loop {
            let changed = self.listen();
            if self.is_known() {
                return;
            }
            changed.await;
        }
    }

    /// Returns once [`is_known`](Self::is_known) holds or a stop has begun.
    pub async fn wait_until_known_or_draining(&self, stop: &Stop) {
        select(pin!(self.wait_until_known()), pin!(stop.draining())).await;
    }

    /// Notes that the store has no document, so that the built-in defaults are in force.
    fn note_absent(&self) {
        self.inner.known.set(true);
        self.inner.changed.notify(usize::MAX);
    }

    /// Wakes when the revision in force, or the one heard of, rises.
    pub fn listen(&self) -> EventListener {
        self.inner.changed.listen()
    }
}

async fn follow(config: &FleetConfig, store: &Store, watches: impl Fn() -> bool, stop: &Stop) {
    let mut backoff = Backoff::default();
    let mut after = 0;
    let mut reread_unix_ms = 0;
    while !stop.is_ended() {
        let is_due = now_unix_ms() >= reread_unix_ms;
        let result = if is_due {
            read(config, store).await
        } else if watches() {
            watch(config, store, after).await
        } else {
            rest(stop).await;
            reread_unix_ms = 0;
            continue;
        };
        match result {
            Ok(revision) => {
                after = revision.max(after);
                backoff.reset();
                if is_due {
                    reread_unix_ms = now_unix_ms() + WATCH_REREAD_MS;
                } else {
                    sleep_ms(rand::random_range(WATCH_GATHER_MS / 2..=WATCH_GATHER_MS)).await;
                }
            }
            Err(_) => backoff.wait().await,
        }
    }
}

async fn rest(stop: &Stop) {
    let interval_ms = rand::random_range(READ_INTERVAL_MS / 2..=READ_INTERVAL_MS);
    select(pin!(sleep_ms(interval_ms)), pin!(stop.ended())).await;
}

async fn read(config: &FleetConfig, store: &Store) -> Result<u64, StoreError> {
    let list = store.list(CONFIG_HEAD_KEY).await?;
    let head = list
        .objects
        .iter()
        .find(|object| object.key == CONFIG_HEAD_KEY);
    match head {
        Some(object) => config.apply_object(object)?,
        None => config.note_absent(),
    }
    Ok(list.revision)
}

async fn watch(config: &FleetConfig, store: &Store, after: u64) -> Result<u64, StoreError> {
    let reply = store.watch(CONFIG_HEAD_KEY, after).await?;
    if reply.too_old {
        return read(config, store).await;
    }
    for object in &reply.objects {
        if object.key == CONFIG_HEAD_KEY {
            config.apply_object(object)?;
        }
    }
    Ok(reply.revision)
}
