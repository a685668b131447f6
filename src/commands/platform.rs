//! Routers and agents on the users' platform, whose settings file says where everything is.

use std::path::Path;

use celerystair::{
    adapter::prelude::*,
    core::prelude::*,
    engine::prelude::*,
    front::prelude::*,
    telemetry::{logs::logger_to_stdout, prelude::*},
};
use eyre::WrapErr;

use super::process::{block_on, serve_until_signal};

/// Signal by which the platform tells that the settings file has changed.
const SIGHUP: i32 = 1;
/// Kept from the time that a stop may take, for the process's own end.
const STOP_MARGIN_MS: u64 = 300;
/// What an agent's planned stop may take; it has nothing to finish.
const AGENT_STOP_MS: u64 = 200;

/// Runs a router until a signal.
pub fn run_router() -> eyre::Result<()> {
    let path = settings_path();
    let settings = read_front_settings(&read(&path)?)?;
    let log = logger_to_stdout("router", &settings.router);
    let stop_timeout_ms = settings.stop_grace_ms.saturating_sub(STOP_MARGIN_MS);
    block_on(async {
        let stop = Stop::new();
        let running = run_front(settings, log.clone(), &stop).await?;
        compio::runtime::spawn(note_reloads(log.clone())).detach();
        serve_until_signal(&stop, stop_timeout_ms, running.served).await;
        info!(log, "stopped");
        Ok(())
    })?
}

/// Runs an engine's agent until a signal.
pub fn run_agent() -> eyre::Result<()> {
    let path = settings_path();
    let settings = read_agent_settings(&read(&path)?)?;
    let log = logger_to_stdout("agent", &settings.agent);
    block_on(async {
        let stop = Stop::new();
        run_engine_agent(settings, log.clone(), &stop).await?;
        compio::runtime::spawn(note_reloads(log.clone())).detach();
        serve_until_signal(&stop, AGENT_STOP_MS, std::future::ready(())).await;
        info!(log, "stopped");
        Ok(())
    })?
}

fn read(path: &Path) -> eyre::Result<String> {
    std::fs::read_to_string(path).wrap_err_with(|| path.display().to_string())
}

/// Notes each reload of the settings. Nothing in them changes while a process runs but what is
/// read at its next start.
async fn note_reloads(log: Logger) {
    while compio::signal::unix::signal(SIGHUP).await.is_ok() {
        info!(log, "settings_changed");
    }
}
