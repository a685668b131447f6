//! Reading and writing a platform's headers.

use std::rc::Rc;

use celerystair_core::prelude::*;
pub use celerystair_net::events::EventRules;
use celerystair_policy::prelude::*;
use http::{HeaderMap, HeaderName};
use thiserror::Error;

/// Reads and writes the headers of one platform.
#[derive(Clone, Copy, Debug)]
pub struct HeaderCodec {
    /// The path of the readiness endpoint.
    pub ready_path: &'static str,
    /// Reads the headers of a caller's request.
    pub read_request: fn(&HeaderMap) -> Result<RequestHead, InvalidHead>,
    /// Sets the router's headers on a forwarded request, replacing any values from the caller.
    pub write_request: fn(&mut HeaderMap, &ForwardedHead<'_>),
    /// Reads the headers of an upstream's response.
    pub read_response: fn(&HeaderMap) -> ResponseHead<'_>,
    /// Returns whether a header of an upstream's response looks like one of the platform's that this
    /// version doesn't know.
    pub is_unknown_response_header: fn(&HeaderName) -> bool,
    /// What the events of streams have, beyond what their format says.
    pub event_rules: EventRules,
    /// Whether a header is forwarded to the upstream even if the caller's `Connection` header
    /// names it.
    pub is_always_forwarded: fn(&HeaderName) -> bool,
}

/// How engines tell of themselves.
#[derive(Clone, Copy, Debug)]
pub struct EngineReports {
    /// The path of an engine's report, which needs no slot.
    pub path: &'static str,
    /// Reads from a report when the engine started, by its own clock.
    pub read_started_unix_ms: fn(&[u8]) -> Option<u64>,
}

/// An error in the headers of a caller's request.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum InvalidHead {
    /// The header with the request id is missing.
    #[error("the request has no request id")]
    MissingRequestId,
    /// A header that must be unique occurs more than once.
    #[error("the header {0} occurs more than once")]
    Repeated(HeaderName),
    /// A header value contains bytes other than visible ASCII.
    #[error("the header {0} is not visible ASCII text")]
    NotAscii(HeaderName),
}

/// The platform's headers of a caller's request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// The caller's id for this request; a caller's own retry has a new id.
    pub id: RequestId,
    /// The caller's timeout; the route's applies if this is absent or longer.
    pub deadline_ms: Option<u64>,
    /// The requested model, with its adapter if any; absent at plain services.
    pub model: Option<ModelRef>,
    /// Number of prompt tokens; 0 if the caller does not state it.
    pub prompt_tokens: u64,
    /// The parts of the prompt that other requests may share, in order.
    pub prompt_parts: Rc<[PromptPart]>,
    /// The id of the event after which the stream resumes.
    pub last_event_id: Option<u64>,
    /// The id of the caller's request that brought the first event of the stream that it takes up.
    pub resumes: Option<RequestId>,
}

/// A part of a prompt, such as a system prompt, that several requests share.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Identifies the part in reports to other processes.
    pub id: PromptPartId,
    /// The identifier that the caller gives it.
    pub name: String,
}

/// The headers that a router sets on a forwarded request.
#[derive(Clone, Copy, Debug)]
pub struct ForwardedHead<'a> {
    /// The intended upstream; any other upstream must decline the request.
    pub expected_upstream: &'a UpstreamId,
    /// Time left until the request's deadline.
    pub remaining_ms: u64,
    /// Priority from 0, the most urgent, to 9; absent at plain services.
    pub priority: Option<u32>,
    /// The id of the event after which the stream resumes; if absent, the caller's own header
    /// stays.
    pub last_event_id: Option<u64>,
}

/// The platform's headers of an upstream's response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResponseHead<'a> {
    /// The id of the request that the response belongs to.
    pub request_id: Option<&'a str>,
    /// Whether the response bears an upstream's seal, which proves that an upstream sent it.
    pub is_sealed: bool,
    /// Whether the upstream declares that it did not run the request.
    pub is_not_run: bool,
    /// The upstream that sent the response, if it is named.
    pub upstream: Option<&'a str>,
    /// The rate limit that the upstream names.
    pub rate_limit: RateLimitHeader,
    /// Whether the upstream says that it leaves.
    pub is_leaving: bool,
    /// The pause that the upstream asks for, if it declines the request.
    pub pause: PauseHeader,
}

/// The pause in the headers of an upstream's response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PauseHeader {
    /// The upstream asks for none.
    Absent,
    /// Milliseconds in which the upstream wants nothing from this router.
    Ms(u64),
    /// The value is not a number of seconds from 0 on.
    Invalid,
}

/// The rate limit in the headers of an upstream's response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RateLimitHeader {
    /// The upstream names no limit.
    Absent,
    /// Requests per second that the upstream accepts from all routers together.
    PerSecond(f64),
    /// The value is not a number from 0 on.
    Invalid,
}
