//! The demand that routers report, and its sum at an agent.

use std::{
    cell::RefCell,
    net::{Ipv4Addr, SocketAddr},
};

use celerystair_core::prelude::*;
use celerystair_policy::prelude::*;
use celerystair_protocol::{
    AgentGroup, DemandNews, LeavingUpstream, ModelDemand, UpstreamRateLimit,
};

/// A router whose last datagram is this old has stopped or is unreachable; its demand is dropped.
const ROUTER_TIMEOUT_MS: u64 = 4000;

/// How long after its last datagram a router still counts as one of those that share the fleet-wide
/// limits. This is longer than any gossip interval, and than a router's process may be paused for.
const ROUTER_COUNT_RETENTION_MS: u64 = 60_000;

/// The demand at one router, as it last reported it.
#[derive(Clone, Debug, PartialEq)]
pub struct RouterDemand {
    /// The router's name.
    pub router: String,
    /// Increases with each datagram, also across restarts of the router.
    pub sequence: u64,
    /// The demand of the router's callers, by model.
    pub models: Vec<(ModelName, ModelView)>,
    /// The addresses of the agents that the router knows, by failure domain.
    pub agents: Vec<(FailureDomain, Vec<Ipv4Addr>)>,
    /// The router's failure domain.
    pub failure_domain: FailureDomain,
    /// The rate limits, in requests per second, that upstreams have named to the router lately.
    pub rate_limits: Vec<(UpstreamId, f64)>,
    /// The upstreams that have said to the router that they leave.
    pub leaving: Vec<UpstreamIncarnation>,
    /// The version of the configuration that the router has in force; 0 if it has none.
    pub config_version: u64,
    /// Where the router receives gossip.
    pub address: SocketAddr,
    /// When the router's process started; 0 if its version doesn't tell.
    pub started_unix_ms: u64,
    /// When the datagram arrived, by the receiver's clock.
    pub received_unix_ms: u64,
}

impl RouterDemand {
    pub(crate) fn from_wire(news: DemandNews, sender: SocketAddr, now_unix_ms: u64) -> Self {
        let models = news.models.into_iter().map(|demand| {
            let view = ModelView {
                requests_per_second: f64::from(demand.requests_per_1000_s) / 1000.0,
                waiting: demand.waiting,
                running: demand.running,
                target_latency_ms: f64::from(demand.target_latency_ms),
            };
            (ModelName::from(demand.model), view)
        });
        let agents = news.agents.into_iter().map(|group| {
            let addresses = group.addresses.into_iter().map(Ipv4Addr::from);
            (group.failure_domain.into(), addresses.collect())
        });
        let rate_limits = news.rate_limits.into_iter().map(|limit| {
            let per_second = f64::from(limit.requests_per_1000_s) / 1000.0;
            (UpstreamId::from(limit.upstream), per_second)
        });
        let leaving = news.leaving.into_iter().map(|leaving| UpstreamIncarnation {
            upstream: leaving.upstream.into(),
            started_unix_ms: leaving.born_unix_ms,
        });
        // The sender may be an agent that relays the datagram, so the router gives its own address.
        // Earlier versions leave it at 0.
        let ip = match news.address {
            0 => sender.ip(),
            address => Ipv4Addr::from(address).into(),
        };
        Self {
            router: news.router,
            sequence: news.sequence,
            models: models.collect(),
            agents: agents.collect(),
            failure_domain: news.failure_domain.into(),
            rate_limits: rate_limits.collect(),
            leaving: leaving.collect(),
            config_version: news.config_version,
            // All processes receive gossip on the same port.
            address: SocketAddr::new(ip, sender.port()),
            started_unix_ms: news.router_started_unix_ms,
            received_unix_ms: now_unix_ms,
        }
    }

    pub(crate) fn to_wire(&self) -> DemandNews {
        let models = self.models.iter().map(|(model, view)| ModelDemand {
            model: model.to_string(),
            requests_per_1000_s: (view.requests_per_second * 1000.0) as u32,
            waiting: view.waiting,
            running: view.running,
            target_latency_ms: view.target_latency_ms as u32,
        });
        let agents = self.agents.iter().map(|(domain, addresses)| AgentGroup {
            failure_domain: domain.to_string(),
            addresses: addresses
                .iter()
                .map(|address| u32::from(*address))
                .collect(),
        });
        let rate_limits = self
            .rate_limits
            .iter()
            .map(|(upstream, per_second)| UpstreamRateLimit {
                upstream: upstream.to_string(),
                requests_per_1000_s: (per_second * 1000.0) as u32,
            });
        let leaving = self.leaving.iter().map(|leaving| LeavingUpstream {
            upstream: leaving.upstream.to_string(),
            born_unix_ms: leaving.started_unix_ms,
        });
        DemandNews {
            config_version: self.config_version,
            leaving: leaving.collect(),
            rate_limits: rate_limits.collect(),
            router: self.router.clone(),
            sequence: self.sequence,
            models: models.collect(),
            agents: agents.collect(),
            failure_domain: self.failure_domain.to_string(),
            router_started_unix_ms: self.started_unix_ms,
            address: match self.address {
                SocketAddr::V4(address) => u32::from(*address.ip()),
                SocketAddr::V6(_) => 0,
            },
        }
    }
}

