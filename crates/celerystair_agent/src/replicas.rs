//! Replicas on this upstream: one load for any number of waiters, and unloading of what has
//! no users. Every change of a replica's memory goes through the ledger first.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use celerystair_core::{prelude::*, time::before_deadline};
use celerystair_platform::prelude::ModelObject;
use celerystair_protocol::{
    ReplicaNews, ReplicaState,
    engine_api::{AdapterOrder, EngineState, LoadOrder, UnloadOrder},
};
use celerystair_telemetry::prelude::*;
use event_listener::Event as Signal;

use crate::{
    agent::Agent,
    engine::{EngineClient, OrderError},
};

/// How often the engine is asked about an order whose outcome is not known.
const POLL_INTERVAL_MS: u64 = 200;
/// What a load is taken to need before any was seen.
const FIRST_GUESS_LOAD_MS: u64 = 5_000;
/// Weight of the newest load in the running mean.
const MEAN_WEIGHT: f64 = 0.3;

/// The replicas of one agent.
#[derive(Default)]
pub struct Replicas {
    by_model: RefCell<HashMap<ModelName, Rc<Replica>>>,
    memory_freed: Signal,
    mean_load_ms: Cell<f64>,
}

/// One replica, from the reservation of its memory to the engine's word that it is free.
pub struct Replica {
    /// The model.
    pub model: ModelName,
    /// Its version.
    pub version: String,
    /// Where it stands.
    pub state: Cell<ReplicaState>,
    /// When it is expected to be ready, while it loads.
    pub ready_unix_ms: Cell<u64>,
    /// Requests that wait for it or run on it; with any, it is not unloaded.
    pub users: Cell<u32>,
    /// Since when it has had no users.
    pub idle_since_unix_ms: Cell<u64>,
    adapters: RefCell<HashMap<String, Rc<AdapterLoad>>>,
    changed: Signal,
}

#[derive(Default)]
struct AdapterLoad {
    loaded: Cell<bool>,
    ended: Cell<bool>,
    changed: Signal,
}

/// A use of a replica; it is not unloaded before this is dropped.
pub struct ReplicaUse {
    /// The replica.
    pub replica: Rc<Replica>,
}

impl ReplicaUse {
    fn new(replica: &Rc<Replica>) -> Self {
        replica.users.set(replica.users.get() + 1);
        Self {
            replica: replica.clone(),
        }
    }
}

impl Drop for ReplicaUse {
    fn drop(&mut self) {
        self.replica.users.set(self.replica.users.get() - 1);
        self.replica.idle_since_unix_ms.set(now_unix_ms());
    }
}

impl Replica {
    fn new(model: &ModelName, version: &str, state: ReplicaState) -> Rc<Self> {
        Rc::new(Self {
            model: model.clone(),
            version: version.to_owned(),
            state: Cell::new(state),
            ready_unix_ms: Cell::new(0),
            users: Cell::new(0),
            idle_since_unix_ms: Cell::new(now_unix_ms()),
            adapters: RefCell::default(),
            changed: Signal::new(),
        })
    }

    fn set_state(&self, state: ReplicaState) {
        self.state.set(state);
        self.idle_since_unix_ms.set(now_unix_ms());
        self.changed.notify(usize::MAX);
    }
}

impl Replicas {
    /// All replicas.
    pub fn all(&self) -> Vec<Rc<Replica>> {
        self.by_model.borrow().values().cloned().collect()
    }

    /// The state of each replica, for news.
    pub fn report(&self) -> Vec<ReplicaNews> {
        let replicas = self.all();
        let news = replicas.iter().map(|replica| ReplicaNews {
            model: replica.model.to_string(),
            state: replica.state.get().into(),
            ready_unix_ms: replica.ready_unix_ms.get(),
            running: replica.users.get(),
            model_version: replica.version.clone(),
            ..ReplicaNews::default()
        });
        news.collect()
    }

    /// What a load is expected to take.
    pub fn expected_load_ms(&self) -> u64 {
        let mean = self.mean_load_ms.get();
        if mean == 0.0 {
            FIRST_GUESS_LOAD_MS
        } else {
            mean as u64
        }
    }

    fn get(&self, model: &str) -> Option<Rc<Replica>> {
        self.by_model.borrow().get(model).cloned()
    }

