//! Which upstream gets the next attempt of a request.

use std::rc::Rc;

use celerystair_config::{fleet, fleet::WakePolicy};
use celerystair_core::{prelude::*, rendezvous::weight, time::before_deadline};
use celerystair_journal::prelude::*;
use celerystair_placement::prelude::*;
use celerystair_platform::{objects::PLACEMENTS, prelude::InstanceState};
use celerystair_protocol::{News, ReplicaState};

use crate::{
    caller_request::{CallerRequest, Target},
    peers::Peer,
    router::Router,
};

/// How long the store may take to say where a model is placed now.
const FOLLOW_TIMEOUT_MS: u64 = 500;

/// The upstream chosen for an attempt.
pub struct Chosen {
    /// Its agent.
    pub peer: Rc<Peer>,
    /// The generation of the placement by which it was chosen; 0 for a plain service.
    pub generation: u64,
    /// How long the request is expected to wait there for its turn, a cold start left out.
    pub queue_wait_ms: u64,
}

impl Chosen {
    /// What was known of the upstream when it was chosen, for the time line.
    pub fn why(&self, target: &Target) -> String {
        let load = self.peer.load.borrow();
        let state = match target {
            Target::Model(model) => self.peer.replica_state(&model.base).0.as_str_name(),
            Target::Service(_) => "SERVICE",
        };
        format!(
            "{}, {} outstanding here, {} waiting there, queue delay {} ms",
            state.to_lowercase(),
            self.peer.outstanding.get(),
            load.waiting,
            load.queue_delay_ms
        )
    }
}

/// Chooses an upstream that was not tried yet; `None` if there is none.
pub fn choose_peer(
    router: &Router,
    request: &CallerRequest,
    tried: &HashSet<UpstreamId>,
) -> Option<Chosen> {
    let (mut names, generation) = upstreams_of(router, &request.target);
    if router.node.config.current().defaults.wake == WakePolicy::EachRouter {
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
        let (mut state, ready_unix_ms) = peer.replica_state(model);
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
            leaving: is_leaving || peer.is_leaving() || peer.is_unreachable(),
        });
        drop(load);
        peers.push(peer);
    }
    let affinity = match &request.target {
        Target::Model(model) => model.to_string(),
        Target::Service(_) => request.id.to_string(),
    };
    let index = if request.idempotent {
        choose(&candidates, &affinity, now_unix_ms())?
    } else {
        choose_for_key(&candidates, request)?
    };
    let peer = peers.swap_remove(index);
    let queue_wait_ms = queue_wait_ms(&peer.load.borrow());
    Some(Chosen {
        peer,
        generation,
        queue_wait_ms,
    })
}

/// The upstream for a call that may not be repeated: keys of one shard of the journal go to one
/// upstream, whose agent writes many of them at once. Safety does not rest on it.
fn choose_for_key(candidates: &[Candidate], request: &CallerRequest) -> Option<usize> {
    let key = CallKey {
        firm: request.firm.clone(),
        key: request.idempotency_key.clone(),
    };
    let shard = shard_of(&key).to_string();
    let staying = candidates.iter().enumerate().filter(|(_, c)| !c.leaving);
    staying
        .max_by_key(|(_, candidate)| weight(&shard, &candidate.upstream))
        .map(|(index, _)| index)
}

/// The wait that the upstream last reported, less the time since: a report that nothing has
/// renewed must not shed requests for ever.
fn queue_wait_ms(load: &News) -> u64 {
    let age_ms = now_unix_ms().saturating_sub(load.sent_unix_ms);
    load.queue_delay_ms.saturating_sub(age_ms)
}

/// Whether an operator keeps new work from the upstream.
fn is_drained(router: &Router, upstream: &str, failure_domain: &str) -> bool {
    let config = router.node.config.current();
    fleet::for_upstream(&config, failure_domain, upstream, now_unix_ms()).drain
}

/// The upstreams that may serve the target: the holders of a model's slots, or a service's pool.
fn upstreams_of(router: &Router, target: &Target) -> (Vec<UpstreamId>, u64) {
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

/// Reads the placement of the target's model anew, after an agent has said that it no longer
/// holds the slot by which it was chosen. With the store down, what is known stays.
pub async fn follow_placement(router: &Router, target: &Target) {
    let Target::Model(model) = target else {
        return;
    };
    let key = format!("{PLACEMENTS}{}", model.base);
    let read = router.node.store.get(&key);
    let deadline_unix_ms = now_unix_ms() + FOLLOW_TIMEOUT_MS;
    if let Some(Ok(Some(object))) = before_deadline(deadline_unix_ms, read).await {
        router.node.placements.apply(&object).ok();
    }
}
