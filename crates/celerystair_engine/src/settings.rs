//! What an agent needs to start.

use std::net::SocketAddr;

use celerystair_core::prelude::*;
use celerystair_platform::prelude::{Object, StoreDialect, StoreError, StoreSettings};
use celerystair_policy::prelude::*;

use crate::dialect::EngineDialect;

/// What an agent needs to start; an adapter makes it from the platform's settings file.
#[derive(Clone, Debug)]
pub struct EngineAgentSettings {
    /// The agent's name, unique in the fleet.
    pub agent: String,
    /// Where its engine takes requests and orders.
    pub engine: SocketAddr,
    /// The service that the engine belongs to.
    pub service: ServiceName,
    /// Where it sends and receives news; routers and other agents use the same port.
    pub news_listen: SocketAddr,
    /// How the store is reached.
    pub store: StoreSettings,
    /// How the store's calls are written.
    pub store_dialect: StoreDialect,
    /// Keys of upstreams start with this.
    pub upstreams_prefix: &'static str,
    /// Reads an upstream's entry; `None` if it names no upstream that can be used.
    pub read_upstream: fn(&Object) -> Result<Option<UpstreamEntry>, StoreError>,
    /// The key of the configuration starts with this.
    pub config_prefix: &'static str,
    /// And ends with this.
    pub config_name: &'static str,
    /// Reads the configuration.
    pub read_config: fn(&Object) -> Result<ServingConfig, StoreError>,
    /// Keys of fencing numbers start with this.
    pub fences_prefix: &'static str,
    /// How the engine is asked and ordered.
    pub engine_dialect: EngineDialect,
}
