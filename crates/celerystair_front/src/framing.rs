//! How the end of an upstream's response is marked.

use http::{Method, StatusCode, header, response::Parts};

/// How the end of a response's body is marked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// By its length or its last chunk, so that a body that breaks off is an error, or the response
    /// has no body.
    Marked,
    /// By the end of the connection, which also ends when the upstream's process does.
    Connection,
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
