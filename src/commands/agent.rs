//! `celerystair agent`: runs an agent.

use std::path::PathBuf;

use argh::FromArgs;
use celerystair::{
    agent::prelude::*,
    config::prelude::*,
    core::{prelude::*, time::set_clock_scale},
};

use eyre::bail;

use super::{
    platform,
    process::{StopSignals, block_on, serve_until_signal},
};

/// Manages the memory, model loads and requests of one upstream.
#[derive(FromArgs)]
#[argh(subcommand, name = "agent")]
pub struct AgentCommand {
    /// the settings file, JSON with comments
    #[argh(option)]
    settings: Option<PathBuf>,

    /// run on the users' platform, with the settings file that the platform provides
    #[argh(switch)]
    platform: bool,
}

/// Runs the agent until SIGTERM or Ctrl-C.
pub fn run(command: &AgentCommand) -> eyre::Result<()> {
    if command.platform {
        return platform::run_agent();
    }
    let Some(path) = &command.settings else {
        bail!("give --settings FILE, or --platform");
    };
    let signals = StopSignals::catch()?;
    let settings: AgentSettings = read_settings_file(path)?;
    set_clock_scale(settings.process.clock_scale);
    let stop_timeout_ms = settings.process.stop_timeout_ms;
    block_on(async {
        let stop = Stop::new();
        let running = run_agent(settings, &stop).await?;
        serve_until_signal(signals, &stop, stop_timeout_ms, running.served, |_| {}).await
    })?
}
