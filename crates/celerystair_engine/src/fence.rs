//! The fencing number of the agent's orders: raised in the store by each life of the agent, so
//! that an order of an earlier life that arrives late is declined.

use celerystair_platform::prelude::*;
use celerystair_telemetry::prelude::*;
use serde::{Deserialize, Serialize};

use crate::settings::EngineAgentSettings;

#[derive(Debug, Deserialize, Serialize)]
struct FenceObject {
    fence: u64,
}

/// Raises the number until the store has taken it; returns it. A write whose answer was lost only
/// costs a number.
pub async fn claim_fence(settings: &EngineAgentSettings, store: &Store, log: &Logger) -> u64 {
    let mut backoff = Backoff::default();
    loop {
        match raise(settings, store).await {
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

async fn raise(settings: &EngineAgentSettings, store: &Store) -> Result<u64, StoreError> {
    let key = format!("{}{}", settings.fence_key_prefix, settings.agent_name);
    let found = store.get_at(&key, CallPriority::Urgent).await?;
    let (fence, expected) = match found {
        Some(object) => {
            let known: FenceObject = object.read()?;
            (known.fence + 1, Expected::Version(object.version))
        }
        None => (1, Expected::Absent),
    };
    let value = FenceObject { fence };
    store
        .put(&key, &value, expected, CallPriority::Urgent)
        .await?;
    Ok(fence)
}
