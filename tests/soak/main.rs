//! A soak of the real programs: routers and agents as processes of their own, against stand-ins of
//! the users' platform, with faults from outside. What callers and upstreams see is checked against
//! what must always hold.
//!
//! How to run it, what it checks and what it has found: `docs/SOAK.md`.

mod callers;
mod checks;
mod configurations;
mod crashing;
mod fleet;
mod links;
mod plan;
mod retries;
#[path = "../../platform/tests/support/mod.rs"]
mod support;

use std::sync::{Mutex, MutexGuard, PoisonError};

use callers::{Callers, Calling, HURRIED, Kind};
use crashing::Cause;
use fleet::{Fleet, Size};
use plan::{Plan, Step};
use support::{Fault, system::PLAIN_SERVICE};

/// Seeds that CI plays: one with planned work alone, one with faults.
const SEEDS: [u64; 2] = [2, 3];
/// Seeds that failed once and are played in CI. The others that did, and their causes, stand in
/// `docs/SOAK.md`.
const REGRESSIONS: [u64; 2] = [1013, 3345];
/// How long the faults of one seed last.
const FAULTS_MS: u64 = 8000;

fn number(variable: &str) -> Option<u64> {
    let text = std::env::var(variable).ok()?;
    Some(text.parse().expect("a number"))
}

/// Plays one seed; gives what did not hold.
fn play(seed: u64, faults_ms: u64, size: Size) -> Vec<String> {
    let plan = Plan::draw(seed, faults_ms, size);
    let broken = play_plan(&format!("{seed}"), &plan, size, |fleet| {
        callers::start(fleet, seed, HURRIED)
    });
    if !broken.is_empty() {
        println!("again: CELERYSTAIR_SOAK_SEED={seed} cargo test --test soak -- --nocapture");
    }
    broken
}

/// Fleets use the same addresses, and the machine's processors, so one is there at a time.
fn take_turn() -> MutexGuard<'static, ()> {
    static TURN: Mutex<()> = Mutex::new(());
    TURN.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Plays a plan; gives what did not hold. The processes' logs are kept if anything did not.
