//! Demand that moves, models that are asked for all at once, engines that go: what each engine
//! loads, replayed over a fleet that carries out what it is told.

use celerystair_core::prelude::*;
use celerystair_policy::prelude::*;
use celerystair_policy::replicas::{LoadInProgress, model_memory_mb};

const SIZES_MB: [f64; 3] = [42_700.0, 65_100.0, 72_700.0];

fn model(number: usize) -> ModelName {
    ModelName::from(format!("m{number}"))
}

fn config(models: usize) -> EngineConfig {
    let models = (0..models).map(|number| {
        let config = ModelConfig {
            weights_mb: SIZES_MB[number % 3],
            adapter_mb: 66.0,
            adapters: 4,
            cold_load_ms: 6000,
            disk_load_ms: 1000,
            memory_load_ms: 500,
        };
        (model(number), config)
    });
    EngineConfig {
        slots: 48,
        weights_mb: 200_000.0,
        adapter_slots: 8,
        models: models.collect(),
    }
}

fn engine(number: usize, loaded: &[usize]) -> EngineView {
    EngineView {
        upstream: UpstreamId::from(format!("e{number}")),
        loaded: loaded.iter().map(|number| model(*number)).collect(),
        on_disk: loaded.iter().map(|number| model(*number)).collect(),
        takes_orders: true,
        ..EngineView::default()
    }
}

fn asked(requests_per_second: f64, waiting: u32, running: u32) -> ModelView {
    ModelView {
        requests_per_second,
        waiting,
        running,
        target_latency_ms: 500.0,
    }
}

fn held_mb(config: &EngineConfig, engine: &EngineView) -> f64 {
    let loading = engine.loading.iter().map(|load| &load.model);
    let models = engine.loaded.iter().chain(loading);
    models.map(|model| config.models[model].weights_mb).sum()
}

/// Every engine carries out its order, in turn, until none has one; gives the orders.
fn settle(
    config: &EngineConfig,
    models: &HashMap<ModelName, ModelView>,
    engines: &mut [EngineView],
) -> Vec<(usize, Order)> {
    let mut orders = Vec::new();
    for _round in 0..20 {
        let before = orders.len();
        for own in 0..engines.len() {
            let Some(order) = next_order(config, models, engines, own) else {
                continue;
            };
            let engine = &mut engines[own];
            engine.loaded.retain(|model| !order.unload.contains(model));
            engine.loading = Some(LoadInProgress {
                model: order.load.clone(),
                is_cold: order.is_cold,
                ready_in_ms: 1000,
            });
            assert!(
                held_mb(config, engine) <= model_memory_mb(config),
                "{engine:?}"
            );
            orders.push((own, order));
        }
        for engine in engines.iter_mut() {
            if let Some(load) = engine.loading.take() {
                engine.loaded.push(load.model.clone());
                engine.on_disk.push(load.model);
            }
        }
        if orders.len() == before {
            break;
        }
    }
    orders
}

fn replicas(engines: &[EngineView], number: usize) -> usize {
    let model = model(number);
    engines
        .iter()
        .filter(|engine| engine.loaded.contains(&model))
        .count()
}

/// The busy model falls silent and another one rises: it gets replicas where its weights are at
/// hand, and the silent one makes room.
#[test]
fn demand_that_moves_on_is_followed() {
    let config = config(6);
    let mut engines: Vec<EngineView> = (0..4).map(|n| engine(n, &[0, 1])).collect();
    for engine in &mut engines {
        engine.on_disk.push(model(2));
    }
    engines[0].loaded.push(model(3));
    let mut models = HashMap::default();
    models.insert(model(1), asked(8.0, 0, 12));
    models.insert(model(2), asked(30.0, 10, 0));
    settle(&config, &models, &mut engines);
    assert!(replicas(&engines, 2) >= 1);
    models.insert(model(2), asked(30.0, 0, 40));
    settle(&config, &models, &mut engines);
    assert!(replicas(&engines, 2) >= 3, "{engines:?}");
    assert!(replicas(&engines, 1) >= 1, "who still serves callers stays");
}

