//! HTTP client for orders to a model engine. Support for another engine's protocol needs a module
//! like this one.

use bytes::Bytes;
use celerystair_core::{prelude::*, time::before_deadline};
use celerystair_net::prelude::*;
use celerystair_protocol::engine_api::{
    AdapterOrder, EngineState, LoadOrder, STATUS_FENCED, STATUS_NO_MEMORY, STATUS_ORDER_EXPIRED,
    UnloadOrder,
};
use http::{Request, StatusCode};
use serde::Serialize;
use thiserror::Error;

/// Timeout of a request for the engine's state.
const STATE_TIMEOUT_MS: u64 = 2000;
/// The longest body that is read, far above the state of an engine with hundreds of models.
const RESPONSE_MAX_BYTES: usize = 1024 * 1024;

/// Why an order was not carried out.
#[derive(Clone, Debug, Error)]
pub enum OrderError {
    /// The engine has seen a newer claim and refused the order.
    #[error("the engine has taken orders from a newer claim")]
    Fenced,
    /// The agent's claim is not active; the order was not sent.
    #[error("the agent has no active claim on its upstream")]
    NoClaim,
    /// The engine has too little free memory.
    #[error("the engine has too little free memory for the order")]
    NoMemory,
    /// The order reached the engine after its deadline.
    #[error("the order reached the engine after its deadline")]
    Expired,
    /// The engine refused the order and did nothing.
    #[error("the engine refused the order with status {status}")]
    Refused {
        /// HTTP status of the reply.
        status: u16,
    },
    /// The engine may have carried out the order, or may yet do so.
    #[error("the outcome of the order is unknown: {detail}")]
    Unknown {
        /// The error of the call.
        detail: String,
    },
}

/// A client for one model engine.
#[derive(Clone)]
pub struct EngineClient {
    client: HttpClient,
    url: String,
}

impl EngineClient {
    /// Creates a client for the engine at `url`.
    pub fn new(client: &HttpClient, url: &str) -> Self {
        Self {
            client: client.clone(),
            url: url.to_owned(),
        }
    }

    /// Returns the state that the engine reports.
    pub async fn state(&self) -> Result<EngineState, OrderError> {
        let request = Request::get(format!("{}/state", self.url)).body(Bytes::new());
        let request = request.map_err(|error| unknown(&error))?;
        let fetching = self.client.fetch(request, RESPONSE_MAX_BYTES);
        match before_deadline(now_unix_ms() + STATE_TIMEOUT_MS, fetching).await {
            Some(Ok(response)) if response.status() == StatusCode::OK => {
                serde_json::from_slice(response.body()).map_err(|error| unknown(&error))
            }
            Some(Ok(response)) => Err(OrderError::Unknown {
                detail: format!("status {}", response.status().as_u16()),
            }),
            Some(Err(error)) => Err(unknown(&error)),
            None => Err(OrderError::Unknown {
                detail: format!("the engine did not report its state within {STATE_TIMEOUT_MS} ms"),
            }),
        }
    }

    /// Orders the engine to load a replica; returns once it is ready.
    pub async fn load(&self, order: &LoadOrder) -> Result<(), OrderError> {
        self.post_order("load", order).await
    }

    /// Orders the engine to load an adapter; returns once it is ready.
    pub async fn load_adapter(&self, order: &AdapterOrder) -> Result<(), OrderError> {
        self.post_order("load_adapter", order).await
    }

    /// Orders the engine to unload a replica; returns once its memory is free.
    pub async fn unload(&self, order: &UnloadOrder) -> Result<(), OrderError> {
        self.post_order("unload", order).await
    }

    /// Presents the fencing token of a new claim to the engine, by an order to unload a model
    /// with an empty name. From then on the engine refuses or reports older claimants.
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

    /// Orders the engine to fetch a checkpoint into host memory; this takes no accelerator memory.
    pub async fn prefetch(&self, order: &LoadOrder) -> Result<(), OrderError> {
        self.post_order("prefetch", order).await
    }

    async fn post_order(&self, name: &str, order: &impl Serialize) -> Result<(), OrderError> {
        let body = serde_json::to_vec(order).map_err(|error| unknown(&error))?;
        let url = format!("{}/orders/{name}", self.url);
        let request = Request::post(url).body(body.into());
        let request = request.map_err(|error| unknown(&error))?;
        let fetching = self.client.fetch(request, RESPONSE_MAX_BYTES);
        let response = fetching.await.map_err(|error| unknown(&error))?;
        match response.status().as_u16() {
            200 => Ok(()),
            STATUS_FENCED => Err(OrderError::Fenced),
            STATUS_NO_MEMORY => Err(OrderError::NoMemory),
            STATUS_ORDER_EXPIRED => Err(OrderError::Expired),
            status @ 400..=499 => Err(OrderError::Refused { status }),
            status => Err(OrderError::Unknown {
                detail: format!("status {status}"),
            }),
        }
    }
}

fn unknown(error: &impl ToString) -> OrderError {
    OrderError::Unknown {
        detail: error.to_string(),
    }
}
