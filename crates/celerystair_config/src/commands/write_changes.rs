//! Writing changes to the store by group commit: one conditional write contains all changes that
//! are queued, each with its own revision and outcome. When many operators make changes at once,
//! the number of writes grows with the number of routers that they call and not with the number of
//! changes.

use std::rc::Rc;

use celerystair_core::prelude::*;
use celerystair_platform::{objects::CONFIG_HEAD_KEY, prelude::*};
use thiserror::Error;

use crate::{
    change::{ChangeRequest, EditError},
    commands::apply_change::{Applied, apply_change},
    fleet::FleetDocument,
    in_force::FleetConfig,
};

/// Maximum changes in one write.
const GROUP_MAX: usize = 512;
/// Maximum changes in the queue.
const QUEUE_MAX: usize = 4096;
const RETRY_MIN_MS: u64 = 5;
const RETRY_MAX_MS: u64 = 400;

/// A change that was accepted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Accepted {
    /// The revision that the change produced.
    pub revision: u64,
    /// Whether an earlier request with the same change id was accepted.
    pub was_already_accepted: bool,
}

/// Why a change was not accepted, or is not known to be.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum WriteError {
    /// The change was not written before its deadline.
    #[error("the change could not be written in time; nothing was written")]
    NotWritten,
    /// The change was refused; nothing was written.
    #[error(transparent)]
    Refused(#[from] EditError),
    /// The queue of changes is full; nothing was written.
    #[error("too many changes are queued; nothing was written")]
    QueueFull,
    /// The store's answer was lost, so the change may be in force. Sending it again under its id
    /// returns the outcome.
    #[error("the change may be in force; send it again under the same id")]
    Unknown,
}

/// Queues changes for a task that writes them to the store, one group after another. Clones share
/// the queue and are cheap.
#[derive(Clone)]
pub struct ConfigWriter {
    queue: async_channel::Sender<QueuedChange>,
}

/// A change in the queue or in the group that is being written.
struct QueuedChange {
    change: ChangeRequest,
    deadline_unix_ms: u64,
    outcome: async_channel::Sender<Result<Accepted, WriteError>>,
    /// Whether a write with this change was sent and its answer was lost.
    may_be_written: bool,
    /// Why the change would be refused, judged by a read that may be outdated; the result if no
    /// later read settles it before the deadline.
    refusal: Option<EditError>,
}

impl QueuedChange {
    fn send_outcome(&self, result: Result<Accepted, WriteError>) {
        self.outcome.try_send(result).ok();
    }

    /// Ends the change at its deadline with what is known of it.
    fn give_up(&self) {
        let error = match &self.refusal {
            _ if self.may_be_written => WriteError::Unknown,
            Some(refusal) => WriteError::Refused(refusal.clone()),
            None => WriteError::NotWritten,
        };
        self.send_outcome(Err(error));
    }
}

impl ConfigWriter {
    /// Starts the task that writes queued changes; after `stop` ends it gives up the rest.
    pub fn start(store: &Store, config: &FleetConfig, stop: &Stop) -> Self {
        let (queue, changes) = async_channel::bounded::<QueuedChange>(QUEUE_MAX);
        let (store, config, stop) = (store.clone(), config.clone(), stop.clone());
        compio::runtime::spawn(async move {
            while let Ok(first) = changes.recv().await {
                let mut group = vec![first];
                while group.len() < GROUP_MAX
                    && let Ok(next) = changes.try_recv()
                {
                    group.push(next);
                }
                write_group(&store, &config, group, &stop).await;
            }
        })
        .detach();
        Self { queue }
    }

    /// Queues `change`, and waits until its outcome is known or `deadline_unix_ms` has passed.
    pub async fn write(
        &self,
        change: ChangeRequest,
        deadline_unix_ms: u64,
    ) -> Result<Accepted, WriteError> {
        let (outcome, receiver) = async_channel::bounded(1);
        let queued = QueuedChange {
            change,
            deadline_unix_ms,
            outcome,
            may_be_written: false,
            refusal: None,
        };
        if self.queue.try_send(queued).is_err() {
            return Err(WriteError::QueueFull);
        }
        receiver.recv().await.unwrap_or(Err(WriteError::Unknown))
    }
}

