//! Settings of a process, and the fleet's configuration document.
//!
//! | module | holds |
//! |---|---|
//! | [`change`] | edits of the document, and why one is refused |
//! | [`commands`] | applying a change; writing changes to the store |
//! | [`fleet`] | the document: defaults and exceptions with their reasons |
//! | [`in_force`] | the revision that this process has in force; it never falls |
//! | [`queries`] | checks of a document; what is in force for something, and why |
//! | [`read`] | JSON with comments, with the path and line of what is wrong |
//! | [`settings`] | settings of routers and agents |
//!
//! For operators: `docs/CONFIGURATION.md`.

pub mod change;
pub mod commands;
pub mod fleet;
pub mod in_force;
pub mod queries;
pub mod read;
pub mod settings;

/// The types that a process needs.
pub mod prelude {
    pub use crate::{
        change::{ChangeRecord, ChangeRequest, Edit, EditError},
        commands::{
            apply_change::{Applied, apply_change},
            write_changes::{Accepted, ConfigWriter, WriteError},
        },
        fleet::{Defaults, Exception, FleetDocument, Scope, ScopeKind},
        in_force::FleetConfig,
        queries::{check_document::check_document, explain::explain},
        read::{SettingsError, SettingsProblem, read_settings, read_settings_file},
        settings::{
            AdminRole, AdminSettings, AdminToken, AgentSettings, LogFormat, ProcessSettings,
            RouterSettings, UpstreamKind,
        },
    };
}
