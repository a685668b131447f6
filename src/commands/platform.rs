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
use signal_hook::{consts::SIGHUP, iterator::Signals};

use super::process::{block_on, serve_until_signal};

/// Kept from the time that a stop may take, for the process's own end.
const STOP_MARGIN_MS: u64 = 300;
/// What an agent's planned stop may take; it has nothing to finish.
const AGENT_STOP_MS: u64 = 200;

/// Runs a router until a signal.
pub fn run_router() -> eyre::Result<()> {
    let reloads = Signals::new([SIGHUP])?;
    let path = settings_path();
    let settings = read_router_settings(&read(&path)?)?;
    let log = logger_to_stdout("router", &settings.router);
    let stop_timeout_ms = settings.stop_grace_ms.saturating_sub(STOP_MARGIN_MS);
    block_on(async {
        let stop = Stop::new();
        let running = run_platform_router(settings, log.clone(), &stop).await?;
        note_reloads(reloads, &log);
        serve_until_signal(&stop, stop_timeout_ms, running.server_task).await;
        info!(log, "stopped");
        Ok(())
    })?
}

/// Runs an engine's agent until a signal.
pub fn run_agent() -> eyre::Result<()> {
    let reloads = Signals::new([SIGHUP])?;
    let path = settings_path();
    let settings = read_agent_settings(&read(&path)?)?;
    let log = logger_to_stdout("agent", &settings.agent_name);
    block_on(async {
        let stop = Stop::new();
        run_engine_agent(settings, log.clone(), &stop).await?;
        note_reloads(reloads, &log);
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
///
/// On a thread of its own, that waits for signals caught since the process's first moment: the
/// runtime's listeners are for one signal each and have no effect between two, and they wake tasks
/// from whichever thread the signal meets, which aborts one that is just being started.
fn note_reloads(mut reloads: Signals, log: &Logger) {
    let log = log.clone();
    std::thread::spawn(move || {
        for _ in reloads.forever() {
            info!(log, "settings_changed");
        }
    });
}
