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

/// An idempotency key; each firm has keys of its own.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct CallKey {
    /// The firm.
    pub firm: FirmName,
    /// The key that the caller chose.
    pub key: String,
}

/// The shard that holds `key`.
pub fn shard_of(key: &CallKey) -> u64 {
    let mut identity = key.firm.as_bytes().to_vec();
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
    pub life: String,
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

impl ShardObject {
    /// The entry of `key`.
    pub fn find(&self, key: &CallKey) -> Option<&JournalEntry> {
        self.entries.iter().find(|entry| entry.key == *key)
    }

    /// The size of the object as it is written.
    pub fn size_bytes(&self) -> usize {
        serde_json::to_vec(self).map_or(usize::MAX, |json| json.len())
    }

    /// Drops entries that may be forgotten.
    pub fn forget(&mut self, now_unix_ms: u64) {
        self.entries
            .retain(|entry| entry.forget_unix_ms > now_unix_ms);
    }

    /// Drops recorded answers, oldest first, until the object is no larger than `max_bytes`;
    /// false if it still is. An entry itself is never dropped for room: its call could run again.
    pub fn shrink(&mut self, max_bytes: usize) -> bool {
        let mut size_bytes = self.size_bytes();
        for entry in &mut self.entries {
            if size_bytes <= max_bytes {
                break;
            }
            if let EntryState::Done(answer) = &entry.state {
                size_bytes = size_bytes.saturating_sub(answer.body.len());
                entry.state = EntryState::Unknown;
            }
        }
        size_bytes <= max_bytes
    }
}
