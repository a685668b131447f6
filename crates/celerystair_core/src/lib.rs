//! What every crate of celerystair shares: identifiers, time, typed refusals,
//! rendezvous order and the stop signal.
//!
//! | module | holds |
//! |---|---|
//! | [`collections`] | hash maps and sets with a fast hasher |
//! | [`hybrid`] | hybrid logical time, which orders events over processes |
//! | [`ids`] | newtypes for names and numbers |
//! | [`rendezvous`] | the order in which instances are tried for a key |
//! | [`refusal`] | why a request was refused, and whether it ran |
//! | [`stop`] | the signal of a planned stop |
//! | [`time`] | wall time, monotonic time and deadlines |

pub mod collections;
pub mod hybrid;
pub mod ids;
pub mod refusal;
pub mod rendezvous;
pub mod stop;
pub mod time;

/// The types that almost every module needs.
pub mod prelude {
    pub use crate::{
        collections::{HashMap, HashSet},
        hybrid::HybridClock,
        ids::{
            AttemptId, FailureDomain, InstanceId, KindName, ModelName, ModelRef, OrganisationName,
            RequestId, ServiceName, UpstreamId,
        },
        refusal::{Refusal, RefusalReason, RunState},
        stop::Stop,
        time::{now_unix_ms, sleep_ms, sleep_until_unix_ms},
    };
}
