//! Client of the platform: its object API and its lagging list of instances.
//!
//! | module | holds |
//! |---|---|
//! | [`backoff`] | waiting between tries, with jitter |
//! | [`dialect`] | how calls are written and answers read |
//! | [`error`] | failures, with "failed" kept apart from "unknown" |
//! | [`fleet_source`] | where the fleet's configuration and upstreams are read on other platforms |
//! | [`instances`] | the list of live and leaving instances, and what it showed before |
//! | [`mirror`] | a prefix of objects, kept current by a watch |
//! | [`objects`] | the kinds of objects that the system keeps |
//! | [`pacer`] | what a process may call, by priority |
//! | [`shared`] | what processes hand on to one another of the platform's objects and list |
//! | [`store`] | one place for all calls to the object API |
//!
//! What an operator does when the platform is down: `docs/STORE.md`.

pub mod backoff;
pub mod dialect;
pub mod error;
pub mod fleet_source;
pub mod instances;
pub mod mirror;
pub mod objects;
pub mod pacer;
pub mod shared;
pub mod store;

/// The types that a user of the platform needs.
pub mod prelude {
    pub use crate::{
        backoff::Backoff,
        dialect::{ListPage, StoreDialect, WireCall},
        error::StoreError,
        fleet_source::FleetSource,
        instances::{InstanceEntry, InstanceState, Instances},
        mirror::Mirror,
        objects::{AgentObject, ModelObject, PlacementObject, ServiceObject, SlotObject},
        pacer::{CallCounts, CallPriority},
        shared::{SharedItem, SharedItems, SharedPosition},
        store::{
            Expected, Object, ObjectList, Store, StoreAvailability, StoreSettings, WatchReply,
        },
    };
}
