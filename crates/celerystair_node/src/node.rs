//! Logs, metrics, time line, store and configuration of one process.

use std::{pin::pin, rc::Rc};

use celerystair_config::prelude::*;
use celerystair_core::prelude::*;
use celerystair_net::{prelude::*, tls::set_peer_tls};
use celerystair_platform::{
    objects::{AGENT_KEY_PREFIX, MODEL_KEY_PREFIX, PLACEMENT_KEY_PREFIX, SERVICE_KEY_PREFIX},
    prelude::*,
};
use celerystair_protocol::Stamp;
use celerystair_telemetry::prelude::*;
use futures_util::future::select;
use thiserror::Error;

use crate::{
    heard::KnownPeers,
    spread::{reads_platform, spread_config, watches_store},
};

/// Why a process could not start.
#[derive(Debug, Error)]
pub enum NodeError {
    /// A listener or a file can't be opened.
    #[error("{what}: {error}")]
    Io {
        /// What was opened.
        what: String,
        /// The system's reason.
        error: std::io::Error,
    },
    /// The certificates can't be used.
    #[error(transparent)]
    Tls(#[from] TlsError),
    /// The platform's client could not be made.
    #[error("the platform's client: {0}")]
    Store(#[from] StoreError),
}

impl NodeError {
    /// A closure that names what was opened.
    pub fn opening(what: impl Into<String>) -> impl FnOnce(std::io::Error) -> Self {
        let what = what.into();
        move |error| Self::Io { what, error }
    }
}

/// What a process of the system has, whatever its role; cheap to clone within its thread.
#[derive(Clone)]
pub struct Node {
    inner: Rc<NodeInner>,
}

/// The parts of a [`Node`].
pub struct NodeInner {
    /// The process's name, unique in the fleet.
    pub name: String,
    /// Its settings.
    pub settings: ProcessSettings,
    /// Its logger.
    pub log: Logger,
    /// Its metrics.
    pub metrics: Metrics,
    /// Its events.
    pub timeline: Timeline,
    /// The platform's object API.
    pub store: Store,
    /// The configuration in force here.
    pub config: FleetConfig,
    /// The platform's list of instances.
    pub instances: Instances,
    /// Agents and where they listen.
    pub agents: Mirror<AgentObject>,
    /// Models.
    pub models: Mirror<ModelObject>,
    /// Placements.
    pub placements: Mirror<PlacementObject>,
    /// Plain services.
    pub services: Mirror<ServiceObject>,
    /// What processes hand on to one another of the platform's list and objects.
    pub shared_items: SharedItems,
    /// Other processes, as last heard of.
    pub known_peers: KnownPeers,
    /// The signal of a planned stop.
    pub stop: Stop,
}

impl std::ops::Deref for Node {
    type Target = NodeInner;

    fn deref(&self) -> &NodeInner {
        &self.inner
    }
}

impl Node {
    /// Starts what a process of `role` has, and follows the platform until `stop` ends.
    ///
    /// # Errors
    /// [`NodeError`] if a file can't be opened or the platform's address makes no sense; the
    /// platform need not be up.
    pub fn start(
        role: &'static str,
        name: &str,
        settings: &ProcessSettings,
        stop: &Stop,
    ) -> Result<Self, NodeError> {
        let timeline = match &settings.timeline_file {
            Some(path) => Timeline::to_file(path, role, name)
                .map_err(NodeError::opening(path.display().to_string()))?,
            None => Timeline::off(),
        };
        let log = logger(settings.log_format, role, name);
        if let Some(settings) = &settings.tls {
            start_tls(settings, &log, stop)?;
        }
        let store = Store::new(settings.platform.clone())?;
        let shared_items = SharedItems::default();
        let agents: Mirror<AgentObject> =
            Mirror::start_shared(&store, AGENT_KEY_PREFIX, &shared_items, stop);
        let interval_ms = settings.instances_interval_ms;
        let instances = Instances::start(&store, interval_ms, &shared_items, stop);
        let ranked = (agents.clone(), instances.clone());
        let (own, domain) = (name.to_owned(), settings.failure_domain.clone());
        let is_watcher = move || watches_store(&ranked.0, &ranked.1, &domain, &own);
        let ranked = (agents.clone(), instances.clone());
        let (own, domain) = (name.to_owned(), settings.failure_domain.clone());
        shared_items
            .set_reads_platform(move || reads_platform(&ranked.0, &ranked.1, &domain, &own));
        let inner = NodeInner {
            name: name.to_owned(),
            log,
            metrics: Metrics::new(role),
            timeline,
            config: FleetConfig::start(&store, is_watcher, stop),
            instances,
            agents,
            known_peers: KnownPeers::default(),
            models: Mirror::start_shared(&store, MODEL_KEY_PREFIX, &shared_items, stop),
            placements: Mirror::start_shared(&store, PLACEMENT_KEY_PREFIX, &shared_items, stop),
            services: Mirror::start_shared(&store, SERVICE_KEY_PREFIX, &shared_items, stop),
            shared_items,
            store,
            stop: stop.clone(),
            settings: settings.clone(),
        };
        let node = Self {
            inner: Rc::new(inner),
        };
        compio::runtime::spawn(record_config(node.clone())).detach();
        compio::runtime::spawn(record_drain(node.clone())).detach();
        compio::runtime::spawn(spread_config(node.clone())).detach();
        Ok(node)
    }

    /// What rides on every message that leaves this process.
    pub fn stamp(&self) -> Option<Stamp> {
        Some(Stamp {
            hybrid_time: self.timeline.clock().tick(),
            sent_unix_ms: now_unix_ms(),
            process: self.name.clone(),
            config_revision: self.config.revision(),
            peer_address: self.known_peers.own_address(),
        })
    }

    /// Takes in what rode on a message.
    pub fn observe(&self, stamp: Option<&Stamp>) {
        if let Some(stamp) = stamp {
            self.timeline.clock().observe(stamp.hybrid_time);
            self.known_peers.record_stamp(stamp);
            self.config.record_peer_revision(stamp.config_revision);
        }
    }
}

fn start_tls(settings: &TlsSettings, log: &Logger, stop: &Stop) -> Result<(), NodeError> {
    let tls = PeerTls::load(settings)?;
    set_peer_tls(tls.clone());
    let (log, stop) = (log.clone(), stop.clone());
    compio::runtime::spawn(tls.reload_periodically(stop, move |error| {
        warn!(log, "the earlier certificates stay in use"; "error" => %error);
    }))
    .detach();
    Ok(())
}

impl Node {
    /// All metrics in the text form that scrapers read, with fresh readings of the process.
    pub fn scrape(&self) -> Vec<u8> {
        let gauges = &self.metrics.gauges;
        let revision = self.config.revision();
        let behind = self.config.highest_peer_revision().saturating_sub(revision);
        gauges.config_revision.record(revision, &[]);
        gauges.config_revisions_behind.record(behind, &[]);
        gauges.store_calls.record(self.store.calls(), &[]);
        gauges.events_dropped.record(self.timeline.dropped(), &[]);
        gauges
            .draining
            .record(u64::from(self.stop.is_draining()), &[]);
        self.metrics.scrape()
    }
}

/// Records each revision of the configuration as it comes into force.
async fn record_config(node: Node) {
    let mut recorded_revision = 0;
    while !node.stop.is_ended() {
        let changed = node.config.listen();
        let revision = node.config.revision();
        if revision > recorded_revision {
            recorded_revision = revision;
            node.timeline.record(Event {
                kind: "config_in_force".to_owned(),
                change: revision.to_string(),
                ..Event::default()
            });
        }
        select(changed, pin!(node.stop.ended())).await;
    }
}

/// Records the start and the end of a planned stop.
async fn record_drain(node: Node) {
    let record = |kind: &str| {
        node.timeline.record(Event {
            kind: kind.to_owned(),
            ..Event::default()
        });
    };
    node.stop.draining().await;
    record("drain_started");
    node.stop.ended().await;
    record("drain_ended");
}
