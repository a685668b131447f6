//! Whether a request that has stalled at its upstream switches to another one.
//!
//! An engine whose memory is full under a burst preempts a run or starts it late, and resumes it
//! after a second or two. A request that is aborted then, with no other upstream to go to, is lost
//! although its answer was on the way; so silence alone aborts none, and the silent response is kept
//! until another upstream has had the time to decline the request.

/// How long the response of a silent upstream is kept after the request was sent to another one. An
/// upstream without room declines within a few milliseconds; one that hasn't declined by then may be
/// running the request, which must not run at two upstreams.
pub const KEEP_SILENT_RESPONSE_MS: u64 = 200;

/// What is known of a request that has received nothing for a while.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StallInputs {
    /// Whether it may run more than once, or, for a stream, resume after its last event.
    pub is_repeatable: bool,
    /// The number of upstreams that have received it.
    pub attempts: u32,
    /// The limit on `attempts`.
    pub attempts_max: u32,
    /// Whether the retry budget allows one more attempt.
    pub has_retry_budget: bool,
    /// Why the router itself would send it to no other upstream.
    pub obstacle: Option<MoveObstacle>,
    /// Whether another upstream can take it now.
    pub has_ready_alternative: bool,
}

/// Why a router sends a request to no other upstream, however many are ready.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MoveObstacle {
    /// The request is suspected of crashing upstreams.
    Suspected,
    /// The router ends before another upstream could answer.
    Stopping,
}

/// Whether the request switches to another upstream; otherwise it keeps waiting for its own.
pub fn should_switch_upstream(inputs: &StallInputs) -> bool {
    inputs.is_repeatable
        && inputs.attempts < inputs.attempts_max
        && inputs.obstacle.is_none()
        && inputs.has_retry_budget
        && inputs.has_ready_alternative
}
