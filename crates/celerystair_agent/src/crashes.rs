//! Detection of engine crashes, and of requests suspected to cause them. See
//! `docs/AT_MOST_ONCE.md`.

use std::cell::Cell;

use celerystair_core::{prelude::*, time::before_deadline};
use celerystair_journal::suspects::{CrashReport, clear_suspect, record_crash};
use celerystair_protocol::SubmitRequest;

use crate::{
    agent::Agent, answer::record_attempt_event, engine::EngineClient, reconcile::reconcile,
};

/// How long the refusal of an interrupted request waits for the suspect to be written to the store.
const SUSPECT_WRITE_TIMEOUT_MS: u64 = 500;
const POLL_INTERVAL_MS: u64 = 50;

/// Tracks whether the engine is down after a crash.
#[derive(Default)]
pub struct CrashState {
    is_engine_down: Cell<bool>,
}

impl CrashState {
    /// Returns whether the engine has crashed and does not report its state yet. A request that is
    /// sent to it now would be interrupted without having caused the crash.
    pub fn is_engine_down(&self) -> bool {
        self.is_engine_down.get()
    }
}

/// Records an interrupted request as a suspect if its engine has crashed, and returns the refusal
/// for its router.
pub async fn handle_interrupted(
    agent: &Agent,
    request: &SubmitRequest,
    id: &AttemptId,
    refusal: Refusal,
) -> Refusal {
    let Some(engine) = &agent.engine else {
        return refusal;
    };
    if !has_crashed(engine, &request.model).await {
        return refusal;
    }
    record_attempt_event(agent, request, "upstream_crashed", String::new());
    if !agent.crash_state.is_engine_down.replace(true) {
        let (agent, engine) = (agent.clone(), engine.clone());
        compio::runtime::spawn(async move { wait_until_restarted(&agent, &engine).await }).detach();
    }
    let expiry_ms = agent.node.config.current().defaults.suspect_expiry_ms;
    let now = now_unix_ms();
    let crash = CrashReport {
        fingerprint: request.fingerprint,
        attempt: id.clone(),
        ran_alone: request.suspect,
        expires_unix_ms: now + expiry_ms,
    };
    let written = record_crash(&agent.node.store, &crash);
    match before_deadline(now + SUSPECT_WRITE_TIMEOUT_MS, written).await {
        Some(Ok(suspect)) if suspect.is_refused_at(now) => {
            let crashes = suspect.crashes;
            let detail = format!("{crashes} upstreams crashed while running the request");
            Refusal::unknown(RefusalReason::Suspect, detail)
        }
        _ => refusal,
    }
}

/// Clears a suspect request that has finished without a crash.
pub fn clear_if_suspect(agent: &Agent, request: &SubmitRequest) {
    if !request.suspect {
        return;
    }
    let (agent, fingerprint) = (agent.clone(), request.fingerprint);
    compio::runtime::spawn(async move {
        // If the deletion fails, the suspect expires.
        clear_suspect(&agent.node.store, fingerprint).await.ok();
    })
    .detach();
}

/// Returns whether the engine does not answer, or no longer has the model loaded.
async fn has_crashed(engine: &EngineClient, model: &str) -> bool {
    match engine.state().await {
        Ok(state) => !state
            .replicas
            .iter()
            .any(|r| r.model.as_str() == model && r.loaded),
        Err(_) => true,
    }
}

async fn wait_until_restarted(agent: &Agent, engine: &EngineClient) {
    while !agent.node.stop.is_ended() {
        if let Ok(state) = engine.state().await {
            // Replicas that the crash has lost must be loaded again before they serve.
            reconcile(agent, engine, &state);
            break;
        }
        sleep_ms(POLL_INTERVAL_MS).await;
    }
    agent.crash_state.is_engine_down.set(false);
}
