//! Types that the decisions work on: the configuration and the upstreams of the fleet.

use std::net::SocketAddr;

use celerystair_core::prelude::*;

/// One version of the configuration: routes, services and limits.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServingConfig {
    /// Rises with each change, not necessarily by one.
    pub version: u64,
    /// Which requests go to which service.
    pub routes: Vec<Route>,
    /// The services, by name.
    pub services: HashMap<ServiceName, ServiceConfig>,
    /// Limits on callers' requests and connections.
    pub caller_limits: CallerLimits,
}

/// A rule for the requests of one host below one path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name, for logs.
    pub name: String,
    /// The host name in requests; case-insensitive.
    pub host: String,
    /// Begins and ends with a slash.
    pub path_prefix: String,
    /// Whether and how its requests may be repeated.
    pub kind: RequestKind,
    /// The longest time that a caller may wait for its answer.
    pub timeout_ms: u64,
    /// The time within which an answer, or the first event of a stream, counts as on time.
    pub target_latency_ms: u64,
    /// The priority of its requests; 0 is the most urgent.
    pub urgency_rank: u32,
    /// The services that share its requests by weight.
    pub targets: Vec<RouteTarget>,
    /// The most upstreams to which one request is sent.
    pub attempts_max: u32,
    /// Whether a stream may resume at another upstream after its last complete event.
    pub can_resume: bool,
    /// The longest pause between two events of a stream that is still on time; 0 if none is
    /// declared.
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

    /// Returns how long callers wait for the first event of a stream, or for the next one, before
    /// they give up: `docs/PLATFORM.md`, "Callers".
    pub fn patience_ms(&self) -> u64 {
        const PATIENCE_MIN_MS: u64 = 2000;
        PATIENCE_MIN_MS
            .max(self.target_latency_ms.saturating_mul(4))
            .max(self.pause_max_ms.saturating_mul(8))
    }
}

/// How often a request may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestKind {
    /// The request may run more than once.
    Idempotent,
    /// The request may run at most once.
    NonIdempotent,
    /// The answer is a stream of events; the request may run once unless the route allows to resume
    /// it.
    Stream,
}

/// One of the services that share a route.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceName,
    /// Its share of the requests, relative to the other targets.
    pub weight: f64,
}

/// The configuration of a service, which is a group of upstreams.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceConfig {
    /// The most connections that one upstream accepts from all routers together.
    pub connections_max: u32,
    /// Set if the upstreams are model engines.
    pub engine: Option<EngineConfig>,
}

/// What the engines of a service have in common.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineConfig {
    /// Requests that one engine runs concurrently.
    pub slots: u32,
    /// Accelerator memory of one engine for weights and adapters, in megabytes.
    pub weights_mb: f64,
    /// The most adapters that one engine holds.
    pub adapter_slots: usize,
    /// The models, by name.
    pub models: HashMap<ModelName, ModelConfig>,
}

/// One model of a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ModelConfig {
    /// Accelerator memory of its weights, in megabytes.
    pub weights_mb: f64,
    /// Accelerator memory of one of its adapters, in megabytes.
    pub adapter_mb: f64,
    /// The number of its adapters.
    pub adapters: u32,
    /// Duration of a load from the weight store, if it runs alone.
    pub cold_load_ms: u64,
    /// Duration of a load from the engine's disk.
    pub disk_load_ms: u64,
    /// Duration of a load from the engine's host memory.
    pub memory_load_ms: u64,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// The largest request head that is accepted.
    pub head_max_bytes: usize,
    /// The largest request body that is accepted.
    pub body_max_bytes: usize,
    /// How long the head of a request may take.
    pub head_timeout_ms: u64,
    /// How long a connection may stay idle.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    /// Returns the limits in force until the first configuration has been read.
    fn default() -> Self {
        Self {
            head_max_bytes: 16 * 1024,
            body_max_bytes: 4 * 1024 * 1024,
            head_timeout_ms: 5000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// The entry of an upstream in the store's list, which it writes itself.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamEntry {
    /// Its identifier, usually a new one at each start.
    pub id: UpstreamId,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it accepts requests.
    pub address: SocketAddr,
    /// The failure domain that it runs in.
    pub failure_domain: FailureDomain,
    /// The version of its software. What upstreams of two versions write doesn't fit together.
    pub software_version: SoftwareVersion,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts requests.
    pub state: UpstreamState,
    /// When it started, which tells apart incarnations under the same identifier.
    pub started_unix_ms: u64,
    /// The models that were loaded when it wrote this entry.
    pub loaded: Vec<LoadedModel>,
}

impl UpstreamEntry {
    /// Returns whether another entry of the same id tells of the same run of its process, which keeps its
    /// address and its software version from its start to its end.
    pub fn is_same_run(&self, other: &Self) -> bool {
        self.started_unix_ms == other.started_unix_ms
            && self.address == other.address
            && self.software_version == other.software_version
    }
}

/// Whether an upstream accepts requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamState {
    /// It accepts requests.
    Ready,
    /// It finishes its requests in flight, and then stops.
    Draining,
}

/// A model in an engine's accelerator memory.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LoadedModel {
    /// The model.
    pub model: ModelName,
    /// Those of its adapters that are loaded.
    pub adapters: Vec<String>,
}

/// The state of an engine, as it reports it to its agent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineState {
    /// When the engine started, which tells apart its incarnations.
    pub started_unix_ms: u64,
    /// The number of orders that it has accepted in this incarnation.
    pub order_sequence: u64,
    /// Whether it is carrying out an order.
    pub is_busy: bool,
    /// Whether it finishes its requests in flight, and then stops.
    pub is_draining: bool,
    /// The models that it serves.
    pub loaded: Vec<LoadedModel>,
    /// Requests in its queue.
    pub waiting: u32,
    /// Requests that it is running.
    pub running: u32,
    /// Models with a copy of their weights in host memory.
    pub in_memory: Vec<ModelName>,
    /// Models with a copy of their weights on disk.
    pub on_disk: Vec<ModelName>,
}
