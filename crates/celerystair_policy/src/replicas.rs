//! Which model an engine loads next, and which ones it evicts for that. Demand may move to other
//! models every few seconds, many rarely used models may be requested at the same time, and engines
//! may be taken away at two seconds' notice.
//!
//! Every agent plans for all engines from the same gossip, in the same order, and carries out the
//! part for its own engine. So no leader is needed, and two agents whose views differ for a moment
//! load one replica too many at worst. The gain of a load and the loss of an eviction are both
//! measured in requests that would have to wait.

use celerystair_core::{prelude::*, rendezvous::weight};

use crate::{
    cold_loads::{ColdLoadLimit, ColdLoadObservations, cold_load_limit},
    fleet::EngineConfig,
};

/// The demand for one model over the whole fleet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ModelView {
    /// Requests per second, over all routers.
    pub requests_per_second: f64,
    /// Requests that wait for a replica, over all routers.
    pub waiting: u32,
    /// Requests that are running, over all routers.
    pub running: u32,
    /// The mean time within which callers want an answer to begin; 0 if there are no requests.
    pub target_latency_ms: f64,
}

impl ModelView {
    /// Adds the demand at another router.
    pub fn add(&mut self, other: &Self) {
        let sum = self.requests_per_second + other.requests_per_second;
        if sum > 0.0 {
            let own = self.target_latency_ms * self.requests_per_second;
            let others = other.target_latency_ms * other.requests_per_second;
            self.target_latency_ms = (own + others) / sum;
        }
        self.requests_per_second = sum;
        self.waiting = self.waiting.saturating_add(other.waiting);
        self.running = self.running.saturating_add(other.running);
    }
}

/// One engine, as described by the gossip of its agent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineView {
    /// Its identifier.
    pub upstream: UpstreamId,
    /// The models that it serves.
    pub loaded: Vec<ModelName>,
    /// The load that it is carrying out.
    pub loading: Option<LoadInProgress>,
    /// Whether its agent orders loads now: it can reach the engine, and the engine isn't draining.
    pub takes_orders: bool,
    /// Models with a copy of their weights in host memory.
    pub in_memory: Vec<ModelName>,
    /// Models with a copy of their weights on disk.
    pub on_disk: Vec<ModelName>,
    /// Models that must not be evicted yet because they were loaded a moment ago.
    pub protected: Vec<ModelName>,
    /// What its agent has observed of loads from the weight store.
    pub cold_load_observations: ColdLoadObservations,
    /// The rate limit that it names, if any.
    pub rate_limit_per_second: Option<f64>,
    /// The version of its software; `None` if it is unknown.
    pub software_version: Option<SoftwareVersion>,
}

/// A load that an engine is carrying out.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadInProgress {
    /// The model.
    pub model: ModelName,
    /// Whether the weights come from the weight store.
    pub is_cold: bool,
    /// The expected time until it is done.
    pub ready_in_ms: u64,
}

/// An order to an engine: to unload some models, then load one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// The model to load.
    pub load: ModelName,
    /// The models to evict before, in this order.
    pub unload: Vec<ModelName>,
    /// Whether the weights come from the weight store.
    pub is_cold: bool,
    /// Loads from the weight store that run once this one has begun, including itself if it is
    /// cold.
    pub cold_concurrency: u32,
}

/// The share of its engine's slots that a replica can fill without delaying requests. Beyond it,
/// prefill begins to delay the tokens of other requests past the pause that is allowed: of a few at
/// first, and of all once the slots are full.
const UNDELAYED_LOAD_SHARE: f64 = 0.25;
/// Concurrent loads from the weight store that are reserved for models with demand.
const RESERVED_COLD_LOADS: usize = 1;
/// The period over which a model's demand counts in the gain of a load or the loss of an eviction.
const HORIZON_SECONDS: f64 = 3.0;
/// The weight of a waiting request relative to an expected one.
const WAITING_WEIGHT: f64 = 2.0;
/// Time from the need for a load to its order: for gossip, for the agent's own work, and mostly for
/// the running requests of the evicted model, which finish first.
const ORDER_DELAY_MS: f64 = 1800.0;
/// The range of the factor for how much it matters that a model is not loaded: less if the callers'
/// latency target leaves time for a load from disk, more if a load takes far longer than the
/// target.
const URGENCY_RANGE: (f64, f64) = (0.3, 2.0);
/// The demand that is assumed for a model without current demand, since demand may move to it. It
/// protects a last replica from eviction for a request that can wait for a load; it causes no load
/// by itself.
const ASSUMED_REQUESTS_PER_SECOND: f64 = 0.1;
/// The gain of a load must exceed the loss of its evictions by this factor, so that models don't
/// evict each other in turn.
const GAIN_TO_LOSS_MIN: f64 = 1.5;
/// The cost of each second until a replica is ready, in requests: engines that have a copy of the
/// weights are preferred, but not at any cost.
const COST_PER_SECOND: f64 = 0.5;

