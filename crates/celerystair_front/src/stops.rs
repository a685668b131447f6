//! What a planned stop does with requests, for logs and metrics: which were sent during it, and which it
//! gave up. The lines are listed in `docs/OPERATIONS.md`.

use celerystair_core::prelude::*;
use celerystair_telemetry::{metrics::label, prelude::*};

use crate::{front::PlatformRouter, request::CallerRequest, upstream::Upstream};

/// Requests that a planned stop has dealt with so far.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StopCounts {
    /// Requests that were sent for the first time.
    sent: u64,
    /// Requests that were refused because they can't end before the process does.
    refused: u64,
    /// Requests that were given up after they had been sent.
    given_up: u64,
}

/// Who gave up a request that had been sent when the router stopped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GivenUpBy {
    /// Its deadline came.
    Deadline,
    /// The stop's grace ended.
    Grace,
    /// Its caller left, or the process ended.
    Connection,
    /// Its upstream broke it off or gave no usable response.
    Upstream,
}

impl GivenUpBy {
    /// Returns the name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Deadline => "deadline",
            Self::Grace => "grace",
            Self::Connection => "connection",
            Self::Upstream => "upstream",
        }
    }
}

impl PlatformRouter {
    /// Logs a request that is sent for the first time while this router stops, and what is expected of its
    /// answer.
    pub(crate) fn log_sent_in_stop(&self, request: &CallerRequest, upstream: &Upstream) {
        let Some(planned) = self.planned_stop.get() else {
            return;
        };
        self.count_in_stop(|counts| counts.sent += 1);
        let now = now_unix_ms();
        let confidence = planned.confidence(request.read_unix_ms);
        let durations = self.answer_durations.borrow();
        let expected = durations.expected(&request.route, confidence);
        info!(self.log, "request_sent_in_stop"; "request" => %request.head.id,
            "route" => &request.route.name, "upstream" => %upstream.id(),
            "since_stop_ms" => now.saturating_sub(planned.began_unix_ms),
            "read_ms" => since_ms(request.read_unix_ms, planned.began_unix_ms),
            "expected_ms" => expected.at_most_ms,
            "answers" => expected.answers,
            "left_ms" => planned.cuts_unix_ms.saturating_sub(now), "age_ms" => request.age_ms(now));
    }

    /// Logs and counts a request that was sent, whose answer was not whole when it was given up while this
    /// router stops.
    pub(crate) fn log_given_up_in_stop(
        &self,
        request: &CallerRequest,
        upstream: Option<&UpstreamId>,
        by: GivenUpBy,
        detail: &str,
    ) {
        let Some(planned) = self.planned_stop.get() else {
            return;
        };
        self.count_in_stop(|counts| counts.given_up += 1);
        self.metrics
            .given_up_in_stop
            .add(1, &[label("by", by.as_str())]);
        let confidence = planned.confidence(request.read_unix_ms);
        let durations = self.answer_durations.borrow();
        let now = now_unix_ms();
        info!(self.log, "request_given_up_in_stop"; "request" => %request.head.id,
            "route" => &request.route.name, "upstream" => upstream.map(ToString::to_string),
            "by" => by.as_str(), "detail" => detail,
            "since_stop_ms" => now.saturating_sub(planned.began_unix_ms),
            "read_ms" => since_ms(request.read_unix_ms, planned.began_unix_ms),
            "deadline_ms" => since_ms(request.deadline_unix_ms, planned.began_unix_ms),
            "answers" => durations.expected(&request.route, confidence).answers,
            "age_ms" => request.age_ms(now));
    }

    /// Counts a refusal while this router stops, or logs that it gives up a request that may have run.
    pub(crate) fn record_refusal_in_stop(&self, request: &CallerRequest, refusal: &Refusal) {
        if refusal.run == RunState::NotRun {
            self.count_in_stop(|counts| counts.refused += 1);
            return;
        }
        let by = if now_unix_ms() >= request.attempts_end_unix_ms() {
            GivenUpBy::Deadline
        } else if self.closing.is_draining() {
            GivenUpBy::Grace
        } else {
            GivenUpBy::Upstream
        };
        self.log_given_up_in_stop(request, None, by, &refusal.detail);
    }

    /// Logs what the planned stop did with requests.
    pub(crate) fn log_stop_ended(&self) {
        let Some(planned) = self.planned_stop.get() else {
            return;
        };
        let counts = self.stop_counts.get();
        info!(self.log, "stop_ended"; "sent" => counts.sent, "refused" => counts.refused,
            "given_up" => counts.given_up, "waiting" => self.waiting.len(),
            "since_stop_ms" => now_unix_ms().saturating_sub(planned.began_unix_ms));
    }

    fn count_in_stop(&self, count: impl FnOnce(&mut StopCounts)) {
        let mut counts = self.stop_counts.get();
        count(&mut counts);
        self.stop_counts.set(counts);
    }
}

/// Returns the time from `from_unix_ms` to `unix_ms`, negative if that came first.
fn since_ms(unix_ms: u64, from_unix_ms: u64) -> i64 {
    unix_ms.cast_signed() - from_unix_ms.cast_signed()
}