    fn note_load(&self, load_ms: u64) {
        let mean = self.mean_load_ms.get();
        let weight = if mean == 0.0 { 1.0 } else { MEAN_WEIGHT };
        self.mean_load_ms
            .set(mean * (1.0 - weight) + load_ms as f64 * weight);
    }

    fn remove(&self, model: &ModelName) {
        if let Some(replica) = self.by_model.borrow_mut().remove(model) {
            replica.set_state(ReplicaState::Unloaded);
        }
        self.memory_freed.notify(usize::MAX);
    }
}

/// Whether this instance holds a slot of `model`.
pub fn holds_slot(agent: &Agent, model: &str) -> bool {
    agent
        .node
        .placements
        .get(model)
        .is_some_and(|(_, placement)| {
            placement.slots.iter().any(|slot| {
                slot.upstream == agent.settings.upstream && slot.instance == agent.settings.instance
            })
        })
}

/// A use of a loaded replica of `model`; wakes it if need be, and joins a load that runs.
///
/// # Errors
/// A refusal: nothing of the request has run.
pub async fn use_replica(
    agent: &Agent,
    engine: &EngineClient,
    model: &ModelName,
    deadline_unix_ms: u64,
) -> Result<ReplicaUse, Refusal> {
    let work = async {
        loop {
            let Some(replica) = agent.replicas.get(model) else {
                begin_load(agent, engine, model).await?;
                continue;
            };
            // Counted as a user while it waits, so that the replica stays once it is loaded.
            let replica_use = ReplicaUse::new(&replica);
            let changed = replica.changed.listen();
            match replica.state.get() {
                ReplicaState::Loaded => return Ok(replica_use),
                ReplicaState::Loading => {
                    refuse_late(&replica, deadline_unix_ms)?;
                    changed.await;
                    if replica.state.get() == ReplicaState::Unloaded {
                        let detail = format!("{model} could not be loaded");
                        return Err(Refusal::not_run(RefusalReason::LoadFailed, detail));
                    }
                }
                _ => {
                    drop(replica_use);
                    changed.await;
                }
            }
        }
    };
    before_deadline(deadline_unix_ms, work)
        .await
        .unwrap_or_else(|| {
            let detail = format!("{model} was not loaded before the deadline");
            Err(Refusal::not_run(RefusalReason::DeadlineExceeded, detail))
        })
}

fn refuse_late(replica: &Replica, deadline_unix_ms: u64) -> Result<(), Refusal> {
    let ready_unix_ms = replica.ready_unix_ms.get();
    if ready_unix_ms > deadline_unix_ms {
        let wait_ms = ready_unix_ms.saturating_sub(now_unix_ms());
        let detail = format!("{} is expected to be loaded in {wait_ms} ms", replica.model);
        return Err(Refusal::not_run(RefusalReason::WaitTooLong, detail).retry_after(wait_ms));
    }
    Ok(())
}

/// Reserves memory and starts the load, after making room if need be.
async fn begin_load(
    agent: &Agent,
    engine: &EngineClient,
    model: &ModelName,
) -> Result<(), Refusal> {
    if !holds_slot(agent, model) {
        let detail = format!("{} holds no slot of {model}", agent.settings.upstream);
        return Err(Refusal::not_run(RefusalReason::NotHere, detail));
    }
    let Some(fence) = agent.fence.get() else {
        let detail = "the agent has no claim yet, and orders nothing";
        return Err(Refusal::not_run(RefusalReason::StoreUnavailable, detail));
    };
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
        if !make_room(agent, engine, needed_bytes) {
            return Err(
                Refusal::not_run(RefusalReason::NoMemory, no_memory.to_string())
                    .retry_after(agent.replicas.expected_load_ms()),
            );
        }
        freed.await;
        return Ok(());
    }
    let replica = Replica::new(model, &object.version, ReplicaState::Loading);
    replica
        .ready_unix_ms
        .set(now_unix_ms() + agent.replicas.expected_load_ms());
    agent
        .replicas
        .by_model
        .borrow_mut()
        .insert(model.clone(), replica.clone());
    let (agent, engine) = (agent.clone(), engine.clone());
    compio::runtime::spawn(async move { load(&agent, &engine, &replica, &object, fence).await })
        .detach();
    Ok(())
}

