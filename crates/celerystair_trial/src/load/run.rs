//! Starting a system, making the calls of a plan, and counting what callers received.

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

/// Real time between two words on the progress.
const PROGRESS_INTERVAL_MS: u64 = 1000;

/// Why a load could not be run.
#[derive(Debug, Error)]
pub enum LoadError {
    /// The callers' client could not be made, or the platform's counts not be read.
    #[error("HTTP: {0}")]
    Client(#[from] cyper::Error),
    /// The system did not start.
    #[error("{0}")]
    Fleet(#[from] FleetError),
    /// The mix calls services and the trial has none.
    #[error("the mix calls services, and the trial has none")]
    NoServices,
    /// The mix calls models and the trial has none.
    #[error("the mix calls models, and the trial has none")]
    NoModels,
}

/// What is said while a load runs.
#[derive(Clone, Debug)]
pub struct Progress {
    /// The load.
    pub name: String,
    /// Time since the start.
    pub elapsed_ms: u64,
    /// How long calls arrive.
    pub length_ms: u64,
    /// Calls made.
    pub called: u64,
    /// Calls that have ended.
    pub ended: u64,
}

/// Starts the system of `trial`, puts the load on it, ends it, and reports.
///
/// # Errors
/// [`LoadError`] if the system did not start or the settings don't fit together.
pub async fn run_load(
    load: &LoadSettings,
    trial: &TrialSettings,
    progress: impl Fn(&Progress),
) -> Result<LoadReport, LoadError> {
    let calls_models = load
        .mix
        .iter()
        .any(|kind| kind.target == MixTarget::Completion);
    if calls_models && trial.model_objects().is_empty() {
        return Err(LoadError::NoModels);
    }
    let calls_services = load
        .mix
        .iter()
        .any(|kind| kind.target != MixTarget::Completion);
    if calls_services && trial.services.is_empty() {
        return Err(LoadError::NoServices);
    }
    let mut trial = trial.clone();
    if let Some(config) = &load.config {
        trial.config = config.clone();
    }
    let mut fleet = Fleet::start(&trial).await?;
    let before = counts(&fleet).await?;
    let (mut report, tally) = make_calls(load, &trial, &fleet, progress).await?;
    let after = counts(&fleet).await?;
    fleet.end();
    let seen = fleet.witness.observations();
    let hours = |interval_ms: u64| interval_ms as f64 / 3_600_000.0;
    report.loads = seen.loads;
    report.loaded_hours = hours(seen.loaded_ms);
    report.idle_hours = hours(seen.idle_ms);
    report.store_reads = after.reads - before.reads;
    report.store_writes = after.writes - before.writes;
    let decided = trial.config.defaults.slots_per_model;
    let violations = check(&seen, &tally, |_| decided);
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
    let counted = Rc::new(RefCell::new((LoadReport::new(load), Tally::default())));
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
                ended: counted.borrow().1.total(),
            });
            next_progress_unix_ms += progress_interval_ms;
        }
        sleep_until_unix_ms(due_unix_ms).await;
        let kind = load.mix[planned.mix].kind.clone();
        let call = call(load, trial, fleet, planned);
        let (caller, counted) = (caller.clone(), counted.clone());
        running.push(compio::runtime::spawn(async move {
            let received = caller.call(&call).await;
            let mut counted = counted.borrow_mut();
            counted.0.add(&kind, due_unix_ms, &received);
            counted.1.add(&received);
        }));
    }
    for call in running {
        call.await.ok();
    }
    Ok(counted.take())
}

fn call(load: &LoadSettings, trial: &TrialSettings, fleet: &Fleet, planned: PlannedCall) -> Call {
    let kind = &load.mix[planned.mix];
    Call {
        router: fleet.router_addresses[planned.router],
        organisation: trial.organisation.clone(),
        kind: kind.kind.as_str().into(),
        target: planned.target,
        timeout_ms: kind.timeout_ms,
    }
}

async fn counts(fleet: &Fleet) -> Result<PlatformCounts, cyper::Error> {
    let url = format!("{}/counts", fleet.platform_url);
    cyper::Client::new()?.get(url)?.send().await?.json().await
}
