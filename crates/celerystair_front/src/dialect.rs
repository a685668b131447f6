//! How a platform's headers are read and written.

use celerystair_core::prelude::*;
use http::{HeaderMap, HeaderName};
use thiserror::Error;

/// How one platform writes what a router must know of a request.
#[derive(Clone, Copy, Debug)]
pub struct HeaderCodec {
    /// Where the platform asks whether this router takes requests.
    pub ready_path: &'static str,
    /// Reads what a caller says of its request.
    pub read_request: fn(&HeaderMap) -> Result<RequestHead, InvalidHead>,
    /// Sets what the router says to the upstream, in place of what the caller said.
    pub write_request: fn(&mut HeaderMap, &ForwardedHead<'_>),
    /// Reads what an upstream says of its answer.
    pub read_response: fn(&HeaderMap) -> ResponseHead<'_>,
    /// Whether a header goes on to the upstream even if the caller calls it one of its
    /// connection.
    pub is_always_forwarded: fn(&HeaderName) -> bool,
}

/// Why a request's head is refused.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum InvalidHead {
    /// It has no id.
    #[error("the request has no request id")]
    MissingRequestId,
    /// A header that must be unique is there twice.
    #[error("the header {0} occurs more than once")]
    Repeated(HeaderName),
    /// A header is no text.
    #[error("the header {0} is not visible ASCII text")]
    NotAscii(HeaderName),
}

/// What a caller says of its request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// One try of the caller's.
    pub id: RequestId,
    /// How long the caller waits; as long as the route allows if absent.
    pub deadline_ms: Option<u64>,
    /// The model or adapter, where one is asked.
    pub model: Option<ModelRef>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// The event after which a stream goes on.
    pub last_event_id: Option<u64>,
}

/// What a router says to the upstream.
#[derive(Clone, Copy, Debug)]
pub struct ForwardedHead<'a> {
    /// Any other upstream must decline.
    pub expected_upstream: &'a UpstreamId,
    /// What is left of the caller's time.
    pub remaining_ms: u64,
    /// 0 goes first; absent at plain services.
    pub priority: Option<u32>,
    /// The event after which a stream goes on; the caller's own if absent.
    pub last_event_id: Option<u64>,
}

/// What an upstream says of its answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ResponseHead<'a> {
    /// The request that it answers.
    pub request_id: Option<&'a str>,
    /// Whether it is proved to be an upstream's own.
    pub is_sealed: bool,
    /// Whether the upstream says that it has not run the request.
    pub is_not_run: bool,
    /// The upstream that answers, where it says so.
    pub upstream: Option<&'a str>,
}
