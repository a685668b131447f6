//! Writing changes to the store. Changes that wait together go out with one conditional
//! write, each with a revision and an outcome of its own: while operators race one another,
//! writes grow with the number of routers they ask and not with the number of edits.

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

/// Changes that go out with one write at most.
const GROUP_MAX: usize = 512;
const WAITING_MAX: usize = 4096;
const RETRY_MIN_MS: u64 = 5;
const RETRY_MAX_MS: u64 = 400;

/// A change that was accepted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Accepted {
    /// The revision that it made.
    pub revision: u64,
    /// Whether an earlier try of the same change had been accepted.
    pub already: bool,
}

/// Why a change is not known to be accepted.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum WriteError {
    /// The store could not be reached in time; nothing was written.
    #[error("the store could not be reached in time; nothing was written")]
    NotWritten,
    /// The change is refused.
    #[error(transparent)]
    Refused(#[from] EditError),
    /// Too many changes wait already; nothing was written.
    #[error("too many changes wait already; nothing was written")]
    TooMany,
    /// The answer was lost: the change may be in force. Send it again under its id.
    #[error("the change may be in force; send it again under the same id")]
    Unknown,
}

/// Writes changes to the store, one group after another; cheap to clone within its thread.
#[derive(Clone)]
pub struct ConfigWriter {
    waiting: async_channel::Sender<Waiting>,
}

struct Waiting {
    change: ChangeRequest,
    deadline_unix_ms: u64,
    reply: async_channel::Sender<Result<Accepted, WriteError>>,
    /// A write with this change was sent, and its answer was lost.
    may_be_written: bool,
    /// What speaks against it, as far as an answer of the store that may be old can tell.
    refusal: Option<EditError>,
}

impl Waiting {
    fn answer(&self, result: Result<Accepted, WriteError>) {
        self.reply.try_send(result).ok();
    }

    fn give_up(&self) {
        let error = match &self.refusal {
            _ if self.may_be_written => WriteError::Unknown,
            Some(refusal) => WriteError::Refused(refusal.clone()),
            None => WriteError::NotWritten,
        };
        self.answer(Err(error));
    }
}

impl ConfigWriter {
    /// Starts the task that writes, until `stop` ends.
    pub fn start(store: &Store, config: &FleetConfig, stop: &Stop) -> Self {
        let (send, waiting) = async_channel::bounded::<Waiting>(WAITING_MAX);
        let (store, config, stop) = (store.clone(), config.clone(), stop.clone());
        compio::runtime::spawn(async move {
            while let Ok(first) = waiting.recv().await {
                let mut group = vec![first];
                while group.len() < GROUP_MAX
                    && let Ok(next) = waiting.try_recv()
                {
                    group.push(next);
                }
                write_group(&store, &config, group, &stop).await;
            }
        })
        .detach();
        Self { waiting: send }
    }

    /// Asks for `change`; returns once its outcome is known or `deadline_unix_ms` has come.
    pub async fn write(
        &self,
        change: ChangeRequest,
        deadline_unix_ms: u64,
    ) -> Result<Accepted, WriteError> {
        let (reply, answer) = async_channel::bounded(1);
        let waiting = Waiting {
            change,
            deadline_unix_ms,
            reply,
            may_be_written: false,
            refusal: None,
        };
        if self.waiting.try_send(waiting).is_err() {
            return Err(WriteError::TooMany);
        }
        answer.recv().await.unwrap_or(Err(WriteError::Unknown))
    }
}

/// Tries until each change of the group has its outcome or its deadline.
async fn write_group(store: &Store, config: &FleetConfig, mut group: Vec<Waiting>, stop: &Stop) {
    let mut retry_ms = RETRY_MIN_MS;
    loop {
        let now = now_unix_ms();
        group.retain(|waiting| {
            let is_over = waiting.deadline_unix_ms <= now || stop.is_ended();
            if is_over {
                waiting.give_up();
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

/// One read and one conditional write; says whether every change has its outcome.
async fn try_group(store: &Store, config: &FleetConfig, group: &mut Vec<Waiting>) -> bool {
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
            for (waiting, revision) in pending {
                waiting.answer(Ok(Accepted {
                    revision,
                    already: false,
                }));
            }
            return group.is_empty();
        }
        Err(StoreError::OutcomeUnknown { .. }) => {
            for (waiting, _) in &mut pending {
                waiting.may_be_written = true;
            }
        }
        Err(_) => {}
    }
    group.extend(pending.into_iter().map(|(waiting, _)| waiting));
    false
}

/// The document as the store has it; `None` if it can't be read, or if the answer is older
/// than what is known to be accepted.
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

/// Applies each change of the group that can be; the others are answered, or stay in `group`
/// if the document may be too old to judge them by.
fn apply_group(
    mut document: FleetDocument,
    group: &mut Vec<Waiting>,
    config: &FleetConfig,
) -> (FleetDocument, Vec<(Waiting, u64)>) {
    let mut pending = Vec::new();
    let mut unjudged = Vec::new();
    config.apply(Rc::new(document.clone()));
    for waiting in group.drain(..) {
        match apply_change(&document, &waiting.change, now_unix_ms()) {
            Ok(Applied::NewRevision(next)) => {
                document = *next;
                pending.push((waiting, document.revision));
            }
            Ok(Applied::AlreadyAccepted(revision)) => {
                // A twin in this group is not written yet; it is judged by the next read.
                if pending.iter().any(|(_, written)| *written == revision) {
                    unjudged.push(waiting);
                } else {
                    waiting.answer(Ok(Accepted {
                        revision,
                        already: true,
                    }));
                }
            }
            // Judged by an old answer, or by changes of this group that may not be accepted.
            Err(error)
                if matches!(error, EditError::UnknownRevision { .. }) || !pending.is_empty() =>
            {
                let refusal = matches!(error, EditError::UnknownRevision { .. }).then_some(error);
                unjudged.push(Waiting { refusal, ..waiting });
            }
            Err(error) => waiting.answer(Err(error.into())),
        }
    }
    *group = unjudged;
    (document, pending)
}
