//! Where a process reads the configuration and the upstreams of the fleet, on a platform whose
//! objects are not the project's own.

use celerystair_policy::prelude::*;

use crate::{
    dialect::StoreDialect,
    error::StoreError,
    store::{Object, Store, StoreSettings},
};

/// How the store is reached, and how what others keep there is read; an adapter makes it.
#[derive(Clone, Debug)]
pub struct FleetSource {
    /// How the store is reached.
    pub store: StoreSettings,
    /// How its calls are written.
    pub dialect: StoreDialect,
    /// Keys of upstreams start with this.
    pub upstream_key_prefix: &'static str,
    /// Reads an upstream's entry; `None` if it names no upstream that can be used.
    pub read_upstream: fn(&Object) -> Result<Option<UpstreamEntry>, StoreError>,
    /// The key of the configuration starts with this.
    pub config_key_prefix: &'static str,
    /// And ends with this.
    pub config_name: &'static str,
    /// Reads the configuration.
    pub read_config: fn(&Object) -> Result<ServingConfig, StoreError>,
}

impl FleetSource {
    /// A client of the store; nothing is called yet.
    ///
    /// # Errors
    /// [`StoreError::Failed`] if the client can't be made.
    pub fn open(&self) -> Result<Store, StoreError> {
        Store::with_dialect(self.store.clone(), self.dialect)
    }
}
