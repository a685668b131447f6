//! HTTP calls forwarded to the upstream, a model engine or a plain service.

use std::{cell::RefCell, future::ready, rc::Rc};

use bytes::{Bytes, BytesMut};
use celerystair_core::{prelude::*, time::before_deadline};
use celerystair_net::prelude::*;
use celerystair_protocol::SubmitRequest;
use compio::net::TcpStream;
use futures_util::{Stream, StreamExt, stream};
use http::{HeaderMap, Method, Request, StatusCode, header};
use serde::de::IgnoredAny;
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
    client: &HttpClient,
    url: &str,
    request: &SubmitRequest,
) -> Result<UpstreamResponse<impl Stream<Item = Result<Bytes, UpstreamError>>>, UpstreamError> {
    let method = Method::from_bytes(request.method.as_bytes()).unwrap_or(Method::POST);
    let mut call = Request::builder()
        .method(method.clone())
        .uri(format!("{url}{}", request.path));
    for (name, value) in [
        ("content-type", &request.content_type),
        ("idempotency-key", &request.idempotency_key),
        ("celerystair-organisation", &request.organisation),
    ] {
        if !value.is_empty() {
            call = call.header(name, value.as_str());
        }
    }
    let call = call
        .body(request.body.clone())
        .map_err(|error| UpstreamError::Unreachable {
            detail: error.to_string(),
        })?;
    let response = if request.idempotent {
        client.send(call).await
    } else {
        HttpClient::send_alone(call).await
    };
    let response = response.map_err(to_upstream_error)?;
    let content_type = response.headers().get(header::CONTENT_TYPE);
    let content_type = content_type
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    let status = response.status();
    let unframed = ends_with_connection(&method, status, response.headers())?
        .then(|| Rc::new(RefCell::new(UnframedBody::new(&content_type))));
    let (observed, url) = (unframed.clone(), url.to_owned());
    let end = async move {
        match unframed {
            Some(body) => check_unframed_end(&body, &url).await.err().map(Err),
            None => None,
        }
    };
    let chunks = response
        .into_body()
        .map(|chunk| chunk.map_err(to_upstream_error))
        .inspect(move |chunk| {
            if let (Some(body), Ok(chunk)) = (&observed, chunk) {
                body.borrow_mut().add(chunk);
            }
        });
    Ok(UpstreamResponse {
        status: status.as_u16(),
        content_type,
        chunks: chunks.chain(stream::once(end).filter_map(ready)),
    })
}

/// Whether only the end of its connection marks the end of a response, which also ends with its
/// upstream's process.
///
/// # Errors
/// The response has a transfer coding other than `chunked`, which no call asks for.
fn ends_with_connection(
    method: &Method,
    status: StatusCode,
    headers: &HeaderMap,
) -> Result<bool, UpstreamError> {
    if method == Method::HEAD || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
    {
        return Ok(false);
    }
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    match (codings.next(), codings.next()) {
        (None, _) => Ok(!headers.contains_key(header::CONTENT_LENGTH)),
        (Some(coding), None) if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => Ok(false),
        (Some(coding), _) => Err(interrupted(&format!("the transfer coding is {coding:?}"))),
    }
}

/// The longest JSON document without framing whose end is checked.
const CHECKED_JSON_MAX_BYTES: usize = 8 * 1024 * 1024;

/// What is known of a body without a length or chunks.
struct UnframedBody {
    /// The beginning of a JSON document; `None` for other content.
    json: Option<BytesMut>,
    body_bytes: usize,
}

impl UnframedBody {
    fn new(content_type: &str) -> Self {
        let media_type = content_type.split(';').next().unwrap_or_default().trim();
        let is_json = media_type.eq_ignore_ascii_case("application/json");
        Self {
            json: is_json.then(BytesMut::new),
            body_bytes: 0,
        }
    }

    fn add(&mut self, chunk: &Bytes) {
        self.body_bytes += chunk.len();
        if self.body_bytes > CHECKED_JSON_MAX_BYTES {
            self.json = None;
        }
        if let Some(json) = &mut self.json {
            json.extend_from_slice(chunk);
        }
    }

    fn is_cut_off(&self) -> bool {
        let is_cut_json = |json: &BytesMut| {
            serde_json::from_slice::<IgnoredAny>(json).is_err_and(|error| error.is_eof())
        };
        self.body_bytes == 0 || self.json.as_ref().is_some_and(is_cut_json)
    }
}

/// How long after the end of a connection the upstream's process is asked for: a process that ends closes
/// its connections one by one, and its listener at times after them.
const PROCESS_END_MS: u64 = 20;
/// Time limit for opening a connection to the upstream, which runs on this instance.
const CONNECT_TIMEOUT_MS: u64 = 1000;

/// Checks that a body without a length or chunks is whole, by its content and by whether the upstream's
/// process is still there.
async fn check_unframed_end(body: &RefCell<UnframedBody>, url: &str) -> Result<(), UpstreamError> {
    if body.borrow().is_cut_off() {
        return Err(interrupted(
            "the response ended with its connection, before its end",
        ));
    }
    sleep_ms(PROCESS_END_MS).await;
    let address = url.parse::<http::Uri>().ok().and_then(|url| {
        let port = url.port_u16().unwrap_or(http_port(url.scheme_str()));
        Some((url.host()?.to_owned(), port))
    });
    let Some(address) = address else {
        return Err(interrupted("the upstream's URL has no host to ask"));
    };
    let deadline_unix_ms = now_unix_ms() + CONNECT_TIMEOUT_MS;
    match before_deadline(deadline_unix_ms, TcpStream::connect(address)).await {
        Some(Ok(_)) => Ok(()),
        Some(Err(error)) => Err(interrupted(&format!(
            "the response ended with its connection, and the upstream takes no other: {error}"
        ))),
        None => Err(interrupted(
            "the response ended with its connection, and the upstream doesn't take another in time",
        )),
    }
}

/// Returns the port of a URL that names none.
fn http_port(scheme: Option<&str>) -> u16 {
    if scheme == Some("https") { 443 } else { 80 }
}

fn interrupted(detail: &str) -> UpstreamError {
    UpstreamError::Interrupted {
        detail: detail.to_owned(),
    }
}

fn to_upstream_error(error: ClientError) -> UpstreamError {
    match error {
        ClientError::Unreachable { detail } => UpstreamError::Unreachable { detail },
        error => interrupted(&error.to_string()),
    }
}