fn play_plan(
    name: &str,
    plan: &Plan,
    size: Size,
    start_callers: impl Fn(&Fleet) -> Callers,
) -> Vec<String> {
    let _turn = take_turn();
    let folder =
        std::env::temp_dir().join(format!("celerystair-soak-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder for logs");
    let mut fleet = Fleet::start(size, &folder);
    let callers = start_callers(&fleet);
    let mut broken = fleet.carry_out(plan);
    broken.extend(fleet.recover());
    let told = callers.stop();
    broken.extend(checks::check(&fleet, plan, &told));
    fleet.end();
    println!(
        "seed {name}: {} requests, {} answered; {} steps",
        told.len(),
        told.iter().filter(|told| told.is_answered()).count(),
        plan.steps.len()
    );
    let is_kept = std::env::var_os("CELERYSTAIR_SOAK_KEEP").is_some();
    if broken.is_empty() && is_kept {
        println!("seed {name}: kept in {}", folder.display());
    } else if broken.is_empty() {
        std::fs::remove_dir_all(&folder).expect("the folder goes");
    } else {
        std::fs::write(folder.join("plan.txt"), format!("{plan:#?}")).expect("the plan is kept");
        println!(
            "seed {name} failed; kept in {}: {broken:#?}",
            folder.display()
        );
    }
    broken
}

/// Plays the seeds that CI plays, or those that the variables name: `CELERYSTAIR_SOAK_SEED` from
/// which on, `CELERYSTAIR_SOAK_SEEDS` how many, `CELERYSTAIR_SOAK_FAULTS_MS` how long each lasts,
/// `CELERYSTAIR_SOAK_PROCESSES` how many processes of the system. With `CELERYSTAIR_SOAK_KEEP` the logs
/// of seeds that held are kept, too.
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

/// Callers hold connections idle beyond limits that were in force before, and never beyond the one that
/// is. Nothing else happens, so none may end with a request.
#[test]
fn connections_that_callers_may_use_are_kept_while_the_idle_limit_changes() {
    let steps = (0..16).map(|number| (400 + number % 4 * 500, Step::Configure));
    let broken = play_idle("idle-limits", &Plan::of(steps));
    assert!(broken.is_empty(), "{broken:#?}");
}

fn play_idle(name: &str, plan: &Plan) -> Vec<String> {
    let _turn = take_turn();
    let folder = std::env::temp_dir().join(format!("celerystair-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder for logs");
    let size = Size::of(4);
    let mut fleet = Fleet::start(size, &folder);
    let callers = callers::start(&fleet, 1, callers::PATIENT);
    let mut broken = fleet.carry_out(plan);
    let told = callers.stop();
    broken.extend(checks::check(&fleet, plan, &told));
    broken.extend(checks::check_none_lost(&told));
    fleet.end();
    println!("{name}: {} requests", told.len());
    if broken.is_empty() {
        std::fs::remove_dir_all(&folder).expect("the folder goes");
    } else {
        println!("{name} failed; logs in {}", folder.display());
    }
    broken
}

/// The seed of versions and disturbances that CI plays.
const VERSIONS_SEED: u64 = 1;

/// Routers handled requests by versions that were late, older or invalid.
#[test]
fn a_configuration_is_in_force_in_time_and_is_neither_invalid_nor_older_again() {
    let first = number("CELERYSTAIR_SOAK_VERSIONS_SEED").unwrap_or(VERSIONS_SEED);
    let count = number("CELERYSTAIR_SOAK_SEEDS").unwrap_or(1);
    let faults_ms = number("CELERYSTAIR_SOAK_FAULTS_MS").unwrap_or(FAULTS_MS);
    let mut failed = Vec::new();
    for seed in first..first + count {
        let broken = play_versions(seed, faults_ms);
        if !broken.is_empty() {
            println!("seed {seed} failed: {broken:#?}");
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "seeds {failed:?}; see above");
}

fn play_versions(seed: u64, faults_ms: u64) -> Vec<String> {
    let _turn = take_turn();
    let name = format!("celerystair-versions-{}-{seed}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder).expect("a folder for logs");
    let mut fleet = Fleet::start(VERSIONED, &folder);
    let plan = configurations::draw(seed, faults_ms, VERSIONED);
    let watch = configurations::start(&fleet);
    let mut broken = fleet.carry_out(&plan);
    broken.extend(fleet.recover());
    broken.extend(watch.stop(&fleet));
    fleet.end();
    if broken.is_empty() {
        std::fs::remove_dir_all(&folder).expect("the folder goes");
    } else {
        std::fs::write(folder.join("plan.txt"), format!("{plan:#?}")).expect("the plan is kept");
        println!("logs in {}", folder.display());
    }
    broken
}

/// A fleet with a router in each of several failure domains.
const VERSIONED: Size = Size {
    routers: 4,
    engines: 3,
    desks: 2,
    domains: 2,
    is_misplaced: false,
};

/// A fleet of the size of the users' deployments.
const DEPLOYED: Size = Size {
    routers: 5,
    engines: 12,
    desks: 4,
    domains: 4,
    is_misplaced: false,
};
/// Callers of reads as often as there: most of the bound on retries is slack.
const DEPLOYED_READS: Calling = Calling {
    callers: 20,
    kinds: &[Kind::Read],
    pause_ms: (600, 900),
};
/// Every read fails at every plain upstream, for longer than a window of the bound.
const ALL_DECLINE: Step = Step::Storm {
    service: PLAIN_SERVICE,
    fault: Fault::Decline,
    every: 1,
    for_ms: 11_000,
};

/// How long all is well first: routers have their whole share of the slack by then.
const QUIET_MS: u64 = 12_000;

fn play_reads(name: &str, steps: impl IntoIterator<Item = (u64, Step)>) {
    play_reads_at(name, DEPLOYED, steps);
}

fn play_reads_at(name: &str, size: Size, steps: impl IntoIterator<Item = (u64, Step)>) {
    let plan = Plan::of(steps);
    let broken = play_plan(name, &plan, size, |fleet| {
        callers::start(fleet, 1, DEPLOYED_READS)
    });
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Without faults of processes, each router keeps to its share.
#[test]
fn retries_stay_in_the_bound_when_all_upstreams_decline() {
    play_reads("all-decline", [(QUIET_MS, ALL_DECLINE)]);
}

/// A router that starts anew must not spend its share of the fleet's retries again.
#[test]
fn retries_stay_in_the_bound_when_routers_are_killed_again_and_again() {
    let mut steps = vec![(QUIET_MS, ALL_DECLINE)];
    for _ in 0..4 {
        steps.push((1800, Step::Kill(0)));
        steps.extend((1..DEPLOYED.routers).map(|router| (100, Step::Kill(router))));
    }
    play_reads("routers-killed", steps);
}

/// Where the list names other failure domains than instances have, news is not told on, and agents
/// hear of few routers; the more so when they have just started.
#[test]
fn retries_stay_in_the_bound_when_agents_hear_of_few_routers() {
    let misplaced = Size {
        is_misplaced: true,
        ..DEPLOYED
    };
    let mut steps = vec![(QUIET_MS, ALL_DECLINE)];
    for _ in 0..3 {
        let agents = (0..DEPLOYED.engines).map(|agent| DEPLOYED.routers + agent);
        steps.extend(agents.map(|agent| (250, Step::Kill(agent))));
    }
    play_reads_at("agents-hear-few", misplaced, steps);
}

/// What upstreams that stand still were sent arrives when they go on, beside the retries of then.
#[test]
fn retries_stay_in_the_bound_when_upstreams_stand_still() {
    let frozen = |desk| (0, Step::FreezeUpstream(DEPLOYED.engines + desk, 8000));
    let mut steps = vec![(QUIET_MS, Step::FreezeUpstream(DEPLOYED.engines, 8000))];
    steps.extend((1..DEPLOYED.desks).map(frozen));
    steps.push((8000, ALL_DECLINE));
    play_reads("upstreams-frozen", steps);
}

/// While nothing listens for the signal it ends the process: just after its start, and between two
/// signals.
#[test]
fn a_process_lives_through_reloads_from_its_start_on() {
    let small = Size::of(4);
    let steps = (0..40).flat_map(|number| {
        let process = number % small.processes();
        [
            (100, Step::Kill(process)),
            (0, Step::ReloadWhenStarted(process)),
        ]
    });
    let broken = play_plan("reloads", &Plan::of(steps), small, |fleet| {
        callers::start(fleet, 1, HURRIED)
    });
    assert!(broken.is_empty(), "{broken:#?}");
}

/// The routers that saw the crashes are killed, and so is every agent that heard of them.
#[test]
fn a_request_that_crashes_upstreams_stays_refused_while_all_processes_are_killed_in_turn() {
    play_crashes("crashing-request", Cause::Request);
}

/// The same with requests that are not alike.
#[test]
fn a_prompt_part_that_crashes_engines_stays_refused_while_all_processes_are_killed_in_turn() {
    play_crashes("crashing-part", Cause::PromptPart);
}

fn play_crashes(name: &str, cause: Cause) {
    let _turn = take_turn();
    let folder = std::env::temp_dir().join(format!("celerystair-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder for logs");
    let mut fleet = Fleet::start(DEPLOYED, &folder);
    let broken = crashing::play(&mut fleet, cause, DEPLOYED.routers, DEPLOYED.engines);
    fleet.end();
    assert!(
        broken.is_empty(),
        "{broken:#?}; logs in {}",
        folder.display()
    );
    std::fs::remove_dir_all(&folder).expect("the folder goes");
}
