//! Which upstreams may hold replicas of a model, and which of them serves a request.
//!
//! | module | contains |
//! |---|---|
//! | [`bids`] | the expected cost of a replica at each upstream |
//! | [`choose`] | the choice of a slot for one request |
//! | [`keep_alive`] | how long an idle replica stays loaded |
//! | [`propose`] | creating and repairing placements |
//!
//! The design: `docs/PLACEMENT.md`.

pub mod bids;
pub mod choose;
pub mod keep_alive;
pub mod propose;

/// The items that routers use.
pub mod prelude {
    pub use crate::{
        choose::{Candidate, choose_slot},
        propose::propose_placements,
    };
}
