//! What goes into the decision on the engine's next load: the fleet as this agent knows it.

use celerystair_core::prelude::*;
use celerystair_news::prelude::*;
use celerystair_policy::{prelude::*, replicas::LoadInProgress};

use crate::{agent::EngineAgent, plan::Plan};

/// A model that was loaded makes no room for another for this long, so that two don't take turns.
const KEEP_MS: u64 = 1500;
/// Agents that were heard within this time take part in the plan.
const AGENTS_MEMORY_MS: u64 = 4000;
/// Without news of this part of the other agents, most models would seem to be loaded nowhere.
const HEARD_SHARE: f64 = 0.6;

impl EngineAgent {
    /// What this engine loads next.
    pub(crate) fn decide(&self, config: &EngineConfig) -> Option<Plan> {
        let now = now_unix_ms();
        let since_unix_ms = now.saturating_sub(AGENTS_MEMORY_MS);
        let own = self.upstream.borrow().clone()?;
        let heard = self.engines.received_since(since_unix_ms);
        let others: Vec<_> = heard
            .iter()
            .filter(|status| status.upstream != own)
            .collect();
        let agents = self.demand.known_agents().len();
        if agents == 0 || (others.len() as f64) < (agents - 1) as f64 * HEARD_SHARE {
            return None;
        }
        let mut views = vec![self.own_view(&own, now)];
        views.extend(others.iter().map(|status| view_of(status, now)));
        let models = self.demand.demand_by_model();
        let order = next_order(config, &models, &views, 0)?;
        Some(Plan::new(order, config, &self.state.borrow(), now))
    }

    /// What this agent has seen of loads from the weight store, and what still holds of it.
    pub(crate) fn cold_loads_seen(&self, now_unix_ms: u64) -> ColdLoadObservations {
        let mut seen = self.cold_loads_seen.get();
        seen.expire(now_unix_ms);
        seen
    }

    fn own_view(&self, own: &UpstreamId, now_unix_ms: u64) -> EngineView {
        let state = self.state.borrow();
        let loaded_unix_ms = self.loaded_unix_ms.borrow();
        let is_kept = |model: &&ModelName| {
            let loaded = loaded_unix_ms.get(*model);
            loaded.is_some_and(|loaded| now_unix_ms < loaded + KEEP_MS)
        };
        let loaded: Vec<ModelName> = state.loaded.iter().map(|l| l.model.clone()).collect();
        EngineView {
            upstream: own.clone(),
            protected: loaded.iter().filter(is_kept).cloned().collect(),
            loaded,
            loading: None,
            takes_orders: true,
            in_memory: state.in_memory.clone(),
            on_disk: state.on_disk.clone(),
            cold_load_observations: self.cold_loads_seen(now_unix_ms),
        }
    }
}

fn view_of(status: &EngineStatus, now_unix_ms: u64) -> EngineView {
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
        cold_load_observations: status.cold_loads_seen,
    }
}
