//! Where a process reads the configuration and the upstreams of the fleet on a platform that keeps
//! them in its own kinds of objects.

use celerystair_policy::prelude::*;

use crate::{
    dialect::StoreDialect,
    error::StoreError,
    store::{Object, Store, StoreSettings},
};

/// Access to a platform's store and decoders for the objects that the platform keeps there; an
/// adapter provides it.
#[derive(Clone, Debug)]
pub struct FleetSource {
    /// Address and limits of the store's client.
    pub store: StoreSettings,
    /// How the store's calls are encoded and decoded.
    pub dialect: StoreDialect,
    /// Prefix of the keys of upstreams.
    pub upstream_key_prefix: &'static str,
    /// An entry is removed after its upstream has been silent for this long.
    pub entry_life_ms: u64,
    /// Decodes an upstream's entry; fails if the entry describes no usable upstream.
    pub read_upstream: fn(&Object) -> Result<UpstreamEntry, StoreError>,
    /// Prefix of the configuration's key.
    pub config_key_prefix: &'static str,
    /// The rest of the configuration's key after the prefix.
    pub config_name: &'static str,
    /// Decodes the configuration.
    pub read_config: fn(&Object) -> Result<ServingConfig, StoreError>,
}

impl FleetSource {
    /// Creates a client of the store, without sending a call.
    ///
    /// # Errors
    /// [`StoreError::Failed`] if the store's URL is no HTTP URL.
    pub fn open(&self) -> Result<Store, StoreError> {
        Store::with_dialect(self.store.clone(), self.dialect)
    }

    /// Returns the key of the configuration.
    pub(crate) fn config_key(&self) -> String {
        format!("{}{}", self.config_key_prefix, self.config_name)
    }
}
