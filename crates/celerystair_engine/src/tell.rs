//! What the agent tells and hears.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    pin::pin,
};

use celerystair_core::prelude::*;
use celerystair_news::prelude::*;
use celerystair_policy::prelude::*;
use celerystair_telemetry::prelude::*;
use futures_util::future::{Either, select};

use crate::agent::EngineAgent;

/// How often the agent tells of its engine when nothing has changed.
const INTERVAL_MS: u64 = 600;
/// The interval grows with the fleet, so that news cost the same processor time in any: for each
/// process that is told, by this much.
const INTERVAL_MS_EACH: u64 = 20;

/// What was told last.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Told {
    loaded: Vec<LoadedModel>,
    loading: Option<ModelName>,
    takes_orders: bool,
    load: u32,
    at_unix_ms: u64,
}

/// A load that has changed by this part of the engine's slots is news: routers fill what they take
/// for empty.
const LOAD_CHANGE_SHARE: f64 = 0.25;
/// But not sooner than this after the last news.
const LOAD_INTERVAL_MS: u64 = 200;

/// Tells routers and other agents of the engine, if anything has changed or it is time.
pub async fn tell(agent: &EngineAgent) {
    let now = now_unix_ms();
    agent.demand.remove_expired(now);
    let Some(status) = status(agent, now) else {
        return;
    };
    let peers = peers(agent, now);
    let interval_ms = INTERVAL_MS.max(INTERVAL_MS_EACH * peers.len() as u64);
    let is_same = {
        let told = agent.told.borrow();
        told.loaded == status.loaded
            && told.loading == status.loading
            && told.takes_orders == status.takes_orders
            && now < told.at_unix_ms + interval_ms
            && !has_load_changed(agent, &told, &status, now)
    };
    if is_same {
        return;
    }
    *agent.told.borrow_mut() = Told {
        loaded: status.loaded.clone(),
        loading: status.loading.clone(),
        takes_orders: status.takes_orders,
        load: status.running + status.waiting,
        at_unix_ms: now,
    };
    let targets = gossip_targets(&agent.settings.failure_domain, &peers, agent.sequence.get());
    log_unsent(
        agent,
        agent
            .socket
            .send(&GossipMessage::Engine(status), &targets)
            .await,
    );
}

fn has_load_changed(agent: &EngineAgent, told: &Told, status: &EngineStatus, now: u64) -> bool {
    let changed_by = (status.running + status.waiting).abs_diff(told.load);
    let least = f64::from(agent.slots.get()) * LOAD_CHANGE_SHARE;
    now >= told.at_unix_ms + LOAD_INTERVAL_MS && f64::from(changed_by) >= least.max(1.0)
}

fn log_unsent(agent: &EngineAgent, unsent: Vec<(SocketAddr, std::io::Error)>) {
    for (address, error) in unsent {
        debug!(agent.log, "news_not_sent"; "to" => %address, "error" => %error);
    }
}

/// The routers that ask for its models, and the other agents.
fn peers(agent: &EngineAgent, now_unix_ms: u64) -> Vec<Peer> {
    let mut peers = agent.demand.router_peers();
    peers.extend(other_agents(agent, now_unix_ms));
    peers
}

fn other_agents(agent: &EngineAgent, now_unix_ms: u64) -> impl Iterator<Item = Peer> {
    let own = agent.settings.gossip_listen;
    let heard = agent.engines.fresh_addresses(now_unix_ms);
    let others = agent.demand.known_agents().into_iter();
    others
        .filter(move |(address, _)| IpAddr::V4(*address) != own.ip())
        .map(move |(address, domain)| Peer {
            address: SocketAddr::new(IpAddr::V4(address), own.port()),
            domain,
            can_relay: heard.contains(&address),
        })
}

/// Tells the processes of the agent's own failure domain what came from another one.
async fn tell_on(agent: &EngineAgent, news: &GossipMessage) {
    let now = now_unix_ms();
    let peers: Vec<Peer> = match news {
        GossipMessage::Engine(_) => peers(agent, now),
        GossipMessage::Demand(_) => other_agents(agent, now).collect(),
        GossipMessage::AdaptersWanted(_) => return,
    };
    let domain = &agent.settings.failure_domain;
    let here = relay_targets(domain, &peers, agent.settings.gossip_listen);
    let targets: Vec<GossipTarget> = here
        .into_iter()
        .map(|address| GossipTarget {
            address,
            is_relay: false,
        })
        .collect();
    log_unsent(agent, agent.socket.send(news, &targets).await);
}

/// The engine as others may use it: what is to make room is no longer loaded.
fn status(agent: &EngineAgent, now_unix_ms: u64) -> Option<EngineStatus> {
    let upstream = agent.upstream.borrow().clone()?;
    let state = agent.state.borrow();
    let plan = agent.plan.borrow();
    let leaves = |model: &ModelName| {
        let unload = plan.as_ref().map(|plan| &plan.order.unload);
        unload.is_some_and(|unload| unload.contains(model))
    };
    let loaded = state.loaded.iter().filter(|loaded| !leaves(&loaded.model));
    agent.sequence.set(agent.sequence.get() + 1);
    Some(EngineStatus {
        upstream,
        started_unix_ms: state.born_unix_ms,
        sequence: agent.sequence.get(),
        loaded: loaded.cloned().collect(),
        loading: plan.as_ref().map(|plan| plan.order.load.clone()),
        ready_unix_ms: plan
            .as_ref()
            .map_or(0, |plan| plan.expected_unix_ms(now_unix_ms)),
        cold_loads_seen: agent.cold_loads_seen(now_unix_ms),
        is_loading_cold: plan.as_ref().is_some_and(|plan| plan.order.is_cold),
        waiting: state.waiting,
        running: state.running,
        in_memory: state.in_memory.clone(),
        on_disk: state.on_disk.clone(),
        router_count: agent.demand.router_count() as u32,
        takes_orders: agent.takes_orders(),
        received_unix_ms: now_unix_ms,
        address: match agent.settings.gossip_listen.ip() {
            IpAddr::V4(address) => address,
            IpAddr::V6(_) => Ipv4Addr::UNSPECIFIED,
        },
    })
}

/// Takes in what others tell, until `stop` ends.
pub async fn hear(agent: EngineAgent, stop: Stop) {
    while !stop.is_ended() {
        let heard = pin!(agent.socket.receive(now_unix_ms));
        let heard = match select(heard, pin!(stop.ended())).await {
            Either::Left((heard, _)) => heard,
            Either::Right(_) => return,
        };
        match heard {
            Ok(heard) => {
                let is_new = take(&agent, &heard.message);
                if is_new && heard.should_relay {
                    tell_on(&agent, &heard.message).await;
                }
            }
            Err(error) => {
                warn!(agent.log, "news_not_received"; "error" => %error);
                sleep_ms(INTERVAL_MS).await;
            }
        }
    }
}

/// Takes in one piece of news; false if it is old.
fn take(agent: &EngineAgent, news: &GossipMessage) -> bool {
    match news {
        GossipMessage::Engine(status) => agent.engines.insert_if_newer(status.clone()),
        GossipMessage::Demand(demand) => {
            let is_urgent = demand.models.iter().any(|(_, view)| view.waiting > 0);
            let is_new = agent.demand.insert_if_newer(demand.clone());
            if is_new && is_urgent {
                agent.wake();
            }
            is_new
        }
        GossipMessage::AdaptersWanted(adapters) => {
            agent.note_adapters(adapters);
            agent.wake();
            true
        }
    }
}
