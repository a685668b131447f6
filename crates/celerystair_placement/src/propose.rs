//! Makes placements for models that have none. Anybody may propose; the store's conditional
//! update decides, and the loser reads the result.

use celerystair_config::fleet;
use celerystair_core::{prelude::*, rendezvous};
use celerystair_node::prelude::*;
use celerystair_platform::{
    objects::PLACEMENTS,
    prelude::{
        AgentObject, CallPriority, Expected, InstanceState, ModelObject, PlacementObject,
        SlotObject, StoreError,
    },
};
use celerystair_telemetry::prelude::*;

/// Proposers wait up to this long, so that most find the work done. Safety needs none of it.
const JITTER_MS: u64 = 400;
const INTERVAL_MS: u64 = 1000;

/// Proposes placements until the node's stop begins.
pub async fn propose_placements(node: Node) {
    node.models.completed().await;
    node.placements.completed().await;
    node.agents.completed().await;
    while !node.stop.is_draining() {
        sleep_ms(rand::random_range(0..JITTER_MS)).await;
        for (model, object) in node.models.all() {
            if node.placements.get(&model).is_none() && !node.stop.is_draining() {
                propose(&node, &model, &object).await;
            }
        }
        sleep_ms(INTERVAL_MS).await;
    }
}

async fn propose(node: &Node, model: &str, object: &ModelObject) {
    let defaults = fleet::for_model(&node.config.current(), model, now_unix_ms());
    let slots = slots_for(node, model, object, defaults.slots_per_model as usize);
    if slots.is_empty() {
        return;
    }
    let placement = PlacementObject {
        generation: 1,
        write_id: InstanceId::random(&node.name).to_string(),
        slots,
    };
    let key = format!("{PLACEMENTS}{model}");
    let written = node
        .store
        .put(&key, &placement, Expected::Absent, CallPriority::Normal)
        .await;
    match written {
        Ok(_) => node.timeline.record(Event {
            kind: "placement_made".to_owned(),
            model: model.to_owned(),
            change: "1".to_owned(),
            ..Event::default()
        }),
        // Another's proposal, or our own after a lost answer, arrives by the watch.
        Err(StoreError::Conflict { .. } | StoreError::Unknown { .. }) => {}
        Err(error) => {
            debug!(node.log, "no placement made"; "model" => model, "error" => %error);
        }
    }
}

/// The best instances for `count` slots of `model`, in different failure domains while there
/// are any.
fn slots_for(node: &Node, model: &str, object: &ModelObject, count: usize) -> Vec<SlotObject> {
    let agents = node.agents.all();
    let able = agents.iter().filter(|(_, agent)| {
        agent.pool == object.pool
            && !agent.leaving
            && agent.memory_bytes >= object.replica_bytes()
            && node.instances.state(&agent.instance) != Some(InstanceState::Leaving)
            && !node.instances.is_gone(&agent.instance)
    });
    let ordered = rendezvous::order(model, able, |(name, _)| name);
    let mut chosen: Vec<&(String, std::rc::Rc<AgentObject>)> = Vec::new();
    let mut domains: HashSet<&FailureDomain> = HashSet::default();
    for agent in &ordered {
        if chosen.len() < count && domains.insert(&agent.1.failure_domain) {
            chosen.push(agent);
        }
    }
    for agent in &ordered {
        if chosen.len() < count && !chosen.iter().any(|taken| taken.0 == agent.0) {
            chosen.push(agent);
        }
    }
    chosen
        .into_iter()
        .map(|(name, agent)| SlotObject {
            upstream: name.as_str().into(),
            instance: agent.instance.clone(),
            slot_generation: 1,
        })
        .collect()
}
