//! A fleet whose agents and routers have a thread each, so that they can be killed, paused,
//! stopped as planned and restarted one at a time, over a platform that can be made to fail.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use celerystair_agent::prelude::*;
use celerystair_config::prelude::FleetConfig;
use celerystair_core::{prelude::*, time::before_deadline};
use celerystair_platform::{
    objects::{AGENT_KEY_PREFIX, PLACEMENT_KEY_PREFIX},
    prelude::*,
};
use celerystair_router::prelude::*;
use celerystair_standin::{platform::PlatformFaults, prelude::*};

use crate::{
    fleet::{
        FleetError, FleetUpstream, agent_settings, plan_upstreams, router_domain, router_settings,
        seed, set_instance_state, start_platform, start_standins, start_weights, store_settings,
        wait_for,
    },
    network::Network,
    settings::TrialSettings,
    threads::RoleThread,
};

const POLL_INTERVAL_MS: u64 = 20;
const READY_TIMEOUT_MS: u64 = 60_000;
/// How long a planned stop of an agent may take; longer than any call of a fuzzed trial runs.
const REPLACE_TIMEOUT_MS: u64 = 10_000;

/// A role that runs, or has been killed.
pub(crate) struct Role {
    pub(crate) thread: Option<RoleThread>,
    pauses: async_channel::Sender<u64>,
    finished: async_channel::Receiver<()>,
    addresses: RoleAddresses,
    revisions: Revisions,
}

/// Each revision of the configuration that a role had in force, in order.
type Revisions = Arc<Mutex<Vec<u64>>>;

/// A role that has begun to serve.
struct Serving {
    addresses: RoleAddresses,
    config: FleetConfig,
    served: compio::runtime::JoinHandle<()>,
}

/// Where a role listens.
struct RoleAddresses {
    /// For callers of a router; an agent has no other than the next.
    callers: SocketAddr,
    /// For other processes of the system.
    peers: SocketAddr,
}

/// The upstreams of one failure domain, and the way from there to the platform.
pub(crate) struct Domain {
    pub(crate) name: FailureDomain,
    pub(crate) standins: Option<RoleThread>,
    platform_url: String,
}

/// The fleet.
pub struct FaultFleet {
    /// What the stand-ins see.
    pub witness: Witness,
    /// The platform.
    pub platform_url: String,
    /// The upstreams.
    pub upstreams: Vec<FleetUpstream>,
    /// What lies between the failure domains.
    pub network: Network,
    pub(crate) settings: TrialSettings,
    pub(crate) client: cyper::Client,
    pub(crate) agents: Vec<Role>,
    former_agents: Vec<Role>,
    pub(crate) routers: Vec<Role>,
    /// Routers whose planned stop has begun and in whose place others run.
    replaced: Vec<Role>,
    pub(crate) domains: Vec<Domain>,
    weights_url: String,
    standins: Vec<RoleThread>,
}

impl FaultFleet {
    /// Starts everything, and waits until all agents have claimed and all routers are ready.
    pub async fn start(settings: &TrialSettings) -> Result<Self, FleetError> {
        let (platform, platform_url) = start_platform(settings)?;
        let store = Store::new(store_settings(&platform_url))?;
        seed(&store, settings).await?;
        let (weights, weights_url) = start_weights(settings)?;
        let mut fleet = Self {
            witness: Witness::default(),
            platform_url,
            upstreams: plan_upstreams(settings),
            network: Network::default(),
            settings: settings.clone(),
            client: cyper::Client::new().map_err(std::io::Error::other)?,
            agents: Vec::new(),
            former_agents: Vec::new(),
            routers: Vec::new(),
            replaced: Vec::new(),
            domains: Vec::new(),
            weights_url,
            standins: vec![platform, weights],
        };
        for name in &settings.failure_domains {
            fleet.add_domain(name)?;
        }
        for index in 0..fleet.domains.len() {
            fleet.start_upstreams(index).await?;
        }
        for index in 0..fleet.upstreams.len() {
            let role = fleet.start_agent(index)?;
            fleet.agents.push(role);
        }
        wait_for(&store, AGENT_KEY_PREFIX, fleet.upstreams.len()).await?;
        for index in 0..settings.routers as usize {
            let role = fleet.start_router(index)?;
            fleet.routers.push(role);
        }
        for index in 0..fleet.routers.len() {
            fleet.wait_until_router_ready(index).await?;
        }
        wait_for(&store, PLACEMENT_KEY_PREFIX, settings.model_objects().len()).await?;
        Ok(fleet)
    }

    /// Where the callers of a router connect.
    pub fn router_address(&self, index: usize) -> SocketAddr {
        self.routers[index].addresses.callers
    }

    /// Makes the platform fail in the given way, from now on.
    pub async fn set_faults(&self, faults: &PlatformFaults) -> Result<(), FleetError> {
        let body = serde_json::to_vec(faults).map_err(std::io::Error::other)?;
        let request = self
            .client
            .post(format!("{}/faults", self.platform_url))
            .map_err(std::io::Error::other)?;
        let response = request
            .body(body)
            .send()
            .await
            .map_err(std::io::Error::other)?;
        response.bytes().await.map_err(std::io::Error::other)?;
        Ok(())
    }