/// Three of the largest models are asked for alike, and only two fit: they must not take turns for
/// ever.
#[test]
fn models_that_are_asked_for_alike_do_not_trade_places() {
    let config = config(9);
    let mut engines = vec![engine(0, &[2, 5])];
    engines[0].on_disk.push(model(8));
    let mut models = HashMap::default();
    for number in [2, 5, 8] {
        models.insert(model(number), asked(0.5, 0, 0));
    }
    let orders = settle(&config, &models, &mut engines);
    let trades = orders.iter().filter(|(_, order)| !order.unload.is_empty());
    assert_eq!(trades.count(), 0, "{orders:?}");
}

/// Who waits for a rare model gets it in the place of one that nobody uses just now.
#[test]
fn a_rare_model_that_is_waited_for_replaces_an_idle_one() {
    let config = config(9);
    let mut engines = vec![engine(0, &[2, 5])];
    engines[0].on_disk.push(model(8));
    let mut models = HashMap::default();
    models.insert(model(8), asked(0.3, 1, 0));
    models.insert(model(2), asked(0.3, 0, 0));
    models.insert(model(5), asked(0.3, 0, 2));
    let order = next_order(&config, &models, &engines, 0).expect("an order");
    assert_eq!(order.load, model(8));
    assert_eq!(order.unload, [model(2)], "the one without runs");
    assert!(!order.is_cold);
}

/// Rare models are asked for at once. Together the engines begin no more loads from the weight
/// store than run at full speed, the most wanted first.
#[test]
fn loads_from_the_weight_store_are_few_and_the_most_wanted() {
    let config = config(30);
    let mut engines: Vec<EngineView> = (0..12).map(|n| engine(n, &[n])).collect();
    for engine in &mut engines[..4] {
        engine.cold_load_observations.on_time_concurrency = 4;
    }
    engines[7].cold_load_observations.full_speed_concurrency = 4;
    let mut models = HashMap::default();
    for number in 12..30 {
        models.insert(model(number), asked(f64::from(number as u32), 1, 0));
    }
    let mut cold = Vec::new();
    for own in 0..engines.len() {
        if let Some(order) = next_order(&config, &models, &engines, own) {
            assert!(order.is_cold);
            engines[own].loading = Some(LoadInProgress {
                model: order.load.clone(),
                is_cold: true,
                ready_in_ms: 6000,
            });
            cold.push(order.load);
        }
    }
    assert_eq!(cold.len(), 4, "{cold:?}");
    assert!(
        cold.contains(&model(29)) && cold.contains(&model(28)),
        "{cold:?}"
    );
}

/// The weight store is slower than its sheet says: loads are overdue. Others that begin then slow
/// all of them further, and none is done in time for anybody.
#[test]
fn a_slow_weight_store_gets_no_more_loads_until_one_is_done() {
    let config = config(30);
    let mut engines: Vec<EngineView> = (0..12).map(|n| engine(n, &[n])).collect();
    let mut models = HashMap::default();
    for number in 12..30 {
        models.insert(model(number), asked(3.0, 1, 0));
    }
    engines[0].loading = Some(LoadInProgress {
        model: model(12),
        is_cold: true,
        ready_in_ms: 3000,
    });
    engines[0].cold_load_observations.full_speed_concurrency = 1;
    let orders = |engines: &[EngineView]| -> Vec<Order> {
        let orders =
            (0..engines.len()).filter_map(|own| next_order(&config, &models, engines, own));
        orders.collect()
    };
    assert_eq!(orders(&engines), []);
    engines[1].on_disk.push(model(20));
    assert_eq!(orders(&engines).len(), 1, "a disk needs no store");
    engines[0].loading = None;
    let cold = |orders: &[Order]| orders.iter().filter(|order| order.is_cold).count();
    assert_eq!(cold(&orders(&engines)), 1, "the next one, alone");
    engines[0].cold_load_observations = ColdLoadObservations {
        on_time_concurrency: 1,
        ..ColdLoadObservations::default()
    };
    assert_eq!(
        cold(&orders(&engines)),
        2,
        "once the store is as it should be"
    );
}

