//! Simulates a weight store that serves few loads at full speed: idle models are being fetched when
//! the last copy of a busy one is lost, and many rarely used models are requested at the same time.

use celerystair_core::prelude::*;
use celerystair_policy::{
    cold_loads::{ColdLoadLimit, cold_load_limit},
    prelude::*,
    replicas::LoadInProgress,
};

/// Time between two rounds of decisions.
const ROUND_MS: u64 = 100;

/// A fleet and its weight store. The duration of a load is fixed when it begins.
struct Simulation {
    config: EngineConfig,
    engines: Vec<EngineView>,
    /// For the load of each engine: when it began, when it ends, and the concurrency.
    loads: Vec<Option<(u64, u64, u32)>>,
    models: HashMap<ModelName, ModelView>,
    store_concurrency: u32,
    load_ms: u64,
    now_unix_ms: u64,
}

fn model(number: usize) -> ModelName {
    ModelName::from(format!("m{number}"))
}

fn demand(requests_per_second: f64, waiting: u32, running: u32) -> ModelView {
    ModelView {
        requests_per_second,
        waiting,
        running,
        target_latency_ms: 500.0,
    }
}

impl Simulation {
    /// Creates engines with memory for three models each, two of which are loaded. All further
    /// models have no copy at any engine.
    fn new(engines: usize, models: usize, store_concurrency: u32, load_ms: u64) -> Self {
        let model_config = ModelConfig {
            weights_mb: 60_000.0,
            cold_load_ms: load_ms,
            disk_load_ms: 1000,
            memory_load_ms: 500,
            ..ModelConfig::default()
        };
        let views = (0..engines).map(|number| EngineView {
            upstream: UpstreamId::from(format!("e{number}")),
            loaded: vec![model(2 * number), model(2 * number + 1)],
            on_disk: vec![model(2 * number), model(2 * number + 1)],
            takes_orders: true,
            ..EngineView::default()
        });
        Self {
            config: EngineConfig {
                slots: 48,
                weights_mb: 200_000.0,
                adapter_slots: 8,
                models: (0..models)
                    .map(|number| (model(number), model_config.clone()))
                    .collect(),
            },
            engines: views.collect(),
            loads: vec![None; engines],
            models: HashMap::default(),
            store_concurrency,
            load_ms,
            now_unix_ms: 100_000,
        }
    }

    fn run_for(&mut self, run_ms: u64) {
        let end_unix_ms = self.now_unix_ms + run_ms;
        while self.now_unix_ms < end_unix_ms {
            for own in 0..self.engines.len() {
                self.finish_load(own);
                self.begin_load(own);
            }
            self.now_unix_ms += ROUND_MS;
        }
    }

    fn finish_load(&mut self, own: usize) {
        let Some((began, ends, concurrency)) = self.loads[own] else {
            return;
        };
        let (now, engine) = (self.now_unix_ms, &mut self.engines[own]);
        let is_done = now >= ends;
        let is_cold = engine.loading.as_ref().is_some_and(|load| load.is_cold);
        if is_cold {
            let run = ColdLoadRun {
                concurrency,
                elapsed_ms: now - began,
                uncontended_ms: self.load_ms,
                is_done,
            };
            engine.cold_load_observations.record_load(&run, now);
        }
        if is_done && let Some(load) = engine.loading.take() {
            engine.loaded.push(load.model.clone());
            engine.on_disk.push(load.model);
            self.loads[own] = None;
        }
    }

    fn begin_load(&mut self, own: usize) {
        let order = next_order(&self.config, &self.models, &self.engines, own);
        let Some(order) = order else {
            return;
        };
        let in_progress = self.cold_loads() + u32::from(order.is_cold);
        let run_ms = if order.is_cold {
            self.load_ms * u64::from(in_progress.max(self.store_concurrency))
                / u64::from(self.store_concurrency)
        } else {
            1000
        };
        let engine = &mut self.engines[own];
        engine.loaded.retain(|model| !order.unload.contains(model));
        engine.loading = Some(LoadInProgress {
            model: order.load,
            is_cold: order.is_cold,
            ready_in_ms: self.load_ms,
        });
        let now = self.now_unix_ms;
        self.loads[own] = Some((now, now + run_ms, order.cold_concurrency));
    }

    fn cold_loads(&self) -> u32 {
        let loads = self.engines.iter().filter_map(|e| e.loading.as_ref());
        loads.filter(|load| load.is_cold).count() as u32
    }

    fn is_loaded(&self, number: usize) -> bool {
        let model = model(number);
        self.engines.iter().any(|e| e.loaded.contains(&model))
    }

    /// Returns the time until the model is loaded, at most about `limit_ms`.
    fn wait_for(&mut self, number: usize, limit_ms: u64) -> u64 {
        let since = self.now_unix_ms;
        while !self.is_loaded(number) && self.now_unix_ms < since + limit_ms {
            self.run_for(ROUND_MS);
        }
        self.now_unix_ms - since
    }

