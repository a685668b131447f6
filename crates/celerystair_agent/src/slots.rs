//! The placement slots that this instance holds.
//!
//! A slot is the right to hold a replica of its model. The instance releases it only after the
//! engine has confirmed that the replica is gone. See `docs/PLACEMENT.md`.

use std::{
    cell::{Cell, RefCell},
    collections::hash_map::Entry,
};

use celerystair_config::fleet;
use celerystair_core::prelude::*;
use celerystair_placement::propose::{PlacementChange, change_placement, replacement_slot};
use celerystair_platform::prelude::{InstanceState, PlacementObject};
use celerystair_telemetry::prelude::*;

use crate::{
    agent::Agent, claim::publish_leaving, engine::EngineClient, load::record_model_event,
    unload::unload,
};

const WATCH_INTERVAL_MS: u64 = 250;
/// A leaving agent that can't reach the store gives up on a slot after this many failed writes.
/// Slots that it leaves behind move once the platform no longer lists the instance.
const HANDOVER_FAILURES_MAX: u32 = 10;

/// Slots that are being released, by model, with the number of failed writes. New requests for
/// these models are refused.
#[derive(Default)]
pub struct SlotReleases {
    models: RefCell<HashMap<ModelName, u32>>,
}

impl SlotReleases {
    fn contains(&self, model: &str) -> bool {
        self.models.borrow().contains_key(model)
    }
}

/// Returns whether this instance holds a slot of `model`, by the placements that it last read.
pub fn holds_slot(agent: &Agent, model: &str) -> bool {
    slot_index(agent, model).is_some()
}

fn slot_index(agent: &Agent, model: &str) -> Option<usize> {
    let (_, placement) = agent.node.placements.get(model)?;
    slot_index_in(agent, &placement)
}

fn slot_index_in(agent: &Agent, placement: &PlacementObject) -> Option<usize> {
    placement.slots.iter().position(|slot| {
        slot.upstream == agent.settings.upstream && slot.instance == agent.settings.instance
    })
}

/// Counts the slots that this instance holds.
pub fn held_count(agent: &Agent) -> u32 {
    let placements = agent.node.placements.all();
    let held = placements
        .iter()
        .filter(|(_, p)| slot_index_in(agent, p).is_some());
    held.count() as u32
}

/// Refuses a request for a model if this instance holds no slot of it, or is releasing the slot.
///
/// An agent that started while the store was down has not read the placements, and its peers'
/// copies may be stale. It serves the models that are loaded, because their slots can't have moved
/// while this instance was alive.
///
/// # Errors
/// A refusal: nothing of the request has run.
pub fn require_slot(agent: &Agent, model: &ModelName) -> Result<(), Refusal> {
    if agent.claim.is_superseded() {
        let detail = "a later agent has claimed the upstream";
        return Err(Refusal::not_run(RefusalReason::NotHere, detail));
    }
    if agent.slot_releases.contains(model) {
        let detail = format!(
            "{} is releasing its slot of {model}",
            agent.settings.upstream
        );
        return Err(Refusal::not_run(RefusalReason::NotHere, detail));
    }
    let has_read_placements = agent.node.placements.has_read_store();
    let is_loaded = agent.replicas.get(model).is_some();
    if holds_slot(agent, model) || (!has_read_placements && is_loaded) {
        return Ok(());
    }
    let detail = format!("{} holds no slot of {model}", agent.settings.upstream);
    Err(Refusal::not_run(RefusalReason::NotHere, detail))
}

/// Returns whether this instance must hand over all its slots.
pub fn is_leaving(agent: &Agent) -> bool {
    let instance = &agent.settings.instance;
    agent.node.stop.is_draining()
        || agent.node.instances.state(instance) == Some(InstanceState::Leaving)
        || is_drained(agent)
}

fn is_drained(agent: &Agent) -> bool {
    let domain = &agent.node.settings.failure_domain;
    let config = agent.node.config.current();
    fleet::values_for_upstream(&config, domain, &agent.settings.upstream, now_unix_ms()).drain
}

/// Publishes in the store whether the upstream is leaving, until the stop ends. Routers soon drop
/// what the agent itself reports, and its last reply to them may be long ago.
pub async fn watch_leaving(agent: Agent) {
    let mut published = false;
    while !agent.node.stop.is_ended() {
        let leaving = is_leaving(&agent);
        if leaving != published && publish_leaving(&agent, leaving).await.is_ok() {
            published = leaving;
        }
        sleep_ms(WATCH_INTERVAL_MS).await;
    }
}

