//! The choice of a slot for one request: a loaded replica that is short of queue, else the
//! replica that will be ready first.

use celerystair_core::{prelude::*, rendezvous::weight};
use celerystair_protocol::ReplicaState;

/// Milliseconds of expected wait that count as none: among replicas this close, the one that
/// has likely cached the request's prefix is taken.
const AFFINITY_WAIT_MS: u64 = 20;
/// What an upstream whose state is not known is taken to need for a cold start.
const UNKNOWN_LOAD_MS: u64 = 10_000;

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
    pub leaving: bool,
}

/// The index of the candidate that is expected to start the request first. `affinity` is a
/// hash of the request's prefix, or of its model when there is no prefix to share.
pub fn choose(candidates: &[Candidate], affinity: &str, now_unix_ms: u64) -> Option<usize> {
    let open = candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| !candidate.leaving);
    let waits: Vec<(usize, u64)> = open
        .map(|(index, candidate)| (index, expected_wait_ms(candidate, now_unix_ms)))
        .collect();
    let shortest = waits.iter().map(|(_, wait_ms)| *wait_ms).min()?;
    waits
        .into_iter()
        .filter(|(_, wait_ms)| *wait_ms <= shortest + AFFINITY_WAIT_MS)
        .max_by_key(|(index, _)| weight(affinity, &candidates[*index].upstream))
        .map(|(index, _)| index)
}

/// How long a request is expected to wait at the candidate before it starts.
pub fn expected_wait_ms(candidate: &Candidate, now_unix_ms: u64) -> u64 {
    let ready_ms = match candidate.state {
        ReplicaState::Loaded => 0,
        ReplicaState::Loading => candidate.ready_unix_ms.saturating_sub(now_unix_ms),
        // All routers must guess alike, or a burst wakes every slot of the model.
        ReplicaState::Unloaded | ReplicaState::Unspecified | ReplicaState::Unloading => {
            UNKNOWN_LOAD_MS
        }
    };
    let over = candidate
        .outstanding
        .saturating_sub(candidate.running_max.max(1));
    ready_ms + candidate.queue_delay_ms + u64::from(over) * AFFINITY_WAIT_MS
}
