//! `celerystair try`.

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

const OFFICE: &str = include_str!("../../examples/office/trial.jsonc");

/// Runs a whole system in one process with stand-ins, calls it, and checks what must always hold.
#[derive(FromArgs)]
#[argh(subcommand, name = "try")]
pub struct TryCommand {
    /// settings of the trial; examples/office/trial.jsonc if none are named
    #[argh(option)]
    settings: Option<PathBuf>,
}

/// Runs the trial; fails if anything that must always hold did not.
pub fn run(command: &TryCommand) -> eyre::Result<()> {
    let settings: TrialSettings = match &command.settings {
        Some(path) => read_settings_file(path)?,
        None => read_settings("examples/office/trial.jsonc", OFFICE)?,
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
            println!("everything that must always hold did");
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
