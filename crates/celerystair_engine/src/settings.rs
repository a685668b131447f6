//! What an agent needs to start.

use std::net::SocketAddr;

use celerystair_core::prelude::*;
use celerystair_platform::prelude::FleetSource;

use crate::dialect::EngineDialect;

/// What an agent needs to start; an adapter makes it from the platform's settings file.
#[derive(Clone, Debug)]
pub struct EngineAgentSettings {
    /// The agent's name, unique in the fleet.
    pub agent_name: String,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// Where its engine takes requests and orders.
    pub engine_address: SocketAddr,
    /// The service that the engine belongs to.
    pub service: ServiceName,
    /// Where its metrics are served.
    pub metrics_listen: SocketAddr,
    /// Where it sends and receives news; routers and other agents use the same port.
    pub gossip_listen: SocketAddr,
    /// Where the fleet's configuration and upstreams are read.
    pub source: FleetSource,
    /// Keys of fencing numbers start with this.
    pub fence_key_prefix: &'static str,
    /// How the engine is asked and ordered.
    pub engine_dialect: EngineDialect,
}
