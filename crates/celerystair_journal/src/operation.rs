//! Changes to a shard. Each can be applied again to a newer copy of the shard, and gives the
//! same result where it had taken effect already.

use async_channel::Sender;
use celerystair_core::prelude::*;

use crate::{
    entry::{CallKey, EntryState, JournalEntry, RECORDED_MAX_BYTES, SHARD_MAX_BYTES, ShardObject},
    journal::{ClaimOutcome, JournalError},
};

/// One change that waits to be written.
pub(crate) struct Operation {
    /// What is to change.
    pub change: Change,
    /// Who waits for the result; closed once nobody does.
    pub reply: Sender<Result<ClaimOutcome, JournalError>>,
    /// Whether a write that holds it may have taken effect.
    pub maybe_written: bool,
    /// When trying to write it ends.
    pub deadline_unix_ms: u64,
}

/// What is to change.
pub(crate) enum Change {
    /// Add the entry, unless its key is known.
    Claim(JournalEntry),
    /// Set the state of the entry that this attempt claimed.
    Record(CallKey, AttemptId, EntryState),
    /// Remove the entry that this attempt claimed; it never ran.
    Release(CallKey, AttemptId),
}

/// Room that is made beyond what is needed, where answers are dropped.
const ROOM_BYTES: usize = 16 << 10;

/// A shard to which a batch of changes is applied, and its size as it would be written. The size
/// is kept along: to write out a shard that is nearly full for each change takes milliseconds.
pub(crate) struct Draft {
    /// The shard.
    pub object: ShardObject,
    size_bytes: usize,
}

impl Draft {
    /// A draft that starts from `object`.
    pub(crate) fn new(object: ShardObject) -> Self {
        Self {
            size_bytes: object.size_bytes(),
            object,
        }
    }

    /// The shard as it is to be written. An outcome never takes it past its limit, or no change to
    /// it could be written any more: with every answer dropped, it is no larger than when its last
    /// key was claimed.
    pub(crate) fn finish(mut self) -> ShardObject {
        self.make_room();
        self.object
    }

    /// Makes room if the shard has grown past its limit; false if there is none to be made.
    fn make_room(&mut self) -> bool {
        let over_bytes = self.size_bytes.saturating_sub(SHARD_MAX_BYTES);
        if over_bytes > 0 {
            // Some more than is needed, since it takes a pass over all answers.
            self.size_bytes -= self
                .object
                .drop_answers(over_bytes, over_bytes + ROOM_BYTES);
        }
        self.size_bytes <= SHARD_MAX_BYTES
    }
}

/// What a change came to.
pub(crate) struct Applied {
    /// For who waits.
    pub result: Result<ClaimOutcome, JournalError>,
    /// Whether the shard is different now.
    pub changed: bool,
}

impl Operation {
    /// Whether it still is to be written. A claim that nobody waits for, and that may have been
    /// written, turns into its release.
    pub(crate) fn is_wanted(&mut self, now_unix_ms: u64) -> bool {
        let Change::Claim(entry) = &self.change else {
            return now_unix_ms < self.deadline_unix_ms;
        };
        let given_up = self.reply.is_closed() || now_unix_ms >= self.deadline_unix_ms;
        if given_up && self.maybe_written {
            self.deadline_unix_ms = entry.forget_unix_ms;
            self.change = Change::Release(entry.key.clone(), entry.attempt.clone());
            return true;
        }
        !given_up
    }
}

/// Applies `change` to `draft`.
pub(crate) fn apply(draft: &mut Draft, change: &Change) -> Applied {
    match change {
        Change::Claim(entry) => claim(draft, entry),
        Change::Record(key, attempt, state) => done(record(draft, key, attempt, state)),
        Change::Release(key, attempt) => {
            let entries = &mut draft.object.entries;
            let found = entries
                .iter()
                .position(|e| e.key == *key && e.attempt == *attempt);
            if let Some(index) = found {
                draft.size_bytes -= entries.remove(index).size_bytes();
            }
            done(found.is_some())
        }
    }
}

/// Sets the state of the entry that the attempt claimed; whether anything has changed.
fn record(draft: &mut Draft, key: &CallKey, attempt: &AttemptId, state: &EntryState) -> bool {
    let mut owned = draft.object.entries.iter_mut();
    let owned = owned.find(|entry| entry.key == *key && entry.attempt == *attempt);
    let Some(entry) = owned else {
        return false;
    };
    let kept = if state.size_bytes() <= RECORDED_MAX_BYTES {
        state
    } else {
        &EntryState::Unknown
    };
    if entry.state == *kept {
        return false;
    }
    draft.size_bytes -= entry.state.size_bytes();
    entry.state = kept.clone();
    draft.size_bytes += entry.state.size_bytes();
    true
}

fn done(changed: bool) -> Applied {
    Applied {
        result: Ok(ClaimOutcome::Granted),
        changed,
    }
}

fn claim(draft: &mut Draft, entry: &JournalEntry) -> Applied {
    let unchanged = |result| Applied {
        result,
        changed: false,
    };
    if let Some(known) = draft.object.find(&entry.key) {
        // An own entry is that of a write whose answer was lost.
        return unchanged(Ok(if known.attempt == entry.attempt {
            ClaimOutcome::Granted
        } else if known.fingerprint == entry.fingerprint {
            ClaimOutcome::AlreadyClaimed(Box::new(known.clone()))
        } else {
            ClaimOutcome::KeyReused
        }));
    }
    draft.object.entries.push(entry.clone());
    draft.size_bytes += entry.size_bytes();
    if draft.make_room() {
        return done(true);
    }
    draft.object.entries.pop();
    draft.size_bytes -= entry.size_bytes();
    let next_expiry_unix_ms = draft.object.next_expiry_unix_ms();
    unchanged(Err(JournalError::Full {
        next_expiry_unix_ms,
    }))
}
