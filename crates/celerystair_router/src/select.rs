//! Selects the upstream for the next attempt of a request.

use std::rc::Rc;

use celerystair_config::{fleet, fleet::WakePolicy};
use celerystair_core::{prelude::*, rendezvous::weight, time::before_deadline};
use celerystair_journal::prelude::*;
use celerystair_placement::prelude::*;
use celerystair_platform::{
    objects::{AGENT_KEY_PREFIX, PLACEMENT_KEY_PREFIX},
    prelude::{InstanceState, Object},
};
use celerystair_protocol::{News, ReplicaState};

use crate::{
    caller_request::{CallerRequest, Target},
    peers::Peer,
    router::Router,
    serve::response_deadline_unix_ms,
};

/// Timeout for reading a placement or an agent's object from the store.
const REFRESH_TIMEOUT_MS: u64 = 500;
/// The minimum time between two reads of agents' objects.
const AGENT_READ_INTERVAL_MS: u64 = 1000;

/// The upstream chosen for an attempt.
pub struct ChosenUpstream {
    /// The upstream's agent.
    pub peer: Rc<Peer>,
    /// The generation of the placement that was used; 0 for a plain service.
    pub generation: u64,
    /// The expected wait in the upstream's queue, without a cold start.
    pub queue_wait_ms: u64,
}

impl ChosenUpstream {
    /// Describes the upstream's last known state, for the timeline.
    pub fn describe(&self, target: &Target) -> String {
        let load = self.peer.load.borrow();
        let state = match target {
            Target::Model(model) => self.peer.replica_state(&model.base).0.as_str_name(),
            Target::Service(_) => "SERVICE",
        };
        format!(
            "{}, {} outstanding from this router, {} queued at the upstream, queue delay {} ms",
            state.to_lowercase(),
            self.peer.outstanding.get(),
            load.waiting,
            load.queue_delay_ms
        )
    }
}

/// Chooses an upstream that is not in `tried`; `None` if there is none.
pub fn choose_upstream(
    router: &Router,
    request: &CallerRequest,
    tried: &HashSet<UpstreamId>,
) -> Option<ChosenUpstream> {
    let (mut names, generation) = eligible_upstreams(router, &request.target);
    let wake = router.node.config.current().defaults.wake;
    if wake == WakePolicy::EachRouter {
        names.sort_by_key(|name| weight(&router.node.name, name));
    }
    let mut peers = Vec::new();
    let mut candidates = Vec::new();
    let model = match &request.target {
        Target::Model(model) => model.base.as_str(),
        Target::Service(_) => "",
    };
    for name in names.iter().filter(|name| !tried.contains(name.as_str())) {
        let Some((_, agent)) = router.node.agents.get(name) else {
            continue;
        };
        let is_leaving = agent.leaving
            || is_drained(router, name, &agent.failure_domain)
            || router.node.instances.is_gone(&agent.instance)
            || router.node.instances.state(&agent.instance) == Some(InstanceState::Leaving);
        let peer = router.peers.get(name, agent.address, &agent.claim_id);
        let uses_news = wake != WakePolicy::FirstSlotWithoutGossip;
        let (mut state, ready_unix_ms) = if uses_news {
            peer.replica_state(model)
        } else {
            (ReplicaState::Unspecified, 0)
        };
        if model.is_empty() {
            state = ReplicaState::Loaded;
        }
        let load = peer.load.borrow();
        candidates.push(Candidate {
            upstream: name.clone(),
            state,
            ready_unix_ms,
            queue_delay_ms: load.queue_delay_ms,
            outstanding: peer.outstanding.get(),
            running_max: load.running_max,
            is_leaving: is_leaving || peer.is_leaving(),
        });
        drop(load);
        peers.push(peer);
    }
    remove_unreachable(&mut candidates, &mut peers);
    let affinity = match &request.target {
        Target::Model(model) => model.to_string(),
        Target::Service(_) => request.id.to_string(),
    };
    let index = if request.is_idempotent {
        choose_slot(&candidates, &affinity, now_unix_ms())?
    } else {
        choose_for_key(&candidates, request)?
    };
    let peer = peers.swap_remove(index);
    peer.record_chosen();
    let queue_wait_ms = remaining_queue_wait_ms(&peer.load.borrow());
    Some(ChosenUpstream {
        peer,
        generation,
        queue_wait_ms,
    })
}

