//! Simulates a fleet that carries out its orders while demand moves between models, many models are
//! requested at the same time, and engines are lost.

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

fn demand(requests_per_second: f64, waiting: u32, running: u32) -> ModelView {
    ModelView {
        requests_per_second,
        waiting,
        running,
        target_latency_ms: 500.0,
    }
}

fn used_mb(config: &EngineConfig, engine: &EngineView) -> f64 {
    let loading = engine.loading.iter().map(|load| &load.model);
    let models = engine.loaded.iter().chain(loading);
    models.map(|model| config.models[model].weights_mb).sum()
}

/// Lets each engine carry out its order, in turn, until there are none; returns the orders.
fn run_until_stable(
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
                used_mb(config, engine) <= model_memory_mb(config),
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

/// Demand moves from a busy model to another one, which must get replicas where copies of its
/// weights are. The model without demand is evicted.
#[test]
fn replicas_follow_demand_that_moves_to_another_model() {
    let config = config(6);
    let mut engines: Vec<EngineView> = (0..4).map(|n| engine(n, &[0, 1])).collect();
    for engine in &mut engines {
        engine.on_disk.push(model(2));
    }
    engines[0].loaded.push(model(3));
    let mut models = HashMap::default();
    models.insert(model(1), demand(8.0, 0, 12));
    models.insert(model(2), demand(30.0, 10, 0));
    run_until_stable(&config, &models, &mut engines);
    assert!(replicas(&engines, 2) >= 1);
    models.insert(model(2), demand(30.0, 0, 40));
    run_until_stable(&config, &models, &mut engines);
    assert!(replicas(&engines, 2) >= 3, "{engines:?}");
    assert!(
        replicas(&engines, 1) >= 1,
        "a model with demand keeps a replica"
    );
}

/// Three of the largest models have equal demand, and only two fit: they must not evict each other
/// in turn for ever.
#[test]
fn models_with_equal_demand_do_not_evict_each_other() {
    let config = config(9);
    let mut engines = vec![engine(0, &[2, 5])];
    engines[0].on_disk.push(model(8));
    let mut models = HashMap::default();
    for number in [2, 5, 8] {
        models.insert(model(number), demand(0.5, 0, 0));
    }
    let orders = run_until_stable(&config, &models, &mut engines);
    let evictions = orders.iter().filter(|(_, order)| !order.unload.is_empty());
    assert_eq!(evictions.count(), 0, "{orders:?}");
}

/// Requests wait for a rarely used model, which must replace a model without running requests.
#[test]
fn a_rare_model_with_waiting_requests_replaces_an_idle_one() {
    let config = config(9);
    let mut engines = vec![engine(0, &[2, 5])];
    engines[0].on_disk.push(model(8));
    let mut models = HashMap::default();
    models.insert(model(8), demand(0.3, 1, 0));
    models.insert(model(2), demand(0.3, 0, 0));
    models.insert(model(5), demand(0.3, 0, 2));
    let order = next_order(&config, &models, &engines, 0).expect("the engine gets an order");
    assert_eq!(order.load, model(8));
    assert_eq!(
        order.unload,
        [model(2)],
        "the model without running requests"
    );
    assert!(!order.is_cold);
}

/// Many rarely used models are requested at the same time. Together the engines must begin no more
/// loads from the weight store than run at full speed, those with the highest demand first.
#[test]
fn concurrent_cold_loads_are_limited_and_ordered_by_demand() {
    let config = config(30);
    let mut engines: Vec<EngineView> = (0..12).map(|n| engine(n, &[n])).collect();
    for engine in &mut engines[..4] {
        engine.cold_load_observations.on_time_concurrency = 4;
    }
    engines[7].cold_load_observations.full_speed_concurrency = 4;
    let mut models = HashMap::default();
    for number in 12..30 {
        models.insert(model(number), demand(f64::from(number as u32), 1, 0));
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

/// The weight store is slower than configured, and loads are overdue. Further loads would slow down
/// all of them, and none would be done in time for its callers.
#[test]
fn a_slow_weight_store_gets_no_further_loads_until_one_is_done() {
    let config = config(30);
    let mut engines: Vec<EngineView> = (0..12).map(|n| engine(n, &[n])).collect();
    let mut models = HashMap::default();
    for number in 12..30 {
        models.insert(model(number), demand(3.0, 1, 0));
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
    assert_eq!(
        orders(&engines).len(),
        1,
        "a load from disk doesn't use the store"
    );
    engines[0].loading = None;
    let cold = |orders: &[Order]| orders.iter().filter(|order| order.is_cold).count();
    assert_eq!(cold(&orders(&engines)), 1, "the next load runs alone");
    engines[0].cold_load_observations = ColdLoadObservations {
        on_time_concurrency: 1,
        ..ColdLoadObservations::default()
    };
    assert_eq!(cold(&orders(&engines)), 2, "after the store has recovered");
}

/// An engine is taken away at short notice. Models that only it had loaded must be loaded
/// elsewhere.
#[test]
fn models_of_a_lost_engine_are_loaded_elsewhere() {
    let config = config(6);
    let mut engines: Vec<EngineView> = vec![engine(0, &[0, 1]), engine(1, &[2]), engine(2, &[3])];
    for engine in &mut engines {
        engine.on_disk = (0..6).map(model).collect();
    }
    let mut models = HashMap::default();
    for number in 0..4 {
        models.insert(model(number), demand(1.0, 0, 1));
    }
    engines[0].takes_orders = false;
    engines[0].loaded.clear();
    models.insert(model(0), demand(1.0, 2, 0));
    models.insert(model(1), demand(1.0, 2, 0));
    run_until_stable(&config, &models, &mut engines);
    for number in 0..4 {
        assert!(
            replicas(&engines[1..], number) >= 1,
            "m{number} {engines:?}"
        );
    }
}

/// For any demand, no engine is ordered to hold more than fits into its memory, to load a model
/// that it has, or to unload one that it doesn't have.
#[test]
fn orders_always_fit_the_engine() {
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
                let fits = used_mb(&config, &engine(0, &with_more)) <= model_memory_mb(&config);
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
                let view = demand(rate, u.int_in_range(0..=30)?, u.int_in_range(0..=60)?);
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
            assert!(used_mb(&config, &after) <= model_memory_mb(&config));
        }
        Ok(())
    });
}

/// Engines have memory for two models each. Five models have high demand, and 38 have constant low
/// demand from callers that wait for seconds. Each of the 38 must stay loaded without repeated
/// evictions, while the five still have free slots.
#[test]
fn models_with_low_demand_stay_loaded_beside_busy_ones() {
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
            let mut view = demand(rate, 0, if is_loaded { running } else { 0 });
            view.waiting = if is_loaded { 0 } else { 4 };
            view.target_latency_ms = target_ms;
            models.insert(model(number), view);
        }
        let orders = run_until_stable(&config, &models, &mut engines);
        rounds_with_loads += usize::from(round >= 10 && !orders.is_empty());
    }
    let missing = (0..MODELS).filter(|number| replicas(&engines, *number) == 0);
    assert_eq!(missing.count(), 0, "{engines:?}");
    for number in 0..BUSY {
        let slots = 32 * replicas(&engines, number);
        assert!(
            slots >= 160,
            "m{number} has fewer than the 160 slots that it needs: {slots}"
        );
    }
    assert_eq!(rounds_with_loads, 0, "models evict each other in turn");
}

