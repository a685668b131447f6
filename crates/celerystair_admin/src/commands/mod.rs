//! What changes something.

pub mod change;
pub mod drain;
pub mod suspects;