/// Removes the upstreams in backoff if another can serve: an attempt at an unreachable upstream
/// costs a second of the request's time and one retry of the budget.
fn remove_unreachable(candidates: &mut Vec<Candidate>, peers: &mut Vec<Rc<Peer>>) {
    let is_reachable: Vec<bool> = peers.iter().map(|peer| !peer.is_in_backoff()).collect();
    let mut zipped = candidates.iter().zip(&is_reachable);
    if !zipped.any(|(candidate, is_reachable)| *is_reachable && !candidate.is_leaving) {
        return;
    }
    let mut keep = is_reachable.iter();
    candidates.retain(|_| keep.next() == Some(&true));
    let mut keep = is_reachable.iter();
    peers.retain(|_| keep.next() == Some(&true));
}

/// Returns the index of the upstream for a call that is not idempotent. Keys of one journal shard
/// go to one upstream, so that its agent can batch their writes. This is only an optimisation: the
/// journal prevents a second execution at any upstream.
fn choose_for_key(candidates: &[Candidate], request: &CallerRequest) -> Option<usize> {
    let key = CallKey {
        organisation: request.organisation.clone(),
        key: request.idempotency_key.clone(),
    };
    let shard = shard_of(&key).to_string();
    let staying = candidates.iter().enumerate().filter(|(_, c)| !c.is_leaving);
    staying
        .max_by_key(|(_, candidate)| weight(&shard, &candidate.upstream))
        .map(|(index, _)| index)
}

/// Returns the last reported queue delay minus the age of the report, so that a stale report
/// doesn't shed requests for ever.
fn remaining_queue_wait_ms(load: &News) -> u64 {
    let age_ms = now_unix_ms().saturating_sub(load.sent_unix_ms);
    load.queue_delay_ms.saturating_sub(age_ms)
}

/// Whether an operator has drained the upstream.
fn is_drained(router: &Router, upstream: &str, failure_domain: &str) -> bool {
    let config = router.node.config.current();
    fleet::values_for_upstream(&config, failure_domain, upstream, now_unix_ms()).drain
}

/// Returns the upstreams that may serve the target, which are the holders of a model's slots or the
/// pool of a service, and the generation of the placement (0 for a service).
fn eligible_upstreams(router: &Router, target: &Target) -> (Vec<UpstreamId>, u64) {
    match target {
        Target::Model(model) => match router.node.placements.get(&model.base) {
            Some((_, placement)) => {
                let slots = placement.slots.iter().map(|slot| slot.upstream.clone());
                (slots.collect(), placement.generation)
            }
            None => (Vec::new(), 0),
        },
        Target::Service(service) => {
            let Some((_, service)) = router.node.services.get(service) else {
                return (Vec::new(), 0);
            };
            let agents = router.node.agents.all().into_iter();
            let pool = agents.filter(|(_, agent)| agent.pool == service.pool);
            (pool.map(|(name, _)| UpstreamId::from(name)).collect(), 0)
        }
    }
}

/// Refreshes the placement of the target's model from the store, after an agent replied that it no
/// longer holds the slot. If the store is unreachable, the known placement stays in use.
pub async fn refresh_placement(router: &Router, request: &CallerRequest) {
    let Target::Model(model) = &request.target else {
        return;
    };
    let key = format!("{PLACEMENT_KEY_PREFIX}{}", model.base);
    if let Some(object) = read_current(router, request, &key).await {
        router.node.placements.apply(&object).ok();
    }
}

/// Refreshes the address of the agent of `upstream` from the store after a connection failed,
/// because the watch may have missed a replacement. A router does so at most once a second, because
/// the agents of a whole failure domain may be unreachable at once.
pub async fn refresh_agent(router: &Router, request: &CallerRequest, upstream: &str) {
    let now = now_unix_ms();
    if now < router.last_agent_read_unix_ms.get() + AGENT_READ_INTERVAL_MS {
        return;
    }
    router.last_agent_read_unix_ms.set(now);
    if let Some(object) =
        read_current(router, request, &format!("{AGENT_KEY_PREFIX}{upstream}")).await
    {
        router.node.agents.apply(&object).ok();
    }
}

/// Reads an object from the store; `None` on an error, or after [`REFRESH_TIMEOUT_MS`] or the
/// request's response deadline.
async fn read_current(router: &Router, request: &CallerRequest, key: &str) -> Option<Object> {
    let read = router.node.store.get(key);
    let response_deadline_unix_ms = response_deadline_unix_ms(router, request);
    let deadline_unix_ms = response_deadline_unix_ms.min(now_unix_ms() + REFRESH_TIMEOUT_MS);
    before_deadline(deadline_unix_ms, read)
        .await?
        .ok()
        .flatten()
}