/// A load from the weight store takes a minute. Meanwhile the only replica of the model must not be
/// evicted, and no second load from the weight store may begin; but an engine with a copy on disk
/// loads the model from there.
#[test]
fn a_slow_load_does_not_count_as_a_replica_yet() {
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
    models.insert(model(2), demand(20.0, 0, 6));
    models.insert(model(5), demand(20.0, 0, 6));
    models.insert(model(8), demand(2.0, 2, 0));
    assert_eq!(next_order(&config, &models, &engines, 0), None);
    engines[0].loaded.retain(|loaded| *loaded != model(2));
    engines[0].on_disk.retain(|copy| *copy != model(2));
    models.insert(model(2), demand(20.0, 30, 0));
    let order = next_order(&config, &models, &engines, 0);
    assert!(
        order.is_none_or(|order| order.load != model(2)),
        "no second cold load"
    );
    engines[0].on_disk.push(model(2));
    let order = next_order(&config, &models, &engines, 0).expect("the engine gets an order");
    assert_eq!((order.load, order.is_cold), (model(2), false));
}

/// One model has high demand, and its only replica has more requests than four engines could run.
/// Further replicas are worth their memory, also beside models with low demand.
#[test]
fn a_model_with_an_overloaded_replica_gets_more_replicas() {
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
        models.insert(model(number), demand(1.0, 0, 2));
    }
    models.insert(model(0), demand(80.0, 120, 100));
    run_until_stable(&config, &models, &mut engines);
    assert!(replicas(&engines, 0) >= 4, "{engines:?}");
}

/// The weight store is known to serve one load at a time. While it is busy, a further replica of a
/// busy model must wait for it, but a model without any replica must not.
#[test]
fn a_model_without_a_replica_does_not_wait_for_the_weight_store() {
    let config = config(9);
    let mut engines = vec![engine(0, &[0]), engine(1, &[]), engine(2, &[1])];
    engines[2].cold_load_observations.on_time_concurrency = 1;
    engines[2].loading = Some(LoadInProgress {
        model: model(3),
        is_cold: true,
        ready_in_ms: 4000,
    });
    let mut models = HashMap::default();
    models.insert(model(0), demand(60.0, 40, 48));
    assert_eq!(next_order(&config, &models, &engines, 1), None);
    models.insert(model(4), demand(2.0, 3, 0));
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
    assert_eq!(loads, [(model(0), true)], "after the store is free");
}

