//! A fuzzed trial: random requests and faults over real routers and agents, and an oracle that
//! knows what ran and what each caller received.

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

/// How long the system may take to serve again after the last fault.
const RECOVERY_MS: u64 = 60_000;
const RECOVERY_TIMEOUT_MS: u64 = 5000;
const RECOVERY_INTERVAL_MS: u64 = 50;

/// What the oracle knows of one call.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// What was asked.
    pub target: PlannedTarget,
    /// The key or marker by which the stand-ins counted it.
    pub marker: String,
    /// What the caller received; nothing if it left.
    pub outcome: Option<Outcome>,
    /// Whether the router that took the call was killed in this trial, and its callers cut off.
    pub router_killed: bool,
}

/// What a trial came to.
#[derive(Clone, Debug, Default)]
pub struct FuzzResult {
    /// Every call.
    pub calls: Vec<CallRecord>,
    /// What must always hold and did not.
    pub violations: Vec<String>,
}

/// Runs the steps, mends everything, sends every key again, and checks what must always hold.
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
            result
                .violations
                .push("a caller's task ended early".to_owned());
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
    let seen = fleet.witness.observations();
    fleet.end();
    check_all(&seen, &mut result);
    Ok(result)
}

/// The calls that a planned stop has cut off: neither answered nor truly refused as not run.
pub fn cut_off(result: &FuzzResult) -> impl Iterator<Item = &CallRecord> {
    let is_cut = |call: &&CallRecord| {
        !says_not_run(call) && call.outcome.as_ref() != Some(&Outcome::Answered)
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

/// Once all is mended, every key comes to an answer, or to a plain "unknown".
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
    let resent = keys.iter().map(|key| resend(fleet, caller, key));
    for (key, outcome) in keys
        .iter()
        .zip(futures_util::future::join_all(resent).await)
    {
        let settled = match &outcome {
            Outcome::Answered => true,
            Outcome::Refused { run, .. } => *run == RunState::Unknown,
            Outcome::Cut | Outcome::Wrong(_) | Outcome::Lost(_) => false,
        };
        if !settled {
            let violation = format!("{key}: sent again after all was mended: {outcome:?}");
            result.violations.push(violation);
        }
    }
    Ok(())
}

/// Sends the key until its outcome is known, as a caller would.
async fn resend(fleet: &FaultFleet, caller: &Caller, key: &str) -> Outcome {
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
        let passes = match &outcome {
            Outcome::Refused { run, reason } => {
                *run == RunState::NotRun || *reason != RefusalReason::OutcomeUnknown
            }
            Outcome::Lost(_) => true,
            Outcome::Answered | Outcome::Cut | Outcome::Wrong(_) => false,
        };
        if !passes || now_unix_ms() > deadline_unix_ms {
            return outcome;
        }
        sleep_ms(RECOVERY_INTERVAL_MS).await;
    }
}

/// What all its callers were told has not run, did not.
fn check_not_run(seen: &Observations, result: &mut FuzzResult) {
    let mut by_marker: HashMap<&str, Vec<&CallRecord>> = HashMap::default();
    for call in &result.calls {
        by_marker.entry(&call.marker).or_default().push(call);
    }
    for (marker, calls) in by_marker {
        if calls.iter().all(|call| says_not_run(call)) && runs_of(seen, calls[0]) > 0 {
            let violation = format!("{marker}: refused as not run, and it ran");
            result.violations.push(violation);
        }
    }
}

fn check_all(seen: &Observations, result: &mut FuzzResult) {
    let mut violations = Vec::new();
    for (key, runs) in &seen.executions {
        if *runs > 1 {
            violations.push(format!("{key} ran {runs} times"));
        }
    }
    for call in &result.calls {
        let marker = &call.marker;
        match &call.outcome {
            Some(Outcome::Wrong(detail)) => violations.push(format!("{marker}: wrong: {detail}")),
            Some(Outcome::Lost(detail)) if !call.router_killed => {
                violations.push(format!("{marker}: no answer: {detail}"));
            }
            Some(Outcome::Answered) if runs_of(seen, call) == 0 => {
                violations.push(format!("{marker}: answered and never ran"));
            }
            _ => {}
        }
    }
    result.violations.append(&mut violations);
}

fn says_not_run(call: &CallRecord) -> bool {
    matches!(
        call.outcome,
        Some(Outcome::Refused {
            run: RunState::NotRun,
            ..
        })
    )
}

fn runs_of(seen: &Observations, call: &CallRecord) -> u32 {
    let runs = match call.target {
        PlannedTarget::Keyed(_) => &seen.executions,
        PlannedTarget::Completion { .. } | PlannedTarget::Poison => &seen.completions,
    };
    runs.get(&call.marker).copied().unwrap_or_default()
}
