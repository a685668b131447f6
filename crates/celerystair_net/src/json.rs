//! Reading and writing bodies, bounded in size.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use serde::{Serialize, de::DeserializeOwned};
use thiserror::Error;

use crate::{
    body::HttpBody,
    http_server::{HttpRequest, HttpResponse},
};

/// Why a body could not be read.
#[derive(Debug, Error)]
pub enum ReadBodyError {
    /// The body is larger than allowed.
    #[error("the body is larger than {limit_bytes} bytes")]
    TooLarge {
        /// The limit.
        limit_bytes: usize,
    },
    /// The connection ended within the body.
    #[error("the body ended early: {0}")]
    Cut(#[from] hyper::Error),
    /// The body is not the JSON that was expected.
    #[error("bad JSON: {0}")]
    BadJson(#[from] serde_json::Error),
}

/// Reads a whole body of at most `limit_bytes`.
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

/// Reads a whole body of at most `limit_bytes` as JSON.
pub async fn read_json<T: DeserializeOwned>(
    request: HttpRequest,
    limit_bytes: usize,
) -> Result<T, ReadBodyError> {
    let (_, bytes) = read_body(request, limit_bytes).await?;
    Ok(serde_json::from_slice(&bytes)?)
}

/// An answer with a JSON body.
pub fn json_response(status: u16, value: &impl Serialize) -> HttpResponse {
    typed_response(
        status,
        "application/json",
        serde_json::to_vec(value).unwrap_or_default(),
    )
}

/// An answer with a whole body of the given type.
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
