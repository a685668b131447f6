//! Whether an answer that has ended as HTTP requires is whole. A length or a last chunk proves it. The end
//! of a connection doesn't: it also ends with its upstream's process, in the middle of any answer.

use crate::acceptor::Acceptor;

/// How long after the end of a connection its upstream's process is asked for. A process that ends closes
/// its connections one by one, and its listener at times after them.
pub const PROCESS_END_MS: u64 = 20;

/// What an upstream's address answers to a new connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Listening {
    /// A process accepts it.
    Accepts(Acceptor),
    /// No process listens.
    Refuses,
    /// Nothing tells in time.
    Silent,
}

/// What is known of the end of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerEnd {
    /// Its length or its last chunk marked it, or it has no body.
    Marked,
    /// Only its connection ended, and its upstream's process is still there.
    UpstreamStays,
    /// Only its connection ended, and so has its upstream's process.
    UpstreamEnded,
    /// Only its connection ended, and nothing tells of its upstream's process.
    Unknown,
}

impl AnswerEnd {
    /// Decides by what the upstream's address answered about an answer whose end only its connection
    /// marked.
    pub fn by_upstream(listening: Listening) -> Self {
        match listening {
            Listening::Accepts(Acceptor::Same) => Self::UpstreamStays,
            Listening::Accepts(Acceptor::Later) | Listening::Refuses => Self::UpstreamEnded,
            Listening::Accepts(Acceptor::Unknown) | Listening::Silent => Self::Unknown,
        }
    }

    /// Whether the answer is proven to be whole.
    pub fn is_whole(self) -> bool {
        matches!(self, Self::Marked | Self::UpstreamStays)
    }

    /// Returns the form that logs and metrics use.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Marked => "marked",
            Self::UpstreamStays => "upstream_stays",
            Self::UpstreamEnded => "upstream_ended",
            Self::Unknown => "unknown",
        }
    }
}
