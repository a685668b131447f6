//! What truly happened at the stand-ins, seen from inside them, for the checks of trials and
//! tests. One witness is shared by all stand-ins of a process.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use celerystair_core::prelude::*;

/// Shared by stand-ins on any thread.
#[derive(Clone, Debug, Default)]
pub struct Witness {
    inner: Arc<Mutex<Observations>>,
}

/// A replica that holds memory of an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeldReplica {
    /// The model.
    pub model: String,
    /// Where the engine listens.
    pub engine: SocketAddr,
    /// The number of its load, which tells a replica from a later one of the same model.
    pub load: u64,
}

/// What the stand-ins saw.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// Replicas of each model that hold accelerator memory now.
    pub replicas: HashMap<String, u32>,
    /// The same replicas, each with its engine.
    pub held_replicas: Vec<HeldReplica>,
    /// The most replicas of each model that held memory at one instant.
    pub replicas_peak: HashMap<String, u32>,
    /// Orders that would have overcommitted an accelerator.
    pub overcommit_faults: u64,
    /// Orders that an engine took though it had an order of a later claimant before.
    pub stale_orders: u64,
    /// Executions of each idempotency key at plain services.
    pub executions: HashMap<String, u32>,
    /// Executions by request body marker at engines.
    pub completions: HashMap<String, u32>,
    /// Loads that were begun.
    pub loads: u64,
    /// Milliseconds for which replicas were loaded and had no work, over all engines.
    pub idle_ms: u64,
    /// Milliseconds for which replicas were loaded, over all engines.
    pub loaded_ms: u64,
}

impl Witness {
    /// What was seen so far.
    pub fn observations(&self) -> Observations {
        self.lock().clone()
    }

    /// A replica begins to hold memory of the engine that listens at `engine`.
    pub fn replica_taken(&self, model: &str, engine: SocketAddr) {
        let mut seen = self.lock();
        seen.loads += 1;
        let held = HeldReplica {
            model: model.to_owned(),
            engine,
            load: seen.loads,
        };
        seen.held_replicas.push(held);
        let count = seen.replicas.entry(model.to_owned()).or_default();
        *count += 1;
        let count = *count;
        let peak = seen.replicas_peak.entry(model.to_owned()).or_default();
        *peak = (*peak).max(count);
    }

    /// A replica's memory is free again.
    pub fn replica_freed(&self, model: &str, engine: SocketAddr) {
        let mut seen = self.lock();
        seen.held_replicas
            .retain(|held| held.model != model || held.engine != engine);
        if let Some(count) = seen.replicas.get_mut(model) {
            *count = count.saturating_sub(1);
        }
    }

    /// A replica was loaded for `loaded_ms`, of which `idle_ms` without work.
    pub fn replica_time(&self, loaded_ms: u64, idle_ms: u64) {
        let mut seen = self.lock();
        seen.loaded_ms += loaded_ms;
        seen.idle_ms += idle_ms;
    }

    /// An order would have overcommitted an accelerator.
    pub fn overcommit(&self) {
        self.lock().overcommit_faults += 1;
    }

    /// An engine that does not check took an order after one of a later claimant.
    pub fn stale_order(&self) {
        self.lock().stale_orders += 1;
    }

    /// A plain service executed the call with `key`.
    pub fn executed(&self, key: &str) {
        *self.lock().executions.entry(key.to_owned()).or_default() += 1;
    }

    /// An engine began to execute the prompt with `marker`.
    pub fn completed(&self, marker: &str) {
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
