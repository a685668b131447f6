//! Settings of a process, and the fleet's configuration document.
//!
//! | module | holds |
//! |---|---|
//! | [`fleet`] | the document: defaults and exceptions with their reasons |
//! | [`in_force`] | the revision that this process has in force; it never falls |
//! | [`read`] | JSON with comments, with the path and line of what is wrong |
//! | [`settings`] | settings of routers and agents |
//!
//! For operators: `docs/CONFIGURATION.md`.

pub mod fleet;
pub mod in_force;
pub mod read;
pub mod settings;

/// The types that a process needs.
pub mod prelude {
    pub use crate::{
        fleet::{Defaults, Exception, FleetDocument, Scope, ScopeKind},
        in_force::FleetConfig,
        read::{SettingsError, SettingsProblem, read_settings, read_settings_file},
        settings::{AgentSettings, LogFormat, ProcessSettings, RouterSettings, UpstreamKind},
    };
}
