//! The choice of a slot for one request: a loaded replica that is short of queue, else the
//! replica that will be ready first, else the first slot of the placement.

use celerystair_core::{prelude::*, rendezvous::weight};
use celerystair_protocol::ReplicaState;

/// Milliseconds of expected wait that count as none: among replicas this close, the one that
/// has likely cached the request's prefix is taken.
const AFFINITY_WAIT_MS: u64 = 20;
/// A queue longer than this is worth waking another slot of the model.
const SPILL_WAIT_MS: u64 = 2_000;

/// An upstream that may serve a request, and what the router last heard of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The state of the replica, as last heard.
    pub state: ReplicaState,
    /// When the replica is expected to be ready, if it is loading.
    pub ready_unix_ms: u64,
    /// The wait that the upstream last reported for a loaded replica.
    pub queue_delay_ms: u64,
    /// Requests that this router has there and that the report may not count yet.
    pub outstanding: u32,
    /// Requests that the upstream runs at once.
    pub running_max: u32,
    /// Whether it takes nothing new.
    pub is_leaving: bool,
}

/// The index of the candidate that is expected to start the request first.
///
/// `candidates` stand in the order of the placement's slots, and `affinity` is a hash of the
/// request's prefix. A slot is woken only when no open slot of the model is loaded and short
/// of queue, or on its way: what holds up one load holds up the next as well, and a second
/// replica would only take the weight store's time from other models. Nothing here is random,
/// so that routers without news guess alike; see `docs/COLD_STARTS.md`.
pub fn choose_slot(candidates: &[Candidate], affinity: &str, now_unix_ms: u64) -> Option<usize> {
    let open = || {
        candidates
            .iter()
            .enumerate()
            .filter(|(_, candidate)| !candidate.is_leaving)
    };
    let in_state = |state: ReplicaState| open().filter(move |(_, c)| c.state == state);
    let short = in_state(ReplicaState::Loaded).filter(|(_, c)| queue_wait_ms(c) < SPILL_WAIT_MS);
    if let Some(index) = shortest_queue(short, affinity) {
        return Some(index);
    }
    let soonest = in_state(ReplicaState::Loading).min_by_key(|(_, c)| c.ready_unix_ms);
    if let Some((index, loading)) = soonest {
        let ready_ms = loading.ready_unix_ms.saturating_sub(now_unix_ms);
        return in_state(ReplicaState::Loaded)
            .map(|(index, c)| (queue_wait_ms(c), index))
            .min()
            .filter(|(wait_ms, _)| *wait_ms <= ready_ms)
            .map_or(Some(index), |(_, index)| Some(index));
    }
    open()
        .find(|(_, candidate)| candidate.state != ReplicaState::Loaded)
        .map(|(index, _)| index)
        .or_else(|| shortest_queue(in_state(ReplicaState::Loaded), affinity))
}

/// Among the candidates whose queues are about as short as the shortest, the one that has
/// likely cached the request's prefix.
fn shortest_queue<'a>(
    candidates: impl Iterator<Item = (usize, &'a Candidate)>,
    affinity: &str,
) -> Option<usize> {
    let waits: Vec<(usize, &Candidate, u64)> = candidates
        .map(|(index, candidate)| (index, candidate, queue_wait_ms(candidate)))
        .collect();
    let shortest = waits.iter().map(|(_, _, wait_ms)| *wait_ms).min()?;
    waits
        .into_iter()
        .filter(|(_, _, wait_ms)| *wait_ms <= shortest + AFFINITY_WAIT_MS)
        .max_by_key(|(_, candidate, _)| weight(affinity, &candidate.upstream))
        .map(|(index, _, _)| index)
}

/// How long a request is expected to wait at a loaded replica before it starts.
fn queue_wait_ms(candidate: &Candidate) -> u64 {
    let over = candidate
        .outstanding
        .saturating_sub(candidate.running_max.max(1));
    candidate.queue_delay_ms + u64::from(over) * AFFINITY_WAIT_MS
}
