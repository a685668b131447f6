//! The engine statuses that agents report.

use std::{
    cell::RefCell,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    rc::Rc,
};

use celerystair_core::prelude::*;
use celerystair_policy::prelude::*;
use celerystair_protocol::{self as protocol, EngineModel, EngineNews};

/// A status that is older than this says nothing about the engine's current load: several datagrams
/// in a row were lost, or the agent is paused.
pub const STATUS_FRESHNESS_MS: u64 = 4000;

/// No engine has more requests; receivers add the numbers of a whole fleet up.
const REQUESTS_MAX: u32 = 1 << 20;

/// The state of an engine, as its agent last reported it.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineStatus {
    /// The engine's upstream id.
    pub upstream: UpstreamId,
    /// When the engine started; distinguishes its incarnations.
    pub started_unix_ms: u64,
    /// Increases with each datagram, also across restarts of the agent.
    pub sequence: u64,
    /// The models that the engine serves.
    pub loaded: Vec<LoadedModel>,
    /// The model that is being loaded, if any.
    pub loading: Option<ModelName>,
    /// When that model is expected to serve, by the receiver's clock; meaningless if none is
    /// loading.
    pub ready_unix_ms: u64,
    /// Whether that model's weights are fetched from the weight store.
    pub is_loading_cold: bool,
    /// What the agent has measured of its own loads from the weight store.
    pub cold_load_observations: ColdLoadObservations,
    /// Requests that are queued at the engine.
    pub waiting: u32,
    /// Requests that are running at the engine.
    pub running: u32,
    /// Models with a copy of their weights in host memory.
    pub in_memory: Vec<ModelName>,
    /// Models with a copy of their weights on disk.
    pub on_disk: Vec<ModelName>,
    /// How many routers the agent knows of, including those that stopped sending within a minute.
    pub router_count: u32,
    /// Whether the agent can currently order loads and unloads.
    pub takes_orders: bool,
    /// Whether the engine or a router says that the engine leaves.
    pub is_leaving: bool,
    /// When the datagram arrived, by the receiver's clock.
    pub received_unix_ms: u64,
    /// The address of the instance that runs the engine and its agent; unspecified for IPv6.
    pub address: Ipv4Addr,
    /// The version of the engine's software, if its agent knows it.
    pub software_version: Option<SoftwareVersion>,
    /// The version of the configuration that the agent has in force; 0 if it has none.
    pub config_version: u64,
    /// When the agent's process started, which tells its starts apart; 0 if its version doesn't tell.
    pub agent_started_unix_ms: u64,
    /// Some of the routers that the agent has heard of. All processes receive gossip on the same port.
    pub some_routers: Vec<RouterProcess>,
}

impl EngineStatus {
    /// Whether the status is recent enough to represent the engine's load.
    pub fn is_fresh(&self, now_unix_ms: u64) -> bool {
        now_unix_ms < self.received_unix_ms + STATUS_FRESHNESS_MS
    }

    /// Returns which run of the engine the status is of.
    pub fn incarnation(&self) -> UpstreamIncarnation {
        UpstreamIncarnation {
            upstream: self.upstream.clone(),
            started_unix_ms: self.started_unix_ms,
        }
    }

    /// Returns the model with its loaded adapters, if the engine serves it.
    pub fn loaded_model(&self, model: &ModelName) -> Option<&LoadedModel> {
        self.loaded.iter().find(|loaded| loaded.model == *model)
    }

    /// Returns where the engine's agent listens for its peers, which use the same port, unless its address
    /// is unknown.
    pub fn agent_address(&self, peer_port: u16) -> Option<SocketAddr> {
        let address = SocketAddr::new(self.address.into(), peer_port);
        (!self.address.is_unspecified()).then_some(address)
    }

