//! Changes of placements: making them for models that have none, replacing slots of instances
//! that are gone, and following the count that operators set. Anybody may propose; the store's
//! conditional update decides, and the loser reads the result.

use std::rc::Rc;

use celerystair_config::fleet;
use celerystair_core::{prelude::*, rendezvous};
use celerystair_net::prelude::Connection;
use celerystair_node::prelude::*;
use celerystair_platform::{
    objects::PLACEMENTS,
    prelude::{
        AgentObject, CallPriority, Expected, InstanceState, ModelObject, Object, PlacementObject,
        SlotObject, StoreError,
    },
};
use celerystair_telemetry::prelude::*;

use crate::bids::{Bids, ask_for_bids};

/// Proposers wait up to this long, so that most find the work done. Safety needs none of it.
const JITTER_MS: u64 = 400;
const INTERVAL_MS: u64 = 1000;
/// A writer that lost this many races in a row reads the placement again later.
const RACES_MAX: u32 = 5;

/// What to do with a placement.
pub enum PlacementChange {
    /// Nothing.
    Keep,
    /// Write this; generation and write identifier are filled in.
    Write(PlacementObject),
}

/// Proposes changes until the node's stop begins; `connect` gives the connection to an agent.
pub async fn propose_placements(node: Node, connect: impl Fn(&str, &AgentObject) -> Connection) {
    node.models.completed().await;
    node.placements.completed().await;
    node.agents.completed().await;
    while !node.stop.is_draining() {
        sleep_ms(rand::random_range(0..JITTER_MS)).await;
        for (model, object) in node.models.all() {
            if node.stop.is_draining() {
                return;
            }
            if is_wanting(&node, &model, &object) {
                propose(&node, &connect, &model, &object).await;
            }
        }
        sleep_ms(INTERVAL_MS).await;
    }
}

fn decided(node: &Node, model: &str) -> usize {
    fleet::for_model(&node.config.current(), model, now_unix_ms()).slots_per_model as usize
}

/// Whether the placement of `model` can be made or mended now.
fn is_wanting(node: &Node, model: &str, object: &ModelObject) -> bool {
    let placement = node.placements.get(model);
    let slots = placement.map(|(_, placement)| placement.slots.clone());
    let slots = slots.unwrap_or_default();
    slots.iter().any(|slot| is_gone(node, slot))
        || (slots.len() < decided(node, model)
            && able(node, object)
                .any(|(name, _)| !slots.iter().any(|s| s.upstream.as_str() == name)))
}

/// Whether the holder of `slot` is gone for good, and its accelerator's memory with it.
///
/// The platform's list must have shown it before and no longer do; or a later life of the
/// upstream has claimed it and is on a list that does not have the earlier one.
fn is_gone(node: &Node, slot: &SlotObject) -> bool {
    if node.instances.is_gone(&slot.instance) {
        return true;
    }
    let later = node.agents.get(&slot.upstream);
    later.is_some_and(|(_, agent)| {
        agent.instance != slot.instance
            && node.instances.is_replaced(&slot.instance, &agent.instance)
    })
}

async fn propose(
    node: &Node,
    connect: &impl Fn(&str, &AgentObject) -> Connection,
    model: &str,
    object: &ModelObject,
) {
    let candidates = candidates(node, model, object);
    let bids = ask_for_bids(node, connect, model, object, &candidates).await;
    let result = change_placement(node, model, |placement| {
        mend(node, model, object, placement, &bids)
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
            debug!(node.log, "no placement made"; "model" => model, "error" => %error);
        }
    }
}

