//! The administration API of a router: HTTP and JSON, on a listener separate from the callers'.
//!
//! | module | holds |
//! |---|---|
//! | [`api`] | the server and its routes |
//! | [`auth`] | bearer tokens and their roles |
//! | [`commands`] | handlers of requests that change something |
//! | [`error`] | errors and their HTTP responses |
//! | [`queries`] | handlers of requests that only read |
//!
//! For operators: `docs/ADMIN.md`.

pub mod api;
pub mod auth;
pub mod commands;
pub mod error;
pub mod queries;

/// The items that a router uses.
pub mod prelude {
    pub use crate::api::{OPENAPI, start_admin};
}
