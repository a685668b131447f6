//! A fleet whose agents and routers have a thread each, so that they can be killed, paused,
//! stopped as planned and restarted one at a time, over a platform that can be made to fail.

use std::{net::SocketAddr, time::Duration};

use celerystair_agent::prelude::*;
use celerystair_core::prelude::*;
use celerystair_platform::{
    objects::{AGENTS, PLACEMENTS},
    prelude::*,
};
use celerystair_router::prelude::*;
use celerystair_standin::{platform::PlatformFaults, prelude::*};

use crate::{
    fleet::{
        FleetError, FleetUpstream, agent_settings, announce, plan_upstreams, router_settings, seed,
        start_platform, start_standins, start_weights, store_settings, wait_for,
    },
    settings::TrialSettings,
    threads::RoleThread,
};

const POLL_INTERVAL_MS: u64 = 20;
const READY_TIMEOUT_MS: u64 = 60_000;

/// A role that runs, or has been killed.
struct Role {
    thread: Option<RoleThread>,
    pauses: async_channel::Sender<u64>,
    finished: async_channel::Receiver<()>,
    address: SocketAddr,
}

/// The fleet.
pub struct FaultFleet {
    /// What the stand-ins see.
    pub witness: Witness,
    /// The platform.
    pub platform_url: String,
    /// The upstreams.
    pub upstreams: Vec<FleetUpstream>,
    settings: TrialSettings,
    client: cyper::Client,
    agents: Vec<Role>,
    routers: Vec<Role>,
    /// Routers whose planned stop has begun and in whose place others run.
    replaced: Vec<Role>,
    standins: Vec<RoleThread>,
}

impl FaultFleet {
    /// Starts everything, and waits until all agents have claimed and all routers are ready.
    pub async fn start(settings: &TrialSettings) -> Result<Self, FleetError> {
        let witness = Witness::default();
        let (platform, platform_url) = start_platform(settings)?;
        let store = Store::new(store_settings(&platform_url))?;
        seed(&store, settings).await?;
        let (weights, weights_url) = start_weights(settings)?;
        let planned = plan_upstreams(settings);
        let (standin, upstreams) = start_standins(0, planned, weights_url, witness.clone())?;
        let client = cyper::Client::new().map_err(std::io::Error::other)?;
        for upstream in &upstreams {
            announce(&client, &platform_url, &upstream.instance, "live").await?;
        }
        let mut fleet = Self {
            witness,
            platform_url,
            upstreams,
            settings: settings.clone(),
            client,
            agents: Vec::new(),
            routers: Vec::new(),
            replaced: Vec::new(),
            standins: vec![platform, weights, standin],
        };
        for index in 0..fleet.upstreams.len() {
            let role = fleet.start_agent(index)?;
            fleet.agents.push(role);
        }
        wait_for(&store, AGENTS, fleet.upstreams.len()).await?;
        for index in 0..settings.routers as usize {
            let role = fleet.start_router(index)?;
            fleet.routers.push(role);
        }
        for index in 0..fleet.routers.len() {
            fleet.router_ready(index).await?;
        }
        wait_for(&store, PLACEMENTS, settings.model_objects().len()).await?;
        Ok(fleet)
    }

    /// Where the callers of a router connect.
    pub fn router_address(&self, index: usize) -> SocketAddr {
        self.routers[index].address
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
        announce(&self.client, &self.platform_url, instance, "leaving").await?;
        if let Some(thread) = &self.agents[index].thread {
            thread.stop.drain();
        }
        Ok(())
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
            self.agent_stopped(index).await;
        }
        self.restart_agent(index)
    }

    /// Starts another router in the place of one, and stops that one as planned. Its callers'
    /// requests are still answered by it; new ones go to the other.
    pub async fn replace_router(&mut self, index: usize, wait: bool) -> Result<(), FleetError> {
        let role = self.start_router(index)?;
        let old = std::mem::replace(&mut self.routers[index], role);
        if wait {
            self.router_ready(index).await?;
        }
        if let Some(thread) = &old.thread {
            thread.stop.drain();
        }
        self.replaced.push(old);
        Ok(())
    }

    /// Returns once the planned stop of an agent is complete.
    pub async fn agent_stopped(&self, index: usize) {
        self.agents[index].finished.recv().await.ok();
    }

    /// Returns once the planned stop of a router is complete.
    pub async fn router_stopped(&self, index: usize) {
        self.routers[index].finished.recv().await.ok();
    }

    /// Returns once a router knows what it routes to.
    pub async fn router_ready(&self, index: usize) -> Result<(), FleetError> {
        let url = format!("http://{}/readyz", self.routers[index].address);
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
        self.standins.clear();
    }

    fn start_agent(&self, index: usize) -> Result<Role, FleetError> {
        let upstream = &self.upstreams[index];
        let settings = agent_settings(&self.settings, upstream, &self.platform_url);
        start_role(&upstream.name, |stop| async move {
            let running = run_agent(settings, &stop).await?;
            Ok((running.address, running.served))
        })
    }

    fn start_router(&self, index: usize) -> Result<Role, FleetError> {
        let settings = router_settings(&self.settings, index as u32 + 1, &self.platform_url);
        let name = settings.router.clone();
        start_role(&name, |stop| async move {
            let running = run_router(settings, &stop).await?;
            Ok((running.address, running.served))
        })
    }
}

fn start_role<F>(
    name: &str,
    start: impl FnOnce(Stop) -> F + Send + 'static,
) -> Result<Role, FleetError>
where
    F: Future<Output = Result<(SocketAddr, compio::runtime::JoinHandle<()>), FleetError>>,
{
    let (pauses, asked) = async_channel::unbounded::<u64>();
    let (finish, finished) = async_channel::bounded(1);
    let (thread, address) = RoleThread::spawn(name, &Stop::new(), move |stop| async move {
        let (address, served) = start(stop).await?;
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
        Ok::<_, FleetError>(address)
    })?;
    Ok(Role {
        thread: Some(thread),
        pauses,
        finished,
        address,
    })
}
