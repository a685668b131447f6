//! Changes of placements: creating them for new models, replacing the slots of instances that are
//! gone, and following the number of slots that operators configure. Any process may propose a
//! change; the store's conditional update decides between them, and a process that loses reads the
//! result.

use std::rc::Rc;

use celerystair_config::fleet;
use celerystair_core::{prelude::*, rendezvous};
use celerystair_net::prelude::Connection;
use celerystair_node::prelude::*;
use celerystair_platform::{
    objects::PLACEMENT_KEY_PREFIX,
    prelude::{
        AgentObject, CallPriority, Expected, InstanceState, ModelObject, Object, PlacementObject,
        SlotObject, StoreError,
    },
};
use celerystair_telemetry::prelude::*;

use crate::bids::{Bids, request_bids};

/// The longest random delay before a round of proposals, so that most processes find the work
/// already done. Safety doesn't depend on it.
const JITTER_MS: u64 = 400;
/// Time between two rounds of proposals, without the jitter.
const INTERVAL_MS: u64 = 1000;
/// A writer gives up after this many conflicts in a row.
const CONFLICTS_MAX: u32 = 5;

/// What to do with a placement.
pub enum PlacementChange {
    /// Leave the placement as it is.
    Keep,
    /// Write this placement; `change_placement` sets its generation and write identifier.
    Write(PlacementObject),
}

/// Proposes changes until the node drains; `connect` returns the connection to an agent.
pub async fn propose_placements(node: Node, connect: impl Fn(&str, &AgentObject) -> Connection) {
    node.models.wait_until_complete().await;
    node.placements.wait_until_complete().await;
    node.agents.wait_until_complete().await;
    while !node.stop.is_draining() {
        sleep_ms(rand::random_range(0..JITTER_MS)).await;
        for (model, object) in node.models.all() {
            if node.stop.is_draining() {
                return;
            }
            if needs_change(&node, &model, &object) {
                propose(&node, &connect, &model, &object).await;
            }
        }
        sleep_ms(INTERVAL_MS).await;
    }
}

/// Returns the configured number of slots of `model`.
fn configured_slots(node: &Node, model: &str) -> usize {
    fleet::values_for_model(&node.config.current(), model, now_unix_ms()).slots_per_model as usize
}

/// Whether the placement of `model` needs a change that is possible now.
fn needs_change(node: &Node, model: &str, object: &ModelObject) -> bool {
    let placement = node.placements.get(model);
    let slots = placement.map(|(_, placement)| placement.slots.clone());
    let slots = slots.unwrap_or_default();
    slots.iter().any(|slot| is_gone(node, slot))
        || (slots.len() < configured_slots(node, model)
            && eligible_agents(node, object)
                .any(|(name, _)| !slots.iter().any(|s| s.upstream.as_str() == name)))
}

/// Whether the instance that holds `slot` is gone for good, and the replica with it.
///
/// Either the instance has vanished from the platform's list, or a later incarnation of the
/// upstream has claimed its identifier, and a list shows the later instance without the earlier
/// one.
fn is_gone(node: &Node, slot: &SlotObject) -> bool {
    if node.instances.is_gone(&slot.instance) {
        return true;
    }
    let current = node.agents.get(&slot.upstream);
    current.is_some_and(|(_, agent)| {
        agent.instance != slot.instance
            && node
                .instances
                .is_replaced_by(&slot.instance, &agent.instance)
    })
}

async fn propose(
    node: &Node,
    connect: &impl Fn(&str, &AgentObject) -> Connection,
    model: &str,
    object: &ModelObject,
) {
    let candidates = candidates(node, model, object);
    let bids = request_bids(node, connect, model, object, &candidates).await;
    let result = change_placement(node, model, |placement| {
        repair(node, model, object, placement, &bids)
    })
    .await;
    match result {
        Ok(Some(generation)) => node.timeline.record(Event {
            kind: "placement_changed".to_owned(),
            model: model.to_owned(),
            change: generation.to_string(),
            ..Event::default()
        }),
        Ok(None) => {}
        Err(error) => {
            debug!(node.log, "failed to change the placement"; "model" => model, "error" => %error);
        }
    }
}

/// Returns the change that removes the slots of instances that are gone and adds slots up to the
/// configured number. Excess slots are released by their holders.
fn repair(
    node: &Node,
    model: &str,
    object: &ModelObject,
    placement: &PlacementObject,
    bids: &Bids,
) -> PlacementChange {
    let mut next = placement.clone();
    next.slots.retain(|slot| !is_gone(node, slot));
    while next.slots.len() < configured_slots(node, model) {
        let Some(slot) = best_slot(node, model, object, &next, bids) else {
            break;
        };
        next.slots.push(slot);
    }
    if next.slots == placement.slots {
        PlacementChange::Keep
    } else {
        PlacementChange::Write(next)
    }
}

/// Returns the slot that replaces the one at `index`, whose holder is leaving; `None` if there are
/// more slots than configured, or if no other upstream can take it.
pub fn replacement_slot(
    node: &Node,
    model: &str,
    placement: &PlacementObject,
    index: usize,
) -> Option<SlotObject> {
    if placement.slots.len() > configured_slots(node, model) {
        return None;
    }
    let (_, object) = node.models.get(model)?;
    let mut others = placement.clone();
    let removed = others.slots.remove(index);
    // The leaving holder is excluded even if its own view doesn't show yet that it is leaving.
    let is_excluded = |name: &str| {
        others.slots.iter().any(|s| s.upstream.as_str() == name)
            || removed.upstream.as_str() == name
    };
    best_slot_except(node, model, &object, &others, &Bids::default(), is_excluded)
}

