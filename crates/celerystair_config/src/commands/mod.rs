//! Commands that change the fleet's configuration.

pub mod apply_change;
pub mod write_changes;
