//! `celerystair check`: validates settings files.

use std::path::{Path, PathBuf};

use argh::FromArgs;
use celerystair::{
    adapter::config::read_config,
    config::prelude::*,
    platform::prelude::*,
    policy::prelude::*,
    trial::{load::settings::LoadSettings, prelude::*},
};

use super::standin::StandinSettings;

/// Checks a settings file without starting anything, and exits with an error if it is invalid.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckCommand {
    /// the kind of settings: router, agent, config (the fleet's document), platform (the configuration on
    /// the users' platform), standin, trial or load; by default taken from the start of the file's name
    #[argh(option)]
    role: Option<String>,
    /// the version in force, above which one on the users' platform must be
    #[argh(option)]
    in_force: Option<u64>,
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
        "platform" => check_platform_config(&command.file, command.in_force)?,
        "router" => drop(read_settings_file::<RouterSettings>(&command.file)?),
        "standin" => drop(read_settings_file::<StandinSettings>(&command.file)?),
        "load" => drop(read_settings_file::<LoadSettings>(&command.file)?),
        "trial" => drop(read_settings_file::<TrialSettings>(&command.file)?),
        _ => eyre::bail!(
            "unknown kind of settings; give --role with one of router, agent, config, platform, standin, trial or load"
        ),
    }
    println!("{} is valid", command.file.display());
    Ok(())
}

/// Decides on a configuration as routers and agents do.
fn check_platform_config(path: &Path, in_force: Option<u64>) -> eyre::Result<()> {
    let object = Object {
        key: path.display().to_string(),
        value: ValueText::from_bytes(&std::fs::read(path)?)?,
        ..Object::default()
    };
    let config = read_config(&object)?;
    match decide_config(&config, in_force) {
        ConfigDecision::ComesIntoForce | ConfigDecision::IsInForce => Ok(()),
        ConfigDecision::IsOlder => {
            eyre::bail!("version {} is below the version in force", config.version)
        }
        ConfigDecision::Refused(fault) => eyre::bail!("{fault}"),
    }
}
