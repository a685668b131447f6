//! What an attempt that failed allows next. Answers lost answers and crashes under load: whatever
//! may run once is sent again only if the upstream itself said that it had not run.

/// How an attempt came to nothing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptFailure {
    /// No connection could be opened: nothing was sent.
    Unreachable,
    /// The upstream said that it has not run the request and will not.
    Declined,
    /// The upstream has not loaded the model or adapter, and has not run the request.
    NotLoaded,
    /// Another upstream has the address by now; it has not run the request.
    Misdirected,
    /// The request was sent, and the connection ended without an answer.
    AnswerLost,
    /// The upstream answered with something that can't be passed on.
    InvalidAnswer,
    /// The upstream answered with a failure of its own.
    Failed,
    /// Nothing came for so long that the upstream is taken for dead.
    Silent,
}

impl AttemptFailure {
    /// Whether the request has surely not run there.
    pub fn has_not_run(self) -> bool {
        matches!(
            self,
            Self::Unreachable | Self::Declined | Self::NotLoaded | Self::Misdirected
        )
    }

    /// Whether any upstream saw the request, so that another attempt counts as a retry.
    pub fn has_reached_any_upstream(self) -> bool {
        self != Self::Unreachable
    }

    /// Whether the upstream that it was meant for saw the request, so that it counts among those
    /// to which one request may be sent.
    pub fn has_reached_intended_upstream(self) -> bool {
        !matches!(self, Self::Unreachable | Self::Misdirected)
    }

    /// The word for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Declined => "declined",
            Self::NotLoaded => "not_loaded",
            Self::Misdirected => "misdirected",
            Self::AnswerLost => "answer_lost",
            Self::InvalidAnswer => "answer_spoiled",
            Self::Failed => "failed",
            Self::Silent => "silent",
        }
    }
}

/// What to do with a request after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// Another upstream may be tried.
    TryAnother,
    /// The caller gets a refusal that says "not run".
    RefuseNotRun,
    /// The caller gets a failure that promises nothing.
    Fail,
}

/// Decides after `failure`; `may_have_run` is of the attempts before it, `sent` counts the
/// upstreams that it has reached.
pub fn next_step(
    failure: AttemptFailure,
    may_have_run: bool,
    is_repeatable: bool,
    sent: u32,
    attempts_max: u32,
) -> NextStep {
    let may_have_run = may_have_run || !failure.has_not_run();
    if sent < attempts_max && (is_repeatable || !may_have_run) {
        NextStep::TryAnother
    } else if may_have_run {
        NextStep::Fail
    } else {
        NextStep::RefuseNotRun
    }
}
