//! Gossip between routers and engine agents over UDP. A process sends a small datagram when its
//! state changes, and otherwise at a minimum rate. Datagrams are neither acknowledged nor resent:
//! each carries the complete state, so the next one replaces a lost one, and decisions take the age
//! of the last received state into account. A datagram for another failure domain goes to one agent
//! there, which relays it within that domain.
//!
//! | module | holds |
//! |---|---|
//! | [`demand`] | the demand that routers report, and its sum at an agent |
//! | [`engines`] | the engine statuses that agents report |
//! | [`stream_origins`] | where streams began: how it is sent, and who is told again |
//! | [`suspects`] | reports on requests and prompt parts that may crash upstreams, as they are sent |
//! | [`socket`] | the gossip messages and the socket that carries them |
//!
//! Why gossip uses datagrams, and what they cost: `docs/PLATFORM.md`.

pub mod demand;
pub mod engines;
pub mod socket;
pub mod stream_origins;
pub mod suspects;

/// The types that routers and agents use.
pub mod prelude {
    pub use crate::{
        demand::{DemandTable, RouterDemand},
        engines::{EngineStatus, EngineStatusTable},
        socket::{GossipMessage, GossipSocket, ReceivedGossip},
        stream_origins::{
            HeldNews, OriginNews, OriginTable, Retold, keep_origins_held, send_records,
        },
        suspects::{changed_suspects, sample_of_suspects},
    };
}
