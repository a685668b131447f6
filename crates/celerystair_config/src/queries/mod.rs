//! What reads the fleet's configuration.

pub mod check_document;
pub mod explain;
