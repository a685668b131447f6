//! Orders to a model engine, over HTTP. Another engine's protocol is another such module.

use celerystair_core::{prelude::*, time::before_deadline};
use celerystair_protocol::engine_api::{
    AdapterOrder, EngineState, LoadOrder, STATUS_FENCED, STATUS_NO_MEMORY, STATUS_ORDER_EXPIRED,
    UnloadOrder,
};
use serde::Serialize;
use thiserror::Error;

/// How long the engine may take to report its state.
const STATE_TIMEOUT_MS: u64 = 2000;

/// Why an order was not carried out.
#[derive(Clone, Debug, Error)]
pub enum OrderError {
    /// The engine knows a newer claim.
    #[error("the engine has taken orders from a newer claim")]
    Fenced,
    /// The agent's claim does not stand; the order did not leave.
    #[error("the agent's claim does not stand")]
    NoClaim,
    /// The engine has no memory for it.
    #[error("the engine has no memory for the order")]
    NoMemory,
    /// The order came after its deadline.
    #[error("the order came after its deadline")]
    Expired,
    /// The engine refused it, and did nothing.
    #[error("the engine refused the order with status {status}")]
    Refused {
        /// The engine's status.
        status: u16,
    },
    /// The engine may have carried it out, or may still.
    #[error("the outcome of the order is not known: {detail}")]
    Unknown {
        /// What happened to the call.
        detail: String,
    },
}

/// A model engine as its agent sees it.
#[derive(Clone)]
pub struct EngineClient {
    client: cyper::Client,
    url: String,
}

impl EngineClient {
    /// An engine that listens at `url`.
    pub fn new(client: &cyper::Client, url: &str) -> Self {
        Self {
            client: client.clone(),
            url: url.to_owned(),
        }
    }

    /// What the engine reports.
    pub async fn state(&self) -> Result<EngineState, OrderError> {
        let work = async {
            let response = self
                .client
                .get(format!("{}/state", self.url))?
                .send()
                .await?;
            response.json::<EngineState>().await
        };
        match before_deadline(now_unix_ms() + STATE_TIMEOUT_MS, work).await {
            Some(Ok(state)) => Ok(state),
            Some(Err(error)) => Err(OrderError::Unknown {
                detail: error.to_string(),
            }),
            None => Err(OrderError::Unknown {
                detail: "no report in time".to_owned(),
            }),
        }
    }

    /// Orders a load; returns once the replica is ready.
    pub async fn load(&self, order: &LoadOrder) -> Result<(), OrderError> {
        self.post_order("load", order).await
    }

    /// Orders an adapter to be loaded; returns once it is ready.
    pub async fn load_adapter(&self, order: &AdapterOrder) -> Result<(), OrderError> {
        self.post_order("load_adapter", order).await
    }

    /// Orders an unload; returns once the memory is free.
    pub async fn unload(&self, order: &UnloadOrder) -> Result<(), OrderError> {
        self.post_order("unload", order).await
    }

    /// Shows the engine the fencing number of a new claim, by an order to unload what it can't
    /// hold: from then on it refuses or reports older claimants.
    ///
    /// # Errors
    /// [`OrderError`]; the engine may not know of the claim yet.
    pub async fn announce_claim(
        &self,
        fence: u64,
        deadline_unix_ms: u64,
    ) -> Result<(), OrderError> {
        let order = UnloadOrder {
            model: ModelName::from(""),
            fence,
            deadline_unix_ms,
        };
        self.unload(&order).await
    }

    /// Orders a checkpoint into host memory; it takes no accelerator memory.
    pub async fn prefetch(&self, order: &LoadOrder) -> Result<(), OrderError> {
        self.post_order("prefetch", order).await
    }

    async fn post_order(&self, name: &str, order: &impl Serialize) -> Result<(), OrderError> {
        let unknown = |error: cyper::Error| OrderError::Unknown {
            detail: error.to_string(),
        };
        let body = serde_json::to_vec(order).map_err(|error| OrderError::Unknown {
            detail: error.to_string(),
        })?;
        let url = format!("{}/orders/{name}", self.url);
        let request = self.client.post(url).map_err(unknown)?.body(body);
        let response = request.send().await.map_err(unknown)?;
        let status = response.status().as_u16();
        response.bytes().await.map_err(unknown)?;
        match status {
            200 => Ok(()),
            STATUS_FENCED => Err(OrderError::Fenced),
            STATUS_NO_MEMORY => Err(OrderError::NoMemory),
            STATUS_ORDER_EXPIRED => Err(OrderError::Expired),
            400..=499 => Err(OrderError::Refused { status }),
            _ => Err(OrderError::Unknown {
                detail: format!("status {status}"),
            }),
        }
    }
}