/// A load that is done within this time counts as a replica. A load from disk does, even if the
/// unload before it waits some seconds for running requests. A load from the weight store may take
/// a minute; until it is nearly done, only the existing replicas of its model count.
const COUNTS_AS_REPLICA_MS: u64 = 5000;
/// While a slower load is in progress, the model is also loaded from a copy at another engine if
/// that is done at least this much sooner.
const SPEEDUP_MIN_MS: u64 = 2000;
/// More running requests than this don't make an unload take longer: they end at the same time.
const DRAINED_RUNS_MAX: f64 = 4.0;

/// Decides what the engine at index `own` loads next; `None` if the plan has no load for it now.
pub fn next_order(
    config: &EngineConfig,
    models: &HashMap<ModelName, ModelView>,
    engines: &[EngineView],
    own: usize,
) -> Option<Order> {
    let mut plan = Plan::new(config, models, engines);
    for need in plan.needs() {
        let Some(chosen) = plan.best_engine(&need) else {
            continue;
        };
        if chosen.engine == own && engines[own].loading.is_none() {
            return Some(chosen.order);
        }
        plan.assign(&chosen);
    }
    None
}

/// A model that needs one more replica.
struct Need<'a> {
    model: &'a ModelName,
    /// Requests that one more replica saves from waiting.
    gain: f64,
}

/// The engine that is chosen for a need, and its order.
struct Chosen {
    engine: usize,
    order: Order,
}

/// The memory of an engine that is free or can be freed. It stays the same during one decision, so
/// it is computed once: fleets have dozens of engines and models.
struct EngineMemory<'a> {
    free_mb: f64,
    /// Models that may be evicted, the cheapest first: the loss, the size in megabytes, the model.
    victims: Vec<(f64, f64, &'a ModelName)>,
}

/// A plan over all engines: their current state, and the loads that have been assigned so far.
struct Plan<'a> {
    config: &'a EngineConfig,
    models: &'a HashMap<ModelName, ModelView>,
    engines: &'a [EngineView],
    /// How many replicas each model has; one at an engine with a rate limit counts as a part of one.
    replicas: HashMap<&'a ModelName, f64>,
    /// The part of the requests for its models that each engine serves by its rate limit.
    served_share: Vec<f64>,
    /// The time until the load of a model is done, for slow loads, which don't count as replicas.
    slow_load_ready_ms: HashMap<&'a ModelName, u64>,
    memory: Vec<EngineMemory<'a>>,
    is_assigned: Vec<bool>,
    cold_loads: usize,
    cold_limit: ColdLoadLimit,
    /// Whether there is demand for any model.
    has_demand: bool,
}

impl<'a> Plan<'a> {
    fn new(
        config: &'a EngineConfig,
        models: &'a HashMap<ModelName, ModelView>,
        engines: &'a [EngineView],
    ) -> Self {
        let served_share = served_shares(models, engines);
        let mut replicas: HashMap<&ModelName, f64> = HashMap::default();
        let mut slow_load_ready_ms: HashMap<&ModelName, u64> = HashMap::default();
        for (engine, share) in engines.iter().zip(&served_share) {
            for model in &engine.loaded {
                *replicas.entry(model).or_default() += share;
            }
            let Some(load) = &engine.loading else {
                continue;
            };
            if load.ready_in_ms <= COUNTS_AS_REPLICA_MS {
                *replicas.entry(&load.model).or_default() += share;
            } else {
                let ready_in_ms = slow_load_ready_ms.entry(&load.model).or_insert(u64::MAX);
                *ready_in_ms = load.ready_in_ms.min(*ready_in_ms);
            }
        }
        let is_cold = |engine: &&EngineView| engine.loading.as_ref().is_some_and(|l| l.is_cold);
        let mut plan = Self {
            config,
            models,
            engines,
            replicas,
            served_share,
            slow_load_ready_ms,
            memory: Vec::new(),
            is_assigned: vec![false; engines.len()],
            cold_loads: engines.iter().filter(is_cold).count(),
            cold_limit: cold_load_limit(engines.iter().map(|engine| engine.cold_load_observations)),
            has_demand: models.values().any(has_demand),
        };
        plan.memory = engines
            .iter()
            .zip(&plan.served_share)
            .map(|(engine, share)| plan.engine_memory(engine, *share))
            .collect();
        plan
    }

