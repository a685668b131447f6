//! Claims of keys, records of their outcomes, and lookups.
//!
//! An attempt may be sent to its upstream only after its claim was granted, and a claim is granted
//! only by a conditional update of the key's shard. Safety therefore doesn't depend on which agents
//! write a shard, nor on what they know of each other.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use async_channel::Receiver;
use celerystair_core::{prelude::*, time::before_deadline};
use celerystair_platform::prelude::{Store, StoreError};
use event_listener::Event;
use thiserror::Error;

use crate::{
    entry::{CallKey, EntryState, JOURNAL_KEY_PREFIX, JournalEntry, ShardObject, shard_of},
    operation::{Change, Operation},
    writer,
};

/// The outcome of a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimOutcome {
    /// The key was new: this attempt may run, and no other attempt ever may.
    Granted,
    /// Another attempt of the same request has claimed the key.
    AlreadyClaimed(Box<JournalEntry>),
    /// The key was claimed for a different request.
    KeyReused,
}

/// The reason why a claim was not decided. The attempt must not run then.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum JournalError {
    /// The key's shard is full until entries expire.
    #[error("the journal has no space for another key")]
    Full {
        /// When the first entry of the shard expires.
        next_expiry_unix_ms: u64,
    },
    /// The store did not respond before the deadline.
    #[error(
        "the platform's store did not respond before the deadline; this request has not run, but \
         an earlier one with the same key may have"
    )]
    StoreUnavailable,
}

/// A process's handle to the journal; cheap to clone within its thread.
#[derive(Clone)]
pub struct Journal {
    pub(crate) inner: Rc<JournalInner>,
}

/// The state behind a [`Journal`].
pub(crate) struct JournalInner {
    pub store: Store,
    /// The shards that this process has written, by number.
    pub shards: RefCell<HashMap<u64, Rc<Shard>>>,
    /// Number of shards that are being written.
    pub active_writers: Cell<usize>,
    /// Notified whenever a shard's writer ends.
    pub writer_ended: Event,
}

/// A process's view of one shard.
#[derive(Default)]
pub(crate) struct Shard {
    /// Operations that wait for the next write.
    pub pending: RefCell<Vec<Operation>>,
    /// Whether a writer task is running.
    pub is_writing: Cell<bool>,
    /// The version and content of the shard as last read or written.
    pub cached: RefCell<Option<(u64, ShardObject)>>,
    /// The highest version that the store is known to have had; a read of a lower one is stale.
    pub version_min: Cell<u64>,
}

impl Journal {
    /// Creates a handle to the journal in `store`; reads nothing yet.
    pub fn new(store: &Store) -> Self {
        Self {
            inner: Rc::new(JournalInner {
                store: store.clone(),
                shards: RefCell::default(),
                active_writers: Cell::new(0),
                writer_ended: Event::new(),
            }),
        }
    }

    /// Claims the key of `entry` for its attempt. If the future is dropped before it completes, the
    /// claim is released.
    ///
    /// # Errors
    /// [`JournalError`] if the claim was not decided.
    pub async fn claim(
        &self,
        entry: JournalEntry,
        deadline_unix_ms: u64,
    ) -> Result<ClaimOutcome, JournalError> {
        let (reply, result) = async_channel::bounded(1);
        let shard = shard_of(&entry.key);
        let pending_claim = PendingClaim {
            journal: self,
            entry: entry.clone(),
            result,
        };
        self.submit(
            shard,
            Operation {
                change: Change::Claim(entry),
                reply,
                may_be_written: false,
                deadline_unix_ms,
            },
        );
        match before_deadline(deadline_unix_ms, pending_claim.result.recv()).await {
            Some(Ok(result)) => result,
            Some(Err(_)) | None => Err(JournalError::StoreUnavailable),
        }
    }

    /// Records the outcome of the call of `attempt`. Retries until it is written or the entry
    /// expires.
    pub async fn record(
        &self,
        key: &CallKey,
        attempt: &AttemptId,
        state: EntryState,
        forget_unix_ms: u64,
    ) {
        let change = Change::Record(key.clone(), attempt.clone(), state);
        self.submit_and_wait(key, change, forget_unix_ms).await;
    }

    /// Releases the claim of `attempt`, which has not run and never will, so that a repeat of the
    /// call can run.
    pub async fn release(&self, key: &CallKey, attempt: &AttemptId, forget_unix_ms: u64) {
        let change = Change::Release(key.clone(), attempt.clone());
        self.submit_and_wait(key, change, forget_unix_ms).await;
    }

    /// Reads the entry of `key` from the store.
    ///
    /// # Errors
    /// [`StoreError`] if the shard can't be read.
    pub async fn look_up(&self, key: &CallKey) -> Result<Option<JournalEntry>, StoreError> {
        let name = format!("{JOURNAL_KEY_PREFIX}{}", shard_of(key));
        let Some(object) = self.inner.store.get(&name).await? else {
            return Ok(None);
        };
        Ok(object.read::<ShardObject>()?.find(key).cloned())
    }

    /// Waits until no operation is pending.
    pub async fn flushed(&self) {
        loop {
            let writer_ended = self.inner.writer_ended.listen();
            if self.inner.active_writers.get() == 0 {
                return;
            }
            writer_ended.await;
        }
    }

    async fn submit_and_wait(&self, key: &CallKey, change: Change, deadline_unix_ms: u64) {
        let (reply, result) = async_channel::bounded(1);
        self.submit(
            shard_of(key),
            Operation {
                change,
                reply,
                may_be_written: false,
                deadline_unix_ms,
            },
        );
        result.recv().await.ok();
    }

    fn submit(&self, number: u64, operation: Operation) {
        let shard = {
            let mut shards = self.inner.shards.borrow_mut();
            shards.entry(number).or_default().clone()
        };
        shard.pending.borrow_mut().push(operation);
        if !shard.is_writing.replace(true) {
            let inner = self.inner.clone();
            inner.active_writers.set(inner.active_writers.get() + 1);
            compio::runtime::spawn(
                async move { writer::write_shard(&inner, number, &shard).await },
            )
            .detach();
        }
    }
}

/// Releases a claim on drop if it was granted but its waiter was dropped before it read the result.
struct PendingClaim<'a> {
    journal: &'a Journal,
    entry: JournalEntry,
    result: Receiver<Result<ClaimOutcome, JournalError>>,
}

impl Drop for PendingClaim<'_> {
    fn drop(&mut self) {
        if self.result.try_recv() != Ok(Ok(ClaimOutcome::Granted)) {
            return;
        }
        let (reply, _) = async_channel::bounded(1);
        self.journal.submit(
            shard_of(&self.entry.key),
            Operation {
                change: Change::Release(self.entry.key.clone(), self.entry.attempt.clone()),
                reply,
                may_be_written: false,
                deadline_unix_ms: self.entry.forget_unix_ms,
            },
        );
    }
}
