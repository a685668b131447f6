//! Reading of request bodies up to a size limit, and responses with JSON or other complete bodies.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use serde::{Serialize, de::DeserializeOwned};
use thiserror::Error;

use crate::{
    body::HttpBody,
    http_server::{HttpRequest, HttpResponse},
};

/// Why a request body could not be read.
#[derive(Debug, Error)]
pub enum ReadBodyError {
    /// The body exceeds the size limit.
    #[error("the body exceeds the limit of {limit_bytes} bytes")]
    TooLarge {
        /// The size limit.
        limit_bytes: usize,
    },
    /// The connection failed before the body was complete.
    #[error("the connection failed before the body was complete: {0}")]
    Cut(#[from] hyper::Error),
    /// The body is not valid JSON, or not of the expected form.
    #[error("invalid JSON: {0}")]
    BadJson(#[from] serde_json::Error),
}

/// Reads a complete body of at most `limit_bytes`.
pub async fn read_body(
    request: HttpRequest,
    limit_bytes: usize,
) -> Result<(http::request::Parts, Bytes), ReadBodyError> {
    let (parts, mut body) = request.into_parts();
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            if bytes.len() + data.len() > limit_bytes {
                return Err(ReadBodyError::TooLarge { limit_bytes });
            }
            bytes.extend_from_slice(&data);
        }
    }
    Ok((parts, bytes.freeze()))
}

/// Reads a complete body of at most `limit_bytes` and deserializes it from JSON.
pub async fn read_json<T: DeserializeOwned>(
    request: HttpRequest,
    limit_bytes: usize,
) -> Result<T, ReadBodyError> {
    let (_, bytes) = read_body(request, limit_bytes).await?;
    Ok(serde_json::from_slice(&bytes)?)
}

/// Creates a response whose body is `value` as JSON.
pub fn json_response(status: u16, value: &impl Serialize) -> HttpResponse {
    typed_response(
        status,
        "application/json",
        serde_json::to_vec(value).unwrap_or_default(),
    )
}

/// Creates a response with a complete body of the given content type.
pub fn typed_response(status: u16, content_type: &str, body: impl Into<Bytes>) -> HttpResponse {
    let mut response = http::Response::new(HttpBody::full(body));
    *response.status_mut() = http::StatusCode::from_u16(status).unwrap_or_default();
    if let Ok(value) = content_type.parse() {
        response
            .headers_mut()
            .insert(http::header::CONTENT_TYPE, value);
    }
    response
}
