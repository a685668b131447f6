//! Handlers of requests that only read.

pub mod document;
pub mod placements;
pub mod status;
pub mod suspects;
