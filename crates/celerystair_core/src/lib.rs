//! Types shared by all crates of celerystair: identifiers, time, typed refusals, rendezvous
//! hashing and the shutdown signal.
//!
//! | module | contents |
//! |---|---|
//! | [`collections`] | hash maps and sets with a fast hasher |
//! | [`hybrid`] | hybrid logical time, which orders events across processes |
//! | [`ids`] | newtypes for names and identifiers |
//! | [`rendezvous`] | rendezvous hashing, which ranks nodes for a key |
//! | [`refusal`] | why a request was refused and whether it may have been executed |
//! | [`stop`] | the graceful-shutdown signal |
//! | [`time`] | wall time, monotonic time and deadlines |

pub mod collections;
pub mod hybrid;
pub mod ids;
pub mod refusal;
pub mod rendezvous;
pub mod stop;
pub mod time;

/// Commonly used types and functions.
pub mod prelude {
    pub use crate::{
        collections::{HashMap, HashSet},
        hybrid::HybridClock,
        ids::{
            AttemptId, FailureDomain, InstanceId, KindName, ModelName, ModelRef, OrganisationName,
            RequestId, ServiceName, SoftwareVersion, UpstreamId,
        },
        refusal::{Refusal, RefusalReason, RunState},
        stop::Stop,
        time::{now_unix_ms, sleep_ms, sleep_until_unix_ms},
    };
}
