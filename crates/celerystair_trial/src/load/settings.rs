//! Settings of a load, as its file gives them.

use std::path::PathBuf;

use celerystair_config::{
    prelude::*,
    read::{Checked, Problems},
};
use serde::{Deserialize, Serialize};

/// A load on a whole fleet. Times are in the trial's scaled time.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LoadSettings {
    /// Name in tables and plots.
    pub name: String,
    /// File with the settings of the trial to run, relative to this file.
    pub trial: PathBuf,
    /// Configuration of the fleet that replaces the trial's.
    #[serde(default)]
    pub config: Option<FleetDocument>,
    /// Seed of the plan; the same seed gives the same calls.
    #[serde(default)]
    pub seed: u64,
    /// Time during which calls are made.
    pub length_ms: u64,
    /// Average rate of calls.
    pub calls_per_second: f64,
    /// Daily variation of the rate; the rate is constant if absent.
    #[serde(default)]
    pub day: Option<DaySettings>,
    /// Additional bursts of calls at all routers.
    #[serde(default)]
    pub bursts: Vec<BurstSettings>,
    /// Zipf exponent of the models' popularity: 0 makes all equally popular, 1 and more
    /// concentrates calls on a few.
    #[serde(default)]
    pub skew: f64,
    /// Percentage of completions that name an adapter, among models that have any.
    #[serde(default)]
    pub adapter_percent: u32,
    /// Kinds of calls.
    pub mix: Vec<MixSettings>,
}

/// Sinusoidal variation of the rate over a day.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DaySettings {
    /// Length of the day.
    pub period_ms: u64,
    /// Amplitude of the variation, as a percentage of the average rate.
    pub swing_percent: u32,
}

/// A burst of calls.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BurstSettings {
    /// Start of the burst.
    pub at_ms: u64,
    /// Time over which its calls are distributed at random.
    pub length_ms: u64,
    /// Number of calls.
    pub calls: u32,
    /// Number of models that are called, the least popular first.
    pub models: u32,
}

/// Target of the calls of one kind.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MixTarget {
    /// A completion of a model.
    Completion,
    /// A call to a plain service that may be repeated.
    Read,
    /// A call to a plain service that must not be repeated.
    Write,
}

/// One kind of calls.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MixSettings {
    /// Name of the kind.
    pub kind: String,
    /// Target of its calls.
    pub target: MixTarget,
    /// Share of all calls, relative to the sum of all shares.
    pub share: u32,
    /// Weight of an answer in time, in goodput.
    #[serde(default = "default_worth")]
    pub worth: u32,
    /// Request timeout.
    pub timeout_ms: u64,
    /// Tokens per response; for completions only.
    #[serde(default)]
    pub tokens: u64,
    /// Whether responses are streamed; for completions only.
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
