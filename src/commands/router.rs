//! `celerystair router`: runs a router.

use std::path::PathBuf;

use argh::FromArgs;
use celerystair::{
    config::prelude::*,
    core::{prelude::*, time::set_clock_scale},
    router::prelude::*,
};

use eyre::bail;

use super::{
    platform,
    process::{StopSignals, block_on, serve_until_signal},
};

/// Accepts callers' requests and forwards them to upstreams.
#[derive(FromArgs)]
#[argh(subcommand, name = "router")]
pub struct RouterCommand {
    /// the settings file, JSON with comments
    #[argh(option)]
    settings: Option<PathBuf>,

    /// run on the users' platform, with the settings file that the platform provides
    #[argh(switch)]
    platform: bool,
}

/// Runs the router until SIGTERM or Ctrl-C.
pub fn run(command: &RouterCommand) -> eyre::Result<()> {
    if command.platform {
        return platform::run_router();
    }
    let Some(path) = &command.settings else {
        bail!("give --settings FILE, or --platform");
    };
    let signals = StopSignals::catch()?;
    let settings: RouterSettings = read_settings_file(path)?;
    set_clock_scale(settings.process.clock_scale);
    let stop_timeout_ms = settings.process.stop_timeout_ms;
    block_on(async {
        let stop = Stop::new();
        let running = run_router(settings, &stop).await?;
        serve_until_signal(signals, &stop, stop_timeout_ms, running.served, |_| {}).await
    })?
}
