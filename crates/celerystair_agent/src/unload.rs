//! Unloads: of idle replicas, of those that make room, and of those whose slot is gone. A
//! replica with users is never unloaded.

use std::rc::Rc;

use celerystair_core::prelude::*;
use celerystair_protocol::{ReplicaState, engine_api::UnloadOrder};

use crate::{
    agent::Agent,
    claim::{order_fence, supersede},
    engine::{EngineClient, OrderError},
    load::record_model_event,
    reconcile,
    replicas::Replica,
};

/// How often the engine is asked about an unload that it has not confirmed.
const POLL_INTERVAL_MS: u64 = 200;

/// Starts to unload replicas without users until `needed_bytes` will be free, the cheapest to
/// bring back first; false if that can't be had.
pub fn evict_until_free(agent: &Agent, engine: &EngineClient, needed_bytes: u64) -> bool {
    let all = agent.replicas.all();
    if all
        .iter()
        .any(|replica| replica.state.get() == ReplicaState::Unloading)
    {
        return true;
    }
    let mut idle: Vec<(f64, &Rc<Replica>)> = all
        .iter()
        .filter(|replica| replica.is_idle())
        .map(|replica| (eviction_cost(agent, replica), replica))
        .collect();
    idle.sort_by(|a, b| a.0.total_cmp(&b.0));
    let idle_bytes: u64 = idle.iter().map(|(_, r)| held_bytes(agent, r)).sum();
    let mut free_bytes = agent.ledger.borrow().free_bytes();
    if free_bytes + idle_bytes < needed_bytes {
        return false;
    }
    for (_, replica) in idle {
        if free_bytes >= needed_bytes {
            break;
        }
        free_bytes += held_bytes(agent, replica);
        unload(agent, engine, replica);
    }
    true
}

fn held_bytes(agent: &Agent, replica: &Replica) -> u64 {
    agent.ledger.borrow().held_bytes(&replica.model)
}

/// What evicting the replica is expected to cost for each byte that it frees: the chance of a
/// call within the next while, weighed with the bytes to bring back.
fn eviction_cost(agent: &Agent, replica: &Replica) -> f64 {
    let idle_ms = now_unix_ms() - replica.idle_since_unix_ms.get();
    agent.replicas.with_arrivals(&replica.model, |arrivals| {
        arrivals.call_probability(idle_ms, agent.replicas.expected_load_ms())
    })
}

/// Starts to unload a loaded replica without users; its memory is free once the engine says so.
pub fn unload(agent: &Agent, engine: &EngineClient, replica: &Rc<Replica>) {
    if !replica.is_idle() || order_fence(agent).is_none() {
        return;
    }
    replica.set_state(ReplicaState::Unloading);
    record_model_event(agent, "unload_started", &replica.model, String::new());
    let (agent, engine, replica) = (agent.clone(), engine.clone(), replica.clone());
    compio::runtime::spawn(async move { unload_until_confirmed(&agent, &engine, &replica).await })
        .detach();
}

async fn unload_until_confirmed(agent: &Agent, engine: &EngineClient, replica: &Replica) {
    let model = &replica.model;
    while !agent.node.stop.is_ended() && !agent.claim.is_superseded() {
        // A claim that has lapsed is made anew; until then nothing is ordered.
        if let Some(fence) = order_fence(agent) {
            let order = UnloadOrder {
                model: model.clone(),
                fence,
                deadline_unix_ms: now_unix_ms() + agent.settings.order_life_ms,
            };
            let ordered_unix_ms = now_unix_ms();
            let confirmed = match send_order(agent, engine, &order).await {
                Ok(()) => true,
                Err(OrderError::Fenced) => {
                    supersede(agent, 0);
                    false
                }
                Err(_) => reconcile::is_confirmed_absent(engine, model, ordered_unix_ms).await,
            };
            if confirmed {
                agent.ledger.borrow_mut().release(model);
                agent.replicas.remove(model);
                record_model_event(agent, "unload_done", model, String::new());
                return;
            }
        }
        sleep_ms(POLL_INTERVAL_MS).await;
    }
}

/// Gives the order, unless an engine that does not check orders has heard of a later claimant,
/// which may have users on the replica.
async fn send_order(
    agent: &Agent,
    engine: &EngineClient,
    order: &UnloadOrder,
) -> Result<(), OrderError> {
    if !agent.settings.engine_checks_orders {
        reconcile::check_engine_fence(agent, engine).await?;
    }
    engine.unload(order).await
}
