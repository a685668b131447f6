//! The settings of a router.

use std::net::SocketAddr;

use celerystair_core::prelude::*;
use celerystair_platform::prelude::FleetSource;
use celerystair_policy::budget::RetryBound;

use crate::dialect::{EngineReports, HeaderCodec};

/// The settings of a router, which an adapter reads from the platform's settings file.
#[derive(Clone, Debug)]
pub struct PlatformRouterSettings {
    /// The router's name, unique in the fleet.
    pub router: String,
    /// The failure domain of the router's instance.
    pub failure_domain: FailureDomain,
    /// The address that callers connect to.
    pub callers_listen: SocketAddr,
    /// The address of the readiness endpoint.
    pub ready_listen: SocketAddr,
    /// The address of the metrics endpoint.
    pub metrics_listen: SocketAddr,
    /// The address that gossip is sent from and received at; agents use the same port.
    pub gossip_listen: SocketAddr,
    /// Where the fleet's configuration and upstreams are read from.
    pub source: FleetSource,
    /// Reads and writes the platform's headers.
    pub header_codec: HeaderCodec,
    /// Where engines tell of themselves.
    pub engine_reports: EngineReports,
    /// The bound on retries across the fleet.
    pub retry_bound: RetryBound,
    /// The memory that the process may use.
    pub memory_bytes: u64,
    /// Time after which the platform kills the process, counted from the stop signal.
    pub stop_grace_ms: u64,
}
