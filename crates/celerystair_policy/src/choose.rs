//! Load balancing: which upstream gets an attempt.
//!
//! Load reports may be stale after a freeze, and all routers may rush to the one upstream that
//! looks idle. So a router adds what it has sent itself since the report, and breaks ties by
//! rendezvous hashing on the request.
//!
//! Engines prefill prompts between the decode steps of their other requests, so several prompts at
//! once stall all streams of an engine. Prompts that arrive together are spread over the upstreams.

use celerystair_core::{prelude::*, rendezvous::weight};

/// An upstream that could take the attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate<'a> {
    /// Its identifier.
    pub upstream: &'a UpstreamId,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Requests that ran or waited there by its latest load report; 0 if there is none.
    pub reported_load: u32,
    /// Requests of this router that are in flight there.
    pub own_load: u32,
    /// Requests that this router has sent there since the load report.
    pub sent_since_report: u32,
    /// Prompt tokens that this router has sent there and that are still in prefill.
    pub prefill_tokens: u64,
    /// Whether it is in the router's failure domain.
    pub is_same_domain: bool,
    /// Whether it is in backoff after failures; see [`crate::health`].
    pub is_in_backoff: bool,
}

/// Loads are compared in steps of this share of the slots, so that the failure domain decides among
/// upstreams with similar load.
const LOAD_STEP_SHARE: f64 = 0.125;

/// Prefill is compared in steps of this many prompt tokens: fewer delay the streams of an engine by
/// less than the pause that is allowed.
const PREFILL_STEP_TOKENS: u64 = 500;

/// Between two load reports a router may send this many times its fair share of the free capacity:
/// not all routers have requests for the same upstream, and if they do, an engine queues three
/// times as many as it runs.
const FAIR_SHARE_FACTOR: f64 = 3.0;
/// The least that a router may send between two load reports, so that a large fleet doesn't leave
/// an idle upstream unused.
const SENT_SINCE_REPORT_MIN: f64 = 2.0;

/// The most requests per slot that an engine is sent; more wait at the router, because a request that is
/// queued at an engine can no longer go to another one.
const ENGINE_LOAD_PER_SLOT_MAX: f64 = 1.25;
/// The same for streams that go on, which may have few engines to go on at. These admit them before what
/// has begun nothing, so that they don't queue for long.
const ONGOING_LOAD_PER_SLOT_MAX: f64 = 2.5;
/// The least urgent rank that engines know.
const URGENCY_RANK_MAX: u32 = 9;

/// Returns the most requests per slot that an engine is sent. `is_ongoing` tells whether the request is for
/// the rest of a stream of which its caller has events.
pub fn engine_load_per_slot_max(is_ongoing: bool) -> f64 {
    if is_ongoing {
        ONGOING_LOAD_PER_SLOT_MAX
    } else {
        ENGINE_LOAD_PER_SLOT_MAX
    }
}

/// Returns the urgency with which an engine admits a request, where 0 is first. A stream that goes on can
/// do so only at engines of its software version, which new streams fill as well, though they could begin
/// elsewhere; what was done for it is lost if it can't.
pub fn engine_urgency(route_rank: u32, is_ongoing: bool) -> u32 {
    if is_ongoing {
        0
    } else {
        route_rank.min(URGENCY_RANK_MAX)
    }
}

/// Whether an upstream that takes `load_per_slot_max` requests per slot has capacity for one more
/// request of this router, which is one of `routers`. When a model has just been loaded, every
/// router has requests waiting for it, and all of them see the same free slots.
pub fn has_capacity(candidate: &Candidate<'_>, load_per_slot_max: f64, routers: u32) -> bool {
    let load_max = f64::from(candidate.slots) * load_per_slot_max;
    let free = load_max - f64::from(candidate.reported_load);
    let share = (free * FAIR_SHARE_FACTOR / f64::from(routers.max(1))).max(SENT_SINCE_REPORT_MIN);
    f64::from(load(candidate)) < load_max && f64::from(candidate.sent_since_report) < share
}

/// Returns the index of the best of `candidates` for the request with the identifier `request`, or
/// `None` if there are no candidates.
///
/// There is no prefix affinity on purpose: a shared prompt prefix is soon cached at every upstream,
/// and requests that share it would arrive at one upstream in bursts.
pub fn choose_upstream(candidates: &[Candidate<'_>], request: &str) -> Option<usize> {
    let key = |candidate: &Candidate<'_>| {
        let slots = f64::from(candidate.slots.max(1));
        let load = f64::from(load(candidate)) / slots;
        let step = ((load / LOAD_STEP_SHARE) as u64)
            .saturating_add(candidate.prefill_tokens / PREFILL_STEP_TOKENS);
        let rank = u64::MAX - weight(request, candidate.upstream);
        (
            candidate.is_in_backoff,
            step,
            !candidate.is_same_domain,
            rank,
        )
    };
    (0..candidates.len()).min_by_key(|index| key(&candidates[*index]))
}

fn load(candidate: &Candidate<'_>) -> u32 {
    let reported_load = candidate.reported_load;
    let estimated = reported_load.saturating_add(candidate.sent_since_report);
    estimated.max(candidate.own_load)
}
