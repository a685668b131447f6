//! Clearing a request of the suspicion that it crashes upstreams.

use celerystair_platform::prelude::*;
use celerystair_telemetry::prelude::*;
use serde::Serialize;

use crate::{api::Admin, auth::Caller, error::AdminError, queries::suspects::SUSPECTS};

/// A suspect that is none any more.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ClearReply {
    /// The fingerprint of the request.
    pub cleared: String,
}

/// Deletes the suspect; requests of this fingerprint are served again.
pub async fn clear(
    admin: &Admin,
    caller: &Caller,
    fingerprint: &str,
) -> Result<ClearReply, AdminError> {
    let key = format!("{SUSPECTS}{fingerprint}");
    let store = &admin.node.store;
    let Some(object) = store.get(&key).await? else {
        return Err(AdminError::NotFound { what: key });
    };
    match store.delete(&key, object.version).await {
        // The answer may be lost; what the store says now settles it.
        Err(error @ StoreError::OutcomeUnknown { .. }) if store.get(&key).await?.is_some() => {
            return Err(error.into());
        }
        Err(error @ (StoreError::Conflict { .. } | StoreError::Failed { .. })) => {
            return Err(error.into());
        }
        _ => {}
    }
    info!(admin.node.log, "suspect cleared"; "author" => &caller.name, "suspect" => fingerprint);
    Ok(ClearReply {
        cleared: fingerprint.to_owned(),
    })
}
