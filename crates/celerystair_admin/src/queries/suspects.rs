//! Suspects: requests that are suspected of crashing upstreams.

use celerystair_platform::prelude::Object;

use crate::{api::AdminState, error::AdminError};

/// Prefix of the keys of suspects in the store.
pub const SUSPECT_PREFIX: &str = "suspects/";

/// Reads every suspect from the store.
pub async fn list_suspects(admin: &AdminState) -> Result<Vec<Object>, AdminError> {
    Ok(admin.node.store.list(SUSPECT_PREFIX).await?.objects)
}
