//! What happens to a request after a failed attempt. When answers are lost or upstreams crash under
//! load, a request that may run at most once is sent again only if it is certain that it has not
//! run.

/// How an attempt failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptFailure {
    /// No connection could be opened, so nothing was sent.
    Unreachable,
    /// The upstream answered that it has not run the request and will not.
    Declined,
    /// The upstream has not loaded the model or adapter, and has not run the request.
    NotLoaded,
    /// Another upstream has taken over the address; it has not run the request.
    Misdirected,
    /// The request was sent, and the connection closed without an answer.
    AnswerLost,
    /// The upstream sent an answer that can't be forwarded.
    InvalidAnswer,
    /// The upstream answered with an error of its own.
    Failed,
    /// The upstream sent nothing for so long that it is considered dead.
    Silent,
}

impl AttemptFailure {
    /// Whether it is certain that the request has not run.
    pub fn has_not_run(self) -> bool {
        matches!(
            self,
            Self::Unreachable | Self::Declined | Self::NotLoaded | Self::Misdirected
        )
    }

    /// Whether any upstream received the request, so that another attempt counts as a retry.
    pub fn has_reached_any_upstream(self) -> bool {
        self != Self::Unreachable
    }

    /// Whether the intended upstream received the request, so that the attempt counts towards
    /// `attempts_max`.
    pub fn has_reached_intended_upstream(self) -> bool {
        !matches!(self, Self::Unreachable | Self::Misdirected)
    }

    /// Returns the form that logs and metrics use.
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
    /// The request may be sent to another upstream.
    TryAnother,
    /// The caller gets a refusal that says that the request has not run.
    RefuseNotRun,
    /// The caller gets an error that leaves open whether the request has run.
    Fail,
}

/// Decides what happens after `failure`. `may_have_run` is about the attempts before it, and
/// `attempts` counts the upstreams that the request has reached, including this one.
pub fn next_step(
    failure: AttemptFailure,
    may_have_run: bool,
    is_repeatable: bool,
    attempts: u32,
    attempts_max: u32,
) -> NextStep {
    let may_have_run = may_have_run || !failure.has_not_run();
    if attempts < attempts_max && (is_repeatable || !may_have_run) {
        NextStep::TryAnother
    } else if may_have_run {
        NextStep::Fail
    } else {
        NextStep::RefuseNotRun
    }
}