/// Engines are taken away at short notice: what only they had comes up elsewhere.
#[test]
fn what_a_lost_engine_had_comes_up_elsewhere() {
    let config = config(6);
    let mut engines: Vec<EngineView> = vec![engine(0, &[0, 1]), engine(1, &[2]), engine(2, &[3])];
    for engine in &mut engines {
        engine.on_disk = (0..6).map(model).collect();
    }
    let mut models = HashMap::default();
    for number in 0..4 {
        models.insert(model(number), asked(1.0, 0, 1));
    }
    engines[0].takes_orders = false;
    engines[0].loaded.clear();
    models.insert(model(0), asked(1.0, 2, 0));
    models.insert(model(1), asked(1.0, 2, 0));
    settle(&config, &models, &mut engines);
    for number in 0..4 {
        assert!(
            replicas(&engines[1..], number) >= 1,
            "m{number} {engines:?}"
        );
    }
}

/// Whatever is asked for, no engine is told to hold more than it can, to load what it has, or to
/// unload what it hasn't; and every agent that sees the same decides the same.
#[test]
fn orders_always_fit() {
    arbtest::arbtest(|u| {
        let count = u.int_in_range(1..=20)?;
        let config = config(count);
        let mut engines = Vec::new();
        for number in 0..u.int_in_range(1..=6)? {
            let mut loaded: Vec<usize> = Vec::new();
            for _ in 0..u.int_in_range(0..=3)? {
                let more = u.int_in_range(0..=count - 1)?;
                let mut with_more = loaded.clone();
                with_more.push(more);
                let fits = held_mb(&config, &engine(0, &with_more)) <= model_memory_mb(&config);
                if fits && !loaded.contains(&more) {
                    loaded = with_more;
                }
            }
            engines.push(engine(number, &loaded));
        }
        let mut models = HashMap::default();
        for number in 0..count {
            if u.arbitrary()? {
                let rate = f64::from(u.int_in_range(0..=300)?) / 10.0;
                let view = asked(rate, u.int_in_range(0..=30)?, u.int_in_range(0..=60)?);
                models.insert(model(number), view);
            }
        }
        for own in 0..engines.len() {
            let Some(order) = next_order(&config, &models, &engines, own) else {
                continue;
            };
            assert!(!engines[own].loaded.contains(&order.load));
            assert!(
                order
                    .unload
                    .iter()
                    .all(|model| engines[own].loaded.contains(model))
            );
            let mut after = engines[own].clone();
            after.loaded.retain(|model| !order.unload.contains(model));
            after.loaded.push(order.load.clone());
            assert!(held_mb(&config, &after) <= model_memory_mb(&config));
        }
        Ok(())
    });
}

/// Engines with room for two models each. Five models are asked for by everybody, and 38 a little
/// each by callers who wait for seconds, all the time: each of those is to stay loaded, and not to
/// take turns with the others, while the five still have slots to spare.
#[test]
fn models_that_are_asked_for_a_little_stay_beside_busy_ones() {
    const BUSY: usize = 5;
    const MODELS: usize = 43;
    let mut config = config(MODELS);
    config.slots = 32;
    for model in config.models.values_mut() {
        model.weights_mb = 90_000.0;
        model.disk_load_ms = 780;
    }
    let mut engines: Vec<EngineView> = (0..44)
        .map(|number| {
            let mut engine = engine(number, &[number % BUSY, (number + 1) % BUSY]);
            engine.on_disk = (0..MODELS).map(model).collect();
            engine
        })
        .collect();
    let mut rounds_with_loads = 0;
    for round in 0..30 {
        let mut models = HashMap::default();
        for number in 0..MODELS {
            let is_loaded = replicas(&engines, number) > 0;
            let (rate, running, target_ms) = if number < BUSY {
                (60.0, 120, 500.0)
            } else {
                (1.8, 4, 2500.0)
            };
            let mut view = asked(rate, 0, if is_loaded { running } else { 0 });
            view.waiting = if is_loaded { 0 } else { 4 };
            view.target_latency_ms = target_ms;
            models.insert(model(number), view);
        }
        let orders = settle(&config, &models, &mut engines);
        rounds_with_loads += usize::from(round >= 10 && !orders.is_empty());
    }
    let missing = (0..MODELS).filter(|number| replicas(&engines, *number) == 0);
    assert_eq!(missing.count(), 0, "{engines:?}");
    for number in 0..BUSY {
        let slots = 32 * replicas(&engines, number);
        assert!(
            slots >= 160,
            "m{number}: half of its slots are free: {slots}"
        );
    }
    assert_eq!(rounds_with_loads, 0, "they take turns");
}

