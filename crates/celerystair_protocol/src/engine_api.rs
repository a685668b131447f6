//! The HTTP API by which `celerystair_agent` controls a model engine; `celerystair_standin`
//! implements it for tests. Completions use the engine's usual API.
//!
//! | request | request body | response |
//! |---|---|---|
//! | `GET /state` | | [`EngineState`] |
//! | `POST /orders/load` | [`LoadOrder`] | sent once the model is loaded |
//! | `POST /orders/load_adapter` | [`AdapterOrder`] | sent once the adapter is loaded |
//! | `POST /orders/unload` | [`UnloadOrder`] | sent once the memory is free |
//! | `POST /orders/prefetch` | [`LoadOrder`] | sent once the checkpoint is in host memory |

use celerystair_core::prelude::*;
use serde::{Deserialize, Serialize};

/// HTTP status: the engine has seen a higher fencing token than that of the order.
pub const STATUS_FENCED: u16 = 409;
/// HTTP status: the engine has too little free accelerator memory for the order.
pub const STATUS_NO_MEMORY: u16 = 507;
/// HTTP status: the order reached the engine after its deadline.
pub const STATUS_ORDER_EXPIRED: u16 = 408;

/// The state of an engine as it reports it, which may lag behind its actual state.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EngineState {
    /// When the engine took this snapshot; later changes are not in it.
    #[serde(default)]
    pub reported_unix_ms: u64,
    /// Total accelerator memory.
    pub memory_bytes: u64,
    /// Accelerator memory of all replicas, including loading ones.
    pub used_bytes: u64,
    /// The highest fencing token that the engine has seen.
    pub fence: u64,
    /// The engine's incarnation: increases whenever it restarts and loses its replicas.
    pub boot: u64,
    /// Replicas that are loading or loaded.
    pub replicas: Vec<EngineReplica>,
    /// Models whose checkpoint is in host memory.
    pub in_memory: Vec<ModelName>,
    /// Models whose checkpoint is on local disk.
    pub on_disk: Vec<ModelName>,
    /// Requests that are running.
    pub running: u32,
    /// Number of orders refused because they would have overcommitted the accelerator's memory.
    pub overcommit_faults: u64,
}

/// A replica as the engine reports it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EngineReplica {
    /// The model.
    pub model: ModelName,
    /// The model's version.
    pub version: String,
    /// Accelerator memory of the replica.
    pub memory_bytes: u64,
    /// Whether the replica can run requests; false while it is loading.
    pub loaded: bool,
    /// Loaded adapters of the model.
    pub adapters: Vec<String>,
}

/// Orders an engine to load a model.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LoadOrder {
    /// The model.
    pub model: ModelName,
    /// The model's version.
    pub version: String,
    /// Size of the checkpoint.
    pub checkpoint_bytes: u64,
    /// Accelerator memory of the replica, including its KV cache.
    pub memory_bytes: u64,
    /// The fencing token of the agent's claim on the engine.
    pub fence: u64,
    /// The time after which the engine must not begin to execute the order.
    pub deadline_unix_ms: u64,
}

/// Orders an engine to load an adapter of a loaded model.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct AdapterOrder {
    /// The base model.
    pub model: ModelName,
    /// The adapter.
    pub adapter: String,
    /// The fencing token of the agent's claim on the engine.
    pub fence: u64,
    /// The time after which the engine must not begin to execute the order.
    pub deadline_unix_ms: u64,
}

/// Orders an engine to unload a model. If the engine does not hold the model, it only records the
/// fencing token and succeeds. An agent uses this, with an empty name, to announce a new claim.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct UnloadOrder {
    /// The model.
    pub model: ModelName,
    /// The fencing token of the agent's claim on the engine.
    pub fence: u64,
    /// The time after which the engine must not begin to execute the order.
    pub deadline_unix_ms: u64,
}
