//! The administration API: HTTP and JSON on a listener of its own, beside a router's callers.
//!
//! | module | holds |
//! |---|---|
//! | [`api`] | its start, and which path goes where |
//! | [`auth`] | bearer tokens and their roles |
//! | [`commands`] | what changes something |
//! | [`error`] | why a request is refused |
//! | [`queries`] | what reads something |
//!
//! For operators: `docs/ADMIN.md`.

pub mod api;
pub mod auth;
pub mod commands;
pub mod error;
pub mod queries;

/// The types that a router needs.
pub mod prelude {
    pub use crate::api::{OPENAPI, start_admin};
}