/// An engine that names a rate limit looks idle, because it gets so little.
#[test]
fn a_model_whose_only_replica_is_at_a_limited_engine_gets_another() {
    let config = config(6);
    let mut models: HashMap<ModelName, ModelView> = HashMap::default();
    models.insert(model(0), demand(8.0, 0, 4));
    let mut engines = vec![engine(0, &[0, 1]), engine(1, &[2, 3]), engine(2, &[4, 5])];
    let orders = run_until_stable(&config, &models, &mut engines.clone());
    let is_of_busy_model = |order: &&(usize, Order)| order.1.load == model(0);
    assert_eq!(
        orders.iter().filter(is_of_busy_model).count(),
        0,
        "one replica is enough without a limit: {orders:?}"
    );
    engines[0].rate_limit_per_second = Some(3.0);
    let orders = run_until_stable(&config, &models, &mut engines);
    assert_eq!(
        orders.iter().filter(is_of_busy_model).count(),
        1,
        "{orders:?}"
    );
}

#[test]
fn a_model_is_loaded_at_an_engine_without_a_rate_limit() {
    let config = config(3);
    let mut models: HashMap<ModelName, ModelView> = HashMap::default();
    models.insert(model(0), demand(8.0, 2, 0));
    for limited in 0..3 {
        let mut engines = vec![engine(0, &[1]), engine(1, &[1]), engine(2, &[1])];
        for (index, engine) in engines.iter_mut().enumerate() {
            engine.rate_limit_per_second = (index != limited).then_some(1.0);
        }
        let orders = run_until_stable(&config, &models, &mut engines);
        let first = orders.iter().find(|order| order.1.load == model(0));
        assert_eq!(first.map(|order| order.0), Some(limited), "{orders:?}");
    }
}

/// Three full engines of an old version and one of a new one, which hold four models; a fifth model is wanted.
fn engines_of_two_versions() -> Vec<EngineView> {
    let at = |version: &str, engine: EngineView| EngineView {
        software_version: Some(version.into()),
        ..engine
    };
    vec![
        at("v1", engine(1, &[1, 2])),
        at("v1", engine(2, &[2, 3])),
        at("v1", engine(3, &[3, 4])),
        at("v2", engine(4, &[1, 4])),
    ]
}

// The last replica of a model at the old version was evicted while streams that only it can go on with waited.
#[test]
fn the_last_replica_at_a_version_is_not_evicted_as_one_of_several() {
    let config = EngineConfig {
        weights_mb: 140_000.0,
        ..config(6)
    };
    let mut models: HashMap<ModelName, ModelView> = (1..=4)
        .map(|number| (model(number), demand(4.0, 0, 2)))
        .collect();
    models.insert(model(5), demand(4.0, 2, 0));
    let engines = engines_of_two_versions();
    let orders: Vec<(usize, Order)> = (0..engines.len())
        .filter_map(|own| Some((own, next_order(&config, &models, &engines, own)?)))
        .collect();
    for (own, order) in &orders {
        for unloaded in &order.unload {
            let version = &engines[*own].software_version;
            let others = engines.iter().enumerate();
            let is_left = others
                .filter(|(other, e)| other != own && e.software_version == *version)
                .any(|(_, e)| e.loaded.contains(unloaded));
            assert!(is_left, "{own}: {order:?}");
        }
    }
    assert!(!orders.is_empty(), "the model that is wanted is loaded");
}

// With one version, or none that is known, placement is as before.
#[test]
fn versions_do_not_matter_while_all_engines_have_the_same() {
    let config = EngineConfig {
        weights_mb: 140_000.0,
        ..config(6)
    };
    let mut models: HashMap<ModelName, ModelView> = (1..=4)
        .map(|number| (model(number), demand(4.0, 0, 2)))
        .collect();
    models.insert(model(5), demand(4.0, 2, 0));
    let with = |version: Option<&str>| -> Vec<EngineView> {
        let engines = engines_of_two_versions().into_iter();
        let engines = engines.map(|engine| EngineView {
            software_version: version.map(SoftwareVersion::from),
            ..engine
        });
        engines.collect()
    };
    for own in 0..4 {
        let unknown = next_order(&config, &models, &with(None), own);
        assert_eq!(
            next_order(&config, &models, &with(Some("v1")), own),
            unknown
        );
    }
}
