//! Unloads of replicas that are idle, must make room for others, or have lost their slot. A replica
//! with users is never unloaded.

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

/// Interval between attempts to unload a replica until the engine confirms.
const POLL_INTERVAL_MS: u64 = 200;

/// Starts to unload idle replicas, the least likely to be called first, until `needed_bytes` will
/// be free.
///
/// Returns false if all of them together would not free enough. If an unload is in progress
/// already, starts none and returns true.
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

/// Returns the expected cost of evicting the replica per byte that it frees. The cost of loading it
/// again is proportional to its bytes, which leaves the probability of a call within the time that
/// a load takes.
fn eviction_cost(agent: &Agent, replica: &Replica) -> f64 {
    let idle_ms = now_unix_ms() - replica.idle_since_unix_ms.get();
    agent.replicas.with_arrivals(&replica.model, |arrivals| {
        arrivals.call_probability(idle_ms, agent.replicas.expected_load_ms())
    })
}

/// Starts to unload a replica if it is idle and the claim is active. Its memory is released once
/// the engine confirms.
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
        // A lapsed claim is renewed by another task; until then no order is sent.
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

/// Sends the order. An engine that does not check fencing tokens is asked first whether it has
/// orders from a later claimant, which may have users on the replica.
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
