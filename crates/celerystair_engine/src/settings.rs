//! The settings of an agent.

use std::net::SocketAddr;

use celerystair_core::prelude::*;
use celerystair_platform::prelude::FleetSource;

use crate::dialect::EngineDialect;

/// The settings of an agent, which a platform's adapter reads from its settings file.
#[derive(Clone, Debug)]
pub struct EngineAgentSettings {
    /// The agent's name, unique in the fleet. The fencing token is stored under it.
    pub agent_name: String,
    /// The failure domain of the agent and its engine.
    pub failure_domain: FailureDomain,
    /// The address at which the engine accepts requests and orders.
    pub engine_address: SocketAddr,
    /// The service that the engine belongs to.
    pub service: ServiceName,
    /// The address at which the agent serves its metrics.
    pub metrics_listen: SocketAddr,
    /// The address for gossip; routers and other agents use the same port.
    pub gossip_listen: SocketAddr,
    /// The store from which the agent reads the fleet's configuration and upstreams.
    pub source: FleetSource,
    /// The prefix of the store keys of fencing tokens.
    pub fence_key_prefix: &'static str,
    /// The HTTP interface of the engine.
    pub engine_dialect: EngineDialect,
}
