//! `celerystair load`: runs load tests.

use std::path::{Path, PathBuf};

use argh::FromArgs;
use celerystair::{
    config::prelude::*,
    core::time::set_clock_scale,
    trial::{
        load::{
            plot,
            report::{LoadReport, compare},
            run::{Progress, run_load},
            settings::LoadSettings,
        },
        prelude::*,
    },
};

use super::process::block_on;

/// Runs an open-loop load test against a whole system in one process, or against two side by side.
#[derive(FromArgs)]
#[argh(subcommand, name = "load")]
pub struct LoadCommand {
    /// the settings file of the load test
    #[argh(option)]
    settings: PathBuf,
    /// the settings file of a second load test, run at the same time and compared
    #[argh(option)]
    settings_b: Option<PathBuf>,
    /// write the report into this file
    #[argh(option)]
    json: Option<PathBuf>,
    /// plot the times to the first byte into this SVG file
    #[argh(option)]
    svg: Option<PathBuf>,
}

/// Runs the load tests; fails if an invariant was violated.
pub fn run(command: &LoadCommand) -> eyre::Result<()> {
    let mut loads = vec![read(&command.settings)?];
    if let Some(path) = &command.settings_b {
        loads.push(read(path)?);
    }
    let scale = loads[0].1.clock_scale;
    eyre::ensure!(
        loads.iter().all(|(_, trial)| trial.clock_scale == scale),
        "both systems must have the same clock_scale"
    );
    set_clock_scale(scale);
    let reports = run_all(&loads)?;
    for report in &reports {
        println!("\n{report}");
    }
    if let [first, second] = reports.as_slice() {
        print!("{}", compare(first, second));
    }
    if let Some(path) = &command.json {
        std::fs::write(path, serde_json::to_vec_pretty(&reports)?)?;
        println!("report written to {}", path.display());
    }
    if let Some(path) = &command.svg {
        plot::draw(&reports, path)?;
        println!("plot written to {}", path.display());
    }
    let violations: usize = reports.iter().map(|report| report.violations.len()).sum();
    eyre::ensure!(violations == 0, "{violations} violations");
    Ok(())
}

fn read(path: &Path) -> eyre::Result<(LoadSettings, TrialSettings)> {
    let load: LoadSettings = read_settings_file(path)?;
    let directory = path.parent().unwrap_or(Path::new("."));
    let trial = read_settings_file(&directory.join(&load.trial))?;
    Ok((load, trial))
}

/// Runs the load tests at the same time, each on its own thread.
fn run_all(loads: &[(LoadSettings, TrialSettings)]) -> eyre::Result<Vec<LoadReport>> {
    std::thread::scope(|scope| {
        let threads: Vec<_> = loads
            .iter()
            .map(|(load, trial)| {
                scope.spawn(move || {
                    block_on(run_load(load, trial, print_progress))?.map_err(eyre::Report::from)
                })
            })
            .collect();
        let joined = threads.into_iter().map(|thread| {
            thread
                .join()
                .unwrap_or_else(|_| Err(eyre::eyre!("the thread of a load test panicked")))
        });
        joined.collect()
    })
}

fn print_progress(progress: &Progress) {
    println!(
        "{:<12} {:>5} of {} s: {} called, {} ended",
        progress.name,
        progress.elapsed_ms / 1000,
        progress.length_ms / 1000,
        progress.called,
        progress.ended
    );
}
