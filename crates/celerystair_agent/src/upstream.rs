//! HTTP calls forwarded to the upstream, a model engine or a plain service.

use bytes::Bytes;
use celerystair_protocol::SubmitRequest;
use futures_util::{Stream, StreamExt};
use thiserror::Error;

/// Why the upstream's response did not arrive, or not in full.
#[derive(Clone, Debug, Error)]
pub enum UpstreamError {
    /// The call was not sent, in most cases because no connection could be made.
    #[error("the upstream can't be reached: {detail}")]
    Unreachable {
        /// The error of the connection.
        detail: String,
    },
    /// The call was sent, and the response was cut short or never arrived.
    #[error("the upstream's response was interrupted: {detail}")]
    Interrupted {
        /// The error of the connection.
        detail: String,
    },
}

/// The head of the upstream's response, and its body as a stream.
pub struct UpstreamResponse<S> {
    /// HTTP status.
    pub status: u16,
    /// Value of the `content-type` header; empty if absent.
    pub content_type: String,
    /// The chunks of the body.
    pub chunks: S,
}

/// Forwards the request to the upstream at `url`. Dropping the response cancels the call.
///
/// Responses don't name their request. A call that may run once gets a connection of its own, on
/// which no earlier response can arrive; other calls share those of `client`.
pub async fn call_upstream(
    client: &cyper::Client,
    url: &str,
    request: &SubmitRequest,
) -> Result<UpstreamResponse<impl Stream<Item = Result<Bytes, UpstreamError>>>, UpstreamError> {
    let method = http::Method::from_bytes(request.method.as_bytes()).unwrap_or(http::Method::POST);
    let unsent = |error: cyper::Error| UpstreamError::Unreachable {
        detail: error.to_string(),
    };
    let own_client = if request.idempotent {
        None
    } else {
        Some(cyper::Client::new().map_err(unsent)?)
    };
    let mut call = own_client
        .as_ref()
        .unwrap_or(client)
        .request(method, format!("{url}{}", request.path))
        .map_err(unsent)?;
    for (name, value) in [
        ("content-type", &request.content_type),
        ("idempotency-key", &request.idempotency_key),
        ("celerystair-organisation", &request.organisation),
    ] {
        if !value.is_empty() {
            call = call.header(name, value.as_str()).map_err(unsent)?;
        }
    }
    let response = call
        .body(request.body.clone())
        .send()
        .await
        .map_err(to_upstream_error)?;
    let content_type = response.headers().get(http::header::CONTENT_TYPE);
    Ok(UpstreamResponse {
        status: response.status().as_u16(),
        content_type: content_type
            .and_then(|v| v.to_str().ok())
            .unwrap_or_default()
            .to_owned(),
        chunks: response
            .bytes_stream()
            .map(|chunk| chunk.map_err(to_upstream_error)),
    })
}

fn to_upstream_error(error: cyper::Error) -> UpstreamError {
    match error {
        cyper::Error::HyperClient(error) if error.is_connect() => UpstreamError::Unreachable {
            detail: error.to_string(),
        },
        error => UpstreamError::Interrupted {
            detail: error.to_string(),
        },
    }
}
