//! Queries that read the fleet's configuration without changing it.

pub mod check_document;
pub mod explain;
