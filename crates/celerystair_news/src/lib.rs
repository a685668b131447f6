//! What routers and the agents of engines tell one another: small datagrams, sent on a change and
//! at a floor rate. One that is lost is made good by the next, and none is waited for; the age of
//! what was heard is part of each decision. Between failure domains it goes to one agent, which
//! tells its own domain.
//!
//! | module | holds |
//! |---|---|
//! | [`demand`] | what routers tell of demand, summed by agents |
//! | [`engines`] | what agents tell of their engines |
//! | [`socket`] | sending and receiving |
//!
//! Why datagrams, and what they cost: `docs/PLATFORM.md`.

pub mod demand;
pub mod engines;
pub mod socket;

/// The types that a process needs.
pub mod prelude {
    pub use crate::{
        demand::{DemandBoard, RouterDemand},
        engines::{EngineStatus, EngineStatusTable},
        socket::{GossipMessage, GossipSocket, ReceivedGossip},
    };
}
