//! Replays a weight store that serves few loads at full speed: idle models are being fetched when
//! the last copy of a busy one goes, and rare models are asked for all at once.

use celerystair_core::prelude::*;
use celerystair_policy::{
    cold_loads::{ColdLoadLimit, cold_load_limit},
    prelude::*,
    replicas::LoadInProgress,
};

/// Time from one round of decisions to the next.
const ROUND_MS: u64 = 100;

/// A fleet and its weight store, which fixes how long a load takes when it begins.
struct Replay {
    config: EngineConfig,
    engines: Vec<EngineView>,
    /// Of each engine's load: when it began, when it ends, and beside how many.
    loads: Vec<Option<(u64, u64, u32)>>,
    models: HashMap<ModelName, ModelView>,
    store_at_once: u32,
    load_ms: u64,
    now_unix_ms: u64,
}

fn model(number: usize) -> ModelName {
    ModelName::from(format!("m{number}"))
}

fn asked(requests_per_second: f64, waiting: u32, running: u32) -> ModelView {
    ModelView {
        requests_per_second,
        waiting,
        running,
        target_latency_ms: 500.0,
    }
}

impl Replay {
    /// Engines with room for three models each, of which two are loaded; models beyond have no copy
    /// anywhere.
    fn new(engines: usize, models: usize, store_at_once: u32, load_ms: u64) -> Self {
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
            store_at_once,
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
        let Some((began, ends, at_once)) = self.loads[own] else {
            return;
        };
        let (now, engine) = (self.now_unix_ms, &mut self.engines[own]);
        let is_done = now >= ends;
        let is_cold = engine.loading.as_ref().is_some_and(|load| load.is_cold);
        if is_cold {
            let run = ColdLoadRun {
                concurrency: at_once,
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
        let under_way = self.cold_loads() + u32::from(order.is_cold);
        let run_ms = if order.is_cold {
            self.load_ms * u64::from(under_way.max(self.store_at_once))
                / u64::from(self.store_at_once)
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

    /// How long until the model serves, at most `limit_ms`.
    fn wait_for(&mut self, number: usize, limit_ms: u64) -> u64 {
        let since = self.now_unix_ms;
        while !self.is_loaded(number) && self.now_unix_ms < since + limit_ms {
            self.run_for(ROUND_MS);
        }
        self.now_unix_ms - since
    }

    /// The engine goes for good, with what it had.
    fn lose(&mut self, own: usize) {
        self.engines[own] = EngineView {
            upstream: UpstreamId::from("new"),
            ..EngineView::default()
        };
        self.loads[own] = None;
    }
}

/// Before callers come, engines fetch models that nobody asks for. Then the one engine with a busy
/// model goes for good. The store gives one load its full speed, of 13.2 s.
#[test]
fn a_busy_model_does_not_wait_for_idle_ones_to_be_fetched() {
    let mut replay = Replay::new(12, 40, 1, 13_200);
    replay.run_for(14_000);
    for number in 0..24 {
        replay.models.insert(model(number), asked(1.0, 0, 1));
    }
    replay.models.insert(model(0), asked(60.0, 0, 8));
    replay.run_for(13_000);
    replay.lose(0);
    replay.models.insert(model(0), asked(60.0, 40, 0));
    let waited_ms = replay.wait_for(0, 100_000);
    assert!(waited_ms <= 2 * 13_200 + 2 * ROUND_MS, "{waited_ms} ms");
}

/// Rare models are asked for at once, at a store that gives four loads full speed: agents find that
/// out, and the last is there soon after four at a time would have been.
#[test]
fn a_store_that_serves_four_at_once_is_used_so() {
    let mut replay = Replay::new(12, 36, 4, 6_000);
    for number in 0..36 {
        let waiting = u32::from(number >= 24);
        replay.models.insert(model(number), asked(2.0, waiting, 1));
    }
    let since = replay.now_unix_ms;
    for number in 24..36 {
        replay.wait_for(number, 100_000);
    }
    // One, two and four at once, and five rounds for what the agents find out meanwhile.
    let took_ms = replay.now_unix_ms - since;
    assert!(took_ms <= 8 * 6_000, "{took_ms} ms");
    let seen = replay
        .engines
        .iter()
        .map(|engine| engine.cold_load_observations);
    assert!(cold_load_limit(seen).confirmed >= 4);
}

fn run(at_once: u32, run_ms: u64) -> ColdLoadRun {
    ColdLoadRun {
        concurrency: at_once,
        elapsed_ms: run_ms,
        uncontended_ms: 6000,
        is_done: true,
    }
}

/// However many a store serves at full speed, agents come to know it, and go on to load as many and
/// no more.
#[test]
fn agents_find_out_how_many_a_store_serves() {
    for served in 1_u32..=8 {
        let mut seen = [ColdLoadObservations::default(); 12];
        let mut tried = Vec::new();
        for step in 0..10_usize {
            let at_once = cold_load_limit(seen).max;
            tried.push(at_once as u32);
            let now = 100_000 + step as u64 * 6000;
            for load in 1..=at_once {
                let run_ms = 6000 * load.max(served as usize) as u64 / u64::from(served);
                let agent = (step + load) % seen.len();
                seen[agent].record_load(&run(at_once as u32, run_ms), now);
            }
        }
        assert_eq!(tried.last(), Some(&served), "{tried:?}");
        assert!(tried.iter().all(|tried| *tried <= served + 2), "{tried:?}");
    }
}

/// Two agents begin at the same moment, and each counts two; the store serves one at a time. The one
/// that is on time must not make anybody try more.
#[test]
fn one_that_was_on_time_beside_another_proves_nothing() {
    let mut seen = [ColdLoadObservations::default(); 3];
    seen[0].record_load(&run(2, 6000), 100_000);
    assert_eq!(
        cold_load_limit(seen),
        ColdLoadLimit {
            confirmed: 1,
            max: 2
        }
    );
    seen[1].record_load(&run(2, 12_000), 106_000);
    assert_eq!(
        cold_load_limit(seen),
        ColdLoadLimit {
            confirmed: 1,
            max: 1
        }
    );
}

/// The store was slow for a time; what was seen then does not hold for ever.
#[test]
fn a_store_that_was_slow_is_tried_again() {
    let mut seen = ColdLoadObservations::default();
    seen.record_load(&run(4, 6000), 10_000);
    assert_eq!(cold_load_limit([seen; 4]).confirmed, 4);
    seen.record_load(&run(2, 12_000), 20_000);
    assert_eq!(cold_load_limit([seen; 4]).max, 1);
    seen.expire(79_000);
    assert_eq!(cold_load_limit([seen; 4]).max, 1);
    seen.expire(80_000);
    assert_eq!(cold_load_limit([seen; 4]).max, 2);
}
