//! `celerystair check`: validates settings files.

use std::path::PathBuf;

use argh::FromArgs;
use celerystair::{
    config::prelude::*,
    trial::{load::settings::LoadSettings, prelude::*},
};

use super::standin::StandinSettings;

/// Checks a settings file without starting anything, and exits with an error if it is invalid.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckCommand {
    /// the kind of settings: router, agent, config (the fleet's document), standin, trial or load;
    /// by default taken from the start of the file's name
    #[argh(option)]
    role: Option<String>,
    /// the settings file, JSON with comments
    #[argh(positional)]
    file: PathBuf,
}

/// Reads the settings, and fails with every invalid field.
pub fn run(command: &CheckCommand) -> eyre::Result<()> {
    let stem = command
        .file
        .file_stem()
        .and_then(|stem| stem.to_str())
        .unwrap_or_default();
    let role = command.role.as_deref().unwrap_or(stem);
    match role.split('-').next().unwrap_or_default() {
        "agent" => drop(read_settings_file::<AgentSettings>(&command.file)?),
        "config" => drop(read_settings_file::<FleetDocument>(&command.file)?),
        "router" => drop(read_settings_file::<RouterSettings>(&command.file)?),
        "standin" => drop(read_settings_file::<StandinSettings>(&command.file)?),
        "load" => drop(read_settings_file::<LoadSettings>(&command.file)?),
        "trial" => drop(read_settings_file::<TrialSettings>(&command.file)?),
        _ => eyre::bail!(
            "unknown kind of settings; give --role with one of router, agent, config, standin, trial or load"
        ),
    }
    println!("{} is valid", command.file.display());
    Ok(())
}
