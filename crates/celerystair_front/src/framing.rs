//! How an upstream's response is framed, and what its body consists of.

use http::{HeaderMap, HeaderValue, Method, StatusCode, header, response::Parts};
use serde::de::IgnoredAny;

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
    headers
        .get(header::CONTENT_TYPE)
        .is_none_or(|content_type| has_media_type(content_type, b"text/event-stream"))
}

/// Returns whether a buffered response that ends with its connection lacks its end: it is a JSON
/// document that breaks off, or has no body at all, as after an upstream that stops behind the head. An
/// error may consist of its head.
pub fn is_cut_off(framing: Framing, head: &Parts, body: &[u8]) -> bool {
    let content_type = head.headers.get(header::CONTENT_TYPE);
    let lacks_body = head.status.is_success() && body.is_empty();
    let is_cut_json = || {
        content_type.is_some_and(|value| has_media_type(value, b"application/json"))
            && !body.is_empty()
            && serde_json::from_slice::<IgnoredAny>(body).is_err_and(|error| error.is_eof())
    };
    framing == Framing::Connection && (lacks_body || is_cut_json())
}

/// Returns the length that a response declares; `None` if it declares none, or no single one. HTTP lets it be
/// written more than once.
pub fn declared_length(headers: &HeaderMap) -> Option<u64> {
    let lines = headers.get_all(header::CONTENT_LENGTH).iter();
    let mut length = None;
    for line in lines {
        for digits in line.to_str().ok()?.split(',') {
            let digits = digits.trim();
            if !digits.bytes().all(|digit| digit.is_ascii_digit()) {
                return None;
            }
            let value = digits.parse::<u64>().ok()?;
            if *length.get_or_insert(value) != value {
                return None;
            }
        }
    }
    length
}

/// Returns whether a response declares a body and has a status without one. HTTP ends such a response with its
/// head, but what its upstream meant to send is not known.
pub fn declares_missing_body(head: &Parts) -> bool {
    head.status == StatusCode::NO_CONTENT
        && head.headers.contains_key(header::CONTENT_LENGTH)
        && declared_length(&head.headers) != Some(0)
}

fn has_media_type(content_type: &HeaderValue, media_type: &[u8]) -> bool {
    let start = content_type.as_bytes().get(..media_type.len());
    start.is_some_and(|start| start.eq_ignore_ascii_case(media_type))
}

/// Returns how the response to a request with this method is framed; `None` if its body has a transfer
/// coding other than `chunked`, which no request asks for. The HTTP library decodes no such coding, and
/// where `chunked` isn't the last one, it ends the body with its connection.
pub fn response_framing(method: &Method, head: &Parts) -> Option<Framing> {
    let has_no_body = method == Method::HEAD
        || matches!(
            head.status,
            StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
        );
    let mut codings = head.headers.get_all(header::TRANSFER_ENCODING).iter();
    let framing = match (codings.next(), codings.next()) {
        _ if has_no_body => Framing::Marked,
        (Some(coding), None) if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => {
            Framing::Marked
        }
        (Some(_), _) => return None,
        (None, _) if head.headers.contains_key(header::CONTENT_LENGTH) => Framing::Marked,
        (None, _) => Framing::Connection,
    };
    Some(framing)
}
