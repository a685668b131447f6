//! `celerystair try`: runs a trial of a whole system.

use std::path::PathBuf;

use argh::FromArgs;
use celerystair::{
    config::prelude::*,
    core::time::set_clock_scale,
    platform::prelude::Store,
    standin::platform::PlatformCounts,
    trial::{fleet::store_settings, prelude::*},
};

use super::process::block_on;

const OFFICE_SETTINGS: &str = include_str!("../../examples/office/trial.jsonc");

/// Runs a whole system with stand-ins in one process, sends it requests and checks its invariants.
#[derive(FromArgs)]
#[argh(subcommand, name = "try")]
pub struct TryCommand {
    /// the settings file of the trial, by default examples/office/trial.jsonc
    #[argh(option)]
    settings: Option<PathBuf>,
}

/// Runs the trial; fails if an invariant was violated.
pub fn run(command: &TryCommand) -> eyre::Result<()> {
    let settings: TrialSettings = match &command.settings {
        Some(path) => read_settings_file(path)?,
        None => read_settings("examples/office/trial.jsonc", OFFICE_SETTINGS)?,
    };
    set_clock_scale(settings.clock_scale);
    block_on(async {
        println!(
            "starting {} routers, {} upstreams and {} models; the clock runs {} times as fast",
            settings.routers,
            settings
                .pools
                .iter()
                .map(|pool| pool.upstreams)
                .sum::<u32>(),
            settings.model_objects().len(),
            settings.clock_scale
        );
        let mut fleet = Fleet::start(&settings).await?;
        let caller = Caller::new()?;
        let routers = fleet.router_addresses.clone();
        let length_ms = settings.workload.length_ms;
        let tally = run_workload(&settings, &caller, &routers, |tally, elapsed_ms| {
            let answered = tally.answered;
            println!(
                "{:>4} of {} s: {answered} answered",
                elapsed_ms / 1000,
                length_ms / 1000
            );
        })
        .await;
        let counts = store_counts(&fleet.platform_url).await?;
        fleet.end();
        let seen = fleet.witness.observations();
        let decided = settings.config.defaults.slots_per_model;
        print!("\n{tally}");
        println!("loads                {}", seen.loads);
        println!(
            "accelerator hours    {:.2} loaded, {:.2} idle",
            hours(seen.loaded_ms),
            hours(seen.idle_ms)
        );
        println!(
            "store calls          {} reads, {} writes",
            counts.reads, counts.writes
        );
        let violations = check(&seen, &tally, |_| decided);
        if violations.is_empty() {
            println!("no violations");
            return Ok(());
        }
        for violation in &violations {
            println!("VIOLATED: {violation}");
        }
        eyre::bail!("{} violations", violations.len())
    })?
}

fn hours(interval_ms: u64) -> f64 {
    interval_ms as f64 / 3_600_000.0
}

async fn store_counts(platform_url: &str) -> eyre::Result<PlatformCounts> {
    let url = format!(
        "{}/counts",
        Store::new(store_settings(platform_url))?.settings().url
    );
    Ok(cyper::Client::new()?.get(url)?.send().await?.json().await?)
}
