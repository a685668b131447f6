//! The fencing token of the agent's orders. Each incarnation of the agent increments it in the
//! store, so that the engine declines a delayed order of an earlier incarnation.

use celerystair_platform::prelude::*;
use celerystair_telemetry::prelude::*;
use serde::{Deserialize, Serialize};

use crate::settings::EngineAgentSettings;

/// The stored form of a fencing token.
#[derive(Debug, Deserialize, Serialize)]
struct FenceObject {
    fence: u64,
}

/// Increments the token in the store and returns it, retrying until a write succeeds. A write whose
/// response is lost merely skips a token.
pub async fn claim_fence(settings: &EngineAgentSettings, store: &Store, log: &Logger) -> u64 {
    let mut backoff = Backoff::default();
    loop {
        match increment_fence(settings, store).await {
            Ok(fence) => {
                info!(log, "fence_claimed"; "fence" => fence);
                return fence;
            }
            Err(error) => {
                info!(log, "fence_not_claimed"; "error" => %error);
                backoff.wait().await;
            }
        }
    }
}

async fn increment_fence(settings: &EngineAgentSettings, store: &Store) -> Result<u64, StoreError> {
    let key = format!("{}{}", settings.fence_key_prefix, settings.agent_name);
    let found = store.get_with_priority(&key, CallPriority::Urgent).await?;
    let (fence, expected) = match found {
        Some(object) => {
            let current: FenceObject = object.read()?;
            let next = current.fence.checked_add(1);
            let next = next.ok_or_else(|| StoreError::BadObject {
                key: key.clone(),
                detail: "the fencing token has no next one".to_owned(),
            })?;
            (next, Expected::Version(object.version))
        }
        None => (1, Expected::Absent),
    };
    let value = FenceObject { fence };
    store
        .put(&key, &value, expected, CallPriority::Urgent)
        .await?;
    Ok(fence)
}
