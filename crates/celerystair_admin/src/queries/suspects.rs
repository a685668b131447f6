//! Requests under suspicion of crashing upstreams.

use celerystair_platform::prelude::Object;

use crate::{api::Admin, error::AdminError};

/// Keys of suspects start with this.
pub const SUSPECTS: &str = "suspects/";

/// Every suspect, as the store has it.
pub async fn suspects(admin: &Admin) -> Result<Vec<Object>, AdminError> {
    Ok(admin.node.store.list(SUSPECTS).await?.objects)
}
