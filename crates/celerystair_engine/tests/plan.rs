//! The steps of a load, when it is expected to be done, and what it shows of the weight store.

use celerystair_core::prelude::*;
use celerystair_engine::plan::{LoadPlan, LoadStep};
use celerystair_policy::prelude::*;

fn model(name: &str) -> ModelName {
    ModelName::from(name)
}

/// 100 MB of model memory, which holds either `big` (70 MB) or `small` (40 MB) but not both.
fn config() -> EngineConfig {
    let model_of_size = |weights_mb| ModelConfig {
        weights_mb,
        cold_load_ms: 6000,
        disk_load_ms: 1000,
        memory_load_ms: 400,
        ..ModelConfig::default()
    };
    EngineConfig {
        weights_mb: 100.0,
        models: [
            (model("big"), model_of_size(70.0)),
            (model("small"), model_of_size(40.0)),
        ]
        .into_iter()
        .collect(),
        ..EngineConfig::default()
    }
}

fn state_with_loaded(names: &[&str]) -> EngineState {
    let loaded = names.iter().map(|name| LoadedModel {
        model: model(name),
        adapters: Vec::new(),
    });
    EngineState {
        loaded: loaded.collect(),
        ..EngineState::default()
    }
}

fn cold_load_plan(load: &str, unload: &[&str], state: &EngineState) -> LoadPlan {
    let order = Order {
        load: model(load),
        unload: unload.iter().map(|name| model(name)).collect(),
        is_cold: true,
        cold_concurrency: 1,
    };
    LoadPlan::new(order, &config(), state, 1_000)
}

#[test]
fn a_load_is_ordered_only_after_the_model_to_unload_is_gone() {
    let state = state_with_loaded(&["small"]);
    let plan = cold_load_plan("big", &["small"], &state);
    assert_eq!(
        plan.next_step(&config(), &state, 1_000),
        LoadStep::Unload(model("small"))
    );
    let busy = EngineState {
        is_busy: true,
        ..state.clone()
    };
    assert_eq!(plan.next_step(&config(), &busy, 1_000), LoadStep::Wait);
    assert_eq!(
        plan.next_step(&config(), &state_with_loaded(&[]), 1_000),
        LoadStep::Load
    );
    assert_eq!(
        plan.next_step(&config(), &state_with_loaded(&["big"]), 1_000),
        LoadStep::Done
    );
}

/// An engine crashes if it is ordered to load more than fits. Its report can hold a model that the
/// decision didn't know of, or one whose size is not configured.
#[test]
fn a_load_is_abandoned_if_the_report_shows_too_little_memory() {
    let empty = state_with_loaded(&[]);
    let plan = cold_load_plan("big", &[], &empty);
    assert_eq!(
        plan.next_step(&config(), &state_with_loaded(&["small"]), 1_000),
        LoadStep::GiveUp
    );
    let unknown = state_with_loaded(&["of another configuration"]);
    assert_eq!(plan.next_step(&config(), &unknown, 1_000), LoadStep::GiveUp);
}

/// Guards against an overdue load that always appears to be about to complete, so that callers wait
/// for it until they give up.
#[test]
fn the_expected_end_of_an_overdue_load_moves_with_its_delay() {
    let plan = cold_load_plan("big", &[], &state_with_loaded(&[]));
    assert_eq!(plan.expected_ready_unix_ms(2_000), 7_000);
    assert!(plan.expected_ready_unix_ms(10_000) >= 13_000);
    assert!(plan.expected_ready_unix_ms(20_000) >= 33_000);
}

/// The ratio of a load's duration to its configured one shows how many concurrent loads the weight
/// store serves at full speed.
#[test]
fn a_cold_load_that_takes_too_long_lowers_the_full_speed_concurrency() {
    let mut plan = cold_load_plan("big", &[], &state_with_loaded(&[]));
    plan.order.cold_concurrency = 3;
    let mut observations = ColdLoadObservations::default();
    plan.record_cold_load(&mut observations, &config(), false, 20_000);
    assert_eq!(
        observations,
        ColdLoadObservations::default(),
        "the engine has not accepted the order yet"
    );
    plan.record_accepted(6_000, 20_000);
    assert_eq!(plan.expected_ready_unix_ms(20_000), 26_000);
    plan.record_cold_load(&mut observations, &config(), false, 26_500);
    assert_eq!(
        observations,
        ColdLoadObservations::default(),
        "a short delay is tolerated"
    );
    plan.record_cold_load(&mut observations, &config(), false, 27_000);
    assert_eq!(
        (
            observations.on_time_concurrency,
            observations.full_speed_concurrency
        ),
        (0, 2)
    );
    plan.record_cold_load(&mut observations, &config(), true, 38_000);
    assert_eq!(
        (
            observations.on_time_concurrency,
            observations.full_speed_concurrency
        ),
        (0, 1)
    );
    let mut in_time = ColdLoadObservations::default();
    plan.record_cold_load(&mut in_time, &config(), true, 26_100);
    assert_eq!(
        (in_time.on_time_concurrency, in_time.full_speed_concurrency),
        (3, 0)
    );
}
