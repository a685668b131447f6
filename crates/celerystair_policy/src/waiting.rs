//! Admission of requests that find no available replica: whether a request waits for one, and when
//! a refused caller may retry. When many callers request a rarely used model at the same time, or
//! the weight store is slow, a request that can't be served before its caller gives up is refused
//! at once, with the time at which a replica is expected.

use crate::fleet::ModelConfig;

/// What is known when a request finds no available replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitInputs {
    /// When a replica is expected to take this request, after those that already wait.
    pub ready_unix_ms: u64,
    /// When the caller is expected to give up.
    pub caller_gives_up_unix_ms: u64,
    /// The deadline of the request.
    pub deadline_unix_ms: u64,
    /// Requests that wait at this router.
    pub waiting: usize,
    /// The most requests that may wait at this router.
    pub waiting_max: usize,
}

/// Whether a request waits or is refused.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WaitDecision {
    /// The request waits for a replica.
    Wait {
        /// When it is refused if it has found no replica by then.
        until_unix_ms: u64,
    },
    /// The request is refused now.
    Refuse {
        /// The time after which the caller should retry.
        retry_after_ms: u64,
    },
}

/// Time that is reserved for the first event of the answer, from an engine that has just loaded the
/// model and already has a queue. A caller that is refused by then can retry; one that has given up
/// can't.
const FIRST_EVENT_RESERVE_MS: u64 = 400;
/// The shortest delay before a retry.
const RETRY_AFTER_MIN_MS: u64 = 100;
/// Callers honour a retry delay of up to their remaining time divided by this.
const RETRY_AFTER_DIVISOR: u64 = 3;

/// Decides whether the request waits or is refused.
pub fn decide_wait(inputs: &WaitInputs, now_unix_ms: u64) -> WaitDecision {
    let until_unix_ms = inputs
        .caller_gives_up_unix_ms
        .min(inputs.deadline_unix_ms)
        .saturating_sub(FIRST_EVENT_RESERVE_MS);
    let is_in_time = inputs.ready_unix_ms <= until_unix_ms && now_unix_ms < until_unix_ms;
    if is_in_time && inputs.waiting < inputs.waiting_max {
        return WaitDecision::Wait { until_unix_ms };
    }
    WaitDecision::Refuse {
        retry_after_ms: retry_after_ms(inputs.ready_unix_ms, inputs.deadline_unix_ms, now_unix_ms),
    }
}

/// What is known of the copies of a model's weights at the engines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct KnownCopies {
    /// Whether an engine has a copy in host memory.
    pub in_memory: bool,
    /// Whether an engine has a copy on disk.
    pub on_disk: bool,
    /// The number of engines that could load the model.
    pub engines: usize,
    /// The number of those that have not reported their state yet.
    pub unreported_engines: usize,
}

/// While this share of the engines has not reported, a copy on disk is assumed: after a loss of all
/// power, engines still have what was on their disks.
const UNREPORTED_SHARE: f64 = 0.5;

/// Returns the duration of a load of the model from its fastest known copy.
pub fn shortest_load_ms(model: &ModelConfig, copies: &KnownCopies) -> u64 {
    let may_be_on_disk =
        copies.unreported_engines as f64 >= copies.engines as f64 * UNREPORTED_SHARE;
    if copies.in_memory {
        model.memory_load_ms
    } else if copies.on_disk || may_be_on_disk {
        model.disk_load_ms
    } else {
        model.cold_load_ms
    }
}

/// Returns the delay after which a caller should retry if a replica is expected at `ready_unix_ms`.
pub fn retry_after_ms(ready_unix_ms: u64, deadline_unix_ms: u64, now_unix_ms: u64) -> u64 {
    let longest_ms = deadline_unix_ms.saturating_sub(now_unix_ms) / RETRY_AFTER_DIVISOR;
    ready_unix_ms
        .saturating_sub(now_unix_ms)
        .max(RETRY_AFTER_MIN_MS)
        .min(longest_ms)
}
