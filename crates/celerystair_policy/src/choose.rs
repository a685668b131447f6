//! Which upstream gets an attempt. Answers stale news after a freeze, and the rush of all routers
//! to the one upstream that looks empty: what a router has itself sent since the news was made
//! counts on top of it, and equals are told apart by a draw of the request's own. Answers prompts
//! that arrive together, too: an engine reads prompts between the tokens of its other requests, so
//! several at once hold up all of its streams; each goes where none has just gone.

use celerystair_core::{prelude::*, rendezvous::weight};

/// An upstream that could take the attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate<'a> {
    /// Its name.
    pub upstream: &'a UpstreamId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Requests that ran or waited there by its latest news; 0 if there is none.
    pub reported_load: u32,
    /// Requests of this router that are there.
    pub own_load: u32,
    /// Those of them that were sent after the news was made.
    pub sent_since_report: u32,
    /// Prompt tokens that this router has sent there just now, which it is still reading.
    pub prefill_tokens: u64,
    /// Whether it stands in the router's failure domain.
    pub is_same_domain: bool,
    /// Whether it has failed of late.
    pub is_in_backoff: bool,
}

/// Loads that differ by less than this share of the slots count as equal, so that nearness
/// decides among upstreams that have room.
const EQUAL_LOAD_SHARE: f64 = 0.125;

/// Prompt tokens that delay the streams of an engine by less than they may pause count as none.
const EQUAL_UNREAD_TOKENS: u64 = 500;

/// A router takes so many times its equal part of the room between two pieces of news: not all
/// have requests for the same upstream, and if they have, an engine queues three times as many as it
/// runs.
const ROOM_SHARES: f64 = 3.0;
/// But so many at least, so that a large fleet does not stand still before an empty upstream.
const SENT_MIN: f64 = 2.0;

/// Whether an upstream that takes `load_per_slot_max` requests for each slot has room for one more
/// of a router that is one of `routers`. When a model has just been loaded, every router has
/// requests that wait for it, and all of them see the same empty slots.
pub fn has_capacity(candidate: &Candidate<'_>, load_per_slot_max: f64, routers: u32) -> bool {
    let load_max = f64::from(candidate.slots) * load_per_slot_max;
    let room = load_max - f64::from(candidate.reported_load);
    let share = (room * ROOM_SHARES / f64::from(routers.max(1))).max(SENT_MIN);
    f64::from(load(candidate)) < load_max && f64::from(candidate.sent_since_report) < share
}

/// The best of `candidates` for the request called `request`. `None` only if there is no candidate.
///
/// Requests that share the start of a prompt are not sent to one place on purpose: the shared start
/// is soon kept everywhere, and they would meet in bursts.
pub fn choose_upstream(candidates: &[Candidate<'_>], request: &str) -> Option<usize> {
    let key = |candidate: &Candidate<'_>| {
        let slots = f64::from(candidate.slots.max(1));
        let load = f64::from(load(candidate)) / slots;
        let step =
            (load / EQUAL_LOAD_SHARE) as u64 + candidate.prefill_tokens / EQUAL_UNREAD_TOKENS;
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
    let by_news = candidate.reported_load + candidate.sent_since_report;
    by_news.max(candidate.own_load)
}
