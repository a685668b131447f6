//! Whether a response answers the request that it arrived after. When a faulty upstream writes an
//! earlier response once more on a kept connection, that one arrives where the answer to a later
//! request is due.

use celerystair_core::prelude::*;

/// The request that a response names.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NamedRequest {
    /// The request that was sent last on the connection.
    Own,
    /// Another request.
    Other,
    /// No request.
    Nobody,
}

impl NamedRequest {
    /// Returns the form that logs use.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Other => "other",
            Self::Nobody => "nobody",
        }
    }
}

/// Returns whether a response can only be about the request after which it arrived. Upstreams name
/// the request in their responses. One that names none is known by its connection alone, which must
/// not have carried an earlier request: the response could be about that one.
pub fn is_own_response(named: NamedRequest, is_connection_reused: bool) -> bool {
    match named {
        NamedRequest::Own => true,
        NamedRequest::Other => false,
        NamedRequest::Nobody => !is_connection_reused,
    }
}

/// A connection on which so many requests were refused is not kept: their ids take memory at every
/// idle connection.
const REFUSED_MAX: usize = 16;

/// The requests that were refused on a connection. Sent on it once more, such a request could meet
/// its first refusal, which bears the right id.
#[derive(Debug, Default)]
pub struct RefusedRequests(Vec<RequestId>);

impl RefusedRequests {
    /// Records a refused request.
    pub fn record(&mut self, id: &RequestId) {
        self.0.push(id.clone());
    }

    /// Whether the connection may carry other requests.
    pub fn is_connection_kept(&self) -> bool {
        self.0.len() < REFUSED_MAX
    }

    /// Whether the connection may carry this request.
    pub fn allows(&self, id: &RequestId) -> bool {
        !self.0.contains(id)
    }
}
