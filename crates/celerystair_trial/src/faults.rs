//! A fleet in which each agent and router has its own thread, so that each can be killed, paused,
//! drained and restarted separately. The platform can inject faults.

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
        FleetError, FleetUpstream, agent_settings, loopback, plan_upstreams, router_domain,
        router_settings, set_instance_state, start_platform, start_standins, start_weights,
        store_settings, wait_for_objects, write_initial_objects,
    },
    network::Network,
    settings::TrialSettings,
    threads::RoleThread,
};

const POLL_INTERVAL_MS: u64 = 20;
const READY_TIMEOUT_MS: u64 = 60_000;
/// Longest drain of an agent before it is replaced anyway; longer than any call of a fuzzed trial
/// runs.
const REPLACE_TIMEOUT_MS: u64 = 10_000;

/// A router or agent that runs, or has been killed.
pub(crate) struct Role {
    pub(crate) thread: Option<RoleThread>,
    /// Takes the length in milliseconds of each pause.
    pauses: async_channel::Sender<u64>,
    /// Signals that the role has stopped after a drain.
    finished: async_channel::Receiver<()>,
    addresses: RoleAddresses,
    revisions: Revisions,
}

/// Revisions of the configuration that a role has applied, in order.
type Revisions = Arc<Mutex<Vec<u64>>>;

/// A started router or agent.
struct Serving {
    addresses: RoleAddresses,
    config: FleetConfig,
    served: compio::runtime::JoinHandle<()>,
}

/// Addresses on which a role listens.
struct RoleAddresses {
    /// For callers of a router; the same as `peers` for an agent.
    callers: SocketAddr,
    /// For other routers and agents.
    peers: SocketAddr,
}

/// A failure domain with the stand-ins of its upstreams and its own URL of the platform.
pub(crate) struct Domain {
    pub(crate) name: FailureDomain,
    pub(crate) standins: Option<RoleThread>,
    platform_url: String,
}

/// A fleet of routers, agents and stand-ins whose faults a test controls.
pub struct FaultFleet {
    /// Record of what the stand-ins did.
    pub witness: Witness,
    /// URL of the platform, not subject to partitions.
    pub platform_url: String,
    /// The upstreams, in the order of their agents.
    pub upstreams: Vec<FleetUpstream>,
    /// The simulated network between the failure domains.
    pub network: Network,
    pub(crate) settings: TrialSettings,
    pub(crate) client: cyper::Client,
    pub(crate) agents: Vec<Role>,
    /// Agents that still run beside a duplicate of theirs.
    former_agents: Vec<Role>,
    pub(crate) routers: Vec<Role>,
    /// Draining routers that have been replaced.
    draining_routers: Vec<Role>,
    pub(crate) domains: Vec<Domain>,
    weights_url: String,
    standins: Vec<RoleThread>,
}

impl FaultFleet {
    /// Starts the fleet, and waits until all agents have claimed their upstreams, all routers are
    /// ready and all models are placed.
    pub async fn start(settings: &TrialSettings) -> Result<Self, FleetError> {
        let (platform, platform_url) = start_platform(settings)?;
        let store = Store::new(store_settings(&platform_url))?;
        write_initial_objects(&store, settings).await?;
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
            draining_routers: Vec::new(),
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
        wait_for_objects(&store, AGENT_KEY_PREFIX, fleet.upstreams.len()).await?;
        for index in 0..settings.routers as usize {
            let role = fleet.start_router(index)?;
            fleet.routers.push(role);
        }
        for index in 0..fleet.routers.len() {
            fleet.wait_until_router_ready(index).await?;
        }
        wait_for_objects(&store, PLACEMENT_KEY_PREFIX, settings.model_objects().len()).await?;
        Ok(fleet)
    }

    /// Returns the address of a router for callers.
    pub fn router_address(&self, index: usize) -> SocketAddr {
        self.routers[index].addresses.callers
    }

    /// Sets the faults that the platform injects from now on.
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

    /// Stops an agent without a drain, which closes its connections.
    pub fn kill_agent(&mut self, index: usize) {
        self.agents[index].thread = None;
    }

    /// Stops an agent without a drain, and starts its next incarnation.
    pub fn restart_agent(&mut self, index: usize) -> Result<(), FleetError> {
        self.kill_agent(index);
        self.agents[index] = self.start_agent(index)?;
        Ok(())
    }

    /// Kills two agents, and starts the next incarnation of `index` at the address of `former`, whose
    /// entry in the store still names it.
    pub fn restart_agent_at_address_of(
        &mut self,
        index: usize,
        former: usize,
    ) -> Result<(), FleetError> {
        let address = self.agents[former].addresses.peers;
        self.kill_agent(former);
        self.kill_agent(index);
        self.agents[index] = self.start_agent_at(index, address)?;
        Ok(())
    }

    /// Starts the next incarnation of an agent while the previous one still runs, as happens when a
    /// frozen process is taken for dead.
    pub fn start_duplicate_agent(&mut self, index: usize) -> Result<(), FleetError> {
        let next = self.start_agent(index)?;
        let former = std::mem::replace(&mut self.agents[index], next);
        self.former_agents.push(former);
        Ok(())
    }

    /// Stops a router without a drain, and starts another in its place.
    pub fn restart_router(&mut self, index: usize) -> Result<(), FleetError> {
        self.routers[index].thread = None;
        self.routers[index] = self.start_router(index)?;
        Ok(())
    }

    /// Blocks the thread of an agent for `pause_ms`.
    pub fn pause_agent(&self, index: usize, pause_ms: u64) {
        self.agents[index].pauses.try_send(pause_ms).ok();
    }

