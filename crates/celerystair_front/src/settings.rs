//! What a router needs to start.

use std::net::SocketAddr;

use celerystair_core::prelude::*;
use celerystair_platform::prelude::FleetSource;
use celerystair_policy::budget::RetryBound;

use crate::dialect::HeaderCodec;

/// What a router needs to start; an adapter makes it from the platform's settings file.
#[derive(Clone, Debug)]
pub struct PlatformRouterSettings {
    /// The router's name, unique in the fleet.
    pub router: String,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// Where callers connect.
    pub callers_listen: SocketAddr,
    /// Where the platform asks whether it takes requests.
    pub ready_listen: SocketAddr,
    /// Where its metrics are served.
    pub metrics_listen: SocketAddr,
    /// Where it sends and receives news; agents use the same port.
    pub gossip_listen: SocketAddr,
    /// Where the fleet's configuration and upstreams are read.
    pub source: FleetSource,
    /// How callers' headers are read.
    pub header_codec: HeaderCodec,
    /// The fleet's bound on retries.
    pub retry_bound: RetryBound,
    /// After a request to stop, the process is killed when this is over.
    pub stop_grace_ms: u64,
}
