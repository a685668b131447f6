//! Loads: the plan of calls, and times that count from when a call was due.

mod support;

use celerystair::{
    config::prelude::*,
    trial::{
        caller::{CallTarget, Received},
        load::{plan::plan, report::LoadReport, run::run_load, settings::LoadSettings},
        prelude::*,
    },
};
use support::{block_on, small_trial};

const LOAD: &str = r#"{
  "name": "test", "trial": "small.jsonc", "seed": 7, "length_ms": 2000, "calls_per_second": 30,
  "bursts": [{ "at_ms": 500, "length_ms": 100, "calls": 10, "models": 1 }],
  "skew": 2.0, "adapter_percent": 50,
  "mix": [
    { "kind": "draft", "target": "completion", "share": 3, "timeout_ms": 60000, "tokens": 3, "stream": true },
    { "kind": "status", "target": "read", "share": 1, "timeout_ms": 60000 },
    { "kind": "record", "target": "write", "share": 1, "timeout_ms": 60000 }
  ]
}"#;

fn load() -> LoadSettings {
    read_settings("load", LOAD).expect("the settings can be used")
}

fn model_of(target: &CallTarget) -> &str {
    match target {
        CallTarget::Completion { model, .. } => model.split(':').next().unwrap_or_default(),
        CallTarget::Service { .. } => "",
    }
}

#[test]
fn the_same_seed_gives_the_same_calls() {
    let (load, trial) = (load(), small_trial());
    let lines = |load: &LoadSettings| format!("{:?}", plan(load, &trial));
    assert_eq!(lines(&load), lines(&load));
    assert_ne!(
        lines(&load),
        lines(&LoadSettings {
            seed: 8,
            ..load.clone()
        })
    );
}

#[test]
fn calls_are_skewed_and_a_burst_goes_to_the_rarest() {
    let trial = small_trial();
    let mut load = load();
    load.length_ms = 100_000;
    let (mut common, mut rare) = (0, 0);
    for call in plan(&load, &trial) {
        let in_burst = (500..=600).contains(&call.due_ms);
        match model_of(&call.target) {
            "m-1" if !in_burst => common += 1,
            "m-2" if !in_burst => rare += 1,
            _ => {}
        }
    }
    // Shares of 1 and 1/4 by the exponent; the plan is the same on every run.
    assert!(common > 3 * rare && rare > 0, "{common} and {rare}");
    load.length_ms = 1;
    load.calls_per_second = 0.001;
    let burst = plan(&load, &trial);
    assert_eq!(burst.len(), 10);
    assert!(burst.iter().all(|call| model_of(&call.target) == "m-2"));
}

#[test]
fn a_late_call_counts_from_when_it_was_due() {
    let mut report = LoadReport::new(&load());
    let received = Received {
        outcome: Outcome::Answered,
        called_unix_ms: 10_500,
        first_byte_unix_ms: 10_600,
        ended_unix_ms: 10_700,
        deadline_unix_ms: 20_000,
        stalled_ms: 0,
        cold_start_ms: 0,
        between_tokens_us: Vec::new(),
    };
    report.add("draft", 10_000, &received);
    let first_byte_ms = report.kinds["draft"].first_byte.at_ms(1.0);
    assert!((599.0..=601.0).contains(&first_byte_ms), "{first_byte_ms}");
    assert!((499.0..=501.0).contains(&report.caller_lag.at_ms(1.0)));
}

#[test]
fn a_load_is_run_and_counted() {
    let report = block_on(run_load(&load(), &small_trial(), |_| {})).expect("the load runs");
    let expected = plan(&load(), &small_trial()).len() as u64;
    let called: u64 = report.kinds.values().map(|kind| kind.called).sum();
    assert_eq!(called, expected);
    assert_eq!(report.violations, Vec::<String>::new());
    let drafts = &report.kinds["draft"];
    let refused: u64 = drafts.refused.values().sum();
    assert_eq!(drafts.answered + refused, drafts.called);
    assert!(drafts.answered > 0 && report.loads > 0);
}

#[test]
fn an_answer_is_late_by_what_its_callers_own_thread_did_not_hold_up() {
    let received = |ended_unix_ms, stalled_ms| Received {
        outcome: Outcome::Answered,
        called_unix_ms: 10_000,
        first_byte_unix_ms: ended_unix_ms,
        ended_unix_ms,
        deadline_unix_ms: 20_000,
        stalled_ms,
        cold_start_ms: 0,
        between_tokens_us: Vec::new(),
    };
    assert!(!received(20_050, 0).is_late(50));
    assert!(received(20_051, 0).is_late(50));
    assert!(!received(20_250, 200).is_late(50));
    assert!(received(20_251, 200).is_late(50));
}
