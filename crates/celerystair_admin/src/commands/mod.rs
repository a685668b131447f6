//! Handlers of requests that change something.

pub mod change;
pub mod drain;
pub mod suspects;
