//! Loads of replicas. Memory is reserved before the order is sent, and an order whose outcome is
//! unknown keeps its reservation until the engine reports the outcome.

use std::rc::Rc;

use celerystair_config::fleet::WakePolicy;
use celerystair_core::{prelude::*, time::before_deadline};
use celerystair_platform::prelude::{CallPriority, Expected, ModelObject, StoreError};
use celerystair_protocol::{ReplicaState, engine_api::LoadOrder};
use celerystair_telemetry::{metrics::label, prelude::*};

use crate::{
    agent::Agent,
    claim::{order_fence, supersede},
    engine::{EngineClient, OrderError},
    permits::acquire_permit,
    reconcile,
    replicas::Replica,
    unload::evict_until_free,
};

/// Interval between queries to the engine about an order whose outcome is unknown.
const POLL_INTERVAL_MS: u64 = 200;
/// How long a fetch may hold its permit.
const PREFETCH_TIMEOUT_MS: u64 = 120_000;

/// Reserves memory and starts the load. If memory is short, it evicts idle replicas and returns
/// once memory was freed, without a load; the caller may try again.
///
/// # Errors
/// A refusal; no load was started.
pub async fn begin_load(
    agent: &Agent,
    engine: &EngineClient,
    model: &ModelName,
    deadline_unix_ms: u64,
) -> Result<(), Refusal> {
    if order_fence(agent).is_none() {
        let detail = "the agent has no active claim on its upstream and can't order loads";
        return Err(Refusal::not_run(RefusalReason::StoreUnavailable, detail));
    }
    let Some((_, object)) = agent.node.models.get(model) else {
        return Err(Refusal::not_run(
            RefusalReason::UnknownModel,
            model.to_string(),
        ));
    };
    let needed_bytes = object.replica_bytes();
    let freed = agent.replicas.memory_freed.listen();
    let reserved = agent.ledger.borrow_mut().reserve(model, needed_bytes);
    if let Err(no_memory) = reserved {
        if !evict_until_free(agent, engine, needed_bytes) {
            return Err(
                Refusal::not_run(RefusalReason::NoMemory, no_memory.to_string())
                    .retry_after(agent.replicas.expected_load_ms()),
            );
        }
        freed.await;
        return Ok(());
    }
    let replica = Replica::new(model, &object.version, ReplicaState::Loading);
    replica.earliest_deadline_unix_ms.set(deadline_unix_ms);
    replica
        .ready_unix_ms
        .set(now_unix_ms() + agent.replicas.expected_load_ms());
    agent.replicas.insert(&replica);
    let (agent, engine) = (agent.clone(), engine.clone());
    compio::runtime::spawn(async move { load(&agent, &engine, &replica, &object).await }).detach();
    Ok(())
}

async fn load(agent: &Agent, engine: &EngineClient, replica: &Rc<Replica>, object: &ModelObject) {
    let started_unix_ms = now_unix_ms();
    record_model_event(agent, "load_started", &replica.model, String::new());
    match fetch_and_load(agent, engine, replica, object).await {
        Ok(()) => {
            let load_ms = now_unix_ms() - started_unix_ms;
            agent.replicas.record_load_ms(load_ms);
            replica.set_state(ReplicaState::Loaded);
            let metrics = &agent.node.metrics;
            metrics
                .cold_start_seconds
                .record(load_ms as f64 / 1000.0, &[]);
            metrics.loads.add(1, &[label("outcome", "loaded")]);
            record_model_event(agent, "load_done", &replica.model, format!("{load_ms} ms"));
        }
        Err(error) => {
            warn!(agent.node.log, "load failed"; "model" => %replica.model, "error" => %error);
            let metrics = &agent.node.metrics;
            metrics.loads.add(1, &[label("outcome", "failed")]);
            record_model_event(agent, "load_failed", &replica.model, error.to_string());
            agent.ledger.borrow_mut().release(&replica.model);
            agent.replicas.remove(&replica.model);
            if let OrderError::NoMemory = error {
                // The engine holds memory that the ledger does not know of.
                reconcile::refresh(agent, engine).await;
            }
        }
    }
}

