//! A fuzzed trial: random requests and faults over real routers and agents, and an oracle that
//! compares what ran with what each caller received.

use std::rc::Rc;

use celerystair_core::{prelude::*, time::before_deadline};
use celerystair_standin::{engine::POISON, platform::PlatformFaults, witness::Observations};

use crate::{
    caller::{Call, CallTarget, Caller, Outcome},
    faults::FaultFleet,
    fleet::FleetError,
    fuzz_plan::{PlannedCall, PlannedTarget, Step},
    settings::TrialSettings,
};

/// Longest time until the system serves again after the last fault.
const RECOVERY_MS: u64 = 60_000;
const RECOVERY_TIMEOUT_MS: u64 = 5000;
const RECOVERY_INTERVAL_MS: u64 = 50;

/// What the oracle knows about one call.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// What the call asked for.
    pub target: PlannedTarget,
    /// Idempotency key or prompt marker by which the stand-ins count its executions.
    pub marker: String,
    /// What the caller received; `None` if it disconnected first.
    pub outcome: Option<Outcome>,
    /// Whether its router was killed during this trial, which disconnects its callers.
    pub router_killed: bool,
}

/// Result of a trial.
#[derive(Clone, Debug, Default)]
pub struct FuzzResult {
    /// Every call that a step made.
    pub calls: Vec<CallRecord>,
    /// Violated invariants.
    pub violations: Vec<String>,
}

/// Runs the steps, ends all faults, sends every idempotency key again, and checks the invariants.
pub async fn run_steps(settings: &TrialSettings, steps: &[Step]) -> Result<FuzzResult, FleetError> {
    let mut fleet = FaultFleet::start(settings).await?;
    let caller = Caller::new().map_err(std::io::Error::other)?;
    let mut calls = Vec::new();
    let mut killed = vec![false; settings.routers as usize];
    let mut is_faulty = false;
    for step in steps {
        match step {
            Step::Calls(planned) => {
                for planned in planned {
                    let number = calls.len();
                    calls.push(spawn_call(&fleet, &caller, planned, number));
                }
            }
            Step::Wait(interval_ms) => sleep_ms(*interval_ms).await,
            Step::RestartAgent(index) => fleet.restart_agent(*index)?,
            Step::RestartRouter(index) => {
                killed[*index] = true;
                fleet.restart_router(*index)?;
            }
            Step::ReplaceAgent(index) => fleet.replace_agent(*index).await?,
            Step::ReplaceRouter(index) => fleet.replace_router(*index, !is_faulty).await?,
            Step::PauseAgent(index, pause_ms) => fleet.pause_agent(*index, *pause_ms),
            Step::PauseRouter(index, pause_ms) => fleet.pause_router(*index, *pause_ms),
            Step::Faults(faults) => {
                is_faulty = *faults != PlatformFaults::default();
                fleet.set_faults(faults).await?;
            }
        }
    }
    let mut result = FuzzResult::default();
    for (planned, call) in calls {
        let Ok((marker, outcome)) = call.await else {
            result.violations.push("a caller's task failed".to_owned());
            continue;
        };
        result.calls.push(CallRecord {
            target: planned.target,
            marker,
            outcome,
            router_killed: killed[planned.router],
        });
    }
    check_not_run(&fleet.witness.observations(), &mut result);
    fleet.set_faults(&PlatformFaults::default()).await?;
    check_recovery(&fleet, &caller, &mut result).await?;
    let observations = fleet.witness.observations();
    fleet.end();
    check_all(&observations, &mut result);
    Ok(result)
}

/// Returns the calls that were neither answered nor refused as not run. Drains must cause none.
pub fn cut_off(result: &FuzzResult) -> impl Iterator<Item = &CallRecord> {
    let is_cut = |call: &&CallRecord| {
        !is_refused_as_not_run(call) && call.outcome.as_ref() != Some(&Outcome::Answered)
    };
    result.calls.iter().filter(is_cut)
}

type CallTask = compio::runtime::JoinHandle<(String, Option<Outcome>)>;

fn spawn_call(
    fleet: &FaultFleet,
    caller: &Caller,
    planned: &PlannedCall,
    number: usize,
) -> (PlannedCall, CallTask) {
    let marker = match planned.target {
        PlannedTarget::Keyed(key) => format!("key-{key}"),
        PlannedTarget::Completion { .. } => format!("marker-{number}"),
        PlannedTarget::Poison => format!("{POISON}-{number}"),
    };
    let call = Call {
        router: fleet.router_address(planned.router),
        organisation: "office".into(),
        kind: "draft".into(),
        target: call_target(&planned.target, &marker),
        timeout_ms: planned.timeout_ms,
    };
    let caller = caller.clone();
    let leave_after_ms = planned.leave_after_ms;
    let task = compio::runtime::spawn(async move {
        let outcome = match leave_after_ms {
            Some(leave_after_ms) => {
                let deadline_unix_ms = now_unix_ms() + leave_after_ms;
                before_deadline(deadline_unix_ms, caller.call(&call)).await
            }
            None => Some(caller.call(&call).await),
        };
        (marker, outcome.map(|received| received.outcome))
    });
    (planned.clone(), task)
}

