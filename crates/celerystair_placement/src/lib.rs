//! Which upstreams may hold replicas of a model, and which of them serves a request.
//!
//! | module | holds |
//! |---|---|
//! | [`choose`] | the choice of a slot for one request |
//! | [`propose`] | making placements for models that have none |
//!
//! The design: `docs/PLACEMENT.md`.

pub mod choose;
pub mod propose;

/// The types that a role needs.
pub mod prelude {
    pub use crate::{
        choose::{Candidate, choose},
        propose::propose_placements,
    };
}
