//! Whether a request waits for a replica, and what a refusal says. Answers a rare model that many
//! callers ask for at once, and a store of weights that is slow: who can't be served before the
//! caller leaves is refused at once, and told when there will be a replica.

use crate::fleet::ModelConfig;

/// What is known when a request finds no replica that could take it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitInputs {
    /// When a replica is expected to take requests, after those that wait already.
    pub ready_unix_ms: u64,
    /// When the caller leaves.
    pub caller_gives_up_unix_ms: u64,
    /// When the caller's own deadline ends.
    pub deadline_unix_ms: u64,
    /// Requests that wait at this router.
    pub waiting: usize,
    /// Requests that may wait there.
    pub waiting_max: usize,
}

/// What to do with the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WaitDecision {
    /// It waits, at the longest until this time.
    Wait {
        /// When it is refused after all.
        until_unix_ms: u64,
    },
    /// It is refused now.
    Refuse {
        /// When the caller should come back.
        retry_after_ms: u64,
    },
}

/// Kept from the caller's time for the answer's first event, at an engine that has just loaded the
/// model and has a queue at once. Who is refused by then can still come back; who leaves can't.
const ANSWER_MS: u64 = 400;
/// A caller that is told to come back waits at least this long.
const RETRY_AFTER_MIN_MS: u64 = 100;
/// Callers honour a time up to this part of what they have left.
const RETRY_AFTER_SHARE: u64 = 3;

/// Decides whether the request waits.
pub fn decide_wait(inputs: &WaitInputs, now_unix_ms: u64) -> WaitDecision {
    let until_unix_ms = inputs
        .caller_gives_up_unix_ms
        .min(inputs.deadline_unix_ms)
        .saturating_sub(ANSWER_MS);
    let is_in_time = inputs.ready_unix_ms <= until_unix_ms && now_unix_ms < until_unix_ms;
    if is_in_time && inputs.waiting < inputs.waiting_max {
        return WaitDecision::Wait { until_unix_ms };
    }
    WaitDecision::Refuse {
        retry_after_ms: retry_after_ms(inputs.ready_unix_ms, inputs.deadline_unix_ms, now_unix_ms),
    }
}

/// What is known of the copies of a model's weights.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct KnownCopies {
    /// Whether an engine has one in host memory.
    pub in_memory: bool,
    /// Whether an engine has one on disk.
    pub on_disk: bool,
    /// Engines that could load the model.
    pub engines: usize,
    /// Those of them of which nothing was heard yet.
    pub unreported_engines: usize,
}

/// Without news of this part of the engines, nobody knows that there is no copy: after a loss of
/// all power, engines still have what was on their disks.
const UNHEARD_SHARE: f64 = 0.5;

/// How long a load of the model takes where it is fastest.
pub fn shortest_load_ms(model: &ModelConfig, copies: &KnownCopies) -> u64 {
    let may_be_on_disk = copies.unreported_engines as f64 >= copies.engines as f64 * UNHEARD_SHARE;
    if copies.in_memory {
        model.memory_load_ms
    } else if copies.on_disk || may_be_on_disk {
        model.disk_load_ms
    } else {
        model.cold_load_ms
    }
}

/// When a caller should come back for something that is expected at `ready_unix_ms`.
pub fn retry_after_ms(ready_unix_ms: u64, deadline_unix_ms: u64, now_unix_ms: u64) -> u64 {
    let longest_ms = deadline_unix_ms.saturating_sub(now_unix_ms) / RETRY_AFTER_SHARE;
    ready_unix_ms
        .saturating_sub(now_unix_ms)
        .max(RETRY_AFTER_MIN_MS)
        .min(longest_ms)
}
