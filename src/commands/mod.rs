//! The program's commands, a module each.

pub mod agent;
pub mod check;
pub mod process;
pub mod router;
pub mod standin;
pub mod try_fleet;