fn call_target(target: &PlannedTarget, marker: &str) -> CallTarget {
    let (stream, tokens) = match target {
        PlannedTarget::Keyed(_) => {
            return CallTarget::Service {
                method: http::Method::POST,
                path: "/services/ledger/entries".to_owned(),
                key: marker.to_owned(),
            };
        }
        PlannedTarget::Completion { stream, tokens } => (*stream, *tokens),
        PlannedTarget::Poison => (true, 4),
    };
    CallTarget::Completion {
        model: "m-1".to_owned(),
        tokens,
        stream,
        marker: marker.to_owned(),
    }
}

/// Checks that every key, once all faults have ended, gets an answer or a refusal with an unknown
/// outcome.
async fn check_recovery(
    fleet: &FaultFleet,
    caller: &Caller,
    result: &mut FuzzResult,
) -> Result<(), FleetError> {
    fleet.wait_until_router_ready(0).await?;
    let mut keys: Vec<Rc<str>> = result
        .calls
        .iter()
        .filter(|call| matches!(call.target, PlannedTarget::Keyed(_)))
        .map(|call| Rc::from(call.marker.as_str()))
        .collect();
    keys.sort();
    keys.dedup();
    let resent = keys
        .iter()
        .map(|key| retry_until_settled(fleet, caller, key));
    for (key, outcome) in keys
        .iter()
        .zip(futures_util::future::join_all(resent).await)
    {
        let is_settled = match &outcome {
            Outcome::Answered => true,
            Outcome::Refused { run, .. } => *run == RunState::Unknown,
            Outcome::Cut | Outcome::Wrong(_) | Outcome::Lost(_) => false,
        };
        if !is_settled {
            let violation = format!("{key}: sent again after all faults ended: {outcome:?}");
            result.violations.push(violation);
        }
    }
    Ok(())
}

/// Sends a key until its outcome is known, as a caller would.
async fn retry_until_settled(fleet: &FaultFleet, caller: &Caller, key: &str) -> Outcome {
    let deadline_unix_ms = now_unix_ms() + RECOVERY_MS;
    let call = Call {
        router: fleet.router_address(0),
        organisation: "office".into(),
        kind: "draft".into(),
        target: call_target(&PlannedTarget::Keyed(0), key),
        timeout_ms: RECOVERY_TIMEOUT_MS,
    };
    loop {
        let outcome = caller.call(&call).await.outcome;
        let is_retryable = match &outcome {
            Outcome::Refused { run, reason } => {
                *run == RunState::NotRun || *reason != RefusalReason::OutcomeUnknown
            }
            Outcome::Lost(_) => true,
            Outcome::Answered | Outcome::Cut | Outcome::Wrong(_) => false,
        };
        if !is_retryable || now_unix_ms() > deadline_unix_ms {
            return outcome;
        }
        sleep_ms(RECOVERY_INTERVAL_MS).await;
    }
}

/// Checks that no request ran whose callers were all told that it has not run.
fn check_not_run(observations: &Observations, result: &mut FuzzResult) {
    let mut by_marker: HashMap<&str, Vec<&CallRecord>> = HashMap::default();
    for call in &result.calls {
        by_marker.entry(&call.marker).or_default().push(call);
    }
    for (marker, calls) in by_marker {
        if calls.iter().all(|call| is_refused_as_not_run(call))
            && execution_count(observations, calls[0]) > 0
        {
            let violation = format!("{marker}: refused as not run, but it ran");
            result.violations.push(violation);
        }
    }
}

/// Checks that no key ran twice, and that each caller received its own response.
fn check_all(observations: &Observations, result: &mut FuzzResult) {
    let mut violations = Vec::new();
    for (key, runs) in &observations.executions {
        if *runs > 1 {
            violations.push(format!("{key} ran {runs} times"));
        }
    }
    for call in &result.calls {
        let marker = &call.marker;
        match &call.outcome {
            Some(Outcome::Wrong(detail)) => violations.push(format!("{marker}: wrong: {detail}")),
            Some(Outcome::Lost(detail)) if !call.router_killed => {
                violations.push(format!("{marker}: no response: {detail}"));
            }
            Some(Outcome::Answered) if execution_count(observations, call) == 0 => {
                violations.push(format!("{marker}: answered, but never ran"));
            }
            _ => {}
        }
    }
    result.violations.append(&mut violations);
}

fn is_refused_as_not_run(call: &CallRecord) -> bool {
    matches!(
        call.outcome,
        Some(Outcome::Refused {
            run: RunState::NotRun,
            ..
        })
    )
}

fn execution_count(observations: &Observations, call: &CallRecord) -> u32 {
    let runs = match call.target {
        PlannedTarget::Keyed(_) => &observations.executions,
        PlannedTarget::Completion { .. } | PlannedTarget::Poison => &observations.completions,
    };
    runs.get(&call.marker).copied().unwrap_or_default()
}