/// A load from the weight store takes a minute. Meanwhile the one replica that serves the model is
/// not given up for it; and where the model is on a disk, it comes from there, but no second load
/// from the weight store begins.
#[test]
fn a_load_that_takes_long_is_no_replica_yet() {
    let config = config(9);
    let mut engines = vec![engine(0, &[2, 5]), engine(1, &[]), engine(2, &[])];
    engines[0].on_disk.push(model(8));
    engines[1].loading = Some(LoadInProgress {
        model: model(2),
        is_cold: true,
        ready_in_ms: 26_000,
    });
    engines[2].takes_orders = false;
    let mut models = HashMap::default();
    models.insert(model(2), asked(20.0, 0, 6));
    models.insert(model(5), asked(20.0, 0, 6));
    models.insert(model(8), asked(2.0, 2, 0));
    assert_eq!(next_order(&config, &models, &engines, 0), None);
    engines[0].loaded.retain(|loaded| *loaded != model(2));
    engines[0].on_disk.retain(|copy| *copy != model(2));
    models.insert(model(2), asked(20.0, 30, 0));
    let order = next_order(&config, &models, &engines, 0);
    assert!(
        order.is_none_or(|order| order.load != model(2)),
        "no second cold load"
    );
    engines[0].on_disk.push(model(2));
    let order = next_order(&config, &models, &engines, 0).expect("an order");
    assert_eq!((order.load, order.is_cold), (model(2), false));
}

/// Everybody asks for one model, and its one replica has more than four engines could run: each
/// further replica is worth its place beside models that are asked for a little.
#[test]
fn a_model_that_overruns_its_replica_gets_more() {
    let config = config(9);
    let mut engines: Vec<EngineView> = (0..6)
        .map(|n| engine(n, &[n + 1, (n + 1) % 6 + 1]))
        .collect();
    engines[0].loaded.push(model(0));
    for engine in &mut engines {
        engine.on_disk.push(model(0));
    }
    let mut models = HashMap::default();
    for number in 1..7 {
        models.insert(model(number), asked(1.0, 0, 2));
    }
    models.insert(model(0), asked(80.0, 120, 100));
    settle(&config, &models, &mut engines);
    assert!(replicas(&engines, 0) >= 4, "{engines:?}");
}

/// The weight store is known to serve one load at once. A further replica of a busy model waits for
/// it, and a model that nobody serves does not.
#[test]
fn the_weight_store_is_kept_for_models_that_nobody_serves() {
    let config = config(9);
    let mut engines = vec![engine(0, &[0]), engine(1, &[]), engine(2, &[1])];
    engines[2].cold_load_observations.on_time_concurrency = 1;
    engines[2].loading = Some(LoadInProgress {
        model: model(3),
        is_cold: true,
        ready_in_ms: 4000,
    });
    let mut models = HashMap::default();
    models.insert(model(0), asked(60.0, 40, 48));
    assert_eq!(next_order(&config, &models, &engines, 1), None);
    models.insert(model(4), asked(2.0, 3, 0));
    let orders = [0, 1].map(|own| next_order(&config, &models, &engines, own));
    let loads: Vec<ModelName> = orders.into_iter().flatten().map(|o| o.load).collect();
    assert_eq!(loads, [model(4)]);
    engines[2].loading = None;
    models.remove(&model(4));
    let orders = [1, 2].map(|own| next_order(&config, &models, &engines, own));
    let loads: Vec<(ModelName, bool)> = orders
        .into_iter()
        .flatten()
        .map(|order| (order.load, order.is_cold))
        .collect();
    assert_eq!(loads, [(model(0), true)], "once the store is free");
}
