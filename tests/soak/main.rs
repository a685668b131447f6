//! A soak of the real programs: routers and agents as processes of their own, against stand-ins of
//! the users' platform, with faults from outside. What callers and upstreams see is checked against
//! what must always hold.
//!
//! How to run it, what it checks and what it has found: `docs/SOAK.md`.

mod callers;
mod checks;
mod fleet;
mod links;
mod plan;
#[path = "../../platform/tests/support/mod.rs"]
mod support;

use fleet::{Fleet, Size};
use plan::Plan;

/// Seeds that CI plays: one with planned work alone, one with faults.
const SEEDS: [u64; 2] = [2, 3];
/// Seeds that failed once; each stays, with its cause in `docs/SOAK.md`.
const REGRESSIONS: [u64; 0] = [];
/// How long the faults of one seed last.
const FAULTS_MS: u64 = 8000;

fn number(variable: &str) -> Option<u64> {
    let text = std::env::var(variable).ok()?;
    Some(text.parse().expect("a number"))
}

/// Plays one seed; gives what did not hold. The processes' logs are kept if anything did not.
fn play(seed: u64, faults_ms: u64, size: Size) -> Vec<String> {
    let plan = Plan::draw(seed, faults_ms, size);
    let folder =
        std::env::temp_dir().join(format!("celerystair-soak-{}-{seed}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder for logs");
    let mut fleet = Fleet::start(size, &folder);
    let callers = callers::start(&fleet, seed);
    let mut broken = fleet.carry_out(&plan);
    broken.extend(fleet.recover());
    let told = callers.stop();
    broken.extend(checks::check(&fleet, &plan, &told));
    fleet.end();
    println!(
        "seed {seed}: {} requests, {} answered; {} steps",
        told.len(),
        told.iter().filter(|told| told.is_answered()).count(),
        plan.steps.len()
    );
    if broken.is_empty() {
        std::fs::remove_dir_all(&folder).expect("the folder goes");
    } else {
        std::fs::write(folder.join("plan.txt"), format!("{plan:#?}")).expect("the plan is kept");
        println!(
            "seed {seed} failed; kept in {}: {broken:#?}",
            folder.display()
        );
        println!("again: CELERYSTAIR_SOAK_SEED={seed} cargo test --test soak -- --nocapture");
    }
    broken
}

/// Plays the seeds that CI plays, or those that the variables name: `CELERYSTAIR_SOAK_SEED` from
/// which on, `CELERYSTAIR_SOAK_SEEDS` how many, `CELERYSTAIR_SOAK_FAULTS_MS` how long each lasts,
/// `CELERYSTAIR_SOAK_PROCESSES` how many processes of the system.
#[test]
fn what_must_hold_holds_whatever_fails() {
    let seeds: Vec<u64> = match (
        number("CELERYSTAIR_SOAK_SEED"),
        number("CELERYSTAIR_SOAK_SEEDS"),
    ) {
        (None, None) => SEEDS.into_iter().chain(REGRESSIONS).collect(),
        (first, count) => {
            let first = first.unwrap_or_else(|| rand::random_range(0..1_000_000));
            (first..first + count.unwrap_or(1)).collect()
        }
    };
    let faults_ms = number("CELERYSTAIR_SOAK_FAULTS_MS").unwrap_or(FAULTS_MS);
    let size = Size::of(number("CELERYSTAIR_SOAK_PROCESSES").unwrap_or(5));
    let mut failed = Vec::new();
    for seed in seeds {
        if !play(seed, faults_ms, size).is_empty() {
            failed.push(seed);
        }
    }
    assert!(
        failed.is_empty(),
        "seeds {failed:?}; what did not hold stands above"
    );
}
