//! Stateful fuzzing of requests under faults.
//!
//! A failure prints its seed. To run that seed again:
//! `CELERYSTAIR_FUZZ_SEED=0x.. cargo test --test fuzz_requests -- --nocapture`. To fuzz for
//! longer: `CELERYSTAIR_FUZZ_BUDGET_MS=600000 cargo test --release --test fuzz_requests -- --nocapture`.

#[path = "support/requests.rs"]
mod requests;
mod support;

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    time::{Duration, Instant},
};

use arbtest::arbitrary::{Result, Unstructured};
use celerystair::trial::{
    caller::Outcome,
    fuzz::{CallRecord, FuzzResult, cut_off, run_steps},
    fuzz_plan::{PlannedTarget, draw_planned_stops, draw_steps},
};
use requests::requests_trial;
use support::block_on;

/// Seeds that CI runs: the upper half numbers them, the lower half is the size of the input.
const SEEDS: [u64; 4] = [
    0x0000_0001_0000_1000,
    0x0000_0002_0000_1000,
    0x0000_0003_0000_1000,
    0x0000_0004_0000_1000,
];
/// Bytes from which a trial is drawn.
const SIZE_BYTES: u32 = 4096;

fn trial(source: &mut Unstructured<'_>) -> Result<FuzzResult> {
    let settings = requests_trial();
    let agents = settings.pools.iter().map(|pool| pool.upstreams as usize);
    let steps = draw_steps(source, agents.sum(), settings.routers as usize)?;
    let result = block_on(run_steps(&settings, &steps)).expect("the fleet starts");
    Ok(result)
}

fn check(result: &FuzzResult) {
    assert!(
        result.violations.is_empty(),
        "{:#?}\nrun again: CELERYSTAIR_FUZZ_SEED=<the seed below> \
         cargo test --test fuzz_requests -- --nocapture",
        result.violations
    );
}

#[test]
fn whatever_fails_each_request_is_answered_once_and_truly() {
    let seed = std::env::var("CELERYSTAIR_FUZZ_SEED").ok();
    let seeds = match &seed {
        Some(seed) => vec![u64::from_str_radix(seed.trim_start_matches("0x"), 16).expect("a seed")],
        None => SEEDS.to_vec(),
    };
    for seed in seeds {
        arbtest::arbtest(|source| {
            check(&trial(source)?);
            Ok(())
        })
        .seed(seed);
    }
}

#[test]
fn whatever_is_stopped_as_planned_no_request_is_cut_off() {
    for seed in SEEDS {
        arbtest::arbtest(|source| {
            let settings = requests_trial();
            let agents = settings.pools.iter().map(|pool| pool.upstreams as usize);
            let steps = draw_planned_stops(source, agents.sum(), settings.routers as usize)?;
            let result = block_on(run_steps(&settings, &steps)).expect("the fleet starts");
            check(&result);
            let cut_off: Vec<&CallRecord> = cut_off(&result).collect();
            assert!(cut_off.is_empty(), "{cut_off:#?}");
            Ok(())
        })
        .seed(seed);
    }
}

#[test]
fn fuzzing_for_as_long_as_the_budget_says() {
    let Ok(budget_ms) = std::env::var("CELERYSTAIR_FUZZ_BUDGET_MS") else {
        return;
    };
    let budget = Duration::from_millis(budget_ms.parse().expect("a number of milliseconds"));
    let (trials, calls) = (Cell::new(0_u64), Cell::new(0_u64));
    let outcomes = RefCell::new(BTreeMap::<String, u64>::new());
    let start = Instant::now();
    arbtest::arbtest(|source| {
        let result = trial(source)?;
        check(&result);
        trials.set(trials.get() + 1);
        calls.set(calls.get() + result.calls.len() as u64);
        for heard in &result.calls {
            *outcomes.borrow_mut().entry(name_of(heard)).or_default() += 1;
        }
        println!(
            "{} trials, {} calls, no violation, after {} s",
            trials.get(),
            calls.get(),
            start.elapsed().as_secs()
        );
        Ok(())
    })
    .size_min(SIZE_BYTES)
    .size_max(SIZE_BYTES)
    .budget(budget);
    println!("{:#?}", outcomes.borrow());
}

/// What kind of call it was, and what came of it.
fn name_of(heard: &CallRecord) -> String {
    let target = match heard.target {
        PlannedTarget::Keyed(_) => "keyed",
        PlannedTarget::Completion { .. } => "completion",
        PlannedTarget::Poison => "poison",
    };
    match &heard.outcome {
        None => format!("{target}: caller left"),
        Some(Outcome::Answered) => format!("{target}: answered"),
        Some(Outcome::Refused { reason, run }) => {
            format!("{target}: {} ({})", reason.as_str(), run.as_str())
        }
        Some(Outcome::Cut) => format!("{target}: cut visibly"),
        Some(Outcome::Wrong(_)) => format!("{target}: wrong"),
        Some(Outcome::Lost(_)) => format!("{target}: its router was killed"),
    }
}
