//! Records what the stand-ins did, so that trials and tests can check it against what callers and
//! celerystair report. All stand-ins of a process share one [`Witness`].

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use celerystair_core::prelude::*;

/// A shared record of what the stand-ins did; clones write to the same record from any thread.
#[derive(Clone, Debug, Default)]
pub struct Witness {
    inner: Arc<Mutex<Observations>>,
}

/// A replica that occupies accelerator memory of an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeldReplica {
    /// The model.
    pub model: String,
    /// Address of the engine.
    pub engine: SocketAddr,
    /// Sequence number of its load, which distinguishes a replica from a later one of the same
    /// model on the same engine.
    pub load: u64,
}

/// Counts of what the stand-ins did so far.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// Number of replicas of each model that occupy accelerator memory now.
    pub replicas: HashMap<String, u32>,
    /// The replicas that occupy accelerator memory now, each with its engine.
    pub held_replicas: Vec<HeldReplica>,
    /// Highest number of replicas of each model that occupied memory at the same time.
    pub replicas_peak: HashMap<String, u32>,
    /// Load orders that were refused because they would have overcommitted an accelerator.
    pub overcommit_faults: u64,
    /// Orders that an engine accepted although it had already accepted one with a higher fencing
    /// token.
    pub stale_orders: u64,
    /// Number of executions at plain services, by idempotency key.
    pub executions: HashMap<String, u32>,
    /// Number of executions at engines, by the first word of the prompt, which marks the request.
    pub completions: HashMap<String, u32>,
    /// Loads started.
    pub loads: u64,
    /// Total time that loaded replicas had no request to run, summed over all engines.
    pub idle_ms: u64,
    /// Total time that replicas were loaded, summed over all engines.
    pub loaded_ms: u64,
}

impl Witness {
    /// Returns a copy of the current counts.
    pub fn observations(&self) -> Observations {
        self.lock().clone()
    }

    /// Records that a replica now occupies memory of the engine at address `engine`.
    pub fn record_replica_allocated(&self, model: &str, engine: SocketAddr) {
        let mut observations = self.lock();
        observations.loads += 1;
        let held = HeldReplica {
            model: model.to_owned(),
            engine,
            load: observations.loads,
        };
        observations.held_replicas.push(held);
        let count = observations.replicas.entry(model.to_owned()).or_default();
        *count += 1;
        let count = *count;
        let peak = observations
            .replicas_peak
            .entry(model.to_owned())
            .or_default();
        *peak = (*peak).max(count);
    }

    /// Records that a replica's memory was freed.
    pub fn record_replica_freed(&self, model: &str, engine: SocketAddr) {
        let mut observations = self.lock();
        observations
            .held_replicas
            .retain(|held| held.model != model || held.engine != engine);
        if let Some(count) = observations.replicas.get_mut(model) {
            *count = count.saturating_sub(1);
        }
    }

    /// Records that a replica was loaded for `loaded_ms`, and had nothing to run for `idle_ms` of
    /// it.
    pub fn record_loaded_time(&self, loaded_ms: u64, idle_ms: u64) {
        let mut observations = self.lock();
        observations.loaded_ms += loaded_ms;
        observations.idle_ms += idle_ms;
    }

    /// Records a load order that would have overcommitted an accelerator.
    pub fn record_overcommit(&self) {
        self.lock().overcommit_faults += 1;
    }

    /// Records that an engine that does not check fencing tokens accepted an order with a token
    /// lower than an earlier one's.
    pub fn record_stale_order(&self) {
        self.lock().stale_orders += 1;
    }

    /// Records that a plain service executed the call with this idempotency key.
    pub fn record_execution(&self, key: &str) {
        *self.lock().executions.entry(key.to_owned()).or_default() += 1;
    }

    /// Records that an engine started to run the prompt that begins with `marker`.
    pub fn record_completion(&self, marker: &str) {
        *self
            .lock()
            .completions
            .entry(marker.to_owned())
            .or_default() += 1;
    }

    fn lock(&self) -> MutexGuard<'_, Observations> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
