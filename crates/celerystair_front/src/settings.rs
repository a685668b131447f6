//! What a router needs to start.

use std::net::SocketAddr;

use celerystair_core::prelude::*;
use celerystair_platform::prelude::{Object, StoreDialect, StoreError, StoreSettings};
use celerystair_policy::{budget::RetryBound, prelude::*};

use crate::dialect::CallerDialect;

/// What a router needs to start; an adapter makes it from the platform's settings file.
#[derive(Clone, Debug)]
pub struct FrontSettings {
    /// The router's name, unique in the fleet.
    pub router: String,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// Where callers connect.
    pub callers_listen: SocketAddr,
    /// Where the platform asks whether it takes requests.
    pub ready_listen: SocketAddr,
    /// Where it sends and receives news; agents use the same port.
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
    /// How callers' headers are read.
    pub callers: CallerDialect,
    /// The fleet's bound on retries.
    pub retry_bound: RetryBound,
    /// After a request to stop, the process is killed when this is over.
    pub stop_grace_ms: u64,
}
