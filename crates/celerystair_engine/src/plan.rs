//! A load under way, with the unloads that make room for it.

use celerystair_core::prelude::*;
use celerystair_policy::{prelude::*, replicas::model_memory_mb};

/// A load that is late by less is not called late: reports are read every so often.
const OVERDUE_MIN_MS: u64 = 500;
/// A load that is not done this long after it should be is given up, and decided anew.
const LATE_MS: u64 = 60_000;

/// A load under way.
#[derive(Clone, Debug)]
pub struct Plan {
    /// What was decided.
    pub order: Order,
    /// When the model is expected to serve.
    pub ready_unix_ms: u64,
    /// When the load is given up.
    pub until_unix_ms: u64,
    /// When the engine has taken the order to load; `None` before, or if its answer was lost.
    pub ordered_unix_ms: Option<u64>,
}

/// What the engine must be ordered next for a plan.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlanStep {
    /// The model serves.
    Done,
    /// The engine is busy; nothing now.
    Wait,
    /// This model makes room.
    Unload(ModelName),
    /// There is room.
    Load,
    /// There is no room after all, or no time.
    GiveUp,
}

impl Plan {
    /// A plan for what was decided.
    pub fn new(order: Order, config: &EngineConfig, state: &EngineState, now_unix_ms: u64) -> Self {
        let load_ms = load_ms(&order.load, config, state);
        let ready_unix_ms = now_unix_ms + load_ms;
        Self {
            order,
            ready_unix_ms,
            until_unix_ms: ready_unix_ms + LATE_MS,
            ordered_unix_ms: None,
        }
    }

    /// Notes that the engine has taken the order to load.
    pub fn note_ordered(&mut self, load_ms: u64, now_unix_ms: u64) {
        self.ordered_unix_ms = Some(now_unix_ms);
        self.ready_unix_ms = now_unix_ms + load_ms;
    }

    /// Notes in `seen` how long a load from the weight store has run.
    pub fn note_run(
        &self,
        seen: &mut ColdLoadObservations,
        config: &EngineConfig,
        is_done: bool,
        now_unix_ms: u64,
    ) {
        let model = config.models.get(&self.order.load);
        let Some((model, ordered_unix_ms)) = model.zip(self.ordered_unix_ms) else {
            return;
        };
        if self.order.is_cold {
            let run = ColdLoadRun {
                concurrency: self.order.cold_concurrency,
                elapsed_ms: now_unix_ms.saturating_sub(ordered_unix_ms),
                uncontended_ms: model.cold_load_ms,
                is_done,
            };
            seen.record_load(&run, now_unix_ms);
        }
    }

    /// When the model is expected to serve, seen from now: a load that is late by some time may be
    /// late by as much again.
    pub fn expected_unix_ms(&self, now_unix_ms: u64) -> u64 {
        if now_unix_ms <= self.ready_unix_ms {
            self.ready_unix_ms
        } else {
            now_unix_ms + (now_unix_ms - self.ready_unix_ms) + OVERDUE_MIN_MS
        }
    }

    /// The next step, by what the engine reports.
    pub fn step(&self, config: &EngineConfig, state: &EngineState, now_unix_ms: u64) -> PlanStep {
        let is_loaded = |model: &ModelName| state.loaded.iter().any(|l| l.model == *model);
        if is_loaded(&self.order.load) {
            return PlanStep::Done;
        }
        if now_unix_ms >= self.until_unix_ms {
            return PlanStep::GiveUp;
        }
        if state.is_busy {
            return PlanStep::Wait;
        }
        if let Some(victim) = self.order.unload.iter().find(|model| is_loaded(model)) {
            return PlanStep::Unload(victim.clone());
        }
        if has_room(&self.order.load, config, state) {
            PlanStep::Load
        } else {
            PlanStep::GiveUp
        }
    }
}

/// How long a load of the model takes on this engine.
pub fn load_ms(model: &ModelName, config: &EngineConfig, state: &EngineState) -> u64 {
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

/// Whether the model fits beside what the engine reports. An engine that is ordered to load more
/// than it holds crashes.
fn has_room(model: &ModelName, config: &EngineConfig, state: &EngineState) -> bool {
    let size_mb = |model: &ModelName| config.models.get(model).map(|model| model.weights_mb);
    let Some(needed_mb) = size_mb(model) else {
        return false;
    };
    let mut held_mb = 0.0;
    for loaded in &state.loaded {
        // A model that the configuration no longer has takes nobody knows how much.
        let Some(mb) = size_mb(&loaded.model) else {
            return false;
        };
        held_mb += mb;
    }
    held_mb + needed_mb <= model_memory_mb(config)
}
