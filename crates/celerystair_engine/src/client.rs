//! Calls to the engine.

use celerystair_core::{prelude::*, time::before_deadline};
use celerystair_policy::prelude::*;
use thiserror::Error;

use crate::{
    dialect::{EngineOrder, OrderResponse},
    settings::EngineAgentSettings,
};

/// The engine is on the agent's own instance; one that takes longer stands still.
const REPORT_TIMEOUT_MS: u64 = 500;
/// An order that is not answered by then may still be carried out.
const ORDER_TIMEOUT_MS: u64 = 1000;

/// Why a call to the engine came to nothing.
#[derive(Debug, Error)]
pub enum EngineError {
    /// The connection failed.
    #[error("the engine can't be reached: {0}")]
    Unreachable(#[from] cyper::Error),
    /// No answer came in time.
    #[error("the engine did not answer in time")]
    Silent,
    /// The answer can't be read.
    #[error("the engine's answer can't be read: {0}")]
    Unreadable(#[from] serde_json::Error),
    /// The engine answered with a failure.
    #[error("the engine answered with status {0}")]
    Failed(u16),
}

/// A client of the agent's engine.
pub struct EngineClient {
    client: cyper::Client,
}

impl EngineClient {
    /// A client; nothing is called yet.
    pub fn new() -> Result<Self, EngineError> {
        Ok(Self {
            client: cyper::Client::new()?,
        })
    }

    /// Asks for the engine's state.
    pub async fn report(&self, settings: &EngineAgentSettings) -> Result<EngineState, EngineError> {
        let dialect = &settings.engine_dialect;
        let url = format!("http://{}{}", settings.engine_address, dialect.report_path);
        let asking = async {
            let response = self.client.get(url)?.send().await?;
            let status = response.status().as_u16();
            Ok::<_, cyper::Error>((status, response.bytes().await?))
        };
        let deadline_unix_ms = now_unix_ms() + REPORT_TIMEOUT_MS;
        let answer = before_deadline(deadline_unix_ms, asking).await;
        let (status, body) = answer.ok_or(EngineError::Silent)??;
        if status != 200 {
            return Err(EngineError::Failed(status));
        }
        Ok((dialect.read_report)(&body)?)
    }

    /// Gives an order to the engine that calls itself `engine`.
    ///
    /// # Errors
    /// [`EngineError`]: the order may be carried out all the same, also much later. Its expected
    /// sequence keeps it from coming after another one.
    pub async fn order(
        &self,
        settings: &EngineAgentSettings,
        engine: &UpstreamId,
        order: &EngineOrder<'_>,
    ) -> Result<OrderResponse, EngineError> {
        let dialect = &settings.engine_dialect;
        let url = format!("http://{}{}", settings.engine_address, dialect.order_path);
        let body = (dialect.write_order)(order);
        let asking = async {
            let request = self
                .client
                .post(url)?
                .header(http::header::CONTENT_TYPE, "application/json")?
                .header(dialect.expected_upstream_header.clone(), engine.as_str())?
                .body(body);
            let response = request.send().await?;
            let status = response.status().as_u16();
            response.bytes().await?;
            Ok::<_, cyper::Error>(status)
        };
        let deadline_unix_ms = now_unix_ms() + ORDER_TIMEOUT_MS;
        let status = before_deadline(deadline_unix_ms, asking).await;
        Ok((dialect.read_order_response)(
            status.ok_or(EngineError::Silent)??,
        ))
    }
}
