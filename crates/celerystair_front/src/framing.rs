//! How an upstream's response is framed, and what its body consists of.

use http::{HeaderMap, Method, StatusCode, header, response::Parts};

/// How the end of a response's body is marked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// By its length or its last chunk, so that a body that breaks off is an error, or the response
    /// has no body.
    Marked,
    /// By the end of the connection, which also ends when the upstream's process does.
    Connection,
}

/// Returns whether a response on a stream route is an event stream, as it is without a content type.
pub fn is_event_stream(headers: &HeaderMap) -> bool {
    const EVENT_STREAM: &[u8] = b"text/event-stream";
    let content_type = headers.get(header::CONTENT_TYPE);
    content_type.is_none_or(|value| {
        let media_type = value.as_bytes().get(..EVENT_STREAM.len());
        media_type.is_some_and(|media_type| media_type.eq_ignore_ascii_case(EVENT_STREAM))
    })
}

/// Returns how the response to a request with this method is framed.
pub fn response_framing(method: &Method, head: &Parts) -> Framing {
    let has_no_body = method == Method::HEAD
        || matches!(
            head.status,
            StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
        );
    let is_marked = head.headers.contains_key(header::CONTENT_LENGTH)
        || head.headers.contains_key(header::TRANSFER_ENCODING);
    if has_no_body || is_marked {
        Framing::Marked
    } else {
        Framing::Connection
    }
}
