//! What the platform's store remembers of requests, so that no process has to: calls that may
//! not be repeated, and requests that crash upstreams. See `docs/AT_MOST_ONCE.md`.
//!
//! | module | holds |
//! |---|---|
//! | [`entry`] | keys, entries and the object of one shard |
//! | [`journal`] | claiming a key, recording its outcome, looking it up |
//! | [`operation`] | changes to a shard, applied to a copy of it |
//! | [`suspects`] | requests that were running when an upstream crashed |
//! | [`writer`] | the task that writes one shard, many changes at a time |

pub mod entry;
pub mod journal;
pub mod operation;
pub mod suspects;
pub mod writer;

/// The types that agents and routers need.
pub mod prelude {
    pub use crate::{
        entry::{CallKey, EntryState, JournalEntry, RecordedAnswer, shard_of},
        journal::{ClaimOutcome, Journal, JournalError},
        suspects::{SUSPECTS, SuspectObject},
    };
}
