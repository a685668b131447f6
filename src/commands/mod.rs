//! The commands of the program, and the helpers that they share.

pub mod admin;
pub mod admin_client;
pub mod agent;
pub mod check;
pub mod load;
pub mod platform;
pub mod process;
pub mod router;
pub mod standin;
pub mod table;
pub mod timeline;
pub mod try_fleet;
