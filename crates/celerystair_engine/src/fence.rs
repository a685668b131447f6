//! The fencing token of the agent's orders. Each incarnation of the agent increments it in the
//! store, so that the engine declines a delayed order of an earlier incarnation.

use celerystair_platform::prelude::*;
use celerystair_policy::prelude::*;
use celerystair_telemetry::prelude::*;
use serde::{Deserialize, Serialize};

use crate::settings::EngineAgentSettings;

/// The stored form of a fencing token.
#[derive(Debug, Deserialize, Serialize)]
struct FenceObject {
    fence: u64,
}

/// A token, and the era of the store in which it was claimed.
#[derive(Clone, Copy, Debug)]
pub struct ClaimedFence {
    /// The token.
    pub fence: u64,
    /// The era.
    pub era: u64,
}

/// Increments the token in the store and returns it, retrying until a write succeeds. A write whose
/// response is lost merely skips a token.
pub async fn claim_fence(
    settings: &EngineAgentSettings,
    store: &Store,
    held: Option<u64>,
    log: &Logger,
) -> ClaimedFence {
    let mut backoff = Backoff::default();
    loop {
        match try_claim_fence(settings, store, held, log).await {
            Some(claimed) => return claimed,
            None => backoff.wait().await,
        }
    }
}

/// Increments the token in the store once, above the one that the agent holds; `None` if it can't.
pub async fn try_claim_fence(
    settings: &EngineAgentSettings,
    store: &Store,
    held: Option<u64>,
    log: &Logger,
) -> Option<ClaimedFence> {
    match increment_fence(settings, store, held).await {
        Ok(claimed) => {
            info!(log, "fence_claimed"; "fence" => claimed.fence, "store_era" => claimed.era);
            Some(claimed)
        }
        Err(error) => {
            info!(log, "fence_not_claimed"; "error" => %error);
            None
        }
    }
}

async fn increment_fence(
    settings: &EngineAgentSettings,
    store: &Store,
    held: Option<u64>,
) -> Result<ClaimedFence, StoreError> {
    let key = format!("{}{}", settings.fence_key_prefix, settings.agent_name);
    let found = store.get_with_priority(&key, CallPriority::Urgent).await?;
    let era = store.era();
    let (stored, expected) = match found {
        Some(object) => {
            let current: FenceObject = object.read()?;
            (Some(current.fence), Expected::Version(object.version))
        }
        None => (None, Expected::Absent),
    };
    let fence = next_fence(stored, held, era).ok_or_else(|| StoreError::BadObject {
        key: key.clone(),
        detail: "the fencing token has no next one".to_owned(),
    })?;
    let value = FenceObject { fence };
    store
        .put(&key, &value, expected, CallPriority::Urgent)
        .await?;
    // The version that was read may belong to another write in a new era.
    if store.era() != era {
        return Err(StoreError::OutcomeUnknown {
            detail: "a new era of the store began meanwhile".to_owned(),
        });
    }
    Ok(ClaimedFence { fence, era })
}