/// Releases slots that this instance must not keep, and unloads replicas without a slot, until
/// the stop ends.
pub async fn watch_slots(agent: Agent, engine: EngineClient) {
    while !agent.node.stop.is_ended() {
        unload_without_slot(&agent, &engine);
        for (model, placement) in agent.node.placements.all() {
            let model = ModelName::from(model.as_str());
            if must_release(&agent, &model, &placement) {
                begin_release(&agent, &engine, &model);
            }
        }
        sleep_ms(WATCH_INTERVAL_MS).await;
    }
}

/// Unloads idle replicas without a slot: the platform did not list this instance for a while, and
/// the slot has moved.
pub fn unload_without_slot(agent: &Agent, engine: &EngineClient) {
    if !agent.node.placements.has_read_store() || !agent.claim.is_active() {
        return;
    }
    for replica in agent.replicas.all() {
        if replica.is_idle() && !holds_slot(agent, &replica.model) {
            unload(agent, engine, &replica);
        }
    }
}

fn must_release(agent: &Agent, model: &ModelName, placement: &PlacementObject) -> bool {
    let Some(index) = slot_index_in(agent, placement) else {
        return false;
    };
    let config = agent.node.config.current();
    let slots_wanted =
        fleet::values_for_model(&config, model, now_unix_ms()).slots_per_model as usize;
    index >= slots_wanted || is_leaving(agent)
}

fn begin_release(agent: &Agent, engine: &EngineClient, model: &ModelName) {
    match agent.slot_releases.models.borrow_mut().entry(model.clone()) {
        Entry::Occupied(_) => return,
        Entry::Vacant(entry) => entry.insert(0),
    };
    record_model_event(agent, "slot_release_started", model, String::new());
    let (agent, engine, model) = (agent.clone(), engine.clone(), model.clone());
    compio::runtime::spawn(async move {
        release(&agent, &engine, &model).await;
        agent.slot_releases.models.borrow_mut().remove(&model);
    })
    .detach();
}

/// Waits until the replica is gone, then releases the slot in the store, or passes it on to its
/// successor if the instance is leaving.
async fn release(agent: &Agent, engine: &EngineClient, model: &ModelName) {
    while let Some(replica) = agent.replicas.get(model) {
        if agent.node.stop.is_ended() {
            return;
        }
        let changed = replica.listen();
        unload(agent, engine, &replica);
        celerystair_core::time::before_deadline(now_unix_ms() + WATCH_INTERVAL_MS, changed).await;
    }
    // A write whose response was lost may have taken effect, so once one was sent the release is
    // completed even if it is no longer due.
    let has_sent_write = Cell::new(false);
    while !agent.node.stop.is_ended() {
        let result = change_placement(&agent.node, model, |placement| {
            let Some(index) = slot_index_in(agent, placement) else {
                return PlacementChange::Keep;
            };
            if !has_sent_write.get() && !must_release(agent, model, placement) {
                return PlacementChange::Keep;
            }
            has_sent_write.set(true);
            let mut next = placement.clone();
            match is_leaving(agent)
                .then(|| replacement_slot(&agent.node, model, placement, index))
                .flatten()
            {
                Some(slot) => next.slots[index] = slot,
                None => {
                    next.slots.remove(index);
                }
            }
            PlacementChange::Write(next)
        })
        .await;
        match result {
            Ok(_) => return record_model_event(agent, "slot_released", model, String::new()),
            Err(error) => {
                debug!(agent.node.log, "failed to release a slot";
                    "model" => %model, "error" => %error);
                if let Some(failures) = agent.slot_releases.models.borrow_mut().get_mut(model) {
                    *failures += 1;
                }
                sleep_ms(WATCH_INTERVAL_MS).await;
            }
        }
    }
}

/// Returns once a leaving instance holds no slots, or has given up on those that it holds.
pub async fn wait_until_handed_over(agent: &Agent) {
    while !agent.node.stop.is_ended() && agent.claim.is_active() && pending_releases(agent) > 0 {
        sleep_ms(WATCH_INTERVAL_MS).await;
    }
}

/// Counts the held slots whose release has not been given up.
fn pending_releases(agent: &Agent) -> usize {
    let releases = agent.slot_releases.models.borrow();
    let is_pending = |model: &str| {
        releases
            .get(model)
            .is_none_or(|failures| *failures < HANDOVER_FAILURES_MAX)
    };
    let placements = agent.node.placements.all();
    let held = placements
        .iter()
        .filter(|(_, placement)| slot_index_in(agent, placement).is_some());
    held.filter(|(model, _)| is_pending(model)).count()
}