    /// Ends an agent without notice; its connections are cut.
    pub fn kill_agent(&mut self, index: usize) {
        self.agents[index].thread = None;
    }

    /// Ends an agent without notice, and starts another life of it.
    pub fn restart_agent(&mut self, index: usize) -> Result<(), FleetError> {
        self.kill_agent(index);
        self.agents[index] = self.start_agent(index)?;
        Ok(())
    }

    /// Starts another life of an agent while the earlier one is still there, as happens when the
    /// earlier one is frozen and taken for dead.
    pub fn start_duplicate_agent(&mut self, index: usize) -> Result<(), FleetError> {
        let next = self.start_agent(index)?;
        let former = std::mem::replace(&mut self.agents[index], next);
        self.former_agents.push(former);
        Ok(())
    }

    /// Ends a router without notice, and starts another.
    pub fn restart_router(&mut self, index: usize) -> Result<(), FleetError> {
        self.routers[index].thread = None;
        self.routers[index] = self.start_router(index)?;
        Ok(())
    }

    /// Holds all tasks of an agent for a while.
    pub fn pause_agent(&self, index: usize, pause_ms: u64) {
        self.agents[index].pauses.try_send(pause_ms).ok();
    }

    /// Holds all tasks of a router for a while.
    pub fn pause_router(&self, index: usize, pause_ms: u64) {
        self.routers[index].pauses.try_send(pause_ms).ok();
    }

    /// Begins the planned stop of an agent; its instance leaves the platform's list.
    pub async fn stop_agent(&self, index: usize) -> Result<(), FleetError> {
        let instance = &self.upstreams[index].instance;
        set_instance_state(&self.client, &self.platform_url, instance, "leaving").await?;
        if let Some(thread) = &self.agents[index].thread {
            thread.stop.drain();
        }
        Ok(())
    }

    /// Begins the planned stop of an agent's process; its instance stays.
    pub fn stop_agent_process(&self, index: usize) {
        if let Some(thread) = &self.agents[index].thread {
            thread.stop.drain();
        }
    }

    /// Begins the planned stop of a router.
    pub fn stop_router(&self, index: usize) {
        if let Some(thread) = &self.routers[index].thread {
            thread.stop.drain();
        }
    }

    /// Stops an agent as planned while its instance stays, and starts another life of it, as an
    /// upgrade does.
    pub async fn replace_agent(&mut self, index: usize) -> Result<(), FleetError> {
        if let Some(thread) = &self.agents[index].thread {
            thread.stop.drain();
            // As a process's stop_timeout_ms does: in an outage a stop waits for the store.
            let deadline_unix_ms = now_unix_ms() + REPLACE_TIMEOUT_MS;
            before_deadline(deadline_unix_ms, self.wait_until_agent_stopped(index)).await;
        }
        self.restart_agent(index)
    }

    /// Starts another router in the place of one, and stops that one as planned. Its callers'
    /// requests are still answered by it; new ones go to the other.
    pub async fn replace_router(&mut self, index: usize, wait: bool) -> Result<(), FleetError> {
        let role = self.start_router(index)?;
        let old = std::mem::replace(&mut self.routers[index], role);
        if wait {
            self.wait_until_router_ready(index).await?;
        }
        if let Some(thread) = &old.thread {
            thread.stop.drain();
        }
        self.replaced.push(old);
        Ok(())
    }

    /// Returns once the planned stop of an agent is complete.
    pub async fn wait_until_agent_stopped(&self, index: usize) {
        self.agents[index].finished.recv().await.ok();
    }

    /// Returns once the planned stop of a router is complete.
    pub async fn wait_until_router_stopped(&self, index: usize) {
        self.routers[index].finished.recv().await.ok();
    }

    /// Returns once a router knows what it routes to.
    pub async fn wait_until_router_ready(&self, index: usize) -> Result<(), FleetError> {
        let url = format!("http://{}/readyz", self.routers[index].addresses.callers);
        let deadline_unix_ms = now_unix_ms() + READY_TIMEOUT_MS;
        loop {
            let request = self.client.get(&url).map_err(std::io::Error::other)?;
            let response = request.send().await.map_err(std::io::Error::other)?;
            let ready = response.status() == 200;
            response.bytes().await.map_err(std::io::Error::other)?;
            if ready {
                return Ok(());
            }
            if now_unix_ms() > deadline_unix_ms {
                return Err(FleetError::NotReady {
                    agents: 0,
                    placements: 0,
                });
            }
            sleep_ms(POLL_INTERVAL_MS).await;
        }
    }

    /// Ends everything: routers, then agents, then the stand-ins.
    pub fn end(&mut self) {
        self.routers.clear();
        self.replaced.clear();
        self.agents.clear();
        self.former_agents.clear();
        self.domains.clear();
        self.standins.clear();
    }

