//! The schedule of calls. It is computed from a seed before the first call, so that two systems can
//! be compared under the same calls.

use std::f64::consts::TAU;

use rand::{Rng, SeedableRng, rngs::StdRng};

use super::settings::{BurstSettings, LoadSettings, MixSettings, MixTarget};
use crate::{caller::CallTarget, settings::TrialSettings};

/// A scheduled call.
#[derive(Clone, Debug)]
pub struct PlannedCall {
    /// Time at which the call is due, from the start of the load.
    pub due_ms: u64,
    /// Index of its kind in the mix.
    pub mix: usize,
    /// Index of the router to which it is sent.
    pub router: usize,
    /// Model or service that it calls.
    pub target: CallTarget,
}

/// Returns all calls of a load, ordered by the time at which they are due.
pub fn plan(load: &LoadSettings, trial: &TrialSettings) -> Vec<PlannedCall> {
    let mut planner = Planner::new(load, trial);
    let mut due_ms = Vec::new();
    let mean_interval_ms = 1000.0 / load.calls_per_second;
    let peak_factor = load
        .day
        .map_or(1.0, |day| 1.0 + f64::from(day.swing_percent) / 100.0);
    let mut at_ms = 0.0;
    loop {
        // Draws Poisson arrivals at the peak rate, and thins them to the current rate.
        let draw: f64 = planner.random.random();
        at_ms -= mean_interval_ms / peak_factor * (1.0 - draw).ln();
        if at_ms >= load.length_ms as f64 {
            break;
        }
        if planner.random.random::<f64>() * peak_factor <= rate_factor(load, at_ms) {
            due_ms.push(at_ms as u64);
        }
    }
    let mut calls: Vec<PlannedCall> = due_ms
        .into_iter()
        .map(|due_ms| planner.ordinary_call(due_ms))
        .collect();
    for burst in &load.bursts {
        calls.extend((0..burst.calls).filter_map(|number| planner.burst_call(burst, number)));
    }
    calls.sort_by_key(|call| call.due_ms);
    calls
}

/// Returns the rate at `at_ms` relative to the average rate.
fn rate_factor(load: &LoadSettings, at_ms: f64) -> f64 {
    load.day.map_or(1.0, |day| {
        // The day starts at its lowest rate.
        let phase = at_ms / day.period_ms as f64 * TAU;
        1.0 - f64::from(day.swing_percent) / 100.0 * phase.cos()
    })
}

struct Planner<'a> {
    load: &'a LoadSettings,
    trial: &'a TrialSettings,
    random: StdRng,
    /// Models with their adapters, the most popular first.
    models: Vec<(String, Vec<String>)>,
    /// For each model, the share of calls that go to it or to a more popular one.
    cumulative_share: Vec<f64>,
    /// Number of calls planned so far, which numbers keys and markers.
    calls: usize,
}

impl<'a> Planner<'a> {
    fn new(load: &'a LoadSettings, trial: &'a TrialSettings) -> Self {
        let models: Vec<(String, Vec<String>)> = trial
            .model_objects()
            .into_iter()
            .map(|(name, object)| (name, object.adapters))
            .collect();
        let weights: Vec<f64> = (1..=models.len())
            .map(|rank| (rank as f64).powf(-load.skew))
            .collect();
        let total: f64 = weights.iter().sum();
        let cumulative_share = weights
            .iter()
            .scan(0.0, |sum, weight| {
                *sum += weight / total;
                Some(*sum)
            })
            .collect();
        Self {
            load,
            trial,
            random: StdRng::seed_from_u64(load.seed),
            models,
            cumulative_share,
            calls: 0,
        }
    }

    fn ordinary_call(&mut self, due_ms: u64) -> PlannedCall {
        let shares: u32 = self.load.mix.iter().map(|kind| kind.share).sum();
        let mut drawn = self.random.random_range(0..shares);
        let mut mix = 0;
        for (index, kind) in self.load.mix.iter().enumerate() {
            mix = index;
            if drawn < kind.share {
                break;
            }
            drawn -= kind.share;
        }
        let draw: f64 = self.random.random();
        let last = self.models.len().saturating_sub(1);
        let model = self
            .cumulative_share
            .partition_point(|share| *share < draw)
            .min(last);
        self.call(due_ms, mix, model)
    }

    /// Plans a call of a burst. Its calls go to the least popular models in turn, and are of the
    /// first kind that calls models.
    fn burst_call(&mut self, burst: &BurstSettings, number: u32) -> Option<PlannedCall> {
        let kinds = &self.load.mix;
        let mix = kinds
            .iter()
            .position(|kind| kind.target == MixTarget::Completion)?;
        let models = (burst.models as usize).clamp(1, self.models.len());
        let model = self.models.len() - 1 - number as usize % models;
        let due_ms = burst.at_ms + self.random.random_range(0..=burst.length_ms);
        Some(self.call(due_ms, mix, model))
    }

    fn call(&mut self, due_ms: u64, mix: usize, model: usize) -> PlannedCall {
        self.calls += 1;
        let kind = &self.load.mix[mix];
        let target = match kind.target {
            MixTarget::Completion => self.completion(kind, model),
            MixTarget::Read => self.service_call(http::Method::GET, "status", String::new()),
            MixTarget::Write => {
                let key = format!("{}-{}", self.load.seed, self.calls);
                self.service_call(http::Method::POST, "entries", key)
            }
        };
        PlannedCall {
            due_ms,
            mix,
            router: self.random.random_range(0..self.trial.routers as usize),
            target,
        }
    }

    fn completion(&mut self, kind: &MixSettings, model: usize) -> CallTarget {
        let (name, adapters) = &self.models[model];
        let has_adapter =
            !adapters.is_empty() && self.random.random_range(0..100) < self.load.adapter_percent;
        let model = if has_adapter {
            let adapter = &adapters[self.random.random_range(0..adapters.len())];
            format!("{name}:{adapter}")
        } else {
            name.clone()
        };
        CallTarget::Completion {
            model,
            tokens: kind.tokens,
            stream: kind.stream,
            marker: format!("w{}", self.calls),
        }
    }

    fn service_call(&self, method: http::Method, path: &str, key: String) -> CallTarget {
        let services = &self.trial.services;
        let service = &services[self.calls % services.len().max(1)].name;
        CallTarget::Service {
            method,
            path: format!("/services/{service}/{path}/{}", self.calls),
            key,
        }
    }
}
