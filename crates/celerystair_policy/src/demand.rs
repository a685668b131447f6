//! The request rate of each model, as an exponentially decaying average. Demand may move to other
//! models every few seconds, so the average forgets a model within seconds of its last request.

use celerystair_core::prelude::*;

/// Time constant of the decay: without requests, the average falls to about a third in this time.
const TIME_CONSTANT_MS: f64 = 4000.0;
/// Models with a lower rate than this are dropped.
const RATE_MIN_PER_SECOND: f64 = 0.005;

/// Request rates by model, averaged over the last few seconds.
#[derive(Clone, Debug, Default)]
pub struct DemandMeter {
    models: HashMap<ModelName, Rate>,
}

/// The request rate of one model, and the latency that its callers want.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelRate {
    /// The model.
    pub model: ModelName,
    /// Requests per second.
    pub per_second: f64,
    /// The mean time within which its callers want an answer to begin.
    pub target_latency_ms: f64,
}

#[derive(Clone, Copy, Debug)]
struct Rate {
    per_second: f64,
    target_latency_ms: f64,
    at_unix_ms: u64,
}

impl Rate {
    fn decayed(&self, now_unix_ms: u64) -> f64 {
        let age_ms = now_unix_ms.saturating_sub(self.at_unix_ms) as f64;
        self.per_second * (-age_ms / TIME_CONSTANT_MS).exp()
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
        let increment = 1000.0 / TIME_CONSTANT_MS;
        let before = rate.decayed(now_unix_ms);
        let sum = rate.target_latency_ms * before + target_latency_ms * increment;
        rate.per_second = before + increment;
        rate.target_latency_ms = sum / rate.per_second;
        rate.at_unix_ms = now_unix_ms;
    }

    /// Returns the rate of each model, and drops models whose rate is negligible.
    pub fn rates(&mut self, now_unix_ms: u64) -> Vec<ModelRate> {
        self.models
            .retain(|_, rate| rate.decayed(now_unix_ms) >= RATE_MIN_PER_SECOND);
        let rates = self.models.iter();
        rates
            .map(|(model, rate)| ModelRate {
                model: model.clone(),
                per_second: rate.decayed(now_unix_ms),
                target_latency_ms: rate.target_latency_ms,
            })
            .collect()
    }
}
