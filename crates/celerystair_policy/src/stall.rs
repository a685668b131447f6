//! Whether a request whose upstream has fallen silent goes on at another one. Answers engines whose
//! memory is full under a burst: they put a run back, or begin it late, and it goes on after a second
//! or two. A request that is broken off then, with nowhere to go, is lost though its answer was on
//! the way; so silence alone ends none.

/// What is known of a request that has heard nothing for a while.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StallInputs {
    /// Whether it may run more than once; a stream, whether it may go on after its last event.
    pub is_repeatable: bool,
    /// Upstreams that it has reached.
    pub attempts: u32,
    /// Upstreams that it may reach.
    pub attempts_max: u32,
    /// Whether the retry budget has room for one more attempt.
    pub has_retry_budget: bool,
    /// Whether another upstream takes it now.
    pub has_ready_alternative: bool,
}

/// Whether the request is taken elsewhere; else it waits for its upstream.
pub fn should_switch_upstream(inputs: &StallInputs) -> bool {
    inputs.is_repeatable
        && inputs.attempts < inputs.attempts_max
        && inputs.has_retry_budget
        && inputs.has_ready_alternative
}