    fn size_mb(&self, model: &ModelName) -> f64 {
        let config = self.config.models.get(model);
        config.map_or(0.0, |config| config.weights_mb)
    }

    fn engine_memory(&self, engine: &'a EngineView, served_share: f64) -> EngineMemory<'a> {
        let loading = engine.loading.iter().map(|load| &load.model);
        let held = engine.loaded.iter().chain(loading);
        let used_mb: f64 = held.map(|model| self.size_mb(model)).sum();
        let evictable = engine
            .loaded
            .iter()
            .filter(|model| !engine.protected.contains(model));
        let mut victims: Vec<(f64, f64, &ModelName)> = evictable
            .map(|model| {
                (
                    self.loss(engine, model, served_share),
                    self.size_mb(model),
                    model,
                )
            })
            .collect();
        victims.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.2.cmp(b.2)));
        EngineMemory {
            free_mb: model_memory_mb(self.config) - used_mb,
            victims,
        }
    }

    fn replicas(&self, model: &ModelName) -> f64 {
        self.replicas.get(model).copied().unwrap_or_default()
    }

    /// Returns a factor for how much it matters that the model is not loaded when it is requested.
    fn urgency(&self, model: &ModelName) -> f64 {
        let view = self.models.get(model);
        let target_ms = view.map_or(0.0, |view| view.target_latency_ms);
        if target_ms <= 0.0 {
            return URGENCY_RANGE.1;
        }
        let disk_ms = self.config.models.get(model).map_or(0, |m| m.disk_load_ms);
        let load_ms = disk_ms as f64 + ORDER_DELAY_MS;
        (load_ms / target_ms).clamp(URGENCY_RANGE.0, URGENCY_RANGE.1)
    }

    /// Returns the number of requests that wait or are delayed with this many replicas of a model. Of
    /// less than one, a part of the requests waits as without any.
    fn shortage(&self, model: &ModelName, replicas: f64) -> f64 {
        let Some(view) = self.models.get(model) else {
            return 0.0;
        };
        let expected = view.requests_per_second * HORIZON_SECONDS * self.urgency(model);
        let unserved = (1.0 - replicas).max(0.0);
        let waiting = unserved * (expected + f64::from(view.waiting) * WAITING_WEIGHT);
        if unserved >= 1.0 {
            return waiting;
        }
        let load = f64::from(view.running.saturating_add(view.waiting));
        let slots = replicas.max(1.0) * f64::from(self.config.slots.max(1));
        waiting + (1.0 - unserved) * expected * delayed_share(load / slots)
    }

    /// Returns the models that need one more replica, the highest gain first; then those without
    /// demand and without a replica, which are only loaded into free memory.
    fn needs(&self) -> Vec<Need<'a>> {
        let mut needs: Vec<Need<'a>> = self
            .config
            .models
            .keys()
            .map(|model| {
                let replicas = self.replicas(model);
                let gain = self.shortage(model, replicas) - self.shortage(model, replicas + 1.0);
                Need { model, gain }
            })
            .filter(|need| need.gain > 0.0 || self.replicas(need.model) <= 0.0)
            .collect();
        needs.sort_by(|a, b| b.gain.total_cmp(&a.gain).then(a.model.cmp(b.model)));
        needs
    }

    /// Returns the engine where a load of the model costs least; `None` if the gain isn't worth the
    /// cost at any engine, or if the best engine must finish another load first.
    fn best_engine(&self, need: &Need<'_>) -> Option<Chosen> {
        let mut best: Option<(f64, u64, usize)> = None;
        for (index, engine) in self.engines.iter().enumerate() {
            if !engine.takes_orders || self.is_assigned[index] {
                continue;
            }
            let Some(loss) = self.eviction_loss(index, need) else {
                continue;
            };
            if holds_model(engine, need.model) {
                continue;
            }
            let (load_ms, _) = self.load_ms(engine, need.model);
            let busy_ms = engine.loading.as_ref().map_or(0, |load| load.ready_in_ms);
            if !self.is_sooner(need.model, load_ms + busy_ms) {
                continue;
            }
            let unserved = need.gain * (1.0 - self.served_share_with(index, need.model));
            let cost = loss + unserved + (load_ms + busy_ms) as f64 / 1000.0 * COST_PER_SECOND;
            if best.is_some_and(|(least, _, _)| cost > least) {
                continue;
            }
            let rank = u64::MAX - weight(need.model, &engine.upstream);
            if best.is_none_or(|(c, r, _)| (cost, rank) < (c, r)) {
                best = Some((cost, rank, index));
            }
        }
        let (_, _, index) = best?;
        let engine = &self.engines[index];
        let (_, is_cold) = self.load_ms(engine, need.model);
        if engine.loading.is_some() || (is_cold && !self.may_load_cold(need)) {
            return None;
        }
        let order = Order {
            load: need.model.clone(),
            unload: self
                .victims(index, need)?
                .iter()
                .map(|(_, _, model)| (*model).clone())
                .collect(),
            is_cold,
            cold_concurrency: self.cold_loads as u32 + u32::from(is_cold),
        };
        Some(Chosen {
            engine: index,
            order,
        })
    }

    /// Returns the part of the requests that an engine would serve by its rate limit if it held the
    /// model, too.
    fn served_share_with(&self, engine: usize, model: &ModelName) -> f64 {
        let view = &self.engines[engine];
        if view.rate_limit_per_second.is_none() {
            return 1.0;
        }
        let added = self
            .models
            .get(model)
            .map_or(0.0, |m| m.requests_per_second);
        served_share(
            view,
            requests_per_second(self.models, self.engines, view) + added,
        )
    }

    /// Whether a load would be done well before a slow load of the model that is already in
    /// progress.
    fn is_sooner(&self, model: &ModelName, load_ms: u64) -> bool {
        let slow_load_ready_ms = self.slow_load_ready_ms.get(model);
        slow_load_ready_ms
            .is_none_or(|slow_load_ready_ms| load_ms + SPEEDUP_MIN_MS < *slow_load_ready_ms)
    }

    /// Whether one more load from the weight store may begin. Only a model without a replica may go
    /// beyond the concurrency that is confirmed for the store. A model without demand leaves a load
    /// in reserve, since its own load can't be cancelled when another model is requested.
    fn may_load_cold(&self, need: &Need<'_>) -> bool {
        if need.gain > 0.0 {
            let has_replica = self.replicas(need.model) >= 1.0;
            let limit = if has_replica {
                self.cold_limit.confirmed
            } else {
                self.cold_limit.max
            };
            return self.cold_loads < limit;
        }
        let reserved = if self.has_demand {
            RESERVED_COLD_LOADS
        } else {
            0
        };
        self.cold_loads + reserved < self.cold_limit.confirmed
    }

    /// Returns the duration of a load, and whether it is a load from the weight store.
    fn load_ms(&self, engine: &EngineView, model: &ModelName) -> (u64, bool) {
        let config = self.config.models.get(model);
        let ms = |of: fn(&crate::fleet::ModelConfig) -> u64| config.map_or(0, of);
        if engine.in_memory.contains(model) {
            (ms(|config| config.memory_load_ms), false)
        } else if engine.on_disk.contains(model) {
            (ms(|config| config.disk_load_ms), false)
        } else {
            (ms(|config| config.cold_load_ms), true)
        }
    }

    /// Returns the loss of the evictions that the model needs on an engine; `None` if the gain
    /// isn't worth it, or if evictions can't free enough memory.
    fn eviction_loss(&self, engine: usize, need: &Need<'_>) -> Option<f64> {
        let victims = self.victims(engine, need)?;
        let loss = victims.iter().map(|(loss, _, _)| loss).sum();
        let is_worthwhile = victims.is_empty() || need.gain > loss * GAIN_TO_LOSS_MIN;
        is_worthwhile.then_some(loss)
    }

    /// Returns the evictions that the model needs on an engine; `None` if they can't free enough
    /// memory.
    fn victims(&self, engine: usize, need: &Need<'_>) -> Option<&[(f64, f64, &'a ModelName)]> {
        let memory = &self.memory[engine];
        let needed_mb = self.size_mb(need.model);
        let mut free_mb = memory.free_mb;
        for count in 0..=memory.victims.len() {
            if free_mb >= needed_mb {
                return Some(&memory.victims[..count]);
            }
            free_mb += memory.victims.get(count).map_or(0.0, |(_, mb, _)| *mb);
        }
        None
    }

    /// Whether the engine holds the only replica of `model` at its software version, while engines of
    /// another version are in service.
    fn is_last_of_version(&self, engine: &EngineView, model: &ModelName) -> bool {
        let Some(version) = &engine.software_version else {
            return false;
        };
        let is_same = |other: &&EngineView| other.software_version.as_ref() == Some(version);
        let known = || self.engines.iter().filter(|e| e.software_version.is_some());
        let has_other = known().any(|other| !is_same(&other));
        let mut others = known().filter(is_same);
        has_other && !others.any(|e| e.upstream != engine.upstream && e.loaded.contains(model))
    }

    /// Returns the loss of evicting the replica of `model` at `engine`, which serves this part of the
    /// requests that it gets, in requests that would have to wait. Streams go on only at the version
    /// that began them, so the only replica at a version counts as the only one.
    fn loss(&self, engine: &EngineView, model: &ModelName, served_share: f64) -> f64 {
        let replicas = if self.is_last_of_version(engine, model) {
            served_share
        } else {
            self.replicas(model)
        };
        let without = (replicas - served_share).max(0.0);
        let view = self.models.get(model);
        let rate = view.map_or(0.0, |view| view.requests_per_second);
        let mut shortage = self.shortage(model, without) - self.shortage(model, replicas);
        if without <= 0.0 && rate < ASSUMED_REQUESTS_PER_SECOND {
            shortage =
                shortage.max(ASSUMED_REQUESTS_PER_SECOND * HORIZON_SECONDS * URGENCY_RANGE.1);
        }
        // An unload waits for the running requests, and delays the engine's next order until then.
        let running = view.map_or(0, |view| view.running);
        let running_here = f64::from(running) / replicas.max(1.0);
        shortage + running_here.min(DRAINED_RUNS_MAX) * COST_PER_SECOND
    }

    fn assign(&mut self, chosen: &Chosen) {
        self.is_assigned[chosen.engine] = true;
        self.cold_loads += usize::from(chosen.order.is_cold);
    }
}

