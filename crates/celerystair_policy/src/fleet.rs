//! What decisions are about: the configuration in force and the upstreams of the fleet.

use std::net::SocketAddr;

use celerystair_core::prelude::*;

/// Routes, services and limits of one version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServingConfig {
    /// Rises with each change, in uneven steps.
    pub version: u64,
    /// Which requests go to which service.
    pub routes: Vec<Route>,
    /// The services by name.
    pub services: HashMap<ServiceName, ServiceConfig>,
    /// What a caller may send.
    pub caller_limits: CallerLimits,
}

/// Requests of one host below one path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name, for logs.
    pub name: String,
    /// The host that callers name.
    pub host: String,
    /// Begins and ends with a slash.
    pub path_prefix: String,
    /// Whether its requests may be repeated.
    pub kind: RequestKind,
    /// The longest that a caller may be kept waiting.
    pub timeout_ms: u64,
    /// An answer within this time is on time; for streams, its first event.
    pub target_latency_ms: u64,
    /// 0 is the most urgent.
    pub urgency_rank: u32,
    /// Services that share its requests by weight.
    pub targets: Vec<RouteTarget>,
    /// Upstreams to which one request may be sent.
    pub attempts_max: u32,
    /// Whether a stream may go on at another upstream after its last whole event.
    pub can_resume: bool,
    /// The longest pause within a stream that is still on time; 0 if none is declared.
    pub pause_max_ms: u64,
}

impl Route {
    /// Whether a request may run more than once.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RequestKind::Idempotent => true,
            RequestKind::NonIdempotent => false,
            RequestKind::Stream => self.can_resume,
        }
    }

    /// How long callers wait for the first event of a stream, or for the next one, before they
    /// leave: `docs/PLATFORM.md`, "Callers".
    pub fn patience_ms(&self) -> u64 {
        const SHORTEST_MS: u64 = 2000;
        SHORTEST_MS
            .max(4 * self.target_latency_ms)
            .max(8 * self.pause_max_ms)
    }
}

/// What may be repeated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestKind {
    /// May run more than once.
    Idempotent,
    /// May run at most once.
    NonIdempotent,
    /// A stream of events; may run once unless the route lets it be resumed.
    Stream,
}

/// One of the services that share a route.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceName,
    /// Its part, relative to the others.
    pub weight: f64,
}

/// A group of upstreams.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceConfig {
    /// Connections that one upstream takes from all routers together.
    pub connections_max: u32,
    /// Set where the upstreams are model engines.
    pub engine: Option<EngineConfig>,
}

/// What the engines of a service have in common.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineConfig {
    /// Requests that one engine runs at once.
    pub slots: u32,
    /// Accelerator memory of one engine for weights and adapters.
    pub weights_mb: f64,
    /// Adapters that one engine may hold.
    pub adapter_slots: usize,
    /// The models by name.
    pub models: HashMap<ModelName, ModelConfig>,
}

/// One model of a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ModelConfig {
    /// Accelerator memory of its weights.
    pub weights_mb: f64,
    /// Accelerator memory of one of its adapters.
    pub adapter_mb: f64,
    /// How many adapters it has.
    pub adapters: u32,
    /// Time of a load from the weight store.
    pub cold_load_ms: u64,
    /// Time of a load from the engine's disk.
    pub disk_load_ms: u64,
    /// Time of a load from the engine's host memory.
    pub memory_load_ms: u64,
}

/// What a caller may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// The largest request head.
    pub head_max_bytes: usize,
    /// The largest request body.
    pub body_max_bytes: usize,
    /// How long a connection may stay idle.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    /// What holds until the first configuration is known.
    fn default() -> Self {
        Self {
            head_max_bytes: 16 * 1024,
            body_max_bytes: 4 * 1024 * 1024,
            idle_timeout_ms: 15_000,
        }
    }
}

/// An upstream as it describes itself in the list.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamEntry {
    /// Its name; mostly a new one with each start.
    pub id: UpstreamId,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes requests.
    pub state: UpstreamState,
    /// When it started; tells two lives under one id apart.
    pub started_unix_ms: u64,
    /// The models that it had loaded when it wrote this.
    pub loaded: Vec<LoadedModel>,
}

/// Whether an upstream takes requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamState {
    /// It takes requests.
    Ready,
    /// It finishes what it has, and leaves.
    Draining,
}

/// A model in an engine's accelerator memory.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LoadedModel {
    /// The model.
    pub model: ModelName,
    /// Its adapters that are loaded too.
    pub adapters: Vec<String>,
}

/// An engine as its agent sees it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineState {
    /// The engine's start; tells two lives apart.
    pub started_unix_ms: u64,
    /// Orders that it has accepted in this life.
    pub order_sequence: u64,
    /// Whether it carries out an order.
    pub is_busy: bool,
    /// Whether it finishes what it has, and leaves.
    pub is_draining: bool,
    /// The models that it serves.
    pub loaded: Vec<LoadedModel>,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that run there.
    pub running: u32,
    /// Models with a copy of their weights in host memory.
    pub in_memory: Vec<ModelName>,
    /// Models with a copy of their weights on disk.
    pub on_disk: Vec<ModelName>,
}
