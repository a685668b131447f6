//! Which model an engine loads next, and what makes room for it. Answers demand that moves to
//! other models every few seconds, rare models that are asked for all at once, and engines taken
//! away at two seconds' notice.
//!
//! Every agent plans for all engines from the same news, in the same order, and carries out what
//! falls to its own engine; so no leader is needed, and two agents that differ for a moment load
//! one replica too many at worst. What a load gains and what an eviction loses are both counted in
//! requests that would have to wait.

use celerystair_core::{prelude::*, rendezvous::weight};

use crate::{
    cold_loads::{ColdLoadLimit, ColdLoadObservations, cold_load_limit},
    fleet::EngineConfig,
};

/// What the fleet asks of one model.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ModelView {
    /// Arrivals a second, over all routers.
    pub requests_per_second: f64,
    /// Requests that wait for a replica, over all routers.
    pub waiting: u32,
    /// Requests that run, over all routers.
    pub running: u32,
    /// The time within which callers want an answer to begin, on average; 0 if nobody asks.
    pub target_latency_ms: f64,
}

impl ModelView {
    /// Adds what another router is asked for.
    pub fn add(&mut self, other: &Self) {
        let sum = self.requests_per_second + other.requests_per_second;
        if sum > 0.0 {
            let own = self.target_latency_ms * self.requests_per_second;
            let others = other.target_latency_ms * other.requests_per_second;
            self.target_latency_ms = (own + others) / sum;
        }
        self.requests_per_second = sum;
        self.waiting += other.waiting;
        self.running += other.running;
    }
}

/// One engine, as its agent's news tells.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineView {
    /// Its name.
    pub upstream: UpstreamId,
    /// The models that it serves.
    pub loaded: Vec<ModelName>,
    /// The load that is under way there.
    pub loading: Option<LoadInProgress>,
    /// Whether its agent orders loads now: it is in touch, and its engine isn't leaving.
    pub takes_orders: bool,
    /// Models with a copy of their weights in host memory.
    pub in_memory: Vec<ModelName>,
    /// Models with a copy of their weights on disk.
    pub on_disk: Vec<ModelName>,
    /// Models that make no room now: they were loaded a moment ago.
    pub protected: Vec<ModelName>,
    /// What its agent has seen of loads from the weight store.
    pub cold_load_observations: ColdLoadObservations,
}

/// A load that an engine carries out.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadInProgress {
    /// The model.
    pub model: ModelName,
    /// Whether the weights come from the weight store.
    pub is_cold: bool,
    /// How long it still takes.
    pub ready_in_ms: u64,
}

/// What an engine is to do: unload, then load.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// The model to load.
    pub load: ModelName,
    /// What makes room for it, the first first.
    pub unload: Vec<ModelName>,
    /// Whether the weights come from the weight store.
    pub is_cold: bool,
    /// Loads from the weight store that run then, this one among them if it is one.
    pub cold_concurrency: u32,
}

/// A replica carries this part of its engine's slots without harm. Beyond it, prompts that are read
/// begin to delay the tokens of others past the pause that is allowed: a few at first, and all once
/// the slots are full.
const UNHARMED_SHARE: f64 = 0.25;
/// Loads from the weight store that are left to models that somebody asks for.
const COLD_LOADS_FOR_ASKED: usize = 1;
/// Seconds of a model's demand that a load or an eviction is weighed by.
const HORIZON_SECONDS: f64 = 3.0;
/// What a waiting request weighs against one that is expected.
const WAITING_WEIGHT: f64 = 2.0;
/// Time from a wish for a load to its order: over news, the agent's own work, and mostly the runs of
/// the model that makes room, which are waited for.
const ORDER_DELAY_MS: f64 = 1800.0;
/// How much less it matters that a model is not loaded if its callers' target leaves time for a
/// load from disk, and how much more if a load takes far longer than the target.
const URGENCY: (f64, f64) = (0.3, 2.0);
/// What a model that nobody asks for just now is expected to be asked for: demand that moves on
/// comes to one of these. It keeps a last replica from making room for a request that can wait
/// for a load; it loads nothing by itself.
const UNASKED_PER_SECOND: f64 = 0.1;
/// A load must gain this many times what its evictions lose, so that models don't trade places.
const GAIN_OVER_LOSS: f64 = 1.5;
/// What a second until a replica is ready costs, in requests: engines that have the weights at
/// hand go first, but not at any price.
const SECOND_COST: f64 = 0.5;

