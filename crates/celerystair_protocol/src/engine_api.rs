//! The orders and reports of the model engine that `celerystair_agent` drives over HTTP and
//! that `celerystair_standin` plays. Completions use the engines' usual API.
//!
//! | call | body | answer |
//! |---|---|---|
//! | `GET /state` | | [`EngineState`] |
//! | `POST /orders/load` | [`LoadOrder`] | once the model is loaded |
//! | `POST /orders/load_adapter` | [`AdapterOrder`] | once the adapter is loaded |
//! | `POST /orders/unload` | [`UnloadOrder`] | once the memory is free |
//! | `POST /orders/prefetch` | [`LoadOrder`] | once the checkpoint is in host memory |

use celerystair_core::prelude::*;
use serde::{Deserialize, Serialize};

/// An engine refused an order that bears an old fencing number.
pub const STATUS_FENCED: u16 = 409;
/// An engine has no accelerator memory for the order.
pub const STATUS_NO_MEMORY: u16 = 507;
/// The order reached the engine after its deadline.
pub const STATUS_ORDER_EXPIRED: u16 = 408;

/// What an engine reports; it lags behind its work.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EngineState {
    /// When the report was made; it says nothing of what came later.
    #[serde(default)]
    pub reported_unix_ms: u64,
    /// Accelerator memory.
    pub memory_bytes: u64,
    /// Accelerator memory that replicas hold, loading ones included.
    pub used_bytes: u64,
    /// The highest fencing number seen.
    pub fence: u64,
    /// Rises whenever the engine has lost all that it held.
    pub boot: u64,
    /// Replicas, loading and loaded.
    pub replicas: Vec<EngineReplica>,
    /// Models whose checkpoint is in host memory.
    pub in_memory: Vec<ModelName>,
    /// Models whose checkpoint is on local disk.
    pub on_disk: Vec<ModelName>,
    /// Requests that run.
    pub running: u32,
    /// Orders that would have overcommitted the accelerator, had they been carried out.
    pub overcommit_faults: u64,
}

/// A replica as the engine reports it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EngineReplica {
    /// The model.
    pub model: ModelName,
    /// Its version.
    pub version: String,
    /// Accelerator memory that it takes.
    pub memory_bytes: u64,
    /// Whether it is ready.
    pub loaded: bool,
    /// Adapters that are loaded.
    pub adapters: Vec<String>,
}

/// Orders an engine to load a model.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LoadOrder {
    /// The model.
    pub model: ModelName,
    /// Its version.
    pub version: String,
    /// Size of the checkpoint.
    pub checkpoint_bytes: u64,
    /// Accelerator memory that the replica takes, KV cache included.
    pub memory_bytes: u64,
    /// The fencing number of the claim.
    pub fence: u64,
    /// The engine must not begin after this.
    pub deadline_unix_ms: u64,
}

/// Orders an engine to load an adapter of a loaded model.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct AdapterOrder {
    /// The base model.
    pub model: ModelName,
    /// The adapter.
    pub adapter: String,
    /// The fencing number of the claim.
    pub fence: u64,
    /// The engine must not begin after this.
    pub deadline_unix_ms: u64,
}

/// Orders an engine to unload a model. One that it does not hold, such as the empty name by which an
/// agent shows a new claim, is as good as unloaded: the engine only notes the fencing number.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct UnloadOrder {
    /// The model.
    pub model: ModelName,
    /// The fencing number of the claim.
    pub fence: u64,
    /// The engine must not begin after this.
    pub deadline_unix_ms: u64,
}