/// The placement without slots of instances that are gone, filled up to the decided count.
/// Slots beyond the count are their holders' to give back.
fn mend(
    node: &Node,
    model: &str,
    object: &ModelObject,
    placement: &PlacementObject,
    bids: &Bids,
) -> PlacementChange {
    let mut next = placement.clone();
    next.slots.retain(|slot| !is_gone(node, slot));
    while next.slots.len() < decided(node, model) {
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

/// The slot that takes the place of the one at `index`, whose holder is leaving.
pub fn replacement_slot(
    node: &Node,
    model: &str,
    placement: &PlacementObject,
    index: usize,
) -> Option<SlotObject> {
    if placement.slots.len() > decided(node, model) {
        return None;
    }
    let (_, object) = node.models.get(model)?;
    let mut others = placement.clone();
    let left = others.slots.remove(index);
    // The leaving holder is not able any more, also where its own list does not say so yet.
    let taken = |name: &str| {
        others.slots.iter().any(|s| s.upstream.as_str() == name) || left.upstream.as_str() == name
    };
    best_of(node, model, &object, &others, &Bids::default(), taken)
}

fn best_slot(
    node: &Node,
    model: &str,
    object: &ModelObject,
    placement: &PlacementObject,
    bids: &Bids,
) -> Option<SlotObject> {
    let taken = |name: &str| {
        placement
            .slots
            .iter()
            .any(|slot| slot.upstream.as_str() == name)
    };
    best_of(node, model, object, placement, bids, taken)
}

/// The best instance for one more slot: in a failure domain of its own if there is one, then
/// by bid, then by the fewest slots, then by rendezvous order.
fn best_of(
    node: &Node,
    model: &str,
    object: &ModelObject,
    placement: &PlacementObject,
    bids: &Bids,
    is_taken: impl Fn(&str) -> bool,
) -> Option<SlotObject> {
    let domains: HashSet<FailureDomain> = placement
        .slots
        .iter()
        .filter_map(|slot| node.agents.get(&slot.upstream))
        .map(|(_, agent)| agent.failure_domain.clone())
        .collect();
    let first_slots = placement.slots.is_empty();
    candidates(node, model, object)
        .into_iter()
        .enumerate()
        .filter(|(_, (name, _))| !is_taken(name))
        .min_by_key(|(rank, (name, agent))| {
            let is_shared = domains.contains(&agent.failure_domain);
            let slots = slots_held(node, name, first_slots);
            (is_shared, bids.cost_ms(name), slots, *rank)
        })
        .map(|(_, (name, agent))| SlotObject {
            upstream: name.as_str().into(),
            instance: agent.instance.clone(),
            slot_generation: placement.generation + 1,
        })
}

/// Slots that the upstream holds; first ones only if `first_only`, for those are woken first.
fn slots_held(node: &Node, upstream: &str, first_only: bool) -> usize {
    let count_max = if first_only { 1 } else { usize::MAX };
    let placements = node.placements.all();
    let held = placements.iter().filter(|(_, placement)| {
        let mut slots = placement.slots.iter().take(count_max);
        slots.any(|slot| slot.upstream.as_str() == upstream)
    });
    held.count()
}

/// Instances that can hold a replica of `object`, in rendezvous order for `model`.
fn candidates(node: &Node, model: &str, object: &ModelObject) -> Vec<(String, Rc<AgentObject>)> {
    let agents: Vec<(String, Rc<AgentObject>)> = able(node, object).collect();
    rendezvous::order(model, &agents, |(name, _)| name)
        .into_iter()
        .cloned()
        .collect()
}

fn able(node: &Node, object: &ModelObject) -> impl Iterator<Item = (String, Rc<AgentObject>)> {
    let (pool, needed_bytes) = (object.pool.clone(), object.replica_bytes());
    node.agents.all().into_iter().filter(move |(name, agent)| {
        let config = node.config.current();
        agent.pool == pool
            && !agent.leaving
            && agent.memory_bytes >= needed_bytes
            && node.instances.state(&agent.instance) != Some(InstanceState::Leaving)
            && !node.instances.is_gone(&agent.instance)
            && !fleet::for_upstream(&config, &agent.failure_domain, name, now_unix_ms()).drain
    })
}

/// Changes the placement of `model` by a conditional update of what the store holds now; gives
/// the new generation, or `None` if nothing was to be changed. What was written is known here
/// at once, and a write whose answer was lost is read back.
///
/// # Errors
/// [`StoreError`]: whether the change took effect is not known if it is
/// [`StoreError::Unknown`], and it did not otherwise.
pub async fn change_placement(
    node: &Node,
    model: &str,
    change: impl Fn(&PlacementObject) -> PlacementChange,
) -> Result<Option<u64>, StoreError> {
    let key = format!("{PLACEMENTS}{model}");
    let write_id = InstanceId::random(&node.name).to_string();
    for _ in 0..RACES_MAX {
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
            // The write of an earlier turn took effect and its answer was lost.
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
                let value = serde_json::to_value(&next).unwrap_or_default();
                node.placements.apply(&Object {
                    key,
                    version,
                    value,
                })?;
                return Ok(Some(next.generation));
            }
            Err(StoreError::Conflict { .. } | StoreError::Unknown { .. }) => {}
            Err(error) => return Err(error),
        }
    }
    Err(StoreError::Unknown {
        detail: format!("{key} changed too often, or answers were lost"),
    })
}
