//! What the measurements share: a platform with seeded objects, and roles on named threads.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use celerystair_config::prelude::*;
use celerystair_core::prelude::*;
use celerystair_node::prelude::Node;
use celerystair_platform::{
    objects::{AGENT_KEY_PREFIX, CONFIG_HEAD_KEY, MODEL_KEY_PREFIX, PLACEMENT_KEY_PREFIX},
    prelude::*,
};
use celerystair_router::prelude::*;
use celerystair_standin::{platform::PlatformCounts, prelude::*};
use celerystair_trial::{
    fleet::{FleetError, router_settings, set_instance_state, store_settings},
    prelude::*,
    threads::RoleThread,
};

/// Threads of routers bear this name.
pub const ROUTER_THREAD: &str = "m-router";
/// How often a process reads the list of instances where its settings don't say.
pub const INSTANCES_INTERVAL_MS: u64 = 1000;
/// How long a watch waits where the settings don't say.
pub const WATCH_TIMEOUT_MS: u64 = 30_000;

/// A failure domain of no agent: a process there follows the platform itself.
pub const WATCHING_DOMAIN: &str = "watching";
/// The failure domain of the seeded agents: other processes there are told by their neighbours.
pub const TOLD_DOMAIN: &str = "d1";
/// How often a router's calls are read off.
const CALLS_READ_INTERVAL_MS: u64 = 250;

const BASE: &str = include_str!("base.jsonc");

/// The smallest system, for a measurement to enlarge.
pub fn base_settings() -> eyre::Result<TrialSettings> {
    Ok(read_settings("tools/capacity/src/base.jsonc", BASE)?)
}

/// A platform on a thread of its own.
pub struct Platform {
    /// Where it listens.
    pub address: SocketAddr,
    /// A client of it.
    pub store: Store,
    http: cyper::Client,
    _thread: RoleThread,
}

impl Platform {
    /// A platform that holds only the configuration.
    pub async fn start(settings: &TrialSettings) -> eyre::Result<Self> {
        let platform = settings.platform.clone();
        let (thread, address) = RoleThread::spawn("platform", &Stop::new(), |stop| async move {
            run_platform(platform, &stop)
        })?;
        let store = Store::new(store_settings(&format!("http://{address}")))?;
        let document = FleetDocument {
            revision: 1,
            ..settings.config.clone()
        };
        create(&store, CONFIG_HEAD_KEY, &document).await?;
        Ok(Self {
            address,
            store,
            http: cyper::Client::new()?,
            _thread: thread,
        })
    }

    /// Where it listens, as an URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Models with their adapters, each with a placement of two slots.
    pub async fn seed_models(&self, models: u32, adapters_each: u32) -> eyre::Result<()> {
        for number in 1..=models {
            let object = ModelObject {
                pool: "engines".to_owned(),
                version: "1".to_owned(),
                checkpoint_bytes: 8 << 30,
                kv_cache_bytes: 4 << 30,
                adapters: (1..=adapters_each)
                    .map(|n| format!("adapter-{n:05}"))
                    .collect(),
            };
            let slot = |n: u32| SlotObject {
                upstream: format!("engine-{n:04}").into(),
                instance: format!("engine-{n:04}.1").into(),
                slot_generation: 1,
            };
            let placement = PlacementObject {
                generation: 1,
                write_id: "seed".to_owned(),
                slots: vec![slot(number), slot(number + 1)],
            };
            create(
                &self.store,
                &format!("{MODEL_KEY_PREFIX}model-{number:04}"),
                &object,
            )
            .await?;
            create(
                &self.store,
                &format!("{PLACEMENT_KEY_PREFIX}model-{number:04}"),
                &placement,
            )
            .await?;
        }
        Ok(())
    }

    /// Agents' claims, all of them answered at `address`, and as many rows in the list of
    /// instances.
    pub async fn seed_agents(&self, agents: u32, address: SocketAddr) -> eyre::Result<()> {
        for number in 1..=agents {
            let name = format!("engine-{number:04}");
            let object = AgentObject {
                fence: 1,
                instance: format!("{name}.1").into(),
                claim_id: format!("{name}.000000000000"),
                address,
                failure_domain: TOLD_DOMAIN.into(),
                pool: "engines".to_owned(),
                memory_bytes: 80 << 30,
                leaving: false,
            };
            create(&self.store, &format!("{AGENT_KEY_PREFIX}{name}"), &object).await?;
            set_instance_state(&self.http, &self.url(), &format!("{name}.1"), "live").await?;
        }
        Ok(())
    }

    /// How often it was called.
    pub async fn counts(&self) -> eyre::Result<PlatformCounts> {
        let url = format!("{}/counts", self.url());
        Ok(self.http.get(url)?.send().await?.json().await?)
    }
}

async fn create(
    store: &Store,
    key: &str,
    value: &impl serde::Serialize,
) -> Result<u64, StoreError> {
    store
        .put(key, value, Expected::Absent, CallPriority::Normal)
        .await
}

/// A revision of the configuration, and when a process had it in force, in microseconds.
pub type InForce = (u64, u64);

/// A router on a thread of its own.
pub struct RouterRole {
    /// Where other processes connect.
    pub peer_address: SocketAddr,
    /// Each revision as it comes into force.
    pub in_force: async_channel::Receiver<InForce>,
    /// Its calls to the store, as read off now and then.
    pub calls: Arc<AtomicU64>,
    _thread: RoleThread,
}

/// Starts a router and returns once it knows all that the store holds.
pub async fn start_router(
    settings: &TrialSettings,
    number: u32,
    platform_url: &str,
    watch_timeout_ms: u64,
    failure_domain: &str,
) -> eyre::Result<RouterRole> {
    let mut settings = router_settings(settings, number, platform_url);
    settings.process.failure_domain = failure_domain.into();
    settings.process.instances_interval_ms = INSTANCES_INTERVAL_MS;
    settings.process.platform.watch_timeout_ms = watch_timeout_ms;
    let (ready, is_ready) = async_channel::bounded(1);
    let (send, in_force) = async_channel::unbounded();
    let calls = Arc::new(AtomicU64::new(0));
    let counted = calls.clone();
    let (thread, peer_address) =
        RoleThread::spawn(ROUTER_THREAD, &Stop::new(), move |stop| async move {
            let running = run_router(settings, &stop).await?;
            running.served.detach();
            let node = running.router.node.clone();
            let counting = node.clone();
            compio::runtime::spawn(async move {
                while !counting.stop.is_ended() {
                    counted.store(counting.store.calls(), Ordering::Relaxed);
                    sleep_ms(CALLS_READ_INTERVAL_MS).await;
                }
            })
            .detach();
            compio::runtime::spawn(async move {
                complete(&node).await;
                ready.send(()).await.ok();
                report_revisions(&node, &send).await;
            })
            .detach();
            Ok::<_, FleetError>(running.peer_address)
        })?;
    is_ready.recv().await?;
    Ok(RouterRole {
        peer_address,
        in_force,
        calls,
        _thread: thread,
    })
}

async fn complete(node: &Node) {
    node.models.wait_until_complete().await;
    node.agents.wait_until_complete().await;
    node.placements.wait_until_complete().await;
    node.services.wait_until_complete().await;
    while node.config.revision() == 0 {
        node.config.listen().await;
    }
}

async fn report_revisions(node: &Node, send: &async_channel::Sender<InForce>) {
    while !node.stop.is_ended() {
        let changed = node.config.listen();
        let now_us = celerystair_core::time::now_unix_us();
        send.try_send((node.config.revision(), now_us)).ok();
        changed.await;
    }
}
