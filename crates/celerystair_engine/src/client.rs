//! The HTTP client of the engine.

use bytes::Bytes;
use celerystair_core::{prelude::*, time::before_deadline};
use celerystair_net::prelude::*;
use celerystair_policy::prelude::*;
use http::Request;
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
    /// The HTTP exchange failed, or its response is longer than any report.
    #[error("the HTTP call to the engine failed: {0}")]
    Unreachable(#[from] ClientError),
    /// No response arrived within the timeout.
    #[error("the engine did not respond within the timeout")]
    Silent,
    /// The report couldn't be parsed.
    #[error("the engine's report could not be parsed: {0}")]
    Unreadable(#[from] serde_json::Error),
    /// The engine answered the report request with a status other than 200.
    #[error("the engine answered the report request with HTTP status {0}")]
    Failed(u16),
    /// The settings' address or id can't be written in a request.
    #[error("the request to the engine could not be written: {0}")]
    Unwritable(#[from] http::Error),
}

/// An HTTP client for the agent's engine.
#[derive(Default)]
pub struct EngineClient {
    http: HttpClient,
}

impl EngineClient {
    /// Fetches the engine's state.
    pub async fn fetch_report(
        &self,
        settings: &EngineAgentSettings,
    ) -> Result<EngineState, EngineError> {
        let dialect = &settings.engine_dialect;
        let url = format!("http://{}{}", settings.engine_address, dialect.report_path);
        let fetching = self
            .http
            .fetch(Request::get(url).body(Bytes::new())?, RESPONSE_MAX_BYTES);
        let deadline_unix_ms = now_unix_ms() + REPORT_TIMEOUT_MS;
        let response = before_deadline(deadline_unix_ms, fetching).await;
        let response = response.ok_or(EngineError::Silent)??;
        if response.status() != 200 {
            return Err(EngineError::Failed(response.status().as_u16()));
        }
        Ok((dialect.read_report)(response.body())?)
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
        let request = Request::post(url)
            .header(http::header::CONTENT_TYPE, "application/json")
            .header(&dialect.expected_upstream_header, upstream.as_str())
            .body(body.into())?;
        let fetching = self.http.fetch(request, RESPONSE_MAX_BYTES);
        let deadline_unix_ms = now_unix_ms() + ORDER_TIMEOUT_MS;
        let response = before_deadline(deadline_unix_ms, fetching).await;
        let response = response.ok_or(EngineError::Silent)??;
        Ok((dialect.read_order_response)(response.status().as_u16()))
    }
}
