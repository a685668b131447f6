//! Unloads idle replicas, loads models that are kept warm, and polls the engine's state. For how
//! long an idle replica is kept, see `docs/COLD_STARTS.md`.

use celerystair_config::{fleet, fleet::Defaults};
use celerystair_core::prelude::*;
use celerystair_placement::keep_alive::KeepAliveCosts;
use celerystair_telemetry::metrics::label;

use crate::{
    agent::Agent,
    claim::supersede,
    engine::EngineClient,
    load::begin_load,
    reconcile::reconcile,
    replicas::{Replica, is_outdated},
    slots,
    unload::unload,
};

const WATCH_INTERVAL_MS: u64 = 500;
/// Deadline of a load that no request waits for; it is long, so that other loads get permits first.
const WARM_LOAD_DEADLINE_MS: u64 = 600_000;

/// Polls the engine's state and reconciles with it until the agent's stop ends.
pub async fn watch_engine(agent: Agent, engine: EngineClient) {
    while !agent.node.stop.is_ended() {
        sleep_ms(WATCH_INTERVAL_MS).await;
        let report = engine.state().await;
        agent.is_engine_unreachable.set(report.is_err());
        if let Ok(state) = report {
            if agent.claim.is_older_than(state.fence) && state.boot == agent.engine_boot.get() {
                supersede(&agent, state.fence);
            }
            reconcile(&agent, &engine, &state);
        }
    }
}

/// Unloads idle replicas and loads models that are kept warm, until the agent's stop ends.
pub async fn watch_idle(agent: Agent, engine: EngineClient) {
    while !agent.node.stop.is_ended() {
        sleep_ms(WATCH_INTERVAL_MS).await;
        record_idle_time(&agent);
        for replica in agent.replicas.all().iter().filter(|r| r.is_idle()) {
            let is_due = now_unix_ms() >= loaded_until_unix_ms(&agent, replica);
            if is_due || is_outdated(&agent, replica) {
                unload(&agent, &engine, replica);
            }
        }
        load_warm_models(&agent, &engine).await;
    }
}

/// Adds the last interval to the idle time, for each replica that is idle.
fn record_idle_time(agent: &Agent) {
    let replicas = agent.replicas.all();
    let idle = replicas.iter().filter(|replica| replica.is_idle()).count();
    let idle_seconds = (idle as u64 * WATCH_INTERVAL_MS) as f64 / 1000.0;
    let upstream = [label("upstream", &agent.settings.upstream)];
    let metrics = &agent.node.metrics;
    metrics
        .idle_accelerator_seconds
        .add(idle_seconds, &upstream);
}

/// Returns when `replica` is due to be unloaded if no call arrives; `u64::MAX` if it is kept warm.
pub fn loaded_until_unix_ms(agent: &Agent, replica: &Replica) -> u64 {
    let defaults =
        fleet::values_for_model(&agent.node.config.current(), &replica.model, now_unix_ms());
    if defaults.keep_warm {
        return u64::MAX;
    }
    let keep_alive_ms = keep_alive_ms(agent, replica, &defaults);
    replica
        .idle_since_unix_ms
        .get()
        .saturating_add(keep_alive_ms)
}

/// Returns how long `replica` is kept loaded while idle.
fn keep_alive_ms(agent: &Agent, replica: &Replica, defaults: &Defaults) -> u64 {
    if !defaults.keep_alive_adaptive {
        return defaults.keep_alive_min_ms;
    }
    let costs = KeepAliveCosts {
        cold_start_ms: agent.replicas.expected_load_ms(),
        cold_start_weight: defaults.cold_start_weight,
        idle_weight: defaults.idle_weight,
        keep_alive_min_ms: defaults.keep_alive_min_ms,
        keep_alive_max_ms: defaults.keep_alive_max_ms,
    };
    agent
        .replicas
        .with_arrivals(&replica.model, |arrivals| arrivals.keep_alive_ms(&costs))
}

/// Loads models that are to be kept warm now, if this instance holds their first slot.
async fn load_warm_models(agent: &Agent, engine: &EngineClient) {
    let config = agent.node.config.current();
    if !config.defaults.keep_warm && !config.exceptions.iter().any(|e| e.field == "keep_warm") {
        return;
    }
    for (model, placement) in agent.node.placements.all() {
        let model = ModelName::from(model.as_str());
        let is_first = placement
            .slots
            .first()
            .is_some_and(|slot| slot.instance == agent.settings.instance);
        if is_first
            && fleet::values_for_model(&config, &model, now_unix_ms()).keep_warm
            && agent.replicas.get(&model).is_none()
            && slots::require_slot(agent, &model).is_ok()
            && agent.has_free_memory(&model)
        {
            let deadline_unix_ms = now_unix_ms() + WARM_LOAD_DEADLINE_MS;
            begin_load(agent, engine, &model, deadline_unix_ms)
                .await
                .ok();
        }
    }
}