/// Retries with backoff until each change of the group has its outcome or reaches its deadline.
async fn write_group(
    store: &Store,
    config: &FleetConfig,
    mut group: Vec<QueuedChange>,
    stop: &Stop,
) {
    let mut retry_ms = RETRY_MIN_MS;
    loop {
        let now = now_unix_ms();
        group.retain(|queued| {
            let is_over = queued.deadline_unix_ms <= now || stop.is_ended();
            if is_over {
                queued.give_up();
            }
            !is_over
        });
        if group.is_empty() {
            return;
        }
        if try_group(store, config, &mut group).await {
            return;
        }
        sleep_ms(rand::random_range(retry_ms / 2..=retry_ms)).await;
        retry_ms = (retry_ms * 2).min(RETRY_MAX_MS);
    }
}

/// Reads the document and writes it with the group's changes applied. Returns whether every change
/// has its outcome; the others stay in `group`.
async fn try_group(store: &Store, config: &FleetConfig, group: &mut Vec<QueuedChange>) -> bool {
    let Some((expected, head)) = read_head(store, config).await else {
        return false;
    };
    let (document, mut pending) = apply_group(head, group, config);
    if pending.is_empty() {
        return group.is_empty();
    }
    match store
        .put(CONFIG_HEAD_KEY, &document, expected, CallPriority::Normal)
        .await
    {
        Ok(_) => {
            config.apply(Rc::new(document));
            for (queued, revision) in pending {
                queued.send_outcome(Ok(Accepted {
                    revision,
                    was_already_accepted: false,
                }));
            }
            return group.is_empty();
        }
        Err(StoreError::OutcomeUnknown { .. }) => {
            for (queued, _) in &mut pending {
                queued.may_be_written = true;
            }
        }
        Err(_) => {}
    }
    group.extend(pending.into_iter().map(|(queued, _)| queued));
    false
}

/// Reads the document and the version that a conditional write must expect. Returns `None` if the
/// read fails or the document is older than the highest revision known here.
async fn read_head(store: &Store, config: &FleetConfig) -> Option<(Expected, FleetDocument)> {
    let (expected, document) = match store.get(CONFIG_HEAD_KEY).await.ok()? {
        Some(object) => (
            Expected::Version(object.version),
            object.read::<FleetDocument>().ok()?,
        ),
        None => (Expected::Absent, FleetDocument::default()),
    };
    (document.revision >= config.revision().max(config.highest_peer_revision()))
        .then_some((expected, document))
}

/// Applies the group's changes to the document. Returns the new document, and the applied changes
/// with their revisions; they still have to be written. Refused changes get their outcome, unless
/// a newer document could change it: those stay in `group`.
fn apply_group(
    mut document: FleetDocument,
    group: &mut Vec<QueuedChange>,
    config: &FleetConfig,
) -> (FleetDocument, Vec<(QueuedChange, u64)>) {
    let mut pending = Vec::new();
    let mut undecided = Vec::new();
    config.apply(Rc::new(document.clone()));
    for queued in group.drain(..) {
        match apply_change(&document, &queued.change, now_unix_ms()) {
            Ok(Applied::NewRevision(next)) => {
                document = *next;
                pending.push((queued, document.revision));
            }
            Ok(Applied::AlreadyAccepted(revision)) => {
                // The same change is in this group and not written yet; the next read decides.
                if pending.iter().any(|(_, written)| *written == revision) {
                    undecided.push(queued);
                } else {
                    queued.send_outcome(Ok(Accepted {
                        revision,
                        was_already_accepted: true,
                    }));
                }
            }
            // Not final: the document may be outdated, or the group's earlier changes may not be
            // written.
            Err(error)
                if matches!(error, EditError::UnknownRevision { .. }) || !pending.is_empty() =>
            {
                let refusal = matches!(error, EditError::UnknownRevision { .. }).then_some(error);
                undecided.push(QueuedChange { refusal, ..queued });
            }
            Err(error) => queued.send_outcome(Err(error.into())),
        }
    }
    *group = undecided;
    (document, pending)
}
