//! The limits on the answers of upstreams.

/// The limit that an upstream's answer exceeded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerLimit {
    /// That on a head, with the interim responses and empty lines before it.
    Head,
    /// That on one answer.
    Answer,
    /// That on all incomplete answers together.
    Room,
}

impl AnswerLimit {
    /// Returns the limit's name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Head => "head",
            Self::Answer => "answer",
            Self::Room => "room",
        }
    }
}
