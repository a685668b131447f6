//! Whether an answer that has ended as HTTP requires is whole. A length or a last chunk proves it. The end
//! of a connection doesn't: it also ends with its upstream's process, in the middle of any answer.

/// How long after the end of a connection its upstream's process is asked for. A process that ends closes
/// its connections one by one, and its listener at times after them.
pub const PROCESS_END_MS: u64 = 20;

/// A process that ends takes at least this long to serve again at its address.
const RESTART_MIN_MS: u64 = 1000;

/// Which process accepts connections at an upstream's address.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Acceptor {
    /// The one that began the answer.
    Same,
    /// One that started later.
    Later,
    /// It can't be told.
    Unknown,
}

/// What the process that accepts connections has told of its start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportedStart {
    /// It isn't asked, as only engines report it.
    NotAsked,
    /// It has not told in time.
    Untold,
    /// It started then, by its own clock.
    UnixMs(u64),
}

/// What is known of the process that accepts connections at an upstream's address.
#[derive(Clone, Copy, Debug)]
pub struct AcceptorFacts {
    /// When the upstream started that began the answer, by its own clock.
    pub started_unix_ms: u64,
    /// What the process has told.
    pub reported: ReportedStart,
    /// Whether the list names a later process at the address or under the upstream's id.
    pub is_later_listed: bool,
    /// Whether the list still names the upstream.
    pub is_listed: bool,
    /// When the request was sent, which its upstream has answered.
    pub sent_unix_ms: u64,
    /// When the connection was accepted.
    pub accepted_unix_ms: u64,
}

/// Returns which process accepts connections. That one does is no proof that it is the upstream: after a cut
/// the end of the connection arrives late, when a later process may listen that the list doesn't name yet.
pub fn acceptor(facts: &AcceptorFacts) -> Acceptor {
    if facts.is_later_listed {
        return Acceptor::Later;
    }
    match facts.reported {
        ReportedStart::UnixMs(started) if started == facts.started_unix_ms => Acceptor::Same,
        ReportedStart::UnixMs(_) => Acceptor::Later,
        ReportedStart::Untold => Acceptor::Unknown,
        ReportedStart::NotAsked => {
            let restarted_unix_ms = facts.sent_unix_ms.saturating_add(RESTART_MIN_MS);
            if facts.is_listed || facts.accepted_unix_ms < restarted_unix_ms {
                Acceptor::Same
            } else {
                Acceptor::Unknown
            }
        }
    }
}

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
