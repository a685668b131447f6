//! Replicas on this upstream, and the requests that use them. All requests for a model share one
//! load. Every change of a replica's memory goes through the ledger first.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use celerystair_core::{prelude::*, time::before_deadline};
use celerystair_placement::keep_alive::ArrivalHistogram;
use celerystair_protocol::{ReplicaNews, ReplicaState};
use event_listener::Event as Signal;

use crate::{
    adapters::AdapterLoad, agent::Agent, engine::EngineClient, load::begin_load, slots,
    unload::unload,
};

/// Estimated time of a load before any was measured.
const DEFAULT_LOAD_MS: u64 = 5_000;
/// Weight of the newest load in the moving average.
const NEWEST_WEIGHT: f64 = 0.3;

/// The replicas of one agent.
#[derive(Default)]
pub struct Replicas {
    by_model: RefCell<HashMap<ModelName, Rc<Replica>>>,
    arrivals: RefCell<HashMap<ModelName, ArrivalHistogram>>,
    freed_unix_ms: RefCell<HashMap<ModelName, u64>>,
    /// Notified when a replica's memory was released.
    pub memory_freed: Signal,
    mean_load_ms: Cell<f64>,
}

/// One replica, from the reservation of its memory until the engine confirms that it is free.
pub struct Replica {
    /// The replica's model.
    pub model: ModelName,
    /// The model's version when the load was ordered.
    pub version: String,
    /// Whether the replica is loading, loaded or unloading.
    pub state: Cell<ReplicaState>,
    /// When the state last changed. Earlier reports of the engine don't reflect it.
    pub changed_unix_ms: Cell<u64>,
    /// Whether the engine does not report the outcome of the load.
    pub is_outcome_unknown: Cell<bool>,
    /// When the replica is expected to be ready, set when a load starts; 0 if never.
    pub ready_unix_ms: Cell<u64>,
    /// The earliest deadline of the requests that have used it.
    pub earliest_deadline_unix_ms: Cell<u64>,
    /// Requests that wait for it or run on it. It is not unloaded while there are any.
    pub users: Cell<u32>,
    /// When the last user left, or the state last changed.
    pub idle_since_unix_ms: Cell<u64>,
    /// The loads of its adapters, by adapter.
    pub adapters: RefCell<HashMap<String, Rc<AdapterLoad>>>,
    changed: Signal,
}

/// Keeps a replica from being unloaded until dropped.
pub struct ReplicaGuard {
    /// The replica in use.
    pub replica: Rc<Replica>,
}

impl ReplicaGuard {
    fn new(replica: &Rc<Replica>, deadline_unix_ms: u64) -> Self {
        replica.users.set(replica.users.get() + 1);
        let earliest_deadline_unix_ms = replica
            .earliest_deadline_unix_ms
            .get()
            .min(deadline_unix_ms);
        replica
            .earliest_deadline_unix_ms
            .set(earliest_deadline_unix_ms);
        Self {
            replica: replica.clone(),
        }
    }
}

impl Drop for ReplicaGuard {
    fn drop(&mut self) {
        self.replica.users.set(self.replica.users.get() - 1);
        self.replica.idle_since_unix_ms.set(now_unix_ms());
        self.replica.changed.notify(usize::MAX);
    }
}

impl Replica {
    /// Creates a replica in `state`, without users.
    pub fn new(model: &ModelName, version: &str, state: ReplicaState) -> Rc<Self> {
        let now = now_unix_ms();
        Rc::new(Self {
            model: model.clone(),
            version: version.to_owned(),
            state: Cell::new(state),
            changed_unix_ms: Cell::new(now),
            is_outcome_unknown: Cell::new(false),
            ready_unix_ms: Cell::new(0),
            earliest_deadline_unix_ms: Cell::new(u64::MAX),
            users: Cell::new(0),
            idle_since_unix_ms: Cell::new(now),
            adapters: RefCell::default(),
            changed: Signal::new(),
        })
    }

    /// Sets the state and notifies all listeners.
    pub fn set_state(&self, state: ReplicaState) {
        let now = now_unix_ms();
        self.state.set(state);
        self.changed_unix_ms.set(now);
        self.idle_since_unix_ms.set(now);
        self.changed.notify(usize::MAX);
    }

    /// Marks the outcome of the load as unknown. The memory stays reserved, and waiting requests
    /// are refused, so that their routers try another upstream.
    pub fn set_outcome_unknown(&self) {
        self.is_outcome_unknown.set(true);
        self.changed.notify(usize::MAX);
    }

    /// Returns whether the replica is loaded and has no users.
    pub fn is_idle(&self) -> bool {
        self.state.get() == ReplicaState::Loaded && self.users.get() == 0
    }

    /// Returns a listener that is notified when the state changes or a user leaves.
    pub fn listen(&self) -> event_listener::EventListener {
        self.changed.listen()
    }
}

impl Replicas {
    /// Returns all replicas, in no particular order.
    pub fn all(&self) -> Vec<Rc<Replica>> {
        self.by_model.borrow().values().cloned().collect()
    }

    /// Returns the replica of `model`.
    pub fn get(&self, model: &str) -> Option<Rc<Replica>> {
        self.by_model.borrow().get(model).cloned()
    }

