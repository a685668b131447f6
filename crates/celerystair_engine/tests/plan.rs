//! Loads under way: what is ordered next, and when the model is expected.

use celerystair_core::prelude::*;
use celerystair_engine::plan::{Plan, PlanStep};
use celerystair_policy::prelude::*;

fn model(name: &str) -> ModelName {
    ModelName::from(name)
}

fn config() -> EngineConfig {
    let size = |weights_mb| ModelConfig {
        weights_mb,
        cold_load_ms: 6000,
        disk_load_ms: 1000,
        memory_load_ms: 400,
        ..ModelConfig::default()
    };
    EngineConfig {
        weights_mb: 100.0,
        models: [(model("big"), size(70.0)), (model("small"), size(40.0))]
            .into_iter()
            .collect(),
        ..EngineConfig::default()
    }
}

fn holding(names: &[&str]) -> EngineState {
    let loaded = names.iter().map(|name| LoadedModel {
        model: model(name),
        adapters: Vec::new(),
    });
    EngineState {
        loaded: loaded.collect(),
        ..EngineState::default()
    }
}

fn plan(load: &str, unload: &[&str], state: &EngineState) -> Plan {
    let order = Order {
        load: model(load),
        unload: unload.iter().map(|name| model(name)).collect(),
        is_cold: true,
        cold_concurrency: 1,
    };
    Plan::new(order, &config(), state, 1_000)
}

#[test]
fn room_is_made_before_a_load_and_never_assumed() {
    let state = holding(&["small"]);
    let plan = plan("big", &["small"], &state);
    assert_eq!(
        plan.step(&config(), &state, 1_000),
        PlanStep::Unload(model("small"))
    );
    let busy = EngineState {
        is_busy: true,
        ..state.clone()
    };
    assert_eq!(plan.step(&config(), &busy, 1_000), PlanStep::Wait);
    assert_eq!(plan.step(&config(), &holding(&[]), 1_000), PlanStep::Load);
    assert_eq!(
        plan.step(&config(), &holding(&["big"]), 1_000),
        PlanStep::Done
    );
}

#[test]
fn an_engine_that_holds_more_than_was_thought_is_ordered_nothing() {
    let empty = holding(&[]);
    let plan = plan("big", &[], &empty);
    assert_eq!(
        plan.step(&config(), &holding(&["small"]), 1_000),
        PlanStep::GiveUp
    );
    let unknown = holding(&["of another configuration"]);
    assert_eq!(plan.step(&config(), &unknown, 1_000), PlanStep::GiveUp);
}

/// A load that is overdue must not look as if it were done any moment: callers would wait for it
/// until they leave.
#[test]
fn a_late_load_is_expected_later_the_later_it_is() {
    let plan = plan("big", &[], &holding(&[]));
    assert_eq!(plan.expected_unix_ms(2_000), 7_000);
    assert!(plan.expected_unix_ms(10_000) >= 13_000);
    assert!(plan.expected_unix_ms(20_000) >= 33_000);
}

/// Whether a load was late tells how many the weight store serves at full speed.
#[test]
fn a_load_that_takes_too_long_is_noted_as_late() {
    let mut plan = plan("big", &[], &holding(&[]));
    plan.order.cold_concurrency = 3;
    let mut seen = ColdLoadObservations::default();
    plan.note_run(&mut seen, &config(), false, 20_000);
    assert_eq!(
        seen,
        ColdLoadObservations::default(),
        "its order is not taken yet"
    );
    plan.note_ordered(6_000, 20_000);
    assert_eq!(plan.expected_unix_ms(20_000), 26_000);
    plan.note_run(&mut seen, &config(), false, 26_500);
    assert_eq!(
        seen,
        ColdLoadObservations::default(),
        "a little late is not late"
    );
    plan.note_run(&mut seen, &config(), false, 27_000);
    assert_eq!(
        (seen.on_time_concurrency, seen.full_speed_concurrency),
        (0, 2)
    );
    plan.note_run(&mut seen, &config(), true, 38_000);
    assert_eq!(
        (seen.on_time_concurrency, seen.full_speed_concurrency),
        (0, 1)
    );
    let mut in_time = ColdLoadObservations::default();
    plan.note_run(&mut in_time, &config(), true, 26_100);
    assert_eq!(
        (in_time.on_time_concurrency, in_time.full_speed_concurrency),
        (3, 0)
    );
}
