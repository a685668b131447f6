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

#[derive(Clone, Copy, Debug)]
struct Rate {
    per_second: f64,
    at_unix_ms: u64,
}

impl Rate {
    fn at(&self, now_unix_ms: u64) -> f64 {
        let age_ms = now_unix_ms.saturating_sub(self.at_unix_ms) as f64;
        self.per_second * (-age_ms / MEMORY_MS).exp()
    }
}

impl DemandMeter {
    /// Counts a request for `model`.
    pub fn note_arrival(&mut self, model: &ModelName, now_unix_ms: u64) {
        let rate = self.models.entry(model.clone()).or_insert(Rate {
            per_second: 0.0,
            at_unix_ms: now_unix_ms,
        });
        rate.per_second = rate.at(now_unix_ms) + 1000.0 / MEMORY_MS;
        rate.at_unix_ms = now_unix_ms;
    }

    /// Arrivals a second of each model that is still asked for.
    pub fn rates(&mut self, now_unix_ms: u64) -> Vec<(ModelName, f64)> {
        self.models
            .retain(|_, rate| rate.at(now_unix_ms) >= FORGOTTEN_PER_SECOND);
        let rates = self.models.iter();
        rates
            .map(|(model, rate)| (model.clone(), rate.at(now_unix_ms)))
            .collect()
    }
}