/// A load that is done within this time counts as a replica: one from a disk is, though an unload
/// before it waits for runs of some seconds. One from the weight store may take a minute: until it
/// is nearly done its model goes by the replicas that it has.
const SOON_MS: u64 = 5000;
/// Beside a load that takes longer the model is loaded from a copy, if that is done sooner by this.
const SOONER_MS: u64 = 2000;
/// Runs beyond this many make an unload no longer: they end at the same time as the others.
const RUNS_WAITED_FOR: f64 = 4.0;

/// Decides what the engine at `own` loads next; `None` if nothing falls to it now.
pub fn next_order(
    config: &EngineConfig,
    models: &HashMap<ModelName, ModelView>,
    engines: &[EngineView],
    own: usize,
) -> Option<Order> {
    let mut fleet = Fleet::new(config, models, engines);
    for need in fleet.needs() {
        let Some(chosen) = fleet.best_engine(&need) else {
            continue;
        };
        if chosen.engine == own && engines[own].loading.is_none() {
            return Some(chosen.order);
        }
        fleet.assign(&chosen);
    }
    None
}

/// A model that wants one more replica.
struct Need<'a> {
    model: &'a ModelName,
    /// Requests that one more replica spares a wait.
    gain: f64,
}

/// An engine for a need.
struct Chosen {
    engine: usize,
    order: Order,
}

/// What an engine can make room with. It stays the same over one decision, so it is worked out
/// once: fleets have dozens of engines and models.
struct Room<'a> {
    free_mb: f64,
    /// What may make room, the cheapest first: what its going loses, and its size.
    victims: Vec<(f64, f64, &'a ModelName)>,
}

/// The engines as they will be once what was assigned so far is carried out.
struct Fleet<'a> {
    config: &'a EngineConfig,
    models: &'a HashMap<ModelName, ModelView>,
    engines: &'a [EngineView],
    replicas: HashMap<&'a ModelName, usize>,
    /// When a load that is under way is done, for models whose load takes long.
    distant_ms: HashMap<&'a ModelName, u64>,
    rooms: Vec<Room<'a>>,
    is_taken: Vec<bool>,
    cold_loads: usize,
    cold_limit: ColdLoadLimit,
    /// Whether anything is asked for at all.
    is_asked: bool,
}

impl<'a> Fleet<'a> {
    fn new(
        config: &'a EngineConfig,
        models: &'a HashMap<ModelName, ModelView>,
        engines: &'a [EngineView],
    ) -> Self {
        let mut replicas: HashMap<&ModelName, usize> = HashMap::default();
        let mut distant_ms: HashMap<&ModelName, u64> = HashMap::default();
        for engine in engines {
            for model in &engine.loaded {
                *replicas.entry(model).or_default() += 1;
            }
            let Some(load) = &engine.loading else {
                continue;
            };
            if load.ready_in_ms <= SOON_MS {
                *replicas.entry(&load.model).or_default() += 1;
            } else {
                let ready_in_ms = distant_ms.entry(&load.model).or_insert(u64::MAX);
                *ready_in_ms = load.ready_in_ms.min(*ready_in_ms);
            }
        }
        let is_cold = |engine: &&EngineView| engine.loading.as_ref().is_some_and(|l| l.is_cold);
        let mut fleet = Self {
            config,
            models,
            engines,
            replicas,
            distant_ms,
            rooms: Vec::new(),
            is_taken: vec![false; engines.len()],
            cold_loads: engines.iter().filter(is_cold).count(),
            cold_limit: cold_load_limit(engines.iter().map(|engine| engine.cold_load_observations)),
            is_asked: models.values().any(is_asked),
        };
        fleet.rooms = engines.iter().map(|engine| fleet.room(engine)).collect();
        fleet
    }

