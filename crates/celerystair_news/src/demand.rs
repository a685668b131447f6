//! What routers tell of demand, summed by agents.

use std::{
    cell::RefCell,
    net::{Ipv4Addr, SocketAddr},
};

use celerystair_core::prelude::*;
use celerystair_policy::prelude::*;
use celerystair_protocol::{AdapterName, DemandNews, ModelDemand};

/// A router that was not heard for this long has stopped, or is cut off.
const SILENT_MS: u64 = 4000;

/// What one router told.
#[derive(Clone, Debug, PartialEq)]
pub struct RouterDemand {
    /// The router.
    pub router: String,
    /// Rises with each datagram, also over lives of the router.
    pub sequence: u64,
    /// What callers ask of it, by model.
    pub models: Vec<(ModelName, ModelView)>,
    /// Its requests at the receiver's engine, by model.
    pub running_here: Vec<(ModelName, u32)>,
    /// The agents that it knows.
    pub agents: Vec<Ipv4Addr>,
    /// Adapters that its requests wait for at the receiver's engine.
    pub adapters_wanted: Vec<(ModelName, String)>,
    /// When this was heard.
    pub heard_unix_ms: u64,
    /// Where it came from.
    pub address: SocketAddr,
}

impl RouterDemand {
    pub(crate) fn read(news: DemandNews, address: SocketAddr, now_unix_ms: u64) -> Self {
        let mut models = Vec::with_capacity(news.models.len());
        let mut running_here = Vec::new();
        for demand in news.models {
            let model = ModelName::from(demand.model);
            if demand.running_here > 0 {
                running_here.push((model.clone(), demand.running_here));
            }
            let view = ModelView {
                requests_per_second: f64::from(demand.requests_per_second),
                waiting: demand.waiting,
                running: demand.running,
                target_latency_ms: f64::from(demand.target_latency_ms),
            };
            models.push((model, view));
        }
        let wanted = news.adapters_wanted.into_iter();
        Self {
            router: news.router,
            sequence: news.sequence,
            models,
            running_here,
            agents: news.agents.into_iter().map(Ipv4Addr::from).collect(),
            adapters_wanted: wanted.map(|a| (a.model.into(), a.adapter)).collect(),
            heard_unix_ms: now_unix_ms,
            address,
        }
    }

    pub(crate) fn write(&self) -> DemandNews {
        let here: HashMap<&ModelName, u32> =
            self.running_here.iter().map(|(m, n)| (m, *n)).collect();
        let models = self.models.iter().map(|(model, view)| ModelDemand {
            model: model.to_string(),
            requests_per_second: view.requests_per_second as f32,
            waiting: view.waiting,
            running: view.running,
            running_here: here.get(model).copied().unwrap_or_default(),
            target_latency_ms: view.target_latency_ms as f32,
        });
        let wanted = self
            .adapters_wanted
            .iter()
            .map(|(model, adapter)| AdapterName {
                model: model.to_string(),
                adapter: adapter.clone(),
            });
        DemandNews {
            router: self.router.clone(),
            sequence: self.sequence,
            models: models.collect(),
            agents: self.agents.iter().map(|agent| u32::from(*agent)).collect(),
            adapters_wanted: wanted.collect(),
        }
    }
}

/// What each router told last.
#[derive(Default)]
pub struct DemandBoard {
    routers: RefCell<HashMap<String, RouterDemand>>,
}

impl DemandBoard {
    /// Takes in what a router told; false if something later was heard before.
    pub fn take(&self, demand: RouterDemand) -> bool {
        let mut routers = self.routers.borrow_mut();
        let known = routers.get(&demand.router);
        if known.is_some_and(|known| known.sequence >= demand.sequence) {
            return false;
        }
        routers.insert(demand.router.clone(), demand);
        true
    }

    /// Forgets routers that have fallen silent.
    pub fn forget_silent(&self, now_unix_ms: u64) {
        let mut routers = self.routers.borrow_mut();
        routers.retain(|_, demand| now_unix_ms < demand.heard_unix_ms + SILENT_MS);
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

    /// Where the routers are.
    pub fn routers(&self) -> Vec<SocketAddr> {
        let routers = self.routers.borrow();
        routers.values().map(|demand| demand.address).collect()
    }

    /// The agents that the routers know.
    pub fn agents(&self) -> HashSet<Ipv4Addr> {
        let routers = self.routers.borrow();
        let agents = routers
            .values()
            .flat_map(|demand| demand.agents.iter().copied());
        agents.collect()
    }
}