    pub(crate) fn from_wire(news: EngineNews, peer_port: u16, now_unix_ms: u64) -> Self {
        let some_routers = news.some_routers.into_iter().map(|router| RouterProcess {
            address: SocketAddr::new(Ipv4Addr::from(router.address).into(), peer_port),
            domain: router.failure_domain.into(),
            started_unix_ms: router.started_unix_ms,
        });
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
            ready_unix_ms: now_unix_ms.saturating_add(news.ready_in_ms.into()),
            is_loading_cold: news.loading_is_cold,
            cold_load_observations: ColdLoadObservations {
                on_time_concurrency: news.cold_loads_on_time,
                full_speed_concurrency: news.cold_loads_served,
                // The agent expires its measurements; this copy is replaced by its next status.
                forget_unix_ms: u64::MAX,
            },
            waiting: news.waiting.min(REQUESTS_MAX),
            running: news.running.min(REQUESTS_MAX),
            in_memory: models(news.in_memory),
            on_disk: models(news.on_disk),
            router_count: news.routers,
            takes_orders: news.takes_orders,
            is_leaving: news.is_leaving,
            received_unix_ms: now_unix_ms,
            address: Ipv4Addr::from(news.address),
            software_version: (!news.software_version.is_empty())
                .then(|| news.software_version.into()),
            config_version: news.config_version,
            agent_started_unix_ms: news.agent_started_unix_ms,
            some_routers: some_routers.collect(),
        }
    }

    pub(crate) fn to_wire(&self) -> EngineNews {
        let loaded = self.loaded.iter().map(|model| EngineModel {
            model: model.model.to_string(),
            adapters: model.adapters.clone(),
        });
        let names = |models: &[ModelName]| models.iter().map(ToString::to_string).collect();
        let some_routers = self.some_routers.iter().filter_map(|router| {
            let IpAddr::V4(address) = router.address.ip() else {
                return None;
            };
            Some(protocol::RouterProcess {
                address: address.into(),
                failure_domain: router.domain.to_string(),
                started_unix_ms: router.started_unix_ms,
            })
        });
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
            cold_loads_on_time: self.cold_load_observations.on_time_concurrency,
            cold_loads_served: self.cold_load_observations.full_speed_concurrency,
            takes_orders: self.takes_orders,
            is_leaving: self.is_leaving,
            address: u32::from(self.address),
            software_version: self
                .software_version
                .as_ref()
                .map(ToString::to_string)
                .unwrap_or_default(),
            config_version: self.config_version,
            agent_started_unix_ms: self.agent_started_unix_ms,
            some_routers: some_routers.collect(),
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
            cold_load_observations: ColdLoadObservations::default(),
            waiting: 0,
            running: 0,
            in_memory: Vec::new(),
            on_disk: Vec::new(),
            router_count: 0,
            takes_orders: false,
            is_leaving: false,
            received_unix_ms: 0,
            address: Ipv4Addr::UNSPECIFIED,
            software_version: None,
            config_version: 0,
            agent_started_unix_ms: 0,
            some_routers: Vec::new(),
        }
    }
}

/// The latest status of each engine.
#[derive(Clone, Default)]
pub struct EngineStatusTable {
    engines: Rc<RefCell<HashMap<UpstreamId, Rc<EngineStatus>>>>,
}

impl EngineStatusTable {
    /// Stores an engine's status. Returns false if one with the same or a higher sequence is
    /// stored.
    pub fn insert_if_newer(&self, status: EngineStatus) -> bool {
        let mut engines = self.engines.borrow_mut();
        let known = engines.get(&status.upstream);
        if known.is_some_and(|known| known.sequence >= status.sequence) {
            return false;
        }
        engines.insert(status.upstream.clone(), Rc::new(status));
        true
    }

    /// Returns the latest status of `upstream`.
    pub fn get(&self, upstream: &UpstreamId) -> Option<Rc<EngineStatus>> {
        self.engines.borrow().get(upstream).cloned()
    }

    /// Returns every status that arrived at `since_unix_ms` or later.
    pub fn received_since(&self, since_unix_ms: u64) -> Vec<Rc<EngineStatus>> {
        let engines = self.engines.borrow();
        let fresh = engines
            .values()
            .filter(|s| s.received_unix_ms >= since_unix_ms);
        fresh.cloned().collect()
    }

    /// Returns the addresses of the instances whose status is fresh.
    pub fn fresh_addresses(&self, now_unix_ms: u64) -> HashSet<Ipv4Addr> {
        let engines = self.engines.borrow();
        let fresh = engines.values().filter(|s| s.is_fresh(now_unix_ms));
        fresh.map(|status| status.address).collect()
    }

    /// Returns the addresses of the instances whose engine leaves, by a fresh status.
    pub fn leaving_addresses(&self, now_unix_ms: u64) -> HashSet<IpAddr> {
        let engines = self.engines.borrow();
        let leaving = engines
            .values()
            .filter(|status| status.is_leaving && status.is_fresh(now_unix_ms));
        leaving.map(|status| status.address.into()).collect()
    }

    /// Removes every status that arrived before `since_unix_ms`.
    pub fn remove_received_before(&self, since_unix_ms: u64) {
        let mut engines = self.engines.borrow_mut();
        engines.retain(|_, status| status.received_unix_ms >= since_unix_ms);
    }
}