    fn size_mb(&self, model: &ModelName) -> f64 {
        let config = self.config.models.get(model);
        config.map_or(0.0, |config| config.weights_mb)
    }

    fn room(&self, engine: &'a EngineView) -> Room<'a> {
        let loading = engine.loading.iter().map(|load| &load.model);
        let held = engine.loaded.iter().chain(loading);
        let held_mb: f64 = held.map(|model| self.size_mb(model)).sum();
        let may_go = engine
            .loaded
            .iter()
            .filter(|model| !engine.protected.contains(model));
        let mut victims: Vec<(f64, f64, &ModelName)> = may_go
            .map(|model| (self.loss(model), self.size_mb(model), model))
            .collect();
        victims.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.2.cmp(b.2)));
        Room {
            free_mb: model_memory_mb(self.config) - held_mb,
            victims,
        }
    }

    fn replicas(&self, model: &ModelName) -> usize {
        self.replicas.get(model).copied().unwrap_or_default()
    }

    /// How much it matters that the model is not loaded when it is asked for.
    fn urgency(&self, model: &ModelName) -> f64 {
        let view = self.models.get(model);
        let target_ms = view.map_or(0.0, |view| view.target_latency_ms);
        if target_ms <= 0.0 {
            return URGENCY.1;
        }
        let disk_ms = self.config.models.get(model).map_or(0, |m| m.disk_load_ms);
        let load_ms = disk_ms as f64 + ORDER_DELAY_MS;
        (load_ms / target_ms).clamp(URGENCY.0, URGENCY.1)
    }

    /// What `replicas` of a model leave waiting, in requests.
    fn shortage(&self, model: &ModelName, replicas: usize) -> f64 {
        let Some(view) = self.models.get(model) else {
            return 0.0;
        };
        let expected = view.requests_per_second * HORIZON_SECONDS * self.urgency(model);
        if replicas == 0 {
            return expected + f64::from(view.waiting) * WAITING_WEIGHT;
        }
        let load = f64::from(view.running + view.waiting);
        let slots = replicas as f64 * f64::from(self.config.slots.max(1));
        expected * harm(load / slots)
    }

    /// The models that want one more replica, the most wanted first; then those that nobody asks
    /// for and that fit in what is free.
    fn needs(&self) -> Vec<Need<'a>> {
        let mut needs: Vec<Need<'a>> = self
            .config
            .models
            .keys()
            .map(|model| {
                let replicas = self.replicas(model);
                let gain = self.shortage(model, replicas) - self.shortage(model, replicas + 1);
                Need { model, gain }
            })
            .filter(|need| need.gain > 0.0 || self.replicas(need.model) == 0)
            .collect();
        needs.sort_by(|a, b| b.gain.total_cmp(&a.gain).then(a.model.cmp(b.model)));
        needs
    }

    /// Where the model is loaded at the least cost; `None` if no engine's cost is worth it, or if
    /// the best engine must finish another load first.
    fn best_engine(&self, need: &Need<'_>) -> Option<Chosen> {
        let mut best: Option<(f64, u64, usize)> = None;
        for (index, engine) in self.engines.iter().enumerate() {
            if !engine.takes_orders || self.is_taken[index] {
                continue;
            }
            let Some(loss) = self.loss_of_room(index, need) else {
                continue;
            };
            if has(engine, need.model) {
                continue;
            }
            let (load_ms, _) = self.load_ms(engine, need.model);
            let busy_ms = engine.loading.as_ref().map_or(0, |load| load.ready_in_ms);
            if !self.is_sooner(need.model, load_ms + busy_ms) {
                continue;
            }
            let cost = loss + (load_ms + busy_ms) as f64 / 1000.0 * SECOND_COST;
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

    /// Whether a load is done well before the one that is under way elsewhere, if one is.
    fn is_sooner(&self, model: &ModelName, load_ms: u64) -> bool {
        let distant_ms = self.distant_ms.get(model);
        distant_ms.is_none_or(|distant_ms| load_ms + SOONER_MS < *distant_ms)
    }

    /// Whether one more load from the weight store may begin. More than it is known to serve are for
    /// models that nobody serves; and one that nobody asks for leaves room: it can't be given up when
    /// somebody asks for another model.
    fn may_load_cold(&self, need: &Need<'_>) -> bool {
        if need.gain > 0.0 {
            let is_served = self.replicas(need.model) > 0;
            let limit = if is_served {
                self.cold_limit.known
            } else {
                self.cold_limit.max
            };
            return self.cold_loads < limit;
        }
        let kept_free = if self.is_asked {
            COLD_LOADS_FOR_ASKED
        } else {
            0
        };
        self.cold_loads + kept_free < self.cold_limit.known
    }

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

    /// What room for the model loses on an engine; `None` if it isn't worth it, or can't be made.
    fn loss_of_room(&self, engine: usize, need: &Need<'_>) -> Option<f64> {
        let victims = self.victims(engine, need)?;
        let loss = victims.iter().map(|(loss, _, _)| loss).sum();
        let is_worth = victims.is_empty() || need.gain > loss * GAIN_OVER_LOSS;
        is_worth.then_some(loss)
    }

    /// What makes room for the model on an engine; `None` if nothing can.
    fn victims(&self, engine: usize, need: &Need<'_>) -> Option<&[(f64, f64, &'a ModelName)]> {
        let room = &self.rooms[engine];
        let needed_mb = self.size_mb(need.model);
        let mut free_mb = room.free_mb;
        for count in 0..=room.victims.len() {
            if free_mb >= needed_mb {
                return Some(&room.victims[..count]);
            }
            free_mb += room.victims.get(count).map_or(0.0, |(_, mb, _)| *mb);
        }
        None
    }

    /// Requests that would wait if one replica of `model` went.
    fn loss(&self, model: &ModelName) -> f64 {
        let replicas = self.replicas(model);
        let without = replicas.saturating_sub(1);
        let view = self.models.get(model);
        let rate = view.map_or(0.0, |view| view.requests_per_second);
        let mut shortage = self.shortage(model, without) - self.shortage(model, replicas);
        if without == 0 && rate < UNASKED_PER_SECOND {
            shortage = shortage.max(UNASKED_PER_SECOND * HORIZON_SECONDS * URGENCY.1);
        }
        // An unload waits for what runs, and holds up the engine's next order until then.
        let running = view.map_or(0, |view| view.running);
        let running_here = f64::from(running) / replicas.max(1) as f64;
        shortage + running_here.min(RUNS_WAITED_FOR) * SECOND_COST
    }

    fn assign(&mut self, chosen: &Chosen) {
        self.is_taken[chosen.engine] = true;
        self.cold_loads += usize::from(chosen.order.is_cold);
    }
}

/// What becomes of requests at replicas that run or queue so many for each slot: 1 if all are late.
/// Those that find no slot count as much again, so that a second replica is worth its place however
/// much is asked of the first.
fn harm(load_per_slot: f64) -> f64 {
    let over = (load_per_slot - UNHARMED_SHARE) / (1.0 - UNHARMED_SHARE);
    let late = over.clamp(0.0, 1.0).powi(2);
    let without_slot = 1.0 - 1.0 / load_per_slot.max(1.0);
    late + without_slot
}

fn is_asked(model: &ModelView) -> bool {
    model.requests_per_second > 0.0 || model.waiting > 0
}

fn has(engine: &EngineView, model: &ModelName) -> bool {
    engine.loaded.contains(model) || engine.loading.as_ref().is_some_and(|l| l.model == *model)
}

/// Accelerator memory of an engine for models; the rest is kept for adapters.
pub fn model_memory_mb(config: &EngineConfig) -> f64 {
    let adapter_mb = config.models.values().map(|model| model.adapter_mb);
    let largest_mb = adapter_mb.fold(0.0, f64::max);
    config.weights_mb - config.adapter_slots as f64 * largest_mb
}
