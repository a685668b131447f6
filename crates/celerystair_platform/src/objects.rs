//! The kinds of objects that the system keeps in the platform's store.
//!
//! | key | kind | written by |
//! |---|---|---|
//! | `agents/<upstream>` | [`AgentObject`] | the agent, when it claims its upstream |
//! | `models/<model>` | [`ModelObject`] | operators |
//! | `placements/<model>` | [`PlacementObject`] | whoever proposes first |
//! | `services/<service>` | [`ServiceObject`] | operators |

use std::net::SocketAddr;

use celerystair_core::prelude::*;
use serde::{Deserialize, Serialize};

/// Keys of agents start with this.
pub const AGENT_KEY_PREFIX: &str = "agents/";
/// Keys of models start with this.
pub const MODEL_KEY_PREFIX: &str = "models/";
/// Keys of placements start with this.
pub const PLACEMENT_KEY_PREFIX: &str = "placements/";
/// Keys of services start with this.
pub const SERVICE_KEY_PREFIX: &str = "services/";
/// The fleet's configuration document.
pub const CONFIG_HEAD_KEY: &str = "config/head";

/// An agent's claim on its upstream. The fence rises with each claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AgentObject {
    /// The fencing number of every order that the claimant gives.
    pub fence: u64,
    /// The life of the upstream's instance.
    pub instance: InstanceId,
    /// Which claim this is, so that a claimant whose answer was lost knows its own.
    pub claim_id: String,
    /// Where the agent takes calls of routers and other agents.
    pub address: SocketAddr,
    /// Where the upstream stands.
    pub failure_domain: FailureDomain,
    /// Upstreams of one pool serve the same models and services.
    pub pool: String,
    /// Accelerator memory of the upstream; 0 for a plain service.
    pub memory_bytes: u64,
    /// Whether the upstream hands over its slots and takes nothing new.
    #[serde(default)]
    pub leaving: bool,
}

/// A base model and its adapters.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelObject {
    /// The pool of upstreams that may hold it.
    pub pool: String,
    /// The version that is to be served.
    pub version: String,
    /// Size of the checkpoint.
    pub checkpoint_bytes: u64,
    /// Room for KV cache that a replica needs beside its checkpoint.
    pub kv_cache_bytes: u64,
    /// Names of its adapters.
    #[serde(default)]
    pub adapters: Vec<String>,
}

impl ModelObject {
    /// Accelerator memory that one replica takes.
    pub fn replica_bytes(&self) -> u64 {
        self.checkpoint_bytes + self.kv_cache_bytes
    }
}

/// A plain service that the system routes to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceObject {
    /// The pool of upstreams that run it.
    pub pool: String,
    /// Methods whose calls may be repeated; any other needs an idempotency key.
    pub idempotent_methods: Vec<String>,
}

/// Which instances hold a standing right to a replica of a model; see `docs/PLACEMENT.md`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlacementObject {
    /// Rises with every change.
    pub generation: u64,
    /// Which write this was, so that a writer whose answer was lost knows its own.
    pub write_id: String,
    /// The slots; their number is the number of replicas decided.
    pub slots: Vec<SlotObject>,
}

/// A standing right to hold one replica.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotObject {
    /// The upstream that holds it.
    pub upstream: UpstreamId,
    /// The life of the upstream's instance; a later life holds nothing.
    pub instance: InstanceId,
    /// The generation of the placement at which the slot came to this holder.
    pub slot_generation: u64,
}