    /// Replaces the engine by a new one without any copies.
    fn lose_engine(&mut self, own: usize) {
        self.engines[own] = EngineView {
            upstream: UpstreamId::from("new"),
            ..EngineView::default()
        };
        self.loads[own] = None;
    }
}

/// Without demand, engines fetch idle models. Then the only engine with a busy model is lost. The
/// store serves one load at full speed, which takes 13.2 s.
#[test]
fn a_busy_model_does_not_wait_until_idle_models_are_fetched() {
    let mut simulation = Simulation::new(12, 40, 1, 13_200);
    simulation.run_for(14_000);
    for number in 0..24 {
        simulation.models.insert(model(number), demand(1.0, 0, 1));
    }
    simulation.models.insert(model(0), demand(60.0, 0, 8));
    simulation.run_for(13_000);
    simulation.lose_engine(0);
    simulation.models.insert(model(0), demand(60.0, 40, 0));
    let waited_ms = simulation.wait_for(0, 100_000);
    assert!(waited_ms <= 2 * 13_200 + 2 * ROUND_MS, "{waited_ms} ms");
}

/// Many rarely used models are requested at the same time, and the store serves four loads at full
/// speed. Agents must find that out, and the last model must be loaded not much later than with
/// four concurrent loads from the beginning.
#[test]
fn agents_use_the_full_concurrency_of_a_store_that_serves_four_loads() {
    let mut simulation = Simulation::new(12, 36, 4, 6_000);
    for number in 0..36 {
        let waiting = u32::from(number >= 24);
        simulation
            .models
            .insert(model(number), demand(2.0, waiting, 1));
    }
    let since = simulation.now_unix_ms;
    for number in 24..36 {
        simulation.wait_for(number, 100_000);
    }
    // Concurrencies of one, two and four, and five more rounds in which agents probe the store.
    let took_ms = simulation.now_unix_ms - since;
    assert!(took_ms <= 8 * 6_000, "{took_ms} ms");
    let observations = simulation
        .engines
        .iter()
        .map(|engine| engine.cold_load_observations);
    assert!(cold_load_limit(observations).confirmed >= 4);
}

fn finished_load(concurrency: u32, elapsed_ms: u64) -> ColdLoadRun {
    ColdLoadRun {
        concurrency,
        elapsed_ms,
        uncontended_ms: 6000,
        is_done: true,
    }
}

/// Whatever the concurrency of the store, agents converge to it and then stay there.
#[test]
fn agents_converge_to_the_concurrency_of_the_store() {
    for store_concurrency in 1_u32..=8 {
        let mut observations = [ColdLoadObservations::default(); 12];
        let mut tried = Vec::new();
        for step in 0..10_usize {
            let concurrency = cold_load_limit(observations).max;
            tried.push(concurrency as u32);
            let now = 100_000 + step as u64 * 6000;
            for load in 1..=concurrency {
                let run_ms = 6000 * load.max(store_concurrency as usize) as u64
                    / u64::from(store_concurrency);
                let agent = (step + load) % observations.len();
                observations[agent].record_load(&finished_load(concurrency as u32, run_ms), now);
            }
        }
        assert_eq!(tried.last(), Some(&store_concurrency), "{tried:?}");
        assert!(
            tried.iter().all(|tried| *tried <= store_concurrency + 2),
            "{tried:?}"
        );
    }
}

/// Two loads begin at the same moment, so each counts a concurrency of two; the store serves one at
/// a time. The load that is on time must not raise the limit.
#[test]
fn a_single_load_on_time_does_not_confirm_a_concurrency_of_two() {
    let mut observations = [ColdLoadObservations::default(); 3];
    observations[0].record_load(&finished_load(2, 6000), 100_000);
    assert_eq!(
        cold_load_limit(observations),
        ColdLoadLimit {
            confirmed: 1,
            max: 2
        }
    );
    observations[1].record_load(&finished_load(2, 12_000), 106_000);
    assert_eq!(
        cold_load_limit(observations),
        ColdLoadLimit {
            confirmed: 1,
            max: 1
        }
    );
}

/// The store was slow for a while. The limit that follows from that must expire.
#[test]
fn a_store_that_was_slow_is_probed_again() {
    let mut observations = ColdLoadObservations::default();
    observations.record_load(&finished_load(4, 6000), 10_000);
    assert_eq!(cold_load_limit([observations; 4]).confirmed, 4);
    observations.record_load(&finished_load(2, 12_000), 20_000);
    assert_eq!(cold_load_limit([observations; 4]).max, 1);
    observations.expire(79_000);
    assert_eq!(cold_load_limit([observations; 4]).max, 1);
    observations.expire(80_000);
    assert_eq!(cold_load_limit([observations; 4]).max, 2);
}