    /// Starts the way from a failure domain to the platform.
    fn add_domain(&mut self, name: &FailureDomain) -> Result<(), FleetError> {
        let (thread, platform_url) = self.network.platform_from(name, &self.platform_url)?;
        self.standins.push(thread);
        self.domains.push(Domain {
            name: name.clone(),
            standins: None,
            platform_url,
        });
        Ok(())
    }

    /// Starts the stand-ins of a failure domain's upstreams, whose instances the platform lists.
    pub(crate) async fn start_upstreams(&mut self, domain: usize) -> Result<(), FleetError> {
        let name = self.domains[domain].name.clone();
        let planned = self.upstreams.iter().filter(|u| u.failure_domain == name);
        let planned = planned.cloned().collect();
        let (weights_url, witness) = (self.weights_url.clone(), self.witness.clone());
        let (thread, started) = start_standins(domain, planned, weights_url, witness)?;
        self.domains[domain].standins = Some(thread);
        for upstream in started {
            set_instance_state(&self.client, &self.platform_url, &upstream.instance, "live")
                .await?;
            let place = self.upstreams.iter_mut().find(|u| u.name == upstream.name);
            if let Some(place) = place {
                *place = upstream;
            }
        }
        Ok(())
    }

    pub(crate) fn start_agent(&self, index: usize) -> Result<Role, FleetError> {
        let upstream = &self.upstreams[index];
        let domain = &upstream.failure_domain;
        let settings = agent_settings(&self.settings, upstream, self.platform_url_at(domain));
        self.start_role(&upstream.name, domain, |stop| async move {
            let running = run_agent(settings, &stop).await?;
            let addresses = RoleAddresses {
                callers: running.address,
                peers: running.address,
            };
            Ok(Serving {
                addresses,
                config: running.agent.node.config.clone(),
                served: running.served,
            })
        })
    }

    pub(crate) fn start_router(&self, index: usize) -> Result<Role, FleetError> {
        let number = index as u32 + 1;
        let domain = router_domain(&self.settings, number);
        let settings = router_settings(&self.settings, number, self.platform_url_at(domain));
        let name = settings.router.clone();
        self.start_role(&name, domain, |stop| async move {
            let running = run_router(settings, &stop).await?;
            let addresses = RoleAddresses {
                callers: running.address,
                peers: running.peer_address,
            };
            Ok(Serving {
                addresses,
                config: running.router.node.config.clone(),
                served: running.served,
            })
        })
    }

    /// The platform as processes of a failure domain reach it.
    fn platform_url_at(&self, domain: &FailureDomain) -> &str {
        let domain = self.domains.iter().find(|known| known.name == *domain);
        domain.map_or(&self.platform_url, |domain| &domain.platform_url)
    }

    fn start_role<F>(
        &self,
        name: &str,
        domain: &FailureDomain,
        start: impl FnOnce(Stop) -> F + Send + 'static,
    ) -> Result<Role, FleetError>
    where
        F: Future<Output = Result<Serving, FleetError>>,
    {
        let (network, from) = (self.network.clone(), domain.clone());
        let role = start_role(name, move |stop| {
            network.dial_from(&from);
            start(stop)
        })?;
        self.network.place(role.addresses.peers, domain);
        Ok(role)
    }
}

fn start_role<F>(
    name: &str,
    start: impl FnOnce(Stop) -> F + Send + 'static,
) -> Result<Role, FleetError>
where
    F: Future<Output = Result<Serving, FleetError>>,
{
    let (pauses, asked) = async_channel::unbounded::<u64>();
    let (finish, finished) = async_channel::bounded(1);
    let revisions = Revisions::default();
    let noted = revisions.clone();
    let (thread, addresses) = RoleThread::spawn(name, &Stop::new(), move |stop| async move {
        let serving = start(stop).await?;
        let (addresses, served) = (serving.addresses, serving.served);
        compio::runtime::spawn(note_revisions(serving.config, noted)).detach();
        compio::runtime::spawn(async move {
            while let Ok(pause_ms) = asked.recv().await {
                std::thread::sleep(Duration::from_millis(pause_ms));
            }
        })
        .detach();
        compio::runtime::spawn(async move {
            served.await.ok();
            finish.send(()).await.ok();
        })
        .detach();
        Ok::<_, FleetError>(addresses)
    })?;
    Ok(Role {
        thread: Some(thread),
        pauses,
        finished,
        addresses,
        revisions,
    })
}

async fn note_revisions(config: FleetConfig, revisions: Revisions) {
    loop {
        let changed = config.listen();
        let revision = config.revision();
        {
            let mut noted = revisions.lock().unwrap_or_else(PoisonError::into_inner);
            if noted.last() != Some(&revision) {
                noted.push(revision);
            }
        }
        changed.await;
    }
}

impl Role {
    /// Each revision of the configuration that this life had in force.
    pub(crate) fn revisions(&self) -> Vec<u64> {
        let noted = self.revisions.lock();
        noted.unwrap_or_else(PoisonError::into_inner).clone()
    }
}
