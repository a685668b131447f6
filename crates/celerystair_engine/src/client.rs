//! The HTTP client of the engine.

use std::pin::pin;

use bytes::BytesMut;
use celerystair_core::{prelude::*, time::before_deadline};
use celerystair_policy::prelude::*;
use futures_util::StreamExt;
use thiserror::Error;

use crate::{
    dialect::{EngineOrder, OrderResponse},
    settings::EngineAgentSettings,
};

/// The engine runs on the agent's own instance, so a report that takes longer means that it hangs.
const REPORT_TIMEOUT_MS: u64 = 500;
/// An order may still be carried out after this timeout.
const ORDER_TIMEOUT_MS: u64 = 1000;

/// The longest response that is read: an engine in trouble may send bytes without end.
const RESPONSE_MAX_BYTES: usize = 1024 * 1024;

/// Errors of calls to the engine.
#[derive(Debug, Error)]
pub enum EngineError {
    /// The HTTP exchange failed, or its client couldn't be built.
    #[error("the HTTP call to the engine failed: {0}")]
    Unreachable(#[from] cyper::Error),
    /// No response arrived within the timeout.
    #[error("the engine did not respond within the timeout")]
    Silent,
    /// The report couldn't be parsed.
    #[error("the engine's report could not be parsed: {0}")]
    Unreadable(#[from] serde_json::Error),
    /// The engine answered the report request with a status other than 200.
    #[error("the engine answered the report request with HTTP status {0}")]
    Failed(u16),
    /// The response is longer than any report.
    #[error("the engine's response is longer than {RESPONSE_MAX_BYTES} bytes")]
    TooLong,
}

/// An HTTP client for the agent's engine.
pub struct EngineClient {
    http: cyper::Client,
}

impl EngineClient {
    /// Creates a client without connecting.
    pub fn new() -> Result<Self, EngineError> {
        Ok(Self {
            http: cyper::Client::new()?,
        })
    }

    /// Fetches the engine's state.
    pub async fn fetch_report(
        &self,
        settings: &EngineAgentSettings,
    ) -> Result<EngineState, EngineError> {
        let dialect = &settings.engine_dialect;
        let url = format!("http://{}{}", settings.engine_address, dialect.report_path);
        let exchange = async {
            let response = self.http.get(url)?.send().await?;
            let status = response.status().as_u16();
            Ok::<_, EngineError>((status, read_limited(response).await?))
        };
        let deadline_unix_ms = now_unix_ms() + REPORT_TIMEOUT_MS;
        let response = before_deadline(deadline_unix_ms, exchange).await;
        let (status, body) = response.ok_or(EngineError::Silent)??;
        if status != 200 {
            return Err(EngineError::Failed(status));
        }
        Ok((dialect.read_report)(&body)?)
    }

    /// Sends an order to the engine with the id `upstream`.
    ///
    /// # Errors
    /// [`EngineError`]: the engine may still carry out the order, even much later. It declines the
    /// order if it has accepted another one in the meantime, see
    /// [`EngineOrder::expected_sequence`].
    pub async fn send_order(
        &self,
        settings: &EngineAgentSettings,
        upstream: &UpstreamId,
        order: &EngineOrder<'_>,
    ) -> Result<OrderResponse, EngineError> {
        let dialect = &settings.engine_dialect;
        let url = format!("http://{}{}", settings.engine_address, dialect.order_path);
        let body = (dialect.write_order)(order);
        let exchange = async {
            let request = self
                .http
                .post(url)?
                .header(http::header::CONTENT_TYPE, "application/json")?
                .header(dialect.expected_upstream_header.clone(), upstream.as_str())?
                .body(body);
            let response = request.send().await?;
            let status = response.status().as_u16();
            read_limited(response).await?;
            Ok::<_, EngineError>(status)
        };
        let deadline_unix_ms = now_unix_ms() + ORDER_TIMEOUT_MS;
        let status = before_deadline(deadline_unix_ms, exchange).await;
        Ok((dialect.read_order_response)(
            status.ok_or(EngineError::Silent)??,
        ))
    }
}

/// Reads the body of a response of the engine.
async fn read_limited(response: cyper::Response) -> Result<BytesMut, EngineError> {
    let mut chunks = pin!(response.bytes_stream());
    let mut body = BytesMut::new();
    while let Some(chunk) = chunks.next().await {
        body.extend_from_slice(&chunk?);
        if body.len() > RESPONSE_MAX_BYTES {
            return Err(EngineError::TooLong);
        }
    }
    Ok(body)
}
