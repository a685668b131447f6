//! Changes to a shard. Each can be applied again to a newer copy of the shard, and gives the
//! same result where it had taken effect already.

use async_channel::Sender;
use celerystair_core::prelude::*;

use crate::{
    entry::{CallKey, EntryState, JournalEntry, SHARD_MAX_BYTES, ShardObject},
    journal::{Claimed, JournalError},
};

/// One change that waits to be written.
pub(crate) struct Operation {
    /// What is to change.
    pub change: Change,
    /// Who waits for the result; closed once nobody does.
    pub reply: Sender<Result<Claimed, JournalError>>,
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

/// What a change came to.
pub(crate) struct Applied {
    /// For who waits.
    pub result: Result<Claimed, JournalError>,
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

/// Applies `change` to `shard`.
pub(crate) fn apply(shard: &mut ShardObject, change: &Change) -> Applied {
    match change {
        Change::Claim(entry) => claim(shard, entry),
        Change::Record(key, attempt, state) => {
            let owned = shard.entries.iter_mut();
            let mut owned = owned.filter(|entry| entry.key == *key && entry.attempt == *attempt);
            let changed = owned.next().is_some_and(|entry| {
                let changed = entry.state != *state;
                entry.state = state.clone();
                changed
            });
            done(changed)
        }
        Change::Release(key, attempt) => {
            let before = shard.entries.len();
            shard
                .entries
                .retain(|entry| entry.key != *key || entry.attempt != *attempt);
            done(shard.entries.len() != before)
        }
    }
}

fn done(changed: bool) -> Applied {
    Applied {
        result: Ok(Claimed::Granted),
        changed,
    }
}

fn claim(shard: &mut ShardObject, entry: &JournalEntry) -> Applied {
    let unchanged = |result| Applied {
        result,
        changed: false,
    };
    if let Some(known) = shard.find(&entry.key) {
        // An own entry is that of a write whose answer was lost.
        return unchanged(Ok(if known.attempt == entry.attempt {
            Claimed::Granted
        } else if known.fingerprint == entry.fingerprint {
            Claimed::Known(Box::new(known.clone()))
        } else {
            Claimed::KeyReused
        }));
    }
    shard.entries.push(entry.clone());
    if shard.shrink(SHARD_MAX_BYTES) {
        return done(true);
    }
    shard.entries.pop();
    unchanged(Err(JournalError::Full))
}
