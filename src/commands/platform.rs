//! Routers and agents on the users' platform, with the settings file that the platform provides.

use std::path::Path;

use celerystair::{
    adapter::prelude::*,
    core::prelude::*,
    engine::prelude::*,
    front::prelude::*,
    telemetry::{
        logs::{log_panics, logger_to_stdout},
        prelude::*,
    },
};
use eyre::WrapErr;
use signal_hook::{consts::SIGHUP, iterator::Signals};

use super::process::{StopSignals, block_on, serve_until_signal};

/// Part of the time allowed for a stop that is reserved for the exit of the process itself.
const STOP_MARGIN_MS: u64 = 300;
/// Maximum duration of an agent's planned stop; agents have no work to finish.
const AGENT_STOP_MS: u64 = 200;

/// Runs a router until SIGTERM or Ctrl-C.
pub fn run_router() -> eyre::Result<()> {
    let signals = StopSignals::catch()?;
    let reloads = Signals::new([SIGHUP])?;
    let path = settings_path();
    let settings = read_router_settings(&read(&path)?)?;
    let (log, _written) = logger_to_stdout("router", &settings.router);
    log_panics(&log);
    let stop_timeout_ms = settings.stop_grace_ms.saturating_sub(STOP_MARGIN_MS);
    block_on(async {
        let stop = Stop::new();
        let running = run_platform_router(settings, log.clone(), &stop).await?;
        log_reloads(reloads, &log);
        let report = |count| info!(log, "stop_signal"; "count" => count);
        let server_task = running.server_task;
        serve_until_signal(signals, &stop, stop_timeout_ms, server_task, report).await?;
        info!(log, "stopped");
        Ok(())
    })?
}

/// Runs an engine's agent until SIGTERM or Ctrl-C.
pub fn run_agent() -> eyre::Result<()> {
    let signals = StopSignals::catch()?;
    let reloads = Signals::new([SIGHUP])?;
    let path = settings_path();
    let settings = read_agent_settings(&read(&path)?)?;
    let (log, _written) = logger_to_stdout("agent", &settings.agent_name);
    log_panics(&log);
    block_on(async {
        let stop = Stop::new();
        run_engine_agent(settings, log.clone(), &stop).await?;
        log_reloads(reloads, &log);
        let report = |count| info!(log, "stop_signal"; "count" => count);
        let no_work = std::future::ready(());
        serve_until_signal(signals, &stop, AGENT_STOP_MS, no_work, report).await?;
        info!(log, "stopped");
        Ok(())
    })?
}

fn read(path: &Path) -> eyre::Result<String> {
    std::fs::read_to_string(path).wrap_err_with(|| path.display().to_string())
}

/// Logs each SIGHUP. Changed settings take effect only at the next start of the process.
///
/// A thread of its own waits for the signals, whose handler is installed at the start of the
/// process. The runtime's signal listeners don't suit: each is for one signal, so that signals
/// between two listeners are missed, and they wake tasks from the thread that received the signal,
/// which aborts a thread that is just being started.
fn log_reloads(mut reloads: Signals, log: &Logger) {
    let log = log.clone();
    std::thread::spawn(move || {
        for _ in reloads.forever() {
            info!(log, "settings_changed");
        }
    });
}