fn best_slot(
    node: &Node,
    model: &str,
    object: &ModelObject,
    placement: &PlacementObject,
    bids: &Bids,
) -> Option<SlotObject> {
    let is_taken = |name: &str| {
        placement
            .slots
            .iter()
            .any(|slot| slot.upstream.as_str() == name)
    };
    best_slot_except(node, model, object, placement, bids, is_taken)
}

/// Returns the best slot to add to `placement`: in a failure domain without a slot if there is one,
/// then by the cost of the bid, then by the fewest slots, then by rendezvous order.
fn best_slot_except(
    node: &Node,
    model: &str,
    object: &ModelObject,
    placement: &PlacementObject,
    bids: &Bids,
    is_excluded: impl Fn(&str) -> bool,
) -> Option<SlotObject> {
    let domains: HashSet<FailureDomain> = placement
        .slots
        .iter()
        .filter_map(|slot| node.agents.get(&slot.upstream))
        .map(|(_, agent)| agent.failure_domain.clone())
        .collect();
    let is_first = placement.slots.is_empty();
    candidates(node, model, object)
        .into_iter()
        .enumerate()
        .filter(|(_, (name, _))| !is_excluded(name))
        .min_by_key(|(rank, (name, agent))| {
            let is_shared = domains.contains(&agent.failure_domain);
            let slots = slots_held(node, name, is_first);
            (is_shared, bids.cost_ms(name), slots, *rank)
        })
        .map(|(_, (name, agent))| SlotObject {
            upstream: name.as_str().into(),
            instance: agent.instance.clone(),
            slot_generation: placement.generation + 1,
        })
}

/// Counts the slots that the upstream holds in all placements. With `first_only`, it counts only
/// the first slots of placements, which are loaded before the others.
fn slots_held(node: &Node, upstream: &str, first_only: bool) -> usize {
    let count_max = if first_only { 1 } else { usize::MAX };
    let placements = node.placements.all();
    let held = placements.iter().filter(|(_, placement)| {
        let mut slots = placement.slots.iter().take(count_max);
        slots.any(|slot| slot.upstream.as_str() == upstream)
    });
    held.count()
}

/// Returns the upstreams that can hold a replica of `object`, in rendezvous order for `model`.
fn candidates(node: &Node, model: &str, object: &ModelObject) -> Vec<(String, Rc<AgentObject>)> {
    let agents: Vec<(String, Rc<AgentObject>)> = eligible_agents(node, object).collect();
    rendezvous::order(model, &agents, |(name, _)| name)
        .into_iter()
        .cloned()
        .collect()
}

/// Returns the upstreams in the pool of `object` with enough memory for a replica that are not
/// leaving, gone or drained.
fn eligible_agents(
    node: &Node,
    object: &ModelObject,
) -> impl Iterator<Item = (String, Rc<AgentObject>)> {
    let (pool, needed_bytes) = (object.pool.clone(), object.replica_bytes());
    node.agents.all().into_iter().filter(move |(name, agent)| {
        let config = node.config.current();
        agent.pool == pool
            && !agent.leaving
            && agent.memory_bytes >= needed_bytes
            && node.instances.state(&agent.instance) != Some(InstanceState::Leaving)
            && !node.instances.is_gone(&agent.instance)
            && !fleet::values_for_upstream(&config, &agent.failure_domain, name, now_unix_ms())
                .drain
    })
}

/// Changes the placement of `model` by a conditional update of its current version in the store.
/// Returns the new generation, or `None` if `change` kept the placement. The local view contains
/// the write at once, and a write whose answer was lost is detected when the placement is read
/// again.
///
/// # Errors
/// Returns a [`StoreError`]. With [`StoreError::OutcomeUnknown`] the change may have taken effect; with
/// any other error it has not.
pub async fn change_placement(
    node: &Node,
    model: &str,
    change: impl Fn(&PlacementObject) -> PlacementChange,
) -> Result<Option<u64>, StoreError> {
    let key = format!("{PLACEMENT_KEY_PREFIX}{model}");
    let write_id = InstanceId::random(&node.name).to_string();
    for _ in 0..CONFLICTS_MAX {
        let found = node.store.get(&key).await?;
        let (expected, placement) = match &found {
            Some(object) => {
                node.placements.apply(object)?;
                let placement = object.read::<PlacementObject>()?;
                (Expected::Version(object.version), placement)
            }
            None => (Expected::Absent, PlacementObject::default()),
        };
        if placement.write_id == write_id {
            // An earlier write in this loop took effect, but its answer was lost.
            return Ok(Some(placement.generation));
        }
        let PlacementChange::Write(mut next) = change(&placement) else {
            return Ok(None);
        };
        next.generation = placement.generation + 1;
        next.write_id.clone_from(&write_id);
        let written = node
            .store
            .put(&key, &next, expected, CallPriority::Normal)
            .await;
        match written {
            Ok(version) => {
                let written = Object::new(key, version, &next)?;
                node.placements.apply(&written)?;
                return Ok(Some(next.generation));
            }
            Err(StoreError::Conflict { .. } | StoreError::OutcomeUnknown { .. }) => {}
            Err(error) => return Err(error),
        }
    }
    Err(StoreError::OutcomeUnknown {
        detail: format!("gave up on {key} after {CONFLICTS_MAX} conflicts or lost answers"),
    })
}
