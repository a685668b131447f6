//! The choice of a slot for one request: a loaded replica with a short queue, else the replica that
//! will be ready first, else the first slot of the placement.

use celerystair_core::{prelude::*, rendezvous::weight};
use celerystair_protocol::ReplicaState;

/// Differences in the expected wait up to this are ignored: among such replicas, the one that has
/// likely cached the request's prefix is chosen.
const AFFINITY_WAIT_MS: u64 = 20;
/// If the expected wait is this long or longer, loading another replica of the model is worthwhile.
const SPILL_WAIT_MS: u64 = 2_000;

/// An upstream that may serve a request, as of its latest report to the router.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The last reported state of the replica.
    pub state: ReplicaState,
    /// When the replica is expected to be ready, if it is loading.
    pub ready_unix_ms: u64,
    /// The last reported wait in the queue of a loaded replica.
    pub queue_delay_ms: u64,
    /// Requests of this router in flight there, which the report may not include yet.
    pub outstanding: u32,
    /// Requests that the upstream runs concurrently.
    pub running_max: u32,
    /// Whether it accepts no new requests.
    pub is_leaving: bool,
}

/// Returns the index of the candidate that is expected to start the request first, or `None` if all
/// of them are leaving.
///
/// `candidates` are in the order of the placement's slots, and `affinity` is the key for rendezvous
/// hashing, so that requests with the same key prefer the same replica. A further slot is loaded
/// only if no available slot of the model is loading, or loaded with a short queue: whatever delays
/// one load delays the next as well, and a second replica would only take the weight store's
/// bandwidth from other models. The choice is deterministic, so that routers without reports choose
/// the same slot; see `docs/COLD_STARTS.md`.
pub fn choose_slot(candidates: &[Candidate], affinity: &str, now_unix_ms: u64) -> Option<usize> {
    let available = || {
        candidates
            .iter()
            .enumerate()
            .filter(|(_, candidate)| !candidate.is_leaving)
    };
    let in_state = |state: ReplicaState| available().filter(move |(_, c)| c.state == state);
    let with_short_queue =
        in_state(ReplicaState::Loaded).filter(|(_, c)| queue_wait_ms(c) < SPILL_WAIT_MS);
    if let Some(index) = shortest_queue(with_short_queue, affinity) {
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
    available()
        .find(|(_, candidate)| candidate.state != ReplicaState::Loaded)
        .map(|(index, _)| index)
        .or_else(|| shortest_queue(in_state(ReplicaState::Loaded), affinity))
}

/// Returns the index of the candidate with the shortest queue; among those with about the same
/// queue, the one that has likely cached the request's prefix.
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

/// Returns how long a request is expected to wait at a loaded replica before it starts.
fn queue_wait_ms(candidate: &Candidate) -> u64 {
    let over = candidate
        .outstanding
        .saturating_sub(candidate.running_max.max(1));
    candidate.queue_delay_ms + u64::from(over) * AFFINITY_WAIT_MS
}
