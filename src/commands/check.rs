//! `celerystair check`.

use std::path::PathBuf;

use argh::FromArgs;
use celerystair::{
    config::prelude::*,
    trial::{load::settings::LoadSettings, prelude::*},
};

use super::standin::StandinSettings;

/// Checks settings without starting anything; exits non-zero if they can't be used.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckCommand {
    /// what the settings are for: router, agent, config (the fleet's document), standin, trial or load
    #[argh(option)]
    role: Option<String>,
    /// settings, JSON with comments
    #[argh(positional)]
    file: PathBuf,
}

/// Reads the settings and says what is wrong with them.
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
        _ => eyre::bail!("name a role with --role: router, agent, config, standin, trial or load"),
    }
    println!("{} can be used", command.file.display());
    Ok(())
}
