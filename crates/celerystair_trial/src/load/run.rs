//! Runs a load: starts a fleet, makes the planned calls, and reports what callers received.

use std::{cell::RefCell, rc::Rc};

use celerystair_core::{prelude::*, time::clock_scale};
use celerystair_standin::platform::PlatformCounts;
use thiserror::Error;

use super::{
    plan::{PlannedCall, plan},
    report::LoadReport,
    settings::{LoadSettings, MixTarget},
};
use crate::{
    caller::{Call, Caller},
    checks::check,
    fleet::{Fleet, FleetError},
    settings::TrialSettings,
    tally::Tally,
};

/// Real time between two progress reports.
const PROGRESS_INTERVAL_MS: u64 = 1000;

/// Error when a load is run.
#[derive(Debug, Error)]
pub enum LoadError {
    /// The callers' HTTP client could not be created, or the platform's counts could not be read.
    #[error("HTTP: {0}")]
    Client(#[from] cyper::Error),
    /// The fleet did not start.
    #[error("{0}")]
    Fleet(#[from] FleetError),
    /// The mix calls services, but the trial has none.
    #[error("the mix calls services, but the trial has none")]
    NoServices,
    /// The mix calls models, but the trial has none.
    #[error("the mix calls models, but the trial has none")]
    NoModels,
}

/// Progress of a running load.
#[derive(Clone, Debug)]
pub struct Progress {
    /// Name of the load.
    pub name: String,
    /// Time since the first call could be due.
    pub elapsed_ms: u64,
    /// Time during which calls are made.
    pub length_ms: u64,
    /// Calls made so far.
    pub called: u64,
    /// Calls that have ended so far.
    pub ended: u64,
}

/// Starts the fleet of `trial`, runs the load on it, stops the fleet, and returns the report.
///
/// # Errors
/// Returns [`LoadError`] if the fleet did not start, the mix does not match the trial, or the
/// platform's counts could not be read.
pub async fn run_load(
    load: &LoadSettings,
    trial: &TrialSettings,
    progress: impl Fn(&Progress),
) -> Result<LoadReport, LoadError> {
    let has_completions = load
        .mix
        .iter()
        .any(|kind| kind.target == MixTarget::Completion);
    if has_completions && trial.model_objects().is_empty() {
        return Err(LoadError::NoModels);
    }
    let has_service_calls = load
        .mix
        .iter()
        .any(|kind| kind.target != MixTarget::Completion);
    if has_service_calls && trial.services.is_empty() {
        return Err(LoadError::NoServices);
    }
    let mut trial = trial.clone();
    if let Some(config) = &load.config {
        trial.config = config.clone();
    }
    let mut fleet = Fleet::start(&trial).await?;
    let before = platform_counts(&fleet).await?;
    let (mut report, tally) = make_calls(load, &trial, &fleet, progress).await?;
    let after = platform_counts(&fleet).await?;
    fleet.end();
    let observations = fleet.witness.observations();
    let hours = |interval_ms: u64| interval_ms as f64 / 3_600_000.0;
    report.loads = observations.loads;
    report.loaded_hours = hours(observations.loaded_ms);
    report.idle_hours = hours(observations.idle_ms);
    report.store_reads = after.reads - before.reads;
    report.store_writes = after.writes - before.writes;
    let max_replicas = trial.config.defaults.slots_per_model;
    let violations = check(&observations, &tally, |_| max_replicas);
    report.violations = violations.iter().map(ToString::to_string).collect();
    Ok(report)
}

async fn make_calls(
    load: &LoadSettings,
    trial: &TrialSettings,
    fleet: &Fleet,
    progress: impl Fn(&Progress),
) -> Result<(LoadReport, Tally), LoadError> {
    let caller = Caller::new()?;
    let results = Rc::new(RefCell::new((LoadReport::new(load), Tally::default())));
    let calls = plan(load, trial);
    let start_unix_ms = now_unix_ms();
    let progress_interval_ms = PROGRESS_INTERVAL_MS * clock_scale();
    let mut next_progress_unix_ms = start_unix_ms + progress_interval_ms;
    let mut running = Vec::with_capacity(calls.len());
    for planned in calls {
        let due_unix_ms = start_unix_ms + planned.due_ms;
        while next_progress_unix_ms < due_unix_ms {
            sleep_until_unix_ms(next_progress_unix_ms).await;
            progress(&Progress {
                name: load.name.clone(),
                elapsed_ms: now_unix_ms() - start_unix_ms,
                length_ms: load.length_ms,
                called: running.len() as u64,
                ended: results.borrow().1.total(),
            });
            next_progress_unix_ms += progress_interval_ms;
        }
        sleep_until_unix_ms(due_unix_ms).await;
        let kind = load.mix[planned.mix].kind.clone();
        let call = build_call(load, trial, fleet, planned);
        let (caller, results) = (caller.clone(), results.clone());
        running.push(compio::runtime::spawn(async move {
            let received = caller.call(&call).await;
            let mut results = results.borrow_mut();
            results.0.add(&kind, due_unix_ms, &received);
            results.1.add(&received);
        }));
    }
    for call in running {
        call.await.ok();
    }
    Ok(results.take())
}

fn build_call(
    load: &LoadSettings,
    trial: &TrialSettings,
    fleet: &Fleet,
    planned: PlannedCall,
) -> Call {
    let kind = &load.mix[planned.mix];
    Call {
        router: fleet.router_addresses[planned.router],
        organisation: trial.organisation.clone(),
        kind: kind.kind.as_str().into(),
        target: planned.target,
        timeout_ms: kind.timeout_ms,
    }
}

async fn platform_counts(fleet: &Fleet) -> Result<PlatformCounts, cyper::Error> {
    let url = format!("{}/counts", fleet.platform_url);
    cyper::Client::new()?.get(url)?.send().await?.json().await
}
