//! Aligns the agent's state with the engine's reports, which may differ after a start of the agent,
//! a crash of the engine, a pause of this process, or an order of another agent.

use celerystair_core::prelude::*;
use celerystair_protocol::{ReplicaState, engine_api::EngineState};

use crate::{
    adapters::AdapterLoad,
    agent::Agent,
    claim::supersede,
    engine::{EngineClient, OrderError},
    load::{record_model_event, resolve_load},
    replicas::Replica,
};

/// Interval between requests for the engine's state until it answers.
const RETRY_MS: u64 = 200;

/// Requests the engine's state until it answers; `None` if a stop began first.
pub async fn read_engine(agent: &Agent, engine: &EngineClient) -> Option<EngineState> {
    while !agent.node.stop.is_draining() {
        match engine.state().await {
            Ok(state) => return Some(state),
            Err(_) => sleep_ms(RETRY_MS).await,
        }
    }
    None
}

/// Requests the engine's state and reconciles the ledger and the replicas with it, if it answers.
pub async fn refresh(agent: &Agent, engine: &EngineClient) {
    if let Ok(state) = engine.state().await {
        reconcile(agent, engine, &state);
    }
}

/// Reconciles the ledger and the replicas with a report of the engine.
///
/// Reports lag. Replicas that have changed since the report was made, or that an order in progress
/// is changing, are left as they are.
pub fn reconcile(agent: &Agent, engine: &EngineClient, state: &EngineState) {
    agent.memory_bytes.set(state.memory_bytes);
    agent
        .ledger
        .borrow_mut()
        .set_memory_bytes(state.memory_bytes);
    let restarted = agent.engine_boot.replace(state.boot) != state.boot;
    for replica in agent.replicas.all() {
        let is_there = state.replicas.iter().any(|r| r.model == replica.model);
        let is_report_newer = restarted || replica.changed_unix_ms.get() < state.reported_unix_ms;
        if !is_there && is_report_newer && replica.state.get() == ReplicaState::Loaded {
            let detail = "the engine no longer reports it".to_owned();
            record_model_event(agent, "replica_lost", &replica.model, detail);
            agent.ledger.borrow_mut().release(&replica.model);
            agent.replicas.remove(&replica.model);
        }
    }
    for reported in &state.replicas {
        if agent.replicas.get(&reported.model).is_none()
            && agent.replicas.freed_unix_ms(&reported.model) < state.reported_unix_ms
        {
            adopt_replica(agent, engine, reported, state.boot);
        }
    }
}

/// Adds a replica that the engine reports and the agent does not know.
fn adopt_replica(
    agent: &Agent,
    engine: &EngineClient,
    reported: &celerystair_protocol::engine_api::EngineReplica,
    boot: u64,
) {
    let phase = if reported.loaded {
        ReplicaState::Loaded
    } else {
        ReplicaState::Loading
    };
    agent
        .ledger
        .borrow_mut()
        .set_held(&reported.model, reported.memory_bytes);
    let replica = Replica::new(&reported.model, &reported.version, phase);
    for adapter in &reported.adapters {
        let mut adapters = replica.adapters.borrow_mut();
        adapters.insert(adapter.clone(), AdapterLoad::already_loaded());
    }
    agent.replicas.insert(&replica);
    record_model_event(agent, "replica_found", &replica.model, String::new());
    if reported.loaded {
        return;
    }
    let (agent, engine) = (agent.clone(), engine.clone());
    compio::runtime::spawn(async move {
        if resolve_load(&agent, &engine, &replica, boot).await.is_ok() {
            replica.set_state(ReplicaState::Loaded);
        } else {
            agent.ledger.borrow_mut().release(&replica.model);
            agent.replicas.remove(&replica.model);
        }
    })
    .detach();
}

/// Checks the state of an engine that does not check fencing tokens, right before an order is sent:
/// whether it has orders from a later claimant, and replicas that the ledger does not know.
///
/// # Errors
/// [`OrderError`]; the order must not be sent.
pub async fn check_engine_fence(agent: &Agent, engine: &EngineClient) -> Result<(), OrderError> {
    let state = engine.state().await?;
    if agent.claim.is_older_than(state.fence) && state.boot == agent.engine_boot.get() {
        supersede(agent, state.fence);
        return Err(OrderError::Fenced);
    }
    reconcile(agent, engine, &state);
    Ok(())
}

/// Returns whether the engine must fetch the checkpoint from the weight store; false if it does not
/// answer.
pub async fn is_checkpoint_remote(engine: &EngineClient, model: &ModelName) -> bool {
    engine
        .state()
        .await
        .is_ok_and(|state| !state.in_memory.contains(model) && !state.on_disk.contains(model))
}

/// Returns whether a report made after `since_unix_ms` shows that the engine does not hold `model`.
pub async fn is_confirmed_absent(
    engine: &EngineClient,
    model: &ModelName,
    since_unix_ms: u64,
) -> bool {
    engine.state().await.is_ok_and(|state| {
        state.reported_unix_ms > since_unix_ms
            && !state.replicas.iter().any(|replica| replica.model == *model)
    })
}