    /// Adds a replica whose memory is reserved in the ledger.
    pub fn insert(&self, replica: &Rc<Replica>) {
        self.by_model
            .borrow_mut()
            .insert(replica.model.clone(), replica.clone());
    }

    /// Removes a replica whose memory was released, and notifies the requests that wait for memory.
    pub fn remove(&self, model: &ModelName) {
        if let Some(replica) = self.by_model.borrow_mut().remove(model) {
            replica.set_state(ReplicaState::Unloaded);
            self.freed_unix_ms
                .borrow_mut()
                .insert(model.clone(), now_unix_ms());
        }
        self.memory_freed.notify(usize::MAX);
    }

    /// Returns when the memory of the last replica of `model` was released; 0 if there was none.
    pub fn freed_unix_ms(&self, model: &str) -> u64 {
        self.freed_unix_ms
            .borrow()
            .get(model)
            .copied()
            .unwrap_or_default()
    }

    /// Returns the news of each replica, for routers.
    pub fn news(&self) -> Vec<ReplicaNews> {
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

    /// Returns the moving average of load times, or a default before the first load.
    pub fn expected_load_ms(&self) -> u64 {
        let mean = self.mean_load_ms.get();
        if mean == 0.0 {
            DEFAULT_LOAD_MS
        } else {
            mean as u64
        }
    }

    /// Adds the time of a load to the moving average.
    pub fn record_load_ms(&self, load_ms: u64) {
        let mean = self.mean_load_ms.get();
        let weight = if mean == 0.0 { 1.0 } else { NEWEST_WEIGHT };
        self.mean_load_ms
            .set(mean * (1.0 - weight) + load_ms as f64 * weight);
    }

    /// Calls `read` with the arrival histogram of `model`.
    pub fn with_arrivals<T>(
        &self,
        model: &ModelName,
        read: impl FnOnce(&mut ArrivalHistogram) -> T,
    ) -> T {
        let mut arrivals = self.arrivals.borrow_mut();
        read(arrivals.entry(model.clone()).or_default())
    }
}

/// Waits for a loaded replica of `model` and returns a guard that keeps it loaded. Starts a load if
/// there is no replica, and joins one in progress.
///
/// # Errors
/// A refusal: nothing of the request has run.
pub async fn acquire_replica(
    agent: &Agent,
    engine: &EngineClient,
    model: &ModelName,
    deadline_unix_ms: u64,
) -> Result<ReplicaGuard, Refusal> {
    slots::require_slot(agent, model)?;
    if agent.is_engine_unreachable.get() {
        let detail = "the engine does not report its state";
        return Err(Refusal::not_run(RefusalReason::UpstreamFailed, detail));
    }
    agent
        .replicas
        .with_arrivals(model, |arrivals| arrivals.record_call(now_unix_ms()));
    let work = async {
        loop {
            let Some(replica) = agent.replicas.get(model) else {
                slots::require_slot(agent, model)?;
                begin_load(agent, engine, model, deadline_unix_ms).await?;
                continue;
            };
            let changed = replica.changed.listen();
            match replica.state.get() {
                ReplicaState::Loaded if is_outdated(agent, &replica) => {
                    // The new version is loaded into the memory of the old one, once that has no
                    // users.
                    unload(agent, engine, &replica);
                    changed.await;
                }
                ReplicaState::Loaded => return Ok(ReplicaGuard::new(&replica, deadline_unix_ms)),
                ReplicaState::Loading => {
                    refuse_if_ready_late(&replica, deadline_unix_ms)?;
                    // The waiting request counts as a user, so that the replica is not unloaded
                    // right after the load.
                    let guard = ReplicaGuard::new(&replica, deadline_unix_ms);
                    wait_while_loading(&replica, changed).await;
                    if replica.state.get() == ReplicaState::Loaded {
                        return Ok(guard);
                    }
                    let detail = format!("model {model} could not be loaded");
                    return Err(Refusal::not_run(RefusalReason::LoadFailed, detail));
                }
                _ => changed.await,
            }
        }
    };
    before_deadline(deadline_unix_ms, work)
        .await
        .unwrap_or_else(|| {
            let detail = format!("model {model} was not loaded before the deadline");
            Err(Refusal::not_run(RefusalReason::DeadlineExceeded, detail))
        })
}

/// Returns whether operators have set another version of the model since the replica was loaded.
pub fn is_outdated(agent: &Agent, replica: &Replica) -> bool {
    let model = agent.node.models.get(&replica.model);
    model.is_some_and(|(_, object)| object.version != replica.version)
}

async fn wait_while_loading(replica: &Replica, mut changed: event_listener::EventListener) {
    while replica.state.get() == ReplicaState::Loading && !replica.is_outcome_unknown.get() {
        changed.await;
        changed = replica.listen();
    }
}

fn refuse_if_ready_late(replica: &Replica, deadline_unix_ms: u64) -> Result<(), Refusal> {
    let ready_unix_ms = replica.ready_unix_ms.get();
    if ready_unix_ms > deadline_unix_ms {
        let wait_ms = ready_unix_ms.saturating_sub(now_unix_ms());
        let detail = format!(
            "model {} is expected to be loaded in {wait_ms} ms, after the deadline",
            replica.model
        );
        return Err(Refusal::not_run(RefusalReason::WaitTooLong, detail).retry_after(wait_ms));
    }
    Ok(())
}
