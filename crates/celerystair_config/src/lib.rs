//! Settings of a process, and the fleet's configuration document.
//!
//! | module | holds |
//! |---|---|
//! | [`change`] | edits of the document, and the errors that refuse them |
//! | [`commands`] | applying a change to the document; writing changes to the store |
//! | [`fleet`] | the document: defaults, and exceptions with their reasons |
//! | [`in_force`] | the document in force in this process, whose revision never decreases |
//! | [`queries`] | validation of a document; the values in force for a scope and their origin |
//! | [`read`] | parsing of JSON with comments; errors give the path and line of the field |
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

/// The types and functions that processes use.
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
