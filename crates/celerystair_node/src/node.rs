//! Logs, metrics, timeline, store and configuration of one process.

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

/// Error that keeps a process from starting.
#[derive(Debug, Error)]
pub enum NodeError {
    /// A listener or file could not be opened.
    #[error("{what}: {error}")]
    Io {
        /// Address or path that could not be opened.
        what: String,
        /// Error of the operating system.
        error: std::io::Error,
    },
    /// The TLS certificates could not be loaded.
    #[error(transparent)]
    Tls(#[from] TlsError),
    /// The client of the platform's store could not be created.
    #[error("can't create the client of the platform's store: {0}")]
    Store(#[from] StoreError),
}

impl NodeError {
    /// Returns a closure for `map_err` that adds the address or path to an I/O error.
    pub fn opening(what: impl Into<String>) -> impl FnOnce(std::io::Error) -> Self {
        let what = what.into();
        move |error| Self::Io { what, error }
    }
}

/// State and services that every process has, whatever its role. Cheap to clone within its thread.
#[derive(Clone)]
pub struct Node {
    inner: Rc<NodeInner>,
}

/// The parts of a [`Node`].
pub struct NodeInner {
    /// Name of the process, unique in the fleet.
    pub name: String,
    /// Settings of the process.
    pub settings: ProcessSettings,
    /// Logger of the process.
    pub log: Logger,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Recorder of timeline events.
    pub timeline: Timeline,
    /// Client of the platform's key-value store.
    pub store: Store,
    /// Configuration in force in this process.
    pub config: FleetConfig,
    /// States of the platform's instances.
    pub instances: Instances,
    /// Claims of agents on upstreams, with the addresses of the agents.
    pub agents: Mirror<AgentObject>,
    /// Models and their adapters.
    pub models: Mirror<ModelObject>,
    /// Placements, which assign replicas of models to upstreams.
    pub placements: Mirror<PlacementObject>,
    /// Plain services that requests can be routed to.
    pub services: Mirror<ServiceObject>,
    /// Objects and instance states that processes pass on to one another.
    pub shared_items: SharedItems,
    /// Processes from which this one has received messages.
    pub known_peers: KnownPeers,
    /// Signal of a planned stop.
    pub stop: Stop,
}

impl std::ops::Deref for Node {
    type Target = NodeInner;

    fn deref(&self) -> &NodeInner {
        &self.inner
    }
}

impl Node {
    /// Opens the files and starts the background tasks of a process of `role`. The tasks run until
    /// `stop` ends.
    ///
    /// # Errors
    /// [`NodeError`] if a file can't be opened, the TLS certificates can't be loaded or the client
    /// of the store can't be created. The platform need not be reachable.
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
        store.set_log(&log);
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

    /// Returns the metadata to attach to an outgoing message.
    pub fn stamp(&self) -> Option<Stamp> {
        Some(Stamp {
            hybrid_time: self.timeline.clock().tick(),
            sent_unix_ms: now_unix_ms(),
            process: self.name.clone(),
            config_revision: self.config.revision(),
            peer_address: self.known_peers.own_address(),
        })
    }

    /// Records the metadata of a received message: clock, sender and configuration revision.
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
        warn!(log, "can't reload the TLS certificates; the previous ones stay in use";
            "error" => %error);
    }))
    .detach();
    Ok(())
}

impl Node {
    /// Updates the gauges of the process and returns all metrics in the text exposition format.
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

/// Records a timeline event for each configuration revision that comes into force.
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

/// Records timeline events for the start and the end of a planned stop.
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
