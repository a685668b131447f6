//! Client of the platform: the object API of its key-value store, and its list of instances,
//! which lags behind the actual state.
//!
//! | module | contents |
//! |---|---|
//! | [`backoff`] | exponential backoff with jitter |
//! | [`configs`] | the configuration in force, from the store or from peers |
//! | [`dialect`] | how calls are encoded and responses decoded |
//! | [`error`] | errors; calls without effect are told apart from calls of unknown outcome |
//! | [`fleet_source`] | source of configuration and upstreams on platforms with other objects |
//! | [`instances`] | the list of live and leaving instances, and which instances have left it |
//! | [`mirror`] | a local copy of the objects below a key prefix, kept current by a watch |
//! | [`objects`] | the kinds of objects that the system stores |
//! | [`pacer`] | rate limiter of the calls of a process, by priority |
//! | [`raw_json`] | the parts of a JSON text, found without reading what is in them |
//! | [`shared`] | objects and instance states that processes pass on to one another |
//! | [`store`] | the client through which all calls to the object API go |
//! | [`value_text`] | the text of an object's value, read for the members that are wanted |
//!
//! `docs/STORE.md` describes what an operator does when the platform is down.

pub mod backoff;
pub mod configs;
pub mod dialect;
pub mod error;
pub mod fleet_source;
pub mod instances;
pub mod mirror;
pub mod objects;
pub mod pacer;
pub mod raw_json;
pub mod shared;
pub mod store;
pub mod value_text;

/// The types that most users of this crate need.
pub mod prelude {
    pub use crate::{
        backoff::Backoff,
        configs::{ConfigFollower, ConfigSender},
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
        value_text::ValueText,
    };
}
