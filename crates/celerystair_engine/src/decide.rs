//! The input of the decision on the engine's next load: the state of the fleet as this agent knows
//! it.

use celerystair_core::prelude::*;
use celerystair_news::prelude::*;
use celerystair_policy::{prelude::*, replicas::LoadInProgress};

use crate::{agent::EngineAgent, plan::LoadPlan};

/// How long a model stays loaded before it may be unloaded for another, so that two models don't
/// displace each other in turn.
const MIN_LOADED_MS: u64 = 1500;
/// A status that is older than this is left out of the decision.
const STATUS_EXPIRY_MS: u64 = 4000;
/// The share of the other agents whose status is needed for a decision. With fewer, most models
/// would appear to be loaded nowhere.
const MIN_REPORTING_SHARE: f64 = 0.6;

impl EngineAgent {
    /// Plans the next load of this engine. Returns `None` if there is nothing to load, or too few
    /// statuses of other agents are known.
    pub(crate) fn plan_next_load(&self, config: &EngineConfig) -> Option<LoadPlan> {
        let now = now_unix_ms();
        let since_unix_ms = now.saturating_sub(STATUS_EXPIRY_MS);
        let own = self.upstream_id.borrow().clone()?;
        let statuses = self.engine_statuses.received_since(since_unix_ms);
        let others: Vec<_> = statuses
            .iter()
            .filter(|status| status.upstream != own)
            .collect();
        let agent_count = self.router_demand.known_agents().len();
        if agent_count == 0
            || (others.len() as f64) < (agent_count - 1) as f64 * MIN_REPORTING_SHARE
        {
            return None;
        }
        let rate_limits = self.router_demand.rate_limits();
        let mut views = vec![self.own_view(&own, now)];
        views.extend(others.iter().map(|status| engine_view(status, now)));
        for view in &mut views {
            view.rate_limit_per_second = rate_limits.get(&view.upstream).copied();
        }
        let models = self.router_demand.demand_by_model();
        let order = next_order(config, &models, &views, 0)?;
        Some(LoadPlan::new(
            order,
            config,
            &self.engine_state.borrow(),
            now,
        ))
    }

    /// Returns what this agent has measured of its loads from the weight store, without what has
    /// expired.
    pub(crate) fn current_cold_load_observations(&self, now_unix_ms: u64) -> ColdLoadObservations {
        let mut observations = self.cold_load_observations.get();
        observations.expire(now_unix_ms);
        observations
    }

    fn own_view(&self, own: &UpstreamId, now_unix_ms: u64) -> EngineView {
        let state = self.engine_state.borrow();
        let loaded_unix_ms = self.model_loaded_unix_ms.borrow();
        let is_protected = |model: &&ModelName| {
            let loaded_unix_ms = loaded_unix_ms.get(*model);
            loaded_unix_ms.is_some_and(|loaded| now_unix_ms < loaded + MIN_LOADED_MS)
        };
        let loaded: Vec<ModelName> = state.loaded.iter().map(|l| l.model.clone()).collect();
        EngineView {
            upstream: own.clone(),
            protected: loaded.iter().filter(is_protected).cloned().collect(),
            loaded,
            loading: None,
            takes_orders: true,
            in_memory: state.in_memory.clone(),
            on_disk: state.on_disk.clone(),
            cold_load_observations: self.current_cold_load_observations(now_unix_ms),
            rate_limit_per_second: None,
            software_version: self.software_version.borrow().clone(),
        }
    }
}

fn engine_view(status: &EngineStatus, now_unix_ms: u64) -> EngineView {
    EngineView {
        upstream: status.upstream.clone(),
        loaded: status
            .loaded
            .iter()
            .map(|loaded| loaded.model.clone())
            .collect(),
        loading: status.loading.clone().map(|model| LoadInProgress {
            model,
            is_cold: status.is_loading_cold,
            ready_in_ms: status.ready_unix_ms.saturating_sub(now_unix_ms),
        }),
        takes_orders: status.takes_orders,
        in_memory: status.in_memory.clone(),
        on_disk: status.on_disk.clone(),
        protected: Vec::new(),
        cold_load_observations: status.cold_load_observations,
        rate_limit_per_second: None,
        software_version: status.software_version.clone(),
    }
}
