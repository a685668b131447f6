//! The kinds of objects that the system stores in the platform's key-value store.
//!
//! | key | kind | written by |
//! |---|---|---|
//! | `agents/<upstream>` | [`AgentObject`] | the agent, when it claims its upstream |
//! | `models/<model>` | [`ModelObject`] | operators |
//! | `placements/<model>` | [`PlacementObject`] | any process; the first conditional write wins |
//! | `services/<service>` | [`ServiceObject`] | operators |

use std::net::SocketAddr;

use celerystair_core::prelude::*;
use serde::{Deserialize, Serialize};

/// Prefix of the keys of [`AgentObject`]s.
pub const AGENT_KEY_PREFIX: &str = "agents/";
/// Prefix of the keys of [`ModelObject`]s.
pub const MODEL_KEY_PREFIX: &str = "models/";
/// Prefix of the keys of [`PlacementObject`]s.
pub const PLACEMENT_KEY_PREFIX: &str = "placements/";
/// Prefix of the keys of [`ServiceObject`]s.
pub const SERVICE_KEY_PREFIX: &str = "services/";
/// Key of the fleet's configuration document.
pub const CONFIG_HEAD_KEY: &str = "config/head";

/// An agent's claim on its upstream. Each claim has a higher fencing token than the one before.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AgentObject {
    /// Fencing token of every order that the claiming agent sends to its upstream.
    pub fence: u64,
    /// Incarnation of the instance on which the upstream runs.
    pub instance: InstanceId,
    /// Identifies the claim, so that an agent that got no response to its write can recognise it.
    pub claim_id: String,
    /// Address at which the agent accepts calls from routers and other agents.
    pub address: SocketAddr,
    /// Failure domain of the upstream.
    pub failure_domain: FailureDomain,
    /// Pool of the upstream. All upstreams of a pool serve the same models and services.
    pub pool: String,
    /// Accelerator memory of the upstream, in bytes; 0 for a plain service.
    pub memory_bytes: u64,
    /// Whether the upstream is draining: it hands over its slots and accepts no new requests.
    #[serde(default)]
    pub leaving: bool,
}

/// A base model and its adapters.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelObject {
    /// Pool of the upstreams that may hold replicas of the model.
    pub pool: String,
    /// Version to serve.
    pub version: String,
    /// Size of the checkpoint, in bytes.
    pub checkpoint_bytes: u64,
    /// Memory for the KV cache that a replica needs in addition to its checkpoint, in bytes.
    pub kv_cache_bytes: u64,
    /// Names of the model's adapters.
    #[serde(default)]
    pub adapters: Vec<String>,
}

impl ModelObject {
    /// Returns the accelerator memory that one replica needs, in bytes.
    pub fn replica_bytes(&self) -> u64 {
        self.checkpoint_bytes + self.kv_cache_bytes
    }
}

/// A plain service that the system routes to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceObject {
    /// Pool of the upstreams that run the service.
    pub pool: String,
    /// HTTP methods whose calls may be retried; calls with other methods need an idempotency key.
    pub idempotent_methods: Vec<String>,
}

/// The upstreams assigned to hold replicas of a model; see `docs/PLACEMENT.md`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlacementObject {
    /// Generation, incremented with every change.
    pub generation: u64,
    /// Identifies the last write, so that a writer that got no response can recognise its own.
    pub write_id: String,
    /// The slots, one for each replica that should exist.
    pub slots: Vec<SlotObject>,
}

/// The assignment of one replica to an upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotObject {
    /// Upstream that holds the slot.
    pub upstream: UpstreamId,
    /// Incarnation of the upstream's instance; a later incarnation does not inherit the slot.
    pub instance: InstanceId,
    /// Generation of the placement in which the slot was assigned to this upstream.
    pub slot_generation: u64,
}
