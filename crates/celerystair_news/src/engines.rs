//! What agents tell of their engines.

use std::{cell::RefCell, net::Ipv4Addr, rc::Rc};

use celerystair_core::prelude::*;
use celerystair_policy::prelude::*;
use celerystair_protocol::{EngineModel, EngineNews};

/// News that is older than this tells nothing of an engine's load: several in a row were lost, or
/// the agent stands still.
pub const FRESH_MS: u64 = 4000;

/// An engine as its agent last told.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineStatus {
    /// The engine.
    pub upstream: UpstreamId,
    /// Its start.
    pub started_unix_ms: u64,
    /// Rises with each datagram, also over lives of the agent.
    pub sequence: u64,
    /// The models that it serves.
    pub loaded: Vec<LoadedModel>,
    /// The model that it loads, if any.
    pub loading: Option<ModelName>,
    /// When that model is expected to serve, by the reader's clock.
    pub ready_unix_ms: u64,
    /// Whether that model's weights come from the weight store.
    pub is_loading_cold: bool,
    /// What its agent has seen of loads from the weight store.
    pub cold_loads_seen: ColdLoadObservations,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that run there.
    pub running: u32,
    /// Models with a copy of their weights in host memory.
    pub in_memory: Vec<ModelName>,
    /// Models with a copy of their weights on disk.
    pub on_disk: Vec<ModelName>,
    /// Routers that the agent has heard of late.
    pub router_count: u32,
    /// Whether the agent orders loads now.
    pub takes_orders: bool,
    /// When this was heard.
    pub received_unix_ms: u64,
    /// The instance of the engine and its agent.
    pub address: Ipv4Addr,
}

impl EngineStatus {
    /// Whether it is fresh enough to tell the engine's load.
    pub fn is_fresh(&self, now_unix_ms: u64) -> bool {
        now_unix_ms < self.received_unix_ms + FRESH_MS
    }

    /// The model as loaded there.
    pub fn loaded_model(&self, model: &ModelName) -> Option<&LoadedModel> {
        self.loaded.iter().find(|loaded| loaded.model == *model)
    }

    pub(crate) fn read(news: EngineNews, now_unix_ms: u64) -> Self {
        let loaded = news.loaded.into_iter().map(|model| LoadedModel {
            model: model.model.into(),
            adapters: model.adapters,
        });
        let models = |names: Vec<String>| names.into_iter().map(ModelName::from).collect();
        Self {
            upstream: news.upstream.into(),
            started_unix_ms: news.born_unix_ms,
            sequence: news.sequence,
            loaded: loaded.collect(),
            loading: (!news.loading.is_empty()).then(|| news.loading.into()),
            ready_unix_ms: now_unix_ms + u64::from(news.ready_in_ms),
            is_loading_cold: news.loading_is_cold,
            cold_loads_seen: ColdLoadObservations {
                on_time_concurrency: news.cold_loads_on_time,
                full_speed_concurrency: news.cold_loads_served,
                // Its agent forgets it; this copy is replaced by the next news.
                forget_unix_ms: u64::MAX,
            },
            waiting: news.waiting,
            running: news.running,
            in_memory: models(news.in_memory),
            on_disk: models(news.on_disk),
            router_count: news.routers,
            takes_orders: news.takes_orders,
            received_unix_ms: now_unix_ms,
            address: Ipv4Addr::from(news.address),
        }
    }

    pub(crate) fn write(&self) -> EngineNews {
        let loaded = self.loaded.iter().map(|model| EngineModel {
            model: model.model.to_string(),
            adapters: model.adapters.clone(),
        });
        let names = |models: &[ModelName]| models.iter().map(ToString::to_string).collect();
        let ready_in_ms = self.ready_unix_ms.saturating_sub(self.received_unix_ms);
        EngineNews {
            upstream: self.upstream.to_string(),
            born_unix_ms: self.started_unix_ms,
            sequence: self.sequence,
            loaded: loaded.collect(),
            loading: self
                .loading
                .as_ref()
                .map(ToString::to_string)
                .unwrap_or_default(),
            ready_in_ms: ready_in_ms as u32,
            waiting: self.waiting,
            running: self.running,
            in_memory: names(&self.in_memory),
            on_disk: names(&self.on_disk),
            routers: self.router_count,
            loading_is_cold: self.is_loading_cold,
            cold_loads_on_time: self.cold_loads_seen.on_time_concurrency,
            cold_loads_served: self.cold_loads_seen.full_speed_concurrency,
            takes_orders: self.takes_orders,
            address: u32::from(self.address),
        }
    }
}

impl Default for EngineStatus {
    fn default() -> Self {
        Self {
            upstream: UpstreamId::default(),
            started_unix_ms: 0,
            sequence: 0,
            loaded: Vec::new(),
            loading: None,
            ready_unix_ms: 0,
            is_loading_cold: false,
            cold_loads_seen: ColdLoadObservations::default(),
            waiting: 0,
            running: 0,
            in_memory: Vec::new(),
            on_disk: Vec::new(),
            router_count: 0,
            takes_orders: false,
            received_unix_ms: 0,
            address: Ipv4Addr::UNSPECIFIED,
        }
    }
}

/// What was heard of each engine last.
#[derive(Clone, Default)]
pub struct EngineStatusTable {
    engines: Rc<RefCell<HashMap<UpstreamId, Rc<EngineStatus>>>>,
}

impl EngineStatusTable {
    /// Takes in what an agent told; false if something later was heard before.
    pub fn insert_if_newer(&self, status: EngineStatus) -> bool {
        let mut engines = self.engines.borrow_mut();
        let known = engines.get(&status.upstream);
        if known.is_some_and(|known| known.sequence >= status.sequence) {
            return false;
        }
        engines.insert(status.upstream.clone(), Rc::new(status));
        true
    }

    /// What was heard of `upstream` last.
    pub fn get(&self, upstream: &UpstreamId) -> Option<Rc<EngineStatus>> {
        self.engines.borrow().get(upstream).cloned()
    }

    /// Every engine that was heard of since `since_unix_ms`.
    pub fn heard_since(&self, since_unix_ms: u64) -> Vec<Rc<EngineStatus>> {
        let engines = self.engines.borrow();
        let fresh = engines
            .values()
            .filter(|s| s.received_unix_ms >= since_unix_ms);
        fresh.cloned().collect()
    }

    /// The instances whose agents were heard of late.
    pub fn heard_from(&self, now_unix_ms: u64) -> HashSet<Ipv4Addr> {
        let engines = self.engines.borrow();
        let fresh = engines.values().filter(|s| s.is_fresh(now_unix_ms));
        fresh.map(|status| status.address).collect()
    }

    /// Forgets engines that were not heard of since `since_unix_ms`.
    pub fn remove_received_before(&self, since_unix_ms: u64) {
        let mut engines = self.engines.borrow_mut();
        engines.retain(|_, status| status.received_unix_ms >= since_unix_ms);
    }
}
