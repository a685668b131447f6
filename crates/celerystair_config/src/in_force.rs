//! The configuration document in force in this process: the one that its tasks apply. It comes
//! from the store or from a peer, and its revision never decreases.

use std::{
    cell::{Cell, RefCell},
    pin::pin,
    rc::Rc,
};

use celerystair_core::prelude::*;
use celerystair_platform::{objects::CONFIG_HEAD_KEY, prelude::*};
use event_listener::{Event, EventListener};
use futures_util::future::select;
use serde::Deserialize;
use thiserror::Error;

use crate::{change::FieldProblem, fleet::FleetDocument, queries::check_document::check_document};

/// Longest interval between store reads of a process that does not watch the store; peers send it
/// changes in between.
const READ_INTERVAL_MS: u64 = 60_000;
/// Interval of plain reads beside the watch, which find changes that the watch missed.
const WATCH_REREAD_MS: u64 = 120_000;
/// Longest delay before the next watch call, so that one reply covers several changes.
const WATCH_COALESCE_MS: u64 = 100;

/// Why a document was not put in force; the earlier document stays in force.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum DocumentRefusal {
    /// The document fails [`check_document`].
    #[error("revision {revision} fails the check: {problems:?}")]
    BadFields {
        /// The document's revision.
        revision: u64,
        /// Every invalid field.
        problems: Vec<FieldProblem>,
    },
    /// This version of the program can't parse the document.
    #[error("the configuration document can't be parsed: {detail}")]
    Unreadable {
        /// The parser's error.
        detail: String,
    },
}

/// A document that this version of the program can't parse.
#[derive(Default, Deserialize)]
#[serde(default)]
struct RefusedDocument {
    revision: u64,
}

/// The document in force in this process, shared by the tasks of a thread. Its revision never
/// decreases.
#[derive(Clone, Default)]
pub struct FleetConfig {
    inner: Rc<Inner>,
}

#[derive(Default)]
struct Inner {
    document: RefCell<Rc<FleetDocument>>,
    highest_peer_revision: Cell<u64>,
    refused_revision: Cell<u64>,
    is_known: Cell<bool>,
    refusal: RefCell<Option<DocumentRefusal>>,
    changed: Event,
}

impl FleetConfig {
    /// Starts a task that follows `config/head` until `stop` ends. While `should_watch` returns
    /// false, the task reads the store at long intervals, and changes come from peers.
    pub fn start(store: &Store, should_watch: impl Fn() -> bool + 'static, stop: &Stop) -> Self {
        let config = Self::default();
        let (task, store, stop) = (config.clone(), store.clone(), stop.clone());
        compio::runtime::spawn(
            async move { follow_store(&task, &store, should_watch, &stop).await },
        )
        .detach();
        config
    }

    /// Returns the document in force; the built-in defaults at revision 0 before any was read.
    pub fn current(&self) -> Rc<FleetDocument> {
        self.inner.document.borrow().clone()
    }

    /// Returns the revision in force; 0 before any was read.
    pub fn revision(&self) -> u64 {
        self.inner.document.borrow().revision
    }

    /// Puts `document` in force if its revision is higher and it passes [`check_document`].
    /// Returns whether it did.
    pub fn apply(&self, document: Rc<FleetDocument>) -> bool {
        if document.revision <= self.revision() {
            return false;
        }
        let problems = check_document(&document);
        if !problems.is_empty() {
            self.record_refused_revision(document.revision);
            self.set_refusal(DocumentRefusal::BadFields {
                revision: document.revision,
                problems,
            });
            return false;
        }
        *self.inner.document.borrow_mut() = document;
        self.inner.is_known.set(true);
        self.inner.changed.notify(usize::MAX);
        true
    }

    /// Records that a peer has `revision` in force, and wakes listeners if it is the highest
    /// reported so far.
    pub fn record_peer_revision(&self, revision: u64) {
        if revision > self.inner.highest_peer_revision.get() {
            self.inner.highest_peer_revision.set(revision);
            self.inner.changed.notify(usize::MAX);
        }
    }

    /// Returns the highest revision that a peer has reported.
    pub fn highest_peer_revision(&self) -> u64 {
        self.inner.highest_peer_revision.get()
    }

    /// Returns the highest revision that this process refused; fetching it again is useless.
    pub fn refused_revision(&self) -> u64 {
        self.inner.refused_revision.get()
    }

