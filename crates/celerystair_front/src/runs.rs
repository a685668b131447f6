//! Runs of requests at upstreams, and how each ended: whether its upstream may have crashed.

use std::rc::Rc;

use celerystair_core::prelude::*;
use celerystair_policy::prelude::*;

use crate::{
    dialect::PromptPart, front::PlatformRouter, request::CallerRequest, upstream::Upstream,
};

/// How long a run without an answer is remembered: an incarnation that crashes without closing its
/// connections leaves the list of upstreams within a few seconds.
const UNANSWERED_RETENTION_MS: u64 = 10_000;
/// The most unanswered runs that are remembered; the oldest is dropped first.
const UNANSWERED_MAX: usize = 256;

/// A request that was sent to an upstream.
#[derive(Clone)]
pub struct Run {
    /// The request's id.
    pub request: RequestId,
    /// The request's route.
    pub route: Rc<Route>,
    /// The request's fingerprint.
    pub fingerprint: u64,
    /// The upstream that the request was sent to.
    pub upstream: Rc<Upstream>,
    /// The parts of the request's prompt that other requests may share.
    pub prompt_parts: Rc<[PromptPart]>,
    /// When the request was sent.
    pub sent_unix_ms: u64,
    /// When the first part of the response had arrived; `None` before that.
    pub writing_since_unix_ms: Option<u64>,
    /// Whether parts of the response have been arriving for [`FRESH_MS`].
    pub has_survived: bool,
}

impl Run {
    /// Returns the crash of the run's upstream, as it counts for the parts of the prompt. The run ended
    /// at `ended_unix_ms`; before `now_unix_ms` if it fell silent and the upstream was found to be gone
    /// later.
    pub fn part_crash(&self, ended_unix_ms: u64, now_unix_ms: u64) -> PartCrash {
        let writing_since = self.writing_since_unix_ms;
        PartCrash {
            id: self.upstream.incarnation().crash_id(),
            request: self.fingerprint as u32,
            since_unix_ms: if ended_unix_ms < now_unix_ms {
                self.sent_unix_ms
            } else {
                self.sent_unix_ms
                    .max(now_unix_ms.saturating_sub(SAME_CAUSE_MS))
            },
            ended_unix_ms: now_unix_ms,
            is_fresh: writing_since.is_none_or(|since| ended_unix_ms < since + FRESH_MS),
        }
    }
}

/// A run in progress. When it is dropped without an outcome, because the router gave up on the
/// upstream or the caller left, it is remembered in case the upstream turns out to have crashed.
pub struct RunGuard {
    router: PlatformRouter,
    run: Option<Run>,
}

impl RunGuard {
    /// Starts a run of `request` at `upstream`.
    pub fn start(
        router: &PlatformRouter,
        request: &CallerRequest,
        upstream: &Rc<Upstream>,
    ) -> Self {
        Self {
            router: router.clone(),
            run: Some(Run {
                request: request.head.id.clone(),
                route: request.route.clone(),
                fingerprint: request.fingerprint,
                upstream: upstream.clone(),
                prompt_parts: request.head.prompt_parts.clone(),
                sent_unix_ms: now_unix_ms(),
                writing_since_unix_ms: None,
                has_survived: false,
            }),
        }
    }

    /// Returns when the request was sent; 0 once the run has ended.
    pub fn sent_unix_ms(&self) -> u64 {
        self.run.as_ref().map_or(0, |run| run.sent_unix_ms)
    }

    /// Records that a part of the response has arrived. Once parts have been arriving for
    /// [`FRESH_MS`], the upstream has survived the beginning of the answer.
    pub fn mark_writing(&mut self) {
        let Some(run) = &mut self.run else {
            return;
        };
        let now = now_unix_ms();
        let since_unix_ms = *run.writing_since_unix_ms.get_or_insert(now);
        if !run.has_survived && now >= since_unix_ms + FRESH_MS {
            run.has_survived = true;
            self.router.record_part_survival(run, since_unix_ms);
        }
    }

    /// Ends the run: the upstream answered, or never received the request.
    pub fn finish(&mut self) {
        self.run = None;
    }

    /// Ends the run: its answer has been passed on whole.
    pub fn complete(&mut self) {
        if let Some(run) = self.run.take() {
            let duration_ms = now_unix_ms().saturating_sub(run.sent_unix_ms);
            let mut durations = self.router.answer_durations.borrow_mut();
            durations.record(&run.route.name, duration_ms);
        }
    }

    /// Records that the answer was given up before it was whole, which tells how long it takes at least.
    fn record_unfinished(&self, run: &Run) {
        let duration_ms = now_unix_ms().saturating_sub(run.sent_unix_ms);
        let mut durations = self.router.answer_durations.borrow_mut();
        durations.record_unfinished(&run.route.name, duration_ms);
    }

    /// Ends the run: its connection was lost before the answer was complete.
    pub fn lose(&mut self) {
        if let Some(run) = self.run.take() {
            self.record_unfinished(&run);
            self.router.record_crash(&run, now_unix_ms());
        }
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if let Some(run) = self.run.take() {
            self.record_unfinished(&run);
            self.router.unanswered_runs.borrow_mut().push(run);
        }
    }
}

/// Runs that ended without an answer at upstreams that may have crashed.
#[derive(Default)]
pub struct UnansweredRuns {
    /// Each run, and when the router gave up on it.
    runs: Vec<(Run, u64)>,
}

impl UnansweredRuns {
    fn push(&mut self, run: Run) {
        let surplus = (self.runs.len() + 1).saturating_sub(UNANSWERED_MAX);
        self.runs.drain(..surplus);
        self.runs.push((run, now_unix_ms()));
    }

    /// Removes the runs whose upstream has ended, and returns each with the time at which the
    /// router gave up on it.
    fn take_crashed(&mut self, has_crashed: impl Fn(&Upstream) -> bool) -> Vec<(Run, u64)> {
        let now = now_unix_ms();
        self.runs
            .retain(|(_, ended_unix_ms)| now < ended_unix_ms + UNANSWERED_RETENTION_MS);
        let crashed = |(run, _): &mut (Run, u64)| has_crashed(&run.upstream);
        self.runs.extract_if(.., crashed).collect()
    }
}

/// Records a crash for each run without an answer whose upstream has ended since without notice.
pub fn record_silent_crashes(router: &PlatformRouter) {
    let has_crashed = |upstream: &Upstream| {
        let is_leaving = upstream.state() == UpstreamState::Draining;
        !is_leaving && router.view.has_ended(upstream)
    };
    let mut unanswered = router.unanswered_runs.borrow_mut();
    let crashed = unanswered.take_crashed(has_crashed);
    drop(unanswered);
    for (run, ended_unix_ms) in crashed {
        router.record_crash(&run, ended_unix_ms);
    }
}