async fn load(
    agent: &Agent,
    engine: &EngineClient,
    replica: &Replica,
    object: &ModelObject,
    fence: u64,
) {
    let started_unix_ms = now_unix_ms();
    let order = LoadOrder {
        model: replica.model.clone(),
        version: object.version.clone(),
        checkpoint_bytes: object.checkpoint_bytes,
        memory_bytes: object.replica_bytes(),
        fence,
        deadline_unix_ms: started_unix_ms + agent.settings.order_life_ms,
    };
    record(agent, "load_started", &replica.model, String::new());
    let outcome = match engine.load(&order).await {
        Err(OrderError::Unknown { .. }) => settle_load(agent, engine, &replica.model).await,
        outcome => outcome,
    };
    match outcome {
        Ok(()) => {
            let load_ms = now_unix_ms() - started_unix_ms;
            agent.replicas.note_load(load_ms);
            replica.set_state(ReplicaState::Loaded);
            record(agent, "load_done", &replica.model, format!("{load_ms} ms"));
        }
        Err(error) => {
            warn!(agent.node.log, "load failed"; "model" => %replica.model, "error" => %error);
            record(agent, "load_failed", &replica.model, error.to_string());
            agent.ledger.borrow_mut().free(&replica.model);
            agent.replicas.remove(&replica.model);
        }
    }
}

/// Asks the engine until it says what became of a load; the memory stays reserved meanwhile.
async fn settle_load(
    agent: &Agent,
    engine: &EngineClient,
    model: &ModelName,
) -> Result<(), OrderError> {
    // An order that is still on its way is dead after its life.
    let expired_unix_ms = now_unix_ms() + agent.settings.order_life_ms;
    while !agent.node.stop.is_ended() {
        if let Ok(state) = engine.state().await {
            match state
                .replicas
                .iter()
                .find(|replica| replica.model == *model)
            {
                Some(replica) if replica.loaded => return Ok(()),
                None if now_unix_ms() > expired_unix_ms => break,
                _ => {}
            }
        }
        sleep_ms(POLL_INTERVAL_MS).await;
    }
    Err(OrderError::Unknown {
        detail: "the engine no longer has the replica".to_owned(),
    })
}

/// Starts to unload replicas without users until `needed_bytes` will be free, longest idle
/// first; false if that can't be had.
fn make_room(agent: &Agent, engine: &EngineClient, needed_bytes: u64) -> bool {
    let all = agent.replicas.all();
    if all
        .iter()
        .any(|replica| replica.state.get() == ReplicaState::Unloading)
    {
        return true;
    }
    let mut idle: Vec<&Rc<Replica>> = all
        .iter()
        .filter(|replica| replica.state.get() == ReplicaState::Loaded && replica.users.get() == 0)
        .collect();
    idle.sort_by_key(|replica| replica.idle_since_unix_ms.get());
    let mut free_bytes = agent.ledger.borrow().free_bytes();
    for replica in idle {
        if free_bytes >= needed_bytes {
            break;
        }
        let size = agent
            .node
            .models
            .get(&replica.model)
            .map_or(0, |(_, m)| m.replica_bytes());
        free_bytes += size;
        unload(agent, engine, replica);
    }
    free_bytes >= needed_bytes
}

/// Starts to unload a loaded replica without users; its memory is free once the engine says so.
pub fn unload(agent: &Agent, engine: &EngineClient, replica: &Rc<Replica>) {
    let Some(fence) = agent.fence.get() else {
        return;
    };
    if replica.state.get() != ReplicaState::Loaded || replica.users.get() > 0 {
        return;
    }
    replica.set_state(ReplicaState::Unloading);
    record(agent, "unload_started", &replica.model, String::new());
    let (agent, engine, model) = (agent.clone(), engine.clone(), replica.model.clone());
    compio::runtime::spawn(async move {
        while !agent.node.stop.is_ended() {
            let deadline_unix_ms = now_unix_ms() + agent.settings.order_life_ms;
            let order = UnloadOrder {
                model: model.clone(),
                fence,
                deadline_unix_ms,
            };
            let confirmed = match engine.unload(&order).await {
                Ok(()) => true,
                Err(_) => is_absent(&engine, &model).await,
            };
            if confirmed {
                agent.ledger.borrow_mut().free(&model);
                agent.replicas.remove(&model);
                record(&agent, "unload_done", &model, String::new());
                return;
            }
            sleep_ms(POLL_INTERVAL_MS).await;
        }
    })
    .detach();
}

