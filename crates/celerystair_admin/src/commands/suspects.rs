//! Clearing of suspects: requests that are suspected of crashing upstreams.

use celerystair_platform::prelude::*;
use celerystair_telemetry::prelude::*;
use serde::Serialize;

use crate::{
    api::AdminState, auth::Operator, error::AdminError, queries::suspects::SUSPECT_PREFIX,
};

/// A suspect that was cleared.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ClearReply {
    /// The fingerprint of the suspect request.
    pub cleared: String,
}

/// Deletes the suspect, so that requests with this fingerprint are served again.
pub async fn clear_suspect(
    admin: &AdminState,
    operator: &Operator,
    fingerprint: &str,
) -> Result<ClearReply, AdminError> {
    let key = format!("{SUSPECT_PREFIX}{fingerprint}");
    let store = &admin.node.store;
    let Some(object) = store.get(&key).await? else {
        return Err(AdminError::NotFound { what: key });
    };
    match store.delete(&key, object.version).await {
        // The delete's answer was lost; it succeeded if the object is gone.
        Err(error @ StoreError::OutcomeUnknown { .. }) if store.get(&key).await?.is_some() => {
            return Err(error.into());
        }
        Err(error @ (StoreError::Conflict { .. } | StoreError::Failed { .. })) => {
            return Err(error.into());
        }
        _ => {}
    }
    info!(admin.node.log, "suspect cleared"; "author" => &operator.name, "suspect" => fingerprint);
    Ok(ClearReply {
        cleared: fingerprint.to_owned(),
    })
}
