//! What routers tell of demand, summed by agents.

use std::{
    cell::RefCell,
    net::{Ipv4Addr, SocketAddr},
};

use celerystair_core::prelude::*;
use celerystair_policy::prelude::*;
use celerystair_protocol::{AgentGroup, DemandNews, ModelDemand};

/// A router that was not heard for this long has stopped, or is cut off.
const SILENT_MS: u64 = 4000;

/// A router counts among those that share the fleet's bounds until this long after it was heard: longer
/// than any round of news, and than its process may stand still.
const COUNTED_MS: u64 = 60_000;

/// What one router told.
#[derive(Clone, Debug, PartialEq)]
pub struct RouterDemand {
    /// The router.
    pub router: String,
    /// Rises with each datagram, also over lives of the router.
    pub sequence: u64,
    /// What callers ask of it, by model.
    pub models: Vec<(ModelName, ModelView)>,
    /// The agents that it knows, and where they stand.
    pub agents: Vec<(FailureDomain, Vec<Ipv4Addr>)>,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// Where it takes news.
    pub address: SocketAddr,
    /// When this was heard.
    pub received_unix_ms: u64,
}

impl RouterDemand {
    pub(crate) fn read(news: DemandNews, sender: SocketAddr, now_unix_ms: u64) -> Self {
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
        // Another process may have told it on; an earlier version doesn't say whose it is.
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
            // All processes take news on one port.
            address: SocketAddr::new(ip, sender.port()),
            received_unix_ms: now_unix_ms,
        }
    }

    pub(crate) fn write(&self) -> DemandNews {
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
        DemandNews {
            router: self.router.clone(),
            sequence: self.sequence,
            models: models.collect(),
            agents: agents.collect(),
            failure_domain: self.failure_domain.to_string(),
            address: match self.address {
                SocketAddr::V4(address) => u32::from(*address.ip()),
                SocketAddr::V6(_) => 0,
            },
        }
    }
}

/// What each router told last.
#[derive(Default)]
pub struct DemandBoard {
    routers: RefCell<HashMap<String, RouterDemand>>,
    received_unix_ms: RefCell<HashMap<String, u64>>,
}

impl DemandBoard {
    /// Takes in what a router told; false if something later was heard before.
    pub fn take(&self, demand: RouterDemand) -> bool {
        let mut routers = self.routers.borrow_mut();
        let known = routers.get(&demand.router);
        if known.is_some_and(|known| known.sequence >= demand.sequence) {
            return false;
        }
        let mut heard = self.received_unix_ms.borrow_mut();
        heard.insert(demand.router.clone(), demand.received_unix_ms);
        routers.insert(demand.router.clone(), demand);
        true
    }

    /// Forgets routers that have fallen silent.
    pub fn forget_silent(&self, now_unix_ms: u64) {
        let mut routers = self.routers.borrow_mut();
        routers.retain(|_, demand| now_unix_ms < demand.received_unix_ms + SILENT_MS);
        let mut heard = self.received_unix_ms.borrow_mut();
        heard.retain(|_, received_unix_ms| now_unix_ms < *received_unix_ms + COUNTED_MS);
    }

    /// The demand for each model, over all routers.
    pub fn models(&self) -> HashMap<ModelName, ModelView> {
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

    /// How many routers there are, those among them that have fallen silent of late.
    pub fn router_count(&self) -> usize {
        self.received_unix_ms.borrow().len()
    }

    /// The routers, to be told of engines.
    pub fn routers(&self) -> Vec<Peer> {
        let routers = self.routers.borrow();
        let peers = routers.values().map(|demand| Peer {
            address: demand.address,
            domain: demand.failure_domain.clone(),
            can_relay: false,
        });
        peers.collect()
    }

    /// The agents that the routers know, and where they stand.
    pub fn agents(&self) -> HashMap<Ipv4Addr, FailureDomain> {
        let routers = self.routers.borrow();
        let groups = routers.values().flat_map(|demand| &demand.agents);
        groups
            .flat_map(|(domain, addresses)| {
                addresses.iter().map(|address| (*address, domain.clone()))
            })
            .collect()
    }
}