/// Returns, for each engine, the part of the requests for its models that it serves by its rate
/// limit.
fn served_shares(models: &HashMap<ModelName, ModelView>, engines: &[EngineView]) -> Vec<f64> {
    let shares = engines
        .iter()
        .map(|engine| match engine.rate_limit_per_second {
            None => 1.0,
            Some(_) => served_share(engine, requests_per_second(models, engines, engine)),
        });
    shares.collect()
}

/// Returns the part of `requests_per_second` that an engine serves by its rate limit.
fn served_share(engine: &EngineView, requests_per_second: f64) -> f64 {
    match engine.rate_limit_per_second {
        Some(limit) if limit < requests_per_second => limit / requests_per_second,
        Some(limit) if limit <= 0.0 => 0.0,
        _ => 1.0,
    }
}

/// Returns the rate at which an engine would get requests without a limit: for each of its models,
/// an equal part among the engines that hold it.
fn requests_per_second(
    models: &HashMap<ModelName, ModelView>,
    engines: &[EngineView],
    engine: &EngineView,
) -> f64 {
    let rates = engine.loaded.iter().map(|model| {
        let rate = models.get(model).map_or(0.0, |m| m.requests_per_second);
        let holders = engines.iter().filter(|e| e.loaded.contains(model)).count();
        rate / holders.max(1) as f64
    });
    rates.sum()
}

/// Returns the share of requests that are delayed at replicas with this load per slot, which is 1
/// if all are late. The share of requests that find no slot is added to it, so that further
/// replicas are worth their memory however overloaded the first one is.
fn delayed_share(load_per_slot: f64) -> f64 {
    let over = (load_per_slot - UNDELAYED_LOAD_SHARE) / (1.0 - UNDELAYED_LOAD_SHARE);
    let late = over.clamp(0.0, 1.0).powi(2);
    let without_slot = 1.0 - 1.0 / load_per_slot.max(1.0);
    late + without_slot
}

fn has_demand(model: &ModelView) -> bool {
    model.requests_per_second > 0.0 || model.waiting > 0
}

fn holds_model(engine: &EngineView, model: &ModelName) -> bool {
    engine.loaded.contains(model) || engine.loading.as_ref().is_some_and(|l| l.model == *model)
}

/// Returns the accelerator memory of an engine for models, in megabytes; the rest is reserved for
/// adapters.
pub fn model_memory_mb(config: &EngineConfig) -> f64 {
    let adapter_mb = config.models.values().map(|model| model.adapter_mb);
    let largest_mb = adapter_mb.fold(0.0, f64::max);
    config.weights_mb - config.adapter_slots as f64 * largest_mb
}
