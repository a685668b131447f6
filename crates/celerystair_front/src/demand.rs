//! What this router tells agents of its demand, and what it hears from them.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    pin::pin,
    rc::Rc,
};

use celerystair_core::prelude::*;
use celerystair_news::prelude::*;
use celerystair_policy::prelude::*;
use celerystair_telemetry::prelude::*;
use futures_util::future::select;

use crate::{front::PlatformRouter, upstream::Upstream};

/// How often agents are told when nothing is urgent: a few times in the shortest time in which
/// demand moves on.
const INTERVAL_MS: u64 = 500;
/// The shortest pause between two rounds, however much changes.
const GAP_MS: u64 = 15;
/// Both grow with the fleet, so that news cost a router the same processor time in any: for each
/// agent, this much of the interval.
const INTERVAL_MS_EACH: u64 = 25;
/// And this much of the pause.
const GAP_MS_EACH: u64 = 3;
/// Engines of which nothing was heard for so long are forgotten.
const FORGET_MS: u64 = 60_000;

/// Tells agents of this router's demand until `stop` ends.
pub async fn tell_agents(front: PlatformRouter, socket: Rc<GossipSocket>, stop: Stop) {
    // It rises over lives of the router, too.
    let mut sequence = now_unix_ms();
    let (mut round_unix_ms, mut urgent_unix_ms) = (0, 0);
    while !stop.is_ended() {
        let changed = front.listen_demand();
        let engines = front.view.engines();
        let now = now_unix_ms();
        let is_urgent = front.waits_untold.get() && now >= urgent_unix_ms;
        let is_round = now >= round_unix_ms || is_urgent;
        if is_round {
            front.waits_untold.set(false);
            let count = engines.len() as u64;
            round_unix_ms = now + INTERVAL_MS.max(INTERVAL_MS_EACH * count);
            urgent_unix_ms = now + GAP_MS.max(GAP_MS_EACH * count);
            sequence += 1;
            tell_demand(&front, &socket, &engines, sequence).await;
        }
        tell_adapters(&front, &socket, &engines, is_round).await;
        sleep_ms(GAP_MS).await;
        let now = now_unix_ms();
        let wake_unix_ms = if front.waits_untold.get() {
            urgent_unix_ms.min(round_unix_ms)
        } else {
            round_unix_ms
        };
        select(changed, pin!(sleep_until_unix_ms(wake_unix_ms.max(now)))).await;
    }
}

/// Tells the agents of the router's own failure domain, and one of each other domain, what callers
/// ask of each model.
async fn tell_demand(
    front: &PlatformRouter,
    socket: &GossipSocket,
    engines: &[Rc<Upstream>],
    sequence: u64,
) {
    let now = now_unix_ms();
    let peers: Vec<Peer> = engines.iter().map(|e| peer_of(front, e, now)).collect();
    let news = GossipMessage::Demand(RouterDemand {
        router: front.settings.router.clone(),
        sequence,
        models: front.demand(),
        agents: groups(&peers),
        failure_domain: front.settings.failure_domain.clone(),
        address: front.settings.gossip_listen,
        received_unix_ms: now,
    });
    let targets = gossip_targets(&front.settings.failure_domain, &peers, sequence);
    log_unsent(front, socket.send(&news, &targets).await);
}

/// Tells each agent of the adapters that requests wait for, or have used, at its engine: those that
/// have news of that, and all in a round.
async fn tell_adapters(
    front: &PlatformRouter,
    socket: &GossipSocket,
    engines: &[Rc<Upstream>],
    is_round: bool,
) {
    for engine in engines {
        if !engine.wants_adapter.replace(false) && !is_round {
            continue;
        }
        let adapters = engine.adapters_wanted();
        if adapters.is_empty() {
            continue;
        }
        let target = GossipTarget {
            address: agent_of(front, engine),
            is_relay: false,
        };
        let news = GossipMessage::AdaptersWanted(adapters);
        log_unsent(front, socket.send(&news, &[target]).await);
    }
}

fn log_unsent(front: &PlatformRouter, unsent: Vec<(SocketAddr, std::io::Error)>) {
    for (address, error) in unsent {
        debug!(front.log, "news_not_sent"; "to" => %address, "error" => %error);
    }
}

/// An engine's agent runs on the engine's own instance.
fn agent_of(front: &PlatformRouter, engine: &Upstream) -> SocketAddr {
    let address = engine.entry.borrow().address;
    SocketAddr::new(address.ip(), front.settings.gossip_listen.port())
}

fn peer_of(front: &PlatformRouter, engine: &Upstream, now_unix_ms: u64) -> Peer {
    let status = front.engines.get(&engine.id());
    Peer {
        address: agent_of(front, engine),
        domain: engine.entry.borrow().failure_domain.clone(),
        can_relay: status.is_some_and(|status| status.is_fresh(now_unix_ms)),
    }
}

/// The agents by failure domain.
fn groups(peers: &[Peer]) -> Vec<(FailureDomain, Vec<Ipv4Addr>)> {
    let mut groups: HashMap<FailureDomain, Vec<Ipv4Addr>> = HashMap::default();
    for peer in peers {
        if let IpAddr::V4(address) = peer.address.ip() {
            groups.entry(peer.domain.clone()).or_default().push(address);
        }
    }
    groups.into_iter().collect()
}

/// Takes in what agents tell, until `stop` ends.
pub async fn hear_agents(front: PlatformRouter, socket: Rc<GossipSocket>, stop: Stop) {
    let mut forget_unix_ms = 0;
    while !stop.is_ended() {
        let heard = pin!(socket.receive(now_unix_ms));
        let news = match select(heard, pin!(stop.ended())).await {
            futures_util::future::Either::Left((news, _)) => news,
            futures_util::future::Either::Right(_) => return,
        };
        match news {
            Ok(ReceivedGossip {
                message: GossipMessage::Engine(status),
                ..
            }) => {
                front.note_routers(status.router_count, &status.upstream);
                let before = front.engines.get(&status.upstream);
                if front.engines.insert_if_newer(status.clone()) {
                    wake_for(&front, before.as_deref(), &status);
                }
            }
            // What others tell agents.
            Ok(_) => {}
            Err(error) => {
                warn!(front.log, "news_not_received"; "error" => %error);
                sleep_ms(INTERVAL_MS).await;
            }
        }
        let now = now_unix_ms();
        if now >= forget_unix_ms {
            forget_unix_ms = now + FORGET_MS;
            front
                .engines
                .remove_received_before(now.saturating_sub(FORGET_MS));
        }
    }
}

/// Wakes the requests that wait for what has changed at an engine.
fn wake_for(front: &PlatformRouter, before: Option<&EngineStatus>, status: &EngineStatus) {
    if front.waiting.is_empty() {
        return;
    }
    for loaded in &status.loaded {
        let was_same = before.and_then(|before| before.loaded_model(&loaded.model)) == Some(loaded);
        if !was_same {
            front.waiting.wake(&loaded.model);
        }
    }
}
