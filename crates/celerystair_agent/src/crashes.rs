//! Crashes of the upstream, and the requests that were running then. See `docs/AT_MOST_ONCE.md`.

use std::cell::Cell;

use celerystair_core::{prelude::*, time::before_deadline};
use celerystair_journal::suspects::{Charge, accuse, clear};
use celerystair_protocol::SubmitRequest;

use crate::{
    agent::Agent, answer::record_attempt_event, engine::EngineClient, reconcile::reconcile,
};

/// How long the refusal of a cut request waits until the suspicion is written.
const SUSPECT_WRITE_TIMEOUT_MS: u64 = 500;
const POLL_INTERVAL_MS: u64 = 50;

/// Whether the engine is away after a crash.
#[derive(Default)]
pub struct CrashState {
    is_engine_down: Cell<bool>,
}

impl CrashState {
    /// Whether the engine has crashed and not come back yet; a request that is handed to it now
    /// is cut off without any part in the crash.
    pub fn is_engine_down(&self) -> bool {
        self.is_engine_down.get()
    }
}

/// A request was cut off: if its engine has crashed, it becomes a suspect. Gives the refusal.
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
    let charge = Charge {
        fingerprint: request.fingerprint,
        attempt: id.clone(),
        alone: request.suspect,
        expires_unix_ms: now + expiry_ms,
    };
    let written = accuse(&agent.node.store, &charge);
    match before_deadline(now + SUSPECT_WRITE_TIMEOUT_MS, written).await {
        Some(Ok(suspect)) if suspect.is_refused_at(now) => {
            let crashes = suspect.crashes;
            let detail = format!("{crashes} upstreams crashed while they ran the request");
            Refusal::unknown(RefusalReason::Suspect, detail)
        }
        _ => refusal,
    }
}

/// A request has finished: if it was a suspect, it is cleared.
pub fn clear_if_suspect(agent: &Agent, request: &SubmitRequest) {
    if !request.suspect {
        return;
    }
    let (agent, fingerprint) = (agent.clone(), request.fingerprint);
    compio::runtime::spawn(async move {
        // What is not deleted expires.
        clear(&agent.node.store, fingerprint).await.ok();
    })
    .detach();
}

/// Whether the engine is away, or is back and has lost the model.
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
            // A replica that is no longer there must be loaded again before it serves.
            reconcile(agent, engine, &state);
            break;
        }
        sleep_ms(POLL_INTERVAL_MS).await;
    }
    agent.crash_state.is_engine_down.set(false);
}
