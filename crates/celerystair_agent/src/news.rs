//! The upstream's load and the state of its replicas, piggybacked on replies to routers.

use celerystair_core::prelude::*;
use celerystair_protocol::{News, ReplicaNews, ReplicaState};

use crate::{agent::Agent, idle, replicas::is_outdated, slots::is_leaving};

/// Returns the replica's state as routers should see it. A replica of an outdated version takes no
/// new requests, so it is reported as unloading.
fn state_for_routers(agent: &Agent, news: &ReplicaNews) -> ReplicaState {
    let replica = agent.replicas.get(&news.model);
    match news.state() {
        ReplicaState::Loaded if replica.is_some_and(|r| is_outdated(agent, &r)) => {
            ReplicaState::Unloading
        }
        state => state,
    }
}

/// Returns when the idle replica of `model` is expected to be unloaded; 0 if there is no idle one.
fn loaded_until(agent: &Agent, model: &str) -> u64 {
    let replica = agent.replicas.get(model).filter(|r| r.is_idle());
    replica.map_or(0, |replica| idle::loaded_until_unix_ms(agent, &replica))
}

/// Returns the agent's news, with the replica of `model` or, if that is `None`, with all replicas.
pub fn news(agent: &Agent, model: Option<&str>) -> News {
    let replicas = agent
        .replicas
        .news()
        .into_iter()
        .filter(|replica| model.is_none_or(|model| replica.model == model));
    let replicas: Vec<ReplicaNews> = replicas
        .map(|replica| ReplicaNews {
            loaded_until_unix_ms: loaded_until(agent, &replica.model),
            state: state_for_routers(agent, &replica).into(),
            placement_generation: agent
                .node
                .placements
                .get(&replica.model)
                .map_or(0, |(_, placement)| placement.generation),
            ..replica
        })
        .collect();
    News {
        upstream: agent.settings.upstream.to_string(),
        instance: agent.settings.instance.to_string(),
        sent_unix_ms: now_unix_ms(),
        free_memory_bytes: agent.ledger.borrow().free_bytes(),
        waiting: agent.queue.waiting(),
        running: agent.queue.running(),
        running_max: agent.queue.running_max(),
        queue_delay_ms: agent.queue.expected_wait_ms(agent.queue.waiting()),
        leaving: is_leaving(agent)
            || agent.claim.is_superseded()
            || agent.is_engine_unreachable.get()
            || agent.crash_state.is_engine_down(),
        replicas,
        agent_life: agent.incarnation.clone(),
    }
}
