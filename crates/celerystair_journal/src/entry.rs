//! Keys, entries and the object of one shard.

use celerystair_core::{prelude::*, rendezvous::fingerprint};
use serde::{Deserialize, Serialize};

/// Keys of shards start with this.
pub const JOURNAL: &str = "journal/";
/// Number of shards. Processes that disagree on it would not see each other's entries.
pub const SHARDS: u64 = 256;
/// A shard is kept below this, so that it stays clear of the store's limit of a megabyte.
pub const SHARD_MAX_BYTES: usize = 900_000;
/// The largest body of an answer that is kept for callers who send again.
pub const RECORDED_BODY_MAX_BYTES: usize = 4096;
/// The largest outcome that is kept, as it is written: escapes can make six bytes of one, and the
/// type of a body is as long as its upstream likes.
pub const RECORDED_MAX_BYTES: usize = 2 * RECORDED_BODY_MAX_BYTES;

/// An idempotency key; each organisation has keys of its own.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct CallKey {
    /// The organisation.
    pub organisation: OrganisationName,
    /// The key that the caller chose.
    pub key: String,
}

/// The shard that holds `key`.
pub fn shard_of(key: &CallKey) -> u64 {
    let mut identity = key.organisation.as_bytes().to_vec();
    identity.push(0);
    identity.extend_from_slice(key.key.as_bytes());
    fingerprint(&identity) % SHARDS
}

/// An answer as it is given again.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordedAnswer {
    /// HTTP status.
    pub status: u32,
    /// Type of the body.
    pub content_type: String,
    /// The body.
    pub body: String,
}

/// How far the call under a key has come.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryState {
    /// An agent may hand it to its upstream at any moment, or has done so.
    Started,
    /// It ran, and this was the answer.
    Done(RecordedAnswer),
    /// It may have run, and its answer is lost or too large to be kept.
    Unknown,
}

impl EntryState {
    /// Its size as it is written; a call that has ended without an answer that is kept takes no
    /// more than one that was started.
    pub fn size_bytes(&self) -> usize {
        written_bytes(self)
    }
}

/// The size of `value` as it is written, escapes and all.
fn written_bytes(value: &impl Serialize) -> usize {
    serde_json::to_vec(value).map_or(usize::MAX / 2, |json| json.len())
}

/// What is known of one key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JournalEntry {
    /// The key.
    pub key: CallKey,
    /// A hash of the request, by which another request under the same key is told apart.
    pub fingerprint: u64,
    /// The only attempt that may run.
    pub attempt: AttemptId,
    /// The upstream whose agent has the attempt.
    pub upstream: UpstreamId,
    /// The life of that agent.
    #[serde(rename = "life")]
    pub incarnation: String,
    /// How far it has come.
    pub state: EntryState,
    /// From then on the key may be forgotten.
    pub forget_unix_ms: u64,
}

/// The object at `journal/<shard>`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ShardObject {
    /// Entries, oldest first.
    pub entries: Vec<JournalEntry>,
}

impl JournalEntry {
    /// Its size as it is written, with the comma.
    pub fn size_bytes(&self) -> usize {
        written_bytes(self) + 1
    }
}

impl ShardObject {
    /// The entry of `key`.
    pub fn find(&self, key: &CallKey) -> Option<&JournalEntry> {
        self.entries.iter().find(|entry| entry.key == *key)
    }

    /// The size of the object as it is written.
    pub fn size_bytes(&self) -> usize {
        written_bytes(self)
    }

    /// Drops entries that may be forgotten.
    pub fn forget(&mut self, now_unix_ms: u64) {
        self.entries
            .retain(|entry| entry.forget_unix_ms > now_unix_ms);
    }

    /// Drops recorded answers, oldest first, until the object takes `wanted_bytes` less; gives how
    /// many bytes less it takes. Drops none if all of them make less than `needed_bytes`. An entry
    /// itself is never dropped for room: its call could run again.
    pub fn drop_answers(&mut self, needed_bytes: usize, wanted_bytes: usize) -> usize {
        let done = self.entries.iter().map(|entry| &entry.state);
        let done = done.filter(|state| matches!(state, EntryState::Done(_)));
        let unknown_bytes = EntryState::Unknown.size_bytes();
        if done
            .map(|state| state.size_bytes() - unknown_bytes)
            .sum::<usize>()
            < needed_bytes
        {
            return 0;
        }
        let mut dropped_bytes = 0;
        for entry in &mut self.entries {
            if dropped_bytes >= wanted_bytes {
                break;
            }
            if let EntryState::Done(_) = &entry.state {
                dropped_bytes += entry.state.size_bytes() - unknown_bytes;
                entry.state = EntryState::Unknown;
            }
        }
        dropped_bytes
    }

    /// When the first of the entries may be forgotten; 0 if there is none.
    pub fn next_expiry_unix_ms(&self) -> u64 {
        let times = self.entries.iter().map(|entry| entry.forget_unix_ms);
        times.min().unwrap_or_default()
    }
}
