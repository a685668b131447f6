//! Keys, entries and the stored object of a shard.

use celerystair_core::{prelude::*, rendezvous::fingerprint};
use serde::{Deserialize, Serialize};

/// Prefix of the shards' store keys; the shard's number follows.
pub const JOURNAL_KEY_PREFIX: &str = "journal/";
/// Number of shards. It must be the same in all processes, or they would not find each other's
/// entries.
pub const SHARD_COUNT: u64 = 256;
/// Maximum size of a shard, which leaves a margin below the store's limit of one megabyte.
pub const SHARD_MAX_BYTES: usize = 900_000;
/// The largest response body that is kept for callers that repeat a call.
pub const RECORDED_BODY_MAX_BYTES: usize = 4096;
/// The largest outcome that is kept, in serialised bytes. It bounds what the body's limit doesn't:
/// JSON escapes can turn one byte into six, and the upstream may send a content type of any length.
pub const RECORDED_MAX_BYTES: usize = 2 * RECORDED_BODY_MAX_BYTES;

/// An idempotency key, scoped to its organisation.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct CallKey {
    /// The organisation that sent the call.
    pub organisation: OrganisationName,
    /// The key as the caller sent it.
    pub key: String,
}

/// Returns the number of the shard that holds `key`.
pub fn shard_of(key: &CallKey) -> u64 {
    let mut hash_input = key.organisation.as_bytes().to_vec();
    hash_input.push(0);
    hash_input.extend_from_slice(key.key.as_bytes());
    fingerprint(&hash_input) % SHARD_COUNT
}

/// A recorded response, returned to callers that repeat the call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordedAnswer {
    /// HTTP status.
    pub status: u32,
    /// Content type of the body.
    pub content_type: String,
    /// The body, as text.
    pub body: String,
}

/// The state of the call with a key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryState {
    /// The call may be sent to the upstream at any moment, or has been sent.
    Started,
    /// The call ran, with this response.
    Done(RecordedAnswer),
    /// The call may have run, and its response is lost or too large to keep.
    Unknown,
}

impl EntryState {
    /// Returns the serialised size in bytes. `Unknown` takes no more than `Started`.
    pub fn size_bytes(&self) -> usize {
        json_bytes(self)
    }
}

/// Returns the size of `value` as JSON, with escapes.
fn json_bytes(value: &impl Serialize) -> usize {
    serde_json::to_vec(value).map_or(usize::MAX / 2, |json| json.len())
}

/// The record of one key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JournalEntry {
    /// The idempotency key.
    pub key: CallKey,
    /// A hash of the request, which detects a different request with the same key.
    pub fingerprint: u64,
    /// The attempt that claimed the key, and the only one that may run.
    pub attempt: AttemptId,
    /// The upstream whose agent runs the attempt.
    pub upstream: UpstreamId,
    /// The incarnation of that agent.
    #[serde(rename = "life")]
    pub incarnation: String,
    /// The state of the call.
    pub state: EntryState,
    /// When the entry expires and may be removed.
    pub forget_unix_ms: u64,
}

/// The stored object at `journal/<shard>`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ShardObject {
    /// Entries, oldest first.
    pub entries: Vec<JournalEntry>,
}

impl JournalEntry {
    /// Returns the serialised size in bytes, including the comma that separates entries.
    pub fn size_bytes(&self) -> usize {
        json_bytes(self) + 1
    }
}

impl ShardObject {
    /// Returns the entry of `key`.
    pub fn find(&self, key: &CallKey) -> Option<&JournalEntry> {
        self.entries.iter().find(|entry| entry.key == *key)
    }

    /// Returns the serialised size in bytes.
    pub fn size_bytes(&self) -> usize {
        json_bytes(self)
    }

    /// Removes expired entries.
    pub fn remove_expired(&mut self, now_unix_ms: u64) {
        self.entries
            .retain(|entry| entry.forget_unix_ms > now_unix_ms);
    }

    /// Drops recorded responses, oldest first, until at least `wanted_bytes` are freed; returns the
    /// number of bytes freed. Drops none if all together would free less than `needed_bytes`.
    /// Entries are never removed to free space, because their calls could then run again.
    pub fn drop_responses(&mut self, needed_bytes: usize, wanted_bytes: usize) -> usize {
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
        let mut freed_bytes = 0;
        for entry in &mut self.entries {
            if freed_bytes >= wanted_bytes {
                break;
            }
            if let EntryState::Done(_) = &entry.state {
                freed_bytes += entry.state.size_bytes() - unknown_bytes;
                entry.state = EntryState::Unknown;
            }
        }
        freed_bytes
    }

    /// Returns the earliest expiry of the entries; 0 if there are none.
    pub fn next_expiry_unix_ms(&self) -> u64 {
        let times = self.entries.iter().map(|entry| entry.forget_unix_ms);
        times.min().unwrap_or_default()
    }
}
