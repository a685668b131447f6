//! Which upstream gets the next attempt of a request.

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
    serve::answer_by_unix_ms,
};

/// How long the store may take to say where a model is placed now, or where an agent listens.
const FOLLOW_TIMEOUT_MS: u64 = 500;
/// The shortest time between two reads of agents' objects.
const AGENT_READ_INTERVAL_MS: u64 = 1000;

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
        let hears = wake != WakePolicy::FirstSlotWithoutGossip;
        let (mut state, ready_unix_ms) = if hears {
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
    leave_out_of_reach(&mut candidates, &mut peers);
    let affinity = match &request.target {
        Target::Model(model) => model.to_string(),
        Target::Service(_) => request.id.to_string(),
    };
    let index = if request.idempotent {
        choose_slot(&candidates, &affinity, now_unix_ms())?
    } else {
        choose_for_key(&candidates, request)?
    };
    let peer = peers.swap_remove(index);
    peer.note_chosen();
    let queue_wait_ms = queue_wait_ms(&peer.load.borrow());
    Some(Chosen {
        peer,
        generation,
        queue_wait_ms,
    })
}

/// Leaves out the upstreams that could not be reached of late, if another can serve: each try
/// would cost the request a second, and a retry of the budget.
fn leave_out_of_reach(candidates: &mut Vec<Candidate>, peers: &mut Vec<Rc<Peer>>) {
    let in_reach: Vec<bool> = peers.iter().map(|peer| !peer.is_out_of_reach()).collect();
    let mut open = candidates.iter().zip(&in_reach);
    if !open.any(|(candidate, in_reach)| *in_reach && !candidate.is_leaving) {
        return;
    }
    let mut keep = in_reach.iter();
    candidates.retain(|_| keep.next() == Some(&true));
    let mut keep = in_reach.iter();
    peers.retain(|_| keep.next() == Some(&true));
}

/// The upstream for a call that may not be repeated: keys of one shard of the journal go to one
/// upstream, whose agent writes many of them at once. Safety does not rest on it.
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

/// The wait that the upstream last reported, less the time since: a report that nothing has
/// renewed must not shed requests for ever.
fn queue_wait_ms(load: &News) -> u64 {
    let age_ms = now_unix_ms().saturating_sub(load.sent_unix_ms);
    load.queue_delay_ms.saturating_sub(age_ms)
}

/// Whether an operator keeps new work from the upstream.
fn is_drained(router: &Router, upstream: &str, failure_domain: &str) -> bool {
    let config = router.node.config.current();
    fleet::values_for_upstream(&config, failure_domain, upstream, now_unix_ms()).drain
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
pub async fn follow_placement(router: &Router, request: &CallerRequest) {
    let Target::Model(model) = &request.target else {
        return;
    };
    let key = format!("{PLACEMENT_KEY_PREFIX}{}", model.base);
    if let Some(object) = read_anew(router, request, &key).await {
        router.node.placements.apply(&object).ok();
    }
}

/// Reads where the agent of `upstream` listens, after it could not be reached: the watch may have
/// missed that another has taken its place. A router reads so once a second at most, because the
/// agents of a whole failure domain may be out of reach at once.
pub async fn follow_agent(router: &Router, request: &CallerRequest, upstream: &str) {
    let now = now_unix_ms();
    if now < router.agent_read_unix_ms.get() + AGENT_READ_INTERVAL_MS {
        return;
    }
    router.agent_read_unix_ms.set(now);
    if let Some(object) = read_anew(router, request, &format!("{AGENT_KEY_PREFIX}{upstream}")).await
    {
        router.node.agents.apply(&object).ok();
    }
}

/// Reads an object from the store, unless that takes long or the caller's time is over.
async fn read_anew(router: &Router, request: &CallerRequest, key: &str) -> Option<Object> {
    let read = router.node.store.get(key);
    let answer_by_unix_ms = answer_by_unix_ms(router, request);
    let deadline_unix_ms = answer_by_unix_ms.min(now_unix_ms() + FOLLOW_TIMEOUT_MS);
    before_deadline(deadline_unix_ms, read)
        .await?
        .ok()
        .flatten()
}
