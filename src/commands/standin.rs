//! `celerystair standin`: runs a stand-in for another system.

use std::path::PathBuf;

use argh::FromArgs;
use celerystair::{
    config::{
        prelude::*,
        read::{Checked, Problems},
    },
    core::prelude::*,
    standin::prelude::*,
};
use serde::Deserialize;

use super::process::{StopSignals, block_on, serve_until_signal};

/// Runs a stand-in for the platform, a model engine, the weight store or a plain service.
#[derive(FromArgs)]
#[argh(subcommand, name = "standin")]
pub struct StandinCommand {
    /// the settings file, JSON with comments: `{"platform": {...}}`, or with `engine`, `weights` or
    /// `service` as the key
    #[argh(option)]
    settings: PathBuf,
}

/// The kind of stand-in, and its behaviour.
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StandinSettings {
    Engine(EngineSettings),
    Platform(PlatformSettings),
    Service(ServiceSettings),
    Weights(WeightsSettings),
}

impl Checked for StandinSettings {
    fn check(&self, problems: &mut Problems) {
        if let Self::Weights(weights) = self {
            let is_valid = weights.loads_per_second > 0.0;
            problems.require(is_valid, "weights.loads_per_second", "must be over 0");
        }
    }
}

/// Runs the stand-in until SIGTERM or Ctrl-C.
pub fn run(command: &StandinCommand) -> eyre::Result<()> {
    let signals = StopSignals::catch()?;
    let settings: StandinSettings = read_settings_file(&command.settings)?;
    block_on(async {
        let stop = Stop::new();
        let witness = Witness::default();
        let address = match settings {
            StandinSettings::Engine(engine) => run_engine(engine, &witness, &stop)?,
            StandinSettings::Platform(platform) => run_platform(platform, &stop)?,
            StandinSettings::Service(service) => run_service(service, &witness, &stop)?,
            StandinSettings::Weights(weights) => run_weights(weights, &stop)?,
        };
        println!("listens on {address}");
        serve_until_signal(signals, &stop, 0, std::future::ready(()), |_| {}).await
    })?
}
