//! Whether a response answers the request that it arrived after. When a faulty upstream writes an
//! earlier response once more on a kept connection, that one arrives where the answer to a later
//! request is due.

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