/// The latest demand of each router.
#[derive(Default)]
pub struct DemandTable {
    routers: RefCell<HashMap<String, RouterDemand>>,
    last_received_unix_ms: RefCell<HashMap<String, u64>>,
}

impl DemandTable {
    /// Stores a router's demand. Returns false if demand with the same or a higher sequence is
    /// stored.
    pub fn insert_if_newer(&self, demand: RouterDemand) -> bool {
        let mut routers = self.routers.borrow_mut();
        let known = routers.get(&demand.router);
        if known.is_some_and(|known| known.sequence >= demand.sequence) {
            return false;
        }
        let mut last_received = self.last_received_unix_ms.borrow_mut();
        last_received.insert(demand.router.clone(), demand.received_unix_ms);
        routers.insert(demand.router.clone(), demand);
        true
    }

    /// Drops the demand of routers that have stopped sending, and later stops counting them.
    pub fn remove_expired(&self, now_unix_ms: u64) {
        let mut routers = self.routers.borrow_mut();
        routers.retain(|_, demand| now_unix_ms < demand.received_unix_ms + ROUTER_TIMEOUT_MS);
        let mut last_received = self.last_received_unix_ms.borrow_mut();
        last_received.retain(|_, received_unix_ms| {
            now_unix_ms < *received_unix_ms + ROUTER_COUNT_RETENTION_MS
        });
    }

    /// Sums the demand for each model over all routers.
    pub fn demand_by_model(&self) -> HashMap<ModelName, ModelView> {
        let mut sums: HashMap<ModelName, ModelView> = HashMap::default();
        for (model, view) in self
            .routers
            .borrow()
            .values()
            .flat_map(|demand| &demand.models)
        {
            sums.entry(model.clone()).or_default().add(view);
        }
        sums
    }

    /// Returns the rate limits that upstreams have named to any router lately, in requests per
    /// second; the lowest if they differ.
    pub fn rate_limits(&self) -> HashMap<UpstreamId, f64> {
        let mut limits: HashMap<UpstreamId, f64> = HashMap::default();
        let routers = self.routers.borrow();
        for (upstream, per_second) in routers.values().flat_map(|demand| &demand.rate_limits) {
            let lowest = limits.entry(upstream.clone()).or_insert(f64::INFINITY);
            *lowest = lowest.min(*per_second);
        }
        limits
    }

    /// Returns whether an upstream has said to any router that it leaves.
    pub fn is_leaving(&self, incarnation: &UpstreamIncarnation) -> bool {
        let routers = self.routers.borrow();
        let mut demands = routers.values();
        demands.any(|demand| demand.leaving.contains(incarnation))
    }

    /// Counts the routers that share the fleet-wide limits, including those that stopped sending
    /// within the last minute.
    pub fn router_count(&self) -> usize {
        self.last_received_unix_ms.borrow().len()
    }

    /// Returns the routers as receivers of engine statuses.
    pub fn router_peers(&self) -> Vec<Peer> {
        let routers = self.routers.borrow();
        let peers = routers.values().map(|demand| Peer {
            address: demand.address,
            domain: demand.failure_domain.clone(),
            can_relay: false,
        });
        peers.collect()
    }

    /// Returns the processes of the routers, of those that tell their start.
    pub fn router_processes(&self) -> Vec<RouterProcess> {
        let routers = self.routers.borrow();
        let known = routers.values().filter(|demand| demand.started_unix_ms > 0);
        let processes = known.map(|demand| RouterProcess {
            address: demand.address,
            domain: demand.failure_domain.clone(),
            started_unix_ms: demand.started_unix_ms,
        });
        processes.collect()
    }

    /// Returns the agents that any router knows, with their failure domains.
    pub fn known_agents(&self) -> HashMap<Ipv4Addr, FailureDomain> {
        let routers = self.routers.borrow();
        let groups = routers.values().flat_map(|demand| &demand.agents);
        groups
            .flat_map(|(domain, addresses)| {
                addresses.iter().map(|address| (*address, domain.clone()))
            })
            .collect()
    }
}
