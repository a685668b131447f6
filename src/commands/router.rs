//! `celerystair router`.

use std::path::PathBuf;

use argh::FromArgs;
use celerystair::{
    config::prelude::*,
    core::{prelude::*, time::set_clock_scale},
    router::prelude::*,
};

use super::process::{block_on, serve_until_signal};

/// Takes callers' requests and routes them to upstreams.
#[derive(FromArgs)]
#[argh(subcommand, name = "router")]
pub struct RouterCommand {
    /// settings, JSON with comments
    #[argh(option)]
    settings: PathBuf,
}

/// Runs the router until a signal.
pub fn run(command: &RouterCommand) -> eyre::Result<()> {
    let settings: RouterSettings = read_settings_file(&command.settings)?;
    set_clock_scale(settings.process.clock_scale);
    let stop_timeout_ms = settings.process.stop_timeout_ms;
    block_on(async {
        let stop = Stop::new();
        let running = run_router(settings, &stop).await?;
        serve_until_signal(&stop, stop_timeout_ms, running.served).await;
        Ok(())
    })?
}