/// Fetches the checkpoint into host memory under a permit, then orders the load. Only the fetch
/// uses the weight store, so the permit is released after it.
async fn fetch_and_load(
    agent: &Agent,
    engine: &EngineClient,
    replica: &Rc<Replica>,
    object: &ModelObject,
) -> Result<(), OrderError> {
    if reconcile::is_checkpoint_remote(engine, &replica.model).await {
        let permit = acquire_permit(agent, replica).await;
        prefetch(agent, engine, replica, object).await;
        drop(permit);
    }
    if agent.node.config.current().defaults.wake == WakePolicy::EachRouter {
        write_load_decision(agent, &replica.model).await?;
    }
    let boot = agent.engine_boot.get();
    let order = load_order(agent, replica, object).ok_or(OrderError::NoClaim)?;
    if !agent.settings.engine_checks_orders {
        reconcile::check_engine_fence(agent, engine).await?;
    }
    if agent.ledger.borrow().is_overcommitted() {
        return Err(OrderError::NoMemory);
    }
    match engine.load(&order).await {
        Err(OrderError::Unknown { .. }) => resolve_load(agent, engine, replica, boot).await,
        Err(OrderError::Fenced) => {
            supersede(agent, 0);
            Err(OrderError::Fenced)
        }
        outcome => outcome,
    }
}

/// Writes the load to the store, as a baseline for systems that decide each load there.
async fn write_load_decision(agent: &Agent, model: &ModelName) -> Result<(), OrderError> {
    let key = format!("loads/{model}/{}", agent.settings.upstream);
    let unknown = |error: StoreError| OrderError::Unknown {
        detail: error.to_string(),
    };
    let found = agent.node.store.get(&key).await.map_err(unknown)?;
    let expected = found.map_or(Expected::Absent, |o| Expected::Version(o.version));
    let store = &agent.node.store;
    store
        .put(&key, &now_unix_ms(), expected, CallPriority::Urgent)
        .await
        .map(|_| ())
        .map_err(unknown)
}

/// Fetches the checkpoint into host memory. If that fails, the load itself fetches it.
async fn prefetch(agent: &Agent, engine: &EngineClient, replica: &Replica, object: &ModelObject) {
    let Some(order) = load_order(agent, replica, object) else {
        return;
    };
    let started_unix_ms = now_unix_ms();
    let deadline_unix_ms = started_unix_ms + PREFETCH_TIMEOUT_MS;
    if let Some(Ok(())) = before_deadline(deadline_unix_ms, engine.prefetch(&order)).await {
        let fetch_ms = now_unix_ms() - started_unix_ms;
        agent
            .fetch_limiter
            .record_fetch(object.checkpoint_bytes, fetch_ms);
        record_model_event(
            agent,
            "checkpoint_fetched",
            &replica.model,
            format!("{fetch_ms} ms"),
        );
    }
}

fn load_order(agent: &Agent, replica: &Replica, object: &ModelObject) -> Option<LoadOrder> {
    let fence = order_fence(agent)?;
    Some(LoadOrder {
        model: replica.model.clone(),
        version: object.version.clone(),
        checkpoint_bytes: object.checkpoint_bytes,
        memory_bytes: object.replica_bytes(),
        fence,
        deadline_unix_ms: now_unix_ms() + agent.settings.order_life_ms,
    })
}

/// Polls the engine until it reports the outcome of a load; the memory stays reserved meanwhile.
///
/// `boot` is the engine's run when the order was sent. An engine that has restarted since has lost
/// the order.
pub async fn resolve_load(
    agent: &Agent,
    engine: &EngineClient,
    replica: &Replica,
    boot: u64,
) -> Result<(), OrderError> {
    // An order in transit is void once its lifetime is over, or the engine that accepted it has
    // restarted.
    let asked_unix_ms = now_unix_ms();
    let lost_unix_ms = |restarted: bool| {
        asked_unix_ms
            + if restarted {
                0
            } else {
                agent.settings.order_life_ms
            }
    };
    while !agent.node.stop.is_ended() {
        if let Ok(state) = engine.state().await {
            let found = state.replicas.iter().find(|r| r.model == replica.model);
            match found {
                Some(found) if found.loaded => return Ok(()),
                // Reports lag: only one made after the order became void shows that it was lost.
                None if state.reported_unix_ms > lost_unix_ms(state.boot != boot) => break,
                _ => {}
            }
        } else {
            replica.set_outcome_unknown();
        }
        sleep_ms(POLL_INTERVAL_MS).await;
    }
    Err(OrderError::Unknown {
        detail: "the engine does not report the replica".to_owned(),
    })
}

/// Records a timeline event about the replica of `model`.
pub fn record_model_event(agent: &Agent, kind: &str, model: &ModelName, detail: String) {
    agent.node.timeline.record(Event {
        kind: kind.to_owned(),
        model: model.to_string(),
        upstream: agent.settings.upstream.to_string(),
        detail,
        ..Event::default()
    });
}
