//! Request records in the platform's store: the journal of calls that are not idempotent, and
//! requests that are suspected of crashing upstreams. See `docs/AT_MOST_ONCE.md`.
//!
//! | module | contents |
//! |---|---|
//! | [`entry`] | keys, entries and the stored object of a shard |
//! | [`journal`] | claims, outcomes and lookups of keys |
//! | [`operation`] | changes to a shard, applied to a draft of it |
//! | [`suspects`] | requests that were in flight when an upstream crashed |
//! | [`writer`] | the task that writes a shard, in batches of changes |

pub mod entry;
pub mod journal;
pub mod operation;
pub mod suspects;
pub mod writer;

/// The types that agents and routers use.
pub mod prelude {
    pub use crate::{
        entry::{CallKey, EntryState, JournalEntry, RecordedAnswer, shard_of},
        journal::{ClaimOutcome, Journal, JournalError},
        suspects::{SUSPECT_KEY_PREFIX, SuspectObject},
    };
}
