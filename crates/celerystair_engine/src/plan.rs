//! A load in progress, with the unloads that free memory for it.

use celerystair_core::prelude::*;
use celerystair_policy::{prelude::*, replicas::model_memory_mb};

/// The least remaining time that is expected of an overdue load. The agent polls reports at
/// intervals, so a load that seems overdue by less may already be done.
const MIN_REMAINING_MS: u64 = 500;
/// A load that isn't done this long after its first estimate is abandoned and decided anew.
const GIVE_UP_AFTER_MS: u64 = 60_000;

/// A load in progress.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// The models to load and to unload, as decided.
    pub order: Order,
    /// When the model is estimated to serve. The estimate is renewed when the engine accepts the
    /// order to load.
    pub ready_unix_ms: u64,
    /// When the load is abandoned.
    pub give_up_unix_ms: u64,
    /// When the engine accepted the order to load; `None` before that, or if its response was lost.
    pub accepted_unix_ms: Option<u64>,
}

/// The next step of a [`LoadPlan`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LoadStep {
    /// The model is loaded, so the plan is complete.
    Done,
    /// The engine is carrying out an order; send none now.
    Wait,
    /// Unload this model to free memory.
    Unload(ModelName),
    /// Load the model; there is enough memory.
    Load,
    /// Abandon the plan: there isn't enough memory after all, or the load takes too long.
    GiveUp,
}

impl LoadPlan {
    /// Creates a plan that carries out `order`.
    pub fn new(order: Order, config: &EngineConfig, state: &EngineState, now_unix_ms: u64) -> Self {
        let load_ms = estimated_load_ms(&order.load, config, state);
        let ready_unix_ms = now_unix_ms + load_ms;
        Self {
            order,
            ready_unix_ms,
            give_up_unix_ms: ready_unix_ms + GIVE_UP_AFTER_MS,
            accepted_unix_ms: None,
        }
    }

    /// Records that the engine accepted the order to load, and renews the estimate.
    pub fn record_accepted(&mut self, load_ms: u64, now_unix_ms: u64) {
        self.accepted_unix_ms = Some(now_unix_ms);
        self.ready_unix_ms = now_unix_ms + load_ms;
    }

    /// Records in `observations` how long a load from the weight store has run so far.
    pub fn record_cold_load(
        &self,
        observations: &mut ColdLoadObservations,
        config: &EngineConfig,
        is_done: bool,
        now_unix_ms: u64,
    ) {
        let model = config.models.get(&self.order.load);
        let Some((model, accepted_unix_ms)) = model.zip(self.accepted_unix_ms) else {
            return;
        };
        if self.order.is_cold {
            let run = ColdLoadRun {
                concurrency: self.order.cold_concurrency,
                elapsed_ms: now_unix_ms.saturating_sub(accepted_unix_ms),
                uncontended_ms: model.cold_load_ms,
                is_done,
            };
            observations.record_load(&run, now_unix_ms);
        }
    }

    /// Estimates from the current time when the model serves. An overdue load is expected to take
    /// as long again as it is overdue.
    pub fn expected_ready_unix_ms(&self, now_unix_ms: u64) -> u64 {
        if now_unix_ms <= self.ready_unix_ms {
            self.ready_unix_ms
        } else {
            now_unix_ms + (now_unix_ms - self.ready_unix_ms) + MIN_REMAINING_MS
        }
    }

    /// Returns the next step, given the engine's last report.
    pub fn next_step(
        &self,
        config: &EngineConfig,
        state: &EngineState,
        now_unix_ms: u64,
    ) -> LoadStep {
        let is_loaded = |model: &ModelName| state.loaded.iter().any(|l| l.model == *model);
        if is_loaded(&self.order.load) {
            return LoadStep::Done;
        }
        if now_unix_ms >= self.give_up_unix_ms {
            return LoadStep::GiveUp;
        }
        if state.is_busy {
            return LoadStep::Wait;
        }
        if let Some(unload) = self.order.unload.iter().find(|model| is_loaded(model)) {
            return LoadStep::Unload(unload.clone());
        }
        if has_memory_for(&self.order.load, config, state) {
            LoadStep::Load
        } else {
            LoadStep::GiveUp
        }
    }
}

/// Returns the configured load time from the fastest copy of the weights that the engine can use:
/// host memory, disk or the weight store. It is 0 for a model that is not configured.
pub fn estimated_load_ms(model: &ModelName, config: &EngineConfig, state: &EngineState) -> u64 {
    let Some(model_config) = config.models.get(model) else {
        return 0;
    };
    if state.in_memory.contains(model) {
        model_config.memory_load_ms
    } else if state.on_disk.contains(model) {
        model_config.disk_load_ms
    } else {
        model_config.cold_load_ms
    }
}

/// Whether the model fits in memory beside the models that the engine reports. An engine crashes if
/// it is ordered to load more than fits.
fn has_memory_for(model: &ModelName, config: &EngineConfig, state: &EngineState) -> bool {
    let size_mb = |model: &ModelName| config.models.get(model).map(|model| model.weights_mb);
    let Some(needed_mb) = size_mb(model) else {
        return false;
    };
    let mut used_mb = 0.0;
    for loaded in &state.loaded {
        // The size of a model that is no longer configured is unknown.
        let Some(mb) = size_mb(&loaded.model) else {
            return false;
        };
        used_mb += mb;
    }
    used_mb + needed_mb <= model_memory_mb(config)
}
