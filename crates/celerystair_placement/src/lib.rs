//! Which upstreams may hold replicas of a model, and which of them serves a request.
//!
//! | module | holds |
//! |---|---|
//! | [`bids`] | what upstreams would need to hold a replica |
//! | [`choose`] | the choice of a slot for one request |
//! | [`keep_alive`] | how long an idle replica is worth keeping |
//! | [`propose`] | making and mending placements |
//!
//! The design: `docs/PLACEMENT.md`.

pub mod bids;
pub mod choose;
pub mod keep_alive;
pub mod propose;

/// The types that a role needs.
pub mod prelude {
    pub use crate::{
        choose::{Candidate, choose_slot},
        propose::propose_placements,
    };
}