async fn is_absent(engine: &EngineClient, model: &ModelName) -> bool {
    match engine.state().await {
        Ok(state) => !state.replicas.iter().any(|replica| replica.model == *model),
        Err(_) => false,
    }
}

/// Loads the adapter on the replica unless it is there; one load for many waiters.
pub async fn use_adapter(
    agent: &Agent,
    engine: &EngineClient,
    replica: &Replica,
    adapter: &str,
    deadline_unix_ms: u64,
) -> Result<(), Refusal> {
    let existing = replica.adapters.borrow().get(adapter).cloned();
    let load = existing.unwrap_or_else(|| begin_adapter(agent, engine, replica, adapter));
    let work = async {
        while !load.ended.get() {
            let changed = load.changed.listen();
            if !load.ended.get() {
                changed.await;
            }
        }
    };
    let in_time = before_deadline(deadline_unix_ms, work).await.is_some();
    if load.loaded.get() {
        return Ok(());
    }
    let detail = format!("adapter {adapter} of {} was not loaded", replica.model);
    let reason = if in_time {
        RefusalReason::LoadFailed
    } else {
        RefusalReason::DeadlineExceeded
    };
    Err(Refusal::not_run(reason, detail))
}

fn begin_adapter(
    agent: &Agent,
    engine: &EngineClient,
    replica: &Replica,
    adapter: &str,
) -> Rc<AdapterLoad> {
    let load = Rc::new(AdapterLoad::default());
    replica
        .adapters
        .borrow_mut()
        .insert(adapter.to_owned(), load.clone());
    let order = AdapterOrder {
        model: replica.model.clone(),
        adapter: adapter.to_owned(),
        fence: agent.fence.get().unwrap_or_default(),
        deadline_unix_ms: now_unix_ms() + agent.settings.order_life_ms,
    };
    let (agent, engine, task) = (agent.clone(), engine.clone(), load.clone());
    compio::runtime::spawn(async move {
        let outcome = engine.load_adapter(&order).await;
        task.loaded.set(outcome.is_ok());
        task.ended.set(true);
        if outcome.is_err()
            && let Some(replica) = agent.replicas.get(&order.model)
        {
            replica.adapters.borrow_mut().remove(&order.adapter);
        }
        task.changed.notify(usize::MAX);
    })
    .detach();
    load
}

/// Takes over what the engine reports, after a start of the agent or a crash of the engine.
pub fn rebuild(agent: &Agent, engine: &EngineClient, state: &EngineState) {
    agent.memory_bytes.set(state.memory_bytes);
    let mut ledger = crate::ledger::MemoryLedger::new(state.memory_bytes);
    for reported in &state.replicas {
        ledger.record(&reported.model, reported.memory_bytes);
        let phase = if reported.loaded {
            ReplicaState::Loaded
        } else {
            ReplicaState::Loading
        };
        let replica = Replica::new(&reported.model, &reported.version, phase);
        agent
            .replicas
            .by_model
            .borrow_mut()
            .insert(reported.model.clone(), replica.clone());
        if !reported.loaded {
            let (agent, engine) = (agent.clone(), engine.clone());
            compio::runtime::spawn(async move {
                if settle_load(&agent, &engine, &replica.model).await.is_ok() {
                    replica.set_state(ReplicaState::Loaded);
                } else {
                    agent.ledger.borrow_mut().free(&replica.model);
                    agent.replicas.remove(&replica.model);
                }
            })
            .detach();
        }
    }
    *agent.ledger.borrow_mut() = ledger;
}

/// Drops what the engine no longer has, after a crash of the engine.
pub fn drop_lost(agent: &Agent, state: &EngineState) {
    for replica in agent.replicas.all() {
        let is_there = state
            .replicas
            .iter()
            .any(|reported| reported.model == replica.model);
        if !is_there && replica.state.get() == ReplicaState::Loaded {
            record(
                agent,
                "replica_lost",
                &replica.model,
                "the engine restarted".to_owned(),
            );
            agent.ledger.borrow_mut().free(&replica.model);
            agent.replicas.remove(&replica.model);
        }
    }
}

fn record(agent: &Agent, kind: &str, model: &ModelName, detail: String) {
    agent.node.timeline.record(Event {
        kind: kind.to_owned(),
        model: model.to_string(),
        upstream: agent.settings.upstream.to_string(),
        detail,
        ..Event::default()
    });
}