    /// Blocks the thread of a router for `pause_ms`.
    pub fn pause_router(&self, index: usize, pause_ms: u64) {
        self.routers[index].pauses.try_send(pause_ms).ok();
    }

    /// Starts to drain an agent whose instance the platform lists as leaving.
    pub async fn stop_agent(&self, index: usize) -> Result<(), FleetError> {
        let instance = &self.upstreams[index].instance;
        set_instance_state(&self.client, &self.platform_url, instance, "leaving").await?;
        if let Some(thread) = &self.agents[index].thread {
            thread.stop.drain();
        }
        Ok(())
    }

    /// Starts to drain an agent whose instance stays listed as live.
    pub fn stop_agent_process(&self, index: usize) {
        if let Some(thread) = &self.agents[index].thread {
            thread.stop.drain();
        }
    }

    /// Starts to drain a router.
    pub fn stop_router(&self, index: usize) {
        if let Some(thread) = &self.routers[index].thread {
            thread.stop.drain();
        }
    }

    /// Drains an agent while its instance stays listed, and starts its next incarnation, as an
    /// upgrade does.
    pub async fn replace_agent(&mut self, index: usize) -> Result<(), FleetError> {
        if let Some(thread) = &self.agents[index].thread {
            thread.stop.drain();
            // Bounds the drain as stop_timeout_ms does for a process, because a drain waits for the
            // store during an outage.
            let deadline_unix_ms = now_unix_ms() + REPLACE_TIMEOUT_MS;
            before_deadline(deadline_unix_ms, self.wait_until_agent_stopped(index)).await;
        }
        self.restart_agent(index)
    }

    /// Starts another router in the place of one, and drains the old one. The old router still
    /// answers its requests in flight; new requests go to the other. With `wait`, the drain starts
    /// only when the new router is ready.
    pub async fn replace_router(&mut self, index: usize, wait: bool) -> Result<(), FleetError> {
        let role = self.start_router(index)?;
        let old = std::mem::replace(&mut self.routers[index], role);
        if wait {
            self.wait_until_router_ready(index).await?;
        }
        if let Some(thread) = &old.thread {
            thread.stop.drain();
        }
        self.draining_routers.push(old);
        Ok(())
    }

    /// Waits until an agent has stopped after its drain.
    pub async fn wait_until_agent_stopped(&self, index: usize) {
        self.agents[index].finished.recv().await.ok();
    }

    /// Waits until a router has stopped after its drain.
    pub async fn wait_until_router_stopped(&self, index: usize) {
        self.routers[index].finished.recv().await.ok();
    }

    /// Waits until a router reports that it is ready.
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

    /// Stops routers, then agents, then the stand-ins, all without a drain.
    pub fn end(&mut self) {
        self.routers.clear();
        self.draining_routers.clear();
        self.agents.clear();
        self.former_agents.clear();
        self.domains.clear();
        self.standins.clear();
    }

    /// Adds a failure domain, with a relay from it to the platform.
    fn add_domain(&mut self, name: &FailureDomain) -> Result<(), FleetError> {
        let (thread, platform_url) = self
            .network
            .start_platform_relay(name, &self.platform_url)?;
        self.standins.push(thread);
        self.domains.push(Domain {
            name: name.clone(),
            standins: None,
            platform_url,
        });
        Ok(())
    }

    /// Starts the stand-ins of the upstreams in a failure domain, and has the platform list their
    /// instances.
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
            let existing = self.upstreams.iter_mut().find(|u| u.name == upstream.name);
            if let Some(existing) = existing {
                *existing = upstream;
            }
        }
        Ok(())
    }

    pub(crate) fn start_agent(&self, index: usize) -> Result<Role, FleetError> {
        self.start_agent_at(index, loopback())
    }

    fn start_agent_at(&self, index: usize, listen: SocketAddr) -> Result<Role, FleetError> {
        let upstream = &self.upstreams[index];
        let domain = &upstream.failure_domain;
        let mut settings = agent_settings(&self.settings, upstream, self.platform_url_at(domain));
        settings.listen = listen;
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

    /// Returns the URL at which processes of a failure domain reach the platform.
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
            network.route_connections_from(&from);
            start(stop)
        })?;
        self.network.set_domain(role.addresses.peers, domain);
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
    let (pauses, pause_requests) = async_channel::unbounded::<u64>();
    let (finish, finished) = async_channel::bounded(1);
    let revisions = Revisions::default();
    let recorded = revisions.clone();
    let (thread, addresses) = RoleThread::spawn(name, &Stop::new(), move |stop| async move {
        let serving = start(stop).await?;
        let (addresses, served) = (serving.addresses, serving.served);
        compio::runtime::spawn(record_revisions(serving.config, recorded)).detach();
        compio::runtime::spawn(async move {
            while let Ok(pause_ms) = pause_requests.recv().await {
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

async fn record_revisions(config: FleetConfig, revisions: Revisions) {
    loop {
        let changed = config.listen();
        let revision = config.revision();
        {
            let mut recorded = revisions.lock().unwrap_or_else(PoisonError::into_inner);
            if recorded.last() != Some(&revision) {
                recorded.push(revision);
            }
        }
        changed.await;
    }
}

impl Role {
    /// Returns each revision of the configuration that this incarnation has applied, in order.
    pub(crate) fn revisions(&self) -> Vec<u64> {
        let recorded = self.revisions.lock();
        recorded.unwrap_or_else(PoisonError::into_inner).clone()
    }
}