    fn record_refused_revision(&self, revision: u64) {
        let refused = self.inner.refused_revision.get().max(revision);
        self.inner.refused_revision.set(refused);
    }

    /// Parses a document that a peer sent as JSON and calls [`apply`](Self::apply).
    pub fn apply_json(&self, json: &[u8]) -> bool {
        match serde_json::from_slice::<FleetDocument>(json) {
            Ok(document) => self.apply(Rc::new(document)),
            Err(error) => {
                let refused: RefusedDocument = serde_json::from_slice(json).unwrap_or_default();
                self.record_refused_revision(refused.revision);
                self.set_refusal(DocumentRefusal::Unreadable {
                    detail: error.to_string(),
                });
                false
            }
        }
    }

    /// Takes the reason for the last refusal of a document, so that each is logged once.
    pub fn take_refusal(&self) -> Option<DocumentRefusal> {
        self.inner.refusal.borrow_mut().take()
    }

    fn set_refusal(&self, refusal: DocumentRefusal) {
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
                let refused: RefusedDocument = object.read().unwrap_or_default();
                self.record_refused_revision(refused.revision);
                self.set_refusal(DocumentRefusal::Unreadable {
                    detail: error.to_string(),
                });
                Err(error)
            }
        }
    }

    /// Returns whether the configuration was read from the store or a peer. Before that, a process
    /// serves nothing, because operators may have changed the built-in defaults.
    pub fn is_known(&self) -> bool {
        self.inner.is_known.get()
    }

    /// Waits until [`is_known`](Self::is_known) is true.
    pub async fn wait_until_known(&self) {
        loop {
            let changed = self.listen();
            if self.is_known() {
                return;
            }
            changed.await;
        }
    }

    /// Waits until [`is_known`](Self::is_known) is true or `stop` drains.
    pub async fn wait_until_known_or_draining(&self, stop: &Stop) {
        select(pin!(self.wait_until_known()), pin!(stop.draining())).await;
    }

    /// Records that the store has no document, so that the built-in defaults are in force.
    fn record_absent(&self) {
        self.inner.is_known.set(true);
        self.inner.changed.notify(usize::MAX);
    }

    /// Returns a listener that wakes when the revision in force or the highest revision of a peer
    /// rises, and when a document is refused.
    pub fn listen(&self) -> EventListener {
        self.inner.changed.listen()
    }
}

async fn follow_store(
    config: &FleetConfig,
    store: &Store,
    should_watch: impl Fn() -> bool,
    stop: &Stop,
) {
    let mut backoff = Backoff::default();
    let mut after = 0;
    let mut reread_unix_ms = 0;
    while !stop.is_ended() {
        let is_due = now_unix_ms() >= reread_unix_ms;
        let result = if is_due {
            read_head(config, store).await
        } else if should_watch() {
            watch_head(config, store, after).await
        } else {
            sleep_until_next_read(stop).await;
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
                    sleep_ms(rand::random_range(
                        WATCH_COALESCE_MS / 2..=WATCH_COALESCE_MS,
                    ))
                    .await;
                }
            }
            Err(_) => backoff.wait().await,
        }
    }
}

async fn sleep_until_next_read(stop: &Stop) {
    let interval_ms = rand::random_range(READ_INTERVAL_MS / 2..=READ_INTERVAL_MS);
    select(pin!(sleep_ms(interval_ms)), pin!(stop.ended())).await;
}

async fn read_head(config: &FleetConfig, store: &Store) -> Result<u64, StoreError> {
    let list = store.list(CONFIG_HEAD_KEY).await?;
    let head = list
        .objects
        .iter()
        .find(|object| object.key == CONFIG_HEAD_KEY);
    match head {
        Some(object) => config.apply_object(object)?,
        None => config.record_absent(),
    }
    Ok(list.revision)
}

async fn watch_head(config: &FleetConfig, store: &Store, after: u64) -> Result<u64, StoreError> {
    let reply = store.watch(CONFIG_HEAD_KEY, after).await?;
    if reply.too_old {
        return read_head(config, store).await;
    }
    for object in &reply.objects {
        if object.key == CONFIG_HEAD_KEY {
            config.apply_object(object)?;
        }
    }
    Ok(reply.revision)
}
