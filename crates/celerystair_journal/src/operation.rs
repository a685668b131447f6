//! Changes to a shard. Each is idempotent: applied to a newer copy of the shard in which it has
//! already taken effect, it gives the same result.

use async_channel::Sender;
use celerystair_core::prelude::*;

use crate::{
    entry::{CallKey, EntryState, JournalEntry, RECORDED_MAX_BYTES, SHARD_MAX_BYTES, ShardObject},
    journal::{ClaimOutcome, JournalError},
};

/// A change that is waiting to be written.
pub(crate) struct Operation {
    /// The change to apply.
    pub change: Change,
    /// Receives the result; closed once nobody waits for it.
    pub reply: Sender<Result<ClaimOutcome, JournalError>>,
    /// Whether a write that includes the change may have taken effect.
    pub may_be_written: bool,
    /// When the writer stops trying to write the change.
    pub deadline_unix_ms: u64,
}

/// A change to the entry of one key.
pub(crate) enum Change {
    /// Adds the entry, unless its key already has one.
    Claim(JournalEntry),
    /// Sets the state of the entry that the attempt claimed.
    Record(CallKey, AttemptId, EntryState),
    /// Removes the entry that the attempt claimed, because the attempt never ran.
    Release(CallKey, AttemptId),
}

/// Space that is freed beyond what is needed when responses are dropped, because each time takes a
/// pass over all of them.
const EXTRA_FREED_BYTES: usize = 16 << 10;

/// A copy of a shard to which a batch of changes is applied, with its serialised size. The size is
/// updated incrementally, because serialising a nearly full shard for each change takes
/// milliseconds.
pub(crate) struct Draft {
    /// The shard's content.
    pub object: ShardObject,
    size_bytes: usize,
}

impl Draft {
    /// Creates a draft that starts from `object`.
    pub(crate) fn new(object: ShardObject) -> Self {
        Self {
            size_bytes: object.size_bytes(),
            object,
        }
    }

    /// Returns the shard to write. Recorded outcomes never take it past its size limit, beyond
    /// which no change could be written any more: with all responses dropped, the shard is no
    /// larger than when its last key was claimed.
    pub(crate) fn finish(mut self) -> ShardObject {
        self.free_space();
        self.object
    }

    /// Drops responses if the shard exceeds its limit; returns whether it is within the limit then.
    fn free_space(&mut self) -> bool {
        let over_bytes = self.size_bytes.saturating_sub(SHARD_MAX_BYTES);
        if over_bytes > 0 {
            self.size_bytes -= self
                .object
                .drop_responses(over_bytes, over_bytes + EXTRA_FREED_BYTES);
        }
        self.size_bytes <= SHARD_MAX_BYTES
    }
}

/// The effect of a change on a draft.
pub(crate) struct Applied {
    /// The result for whoever waits for it.
    pub result: Result<ClaimOutcome, JournalError>,
    /// Whether the draft has changed.
    pub is_changed: bool,
}

impl Operation {
    /// Whether the operation must still be written. A claim that nobody waits for becomes a release
    /// if it may have been written.
    pub(crate) fn is_wanted(&mut self, now_unix_ms: u64) -> bool {
        let Change::Claim(entry) = &self.change else {
            return now_unix_ms < self.deadline_unix_ms;
        };
        let is_abandoned = self.reply.is_closed() || now_unix_ms >= self.deadline_unix_ms;
        if is_abandoned && self.may_be_written {
            self.deadline_unix_ms = entry.forget_unix_ms;
            self.change = Change::Release(entry.key.clone(), entry.attempt.clone());
            return true;
        }
        !is_abandoned
    }
}

/// Applies `change` to `draft`.
pub(crate) fn apply(draft: &mut Draft, change: &Change) -> Applied {
    match change {
        Change::Claim(entry) => claim(draft, entry),
        Change::Record(key, attempt, state) => granted(record(draft, key, attempt, state)),
        Change::Release(key, attempt) => {
            let entries = &mut draft.object.entries;
            let found = entries
                .iter()
                .position(|e| e.key == *key && e.attempt == *attempt);
            if let Some(index) = found {
                draft.size_bytes -= entries.remove(index).size_bytes();
            }
            granted(found.is_some())
        }
    }
}

/// Sets the state of the entry that the attempt claimed; returns whether the draft has changed. A
/// response that is too large to keep becomes [`EntryState::Unknown`].
fn record(draft: &mut Draft, key: &CallKey, attempt: &AttemptId, state: &EntryState) -> bool {
    let mut entries = draft.object.entries.iter_mut();
    let claimed = entries.find(|entry| entry.key == *key && entry.attempt == *attempt);
    let Some(entry) = claimed else {
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

fn granted(is_changed: bool) -> Applied {
    Applied {
        result: Ok(ClaimOutcome::Granted),
        is_changed,
    }
}

fn claim(draft: &mut Draft, entry: &JournalEntry) -> Applied {
    let unchanged = |result| Applied {
        result,
        is_changed: false,
    };
    if let Some(known) = draft.object.find(&entry.key) {
        // The attempt's own entry is from an earlier write whose response was lost.
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
    if draft.free_space() {
        return granted(true);
    }
    draft.object.entries.pop();
    draft.size_bytes -= entry.size_bytes();
    let next_expiry_unix_ms = draft.object.next_expiry_unix_ms();
    unchanged(Err(JournalError::Full {
        next_expiry_unix_ms,
    }))
}
