//! Settings of a load.

use std::path::PathBuf;

use celerystair_config::{
    prelude::*,
    read::{Checked, Problems},
};
use serde::{Deserialize, Serialize};

/// A load on a whole system, in the trial's own time.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LoadSettings {
    /// What tables and plots call it.
    pub name: String,
    /// The system: settings of a trial, in a file beside this one.
    pub trial: PathBuf,
    /// The fleet's configuration, in place of the trial's.
    #[serde(default)]
    pub config: Option<FleetDocument>,
    /// Seed of all that is random in the calls; the same seed gives the same calls.
    #[serde(default)]
    pub seed: u64,
    /// How long calls arrive.
    pub length_ms: u64,
    /// Calls a second, on average.
    pub calls_per_second: f64,
    /// The rate's daily rise and fall; steady if absent.
    #[serde(default)]
    pub day: Option<DaySettings>,
    /// First calls that come at all routers at once.
    #[serde(default)]
    pub bursts: Vec<BurstSettings>,
    /// Exponent of the models' popularity: 0 for all alike, 1 and more for a few common ones.
    #[serde(default)]
    pub skew: f64,
    /// Calls of models that name an adapter.
    #[serde(default)]
    pub adapter_percent: u32,
    /// The kinds of calls.
    pub mix: Vec<MixSettings>,
}

/// A rate that follows a sine over the day.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DaySettings {
    /// Length of the day.
    pub period_ms: u64,
    /// How far the rate swings, as a percentage of the average.
    pub swing_percent: u32,
}

/// Calls that come together.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BurstSettings {
    /// When it begins.
    pub at_ms: u64,
    /// Within what time its calls come.
    pub length_ms: u64,
    /// How many calls.
    pub calls: u32,
    /// To how many models, the rarest first.
    pub models: u32,
}

/// What a call of a kind goes to.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MixTarget {
    /// A model.
    Completion,
    /// A service, by a call that may be repeated.
    Read,
    /// A service, by a call that may not.
    Write,
}

/// One kind of calls.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MixSettings {
    /// Its name.
    pub kind: String,
    /// What it goes to.
    pub target: MixTarget,
    /// Its share of the calls.
    pub share: u32,
    /// What an answer in time is worth, in goodput.
    #[serde(default = "default_worth")]
    pub worth: u32,
    /// How long its callers wait.
    pub timeout_ms: u64,
    /// Tokens of an answer.
    #[serde(default)]
    pub tokens: u64,
    /// Whether answers are streamed.
    #[serde(default)]
    pub stream: bool,
}

fn default_worth() -> u32 {
    1
}

impl Checked for LoadSettings {
    fn check(&self, problems: &mut Problems) {
        problems.require(!self.name.is_empty(), "name", "must not be empty");
        problems.require(self.length_ms > 0, "length_ms", "must be over 0");
        problems.require(
            self.calls_per_second > 0.0 && self.calls_per_second <= 10_000.0,
            "calls_per_second",
            "must be over 0 and at most 10000",
        );
        problems.require(self.skew >= 0.0, "skew", "must not be negative");
        problems.require(
            self.adapter_percent <= 100,
            "adapter_percent",
            "must be at most 100",
        );
        problems.require(
            self.mix.iter().any(|kind| kind.share > 0),
            "mix",
            "must have a kind with a share",
        );
        if let Some(day) = &self.day {
            problems.require(
                day.period_ms > 0 && day.swing_percent <= 100,
                "day",
                "needs a period over 0 and a swing of at most 100",
            );
        }
        for (index, kind) in self.mix.iter().enumerate() {
            problems.within(format!("mix.{index}"), |problems| {
                problems.require(kind.timeout_ms > 0, "timeout_ms", "must be over 0");
                problems.require(
                    kind.target != MixTarget::Completion || kind.tokens > 0,
                    "tokens",
                    "must be over 0 for completions",
                );
            });
        }
    }
}
