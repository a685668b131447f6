//! How much each model is asked for. Answers demand that moves to other models every few
//! seconds: the average forgets within seconds what is no longer asked for.

use celerystair_core::prelude::*;

/// Time in which the average falls to a third once nobody asks.
const MEMORY_MS: f64 = 4000.0;
/// A model that is asked for less often than this is forgotten.
const FORGOTTEN_PER_SECOND: f64 = 0.005;

/// Arrivals by model, averaged over the last seconds.
#[derive(Clone, Debug, Default)]
pub struct DemandMeter {
    models: HashMap<ModelName, Rate>,
}

/// How much a model is asked for.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelRate {
    /// The model.
    pub model: ModelName,
    /// Arrivals a second.
    pub per_second: f64,
    /// The time within which its callers want an answer to begin, on average.
    pub target_latency_ms: f64,
}

#[derive(Clone, Copy, Debug)]
struct Rate {
    per_second: f64,
    target_latency_ms: f64,
    at_unix_ms: u64,
}

impl Rate {
    fn at(&self, now_unix_ms: u64) -> f64 {
        let age_ms = now_unix_ms.saturating_sub(self.at_unix_ms) as f64;
        self.per_second * (-age_ms / MEMORY_MS).exp()
    }
}

impl DemandMeter {
    /// Counts a request for `model` whose caller wants its answer to begin within
    /// `target_latency_ms`.
    pub fn record_arrival(&mut self, model: &ModelName, target_latency_ms: u64, now_unix_ms: u64) {
        let target_latency_ms = target_latency_ms as f64;
        let rate = self.models.entry(model.clone()).or_insert(Rate {
            per_second: 0.0,
            target_latency_ms,
            at_unix_ms: now_unix_ms,
        });
        let own = 1000.0 / MEMORY_MS;
        let before = rate.at(now_unix_ms);
        let sum = rate.target_latency_ms * before + target_latency_ms * own;
        rate.per_second = before + own;
        rate.target_latency_ms = sum / rate.per_second;
        rate.at_unix_ms = now_unix_ms;
    }

    /// Each model that is still asked for.
    pub fn rates(&mut self, now_unix_ms: u64) -> Vec<ModelRate> {
        self.models
            .retain(|_, rate| rate.at(now_unix_ms) >= FORGOTTEN_PER_SECOND);
        let rates = self.models.iter();
        rates
            .map(|(model, rate)| ModelRate {
                model: model.clone(),
                per_second: rate.at(now_unix_ms),
                target_latency_ms: rate.target_latency_ms,
            })
            .collect()
    }
}
