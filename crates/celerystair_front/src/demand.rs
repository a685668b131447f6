//! Gossip with agents: sends this router's demand, and receives the status of engines.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    pin::pin,
    rc::Rc,
};

use celerystair_core::prelude::*;
use celerystair_news::prelude::*;
use celerystair_platform::prelude::ConfigSender;
use celerystair_policy::prelude::*;
use celerystair_telemetry::prelude::*;
use futures_util::future::select;

use crate::{
    front::PlatformRouter,
    origins::{record_origins, record_peers, send_origins},
    suspicion::{merge_part_reports, merge_suspect_reports},
    upstream::Upstream,
};

/// Interval between rounds of gossip when nothing is urgent; a few rounds fit into the shortest
/// time in which demand shifts.
const INTERVAL_MS: u64 = 500;
/// Minimum pause between two rounds, however much changes.
const PAUSE_MS: u64 = 15;
/// Minimum interval per known engine. The interval and the pause grow with the fleet, so that
/// gossip costs a router the same processor time in a fleet of any size.
const INTERVAL_PER_AGENT_MS: u64 = 25;
/// Minimum pause per known engine.
const PAUSE_PER_AGENT_MS: u64 = 3;
/// Agents are told of a rate limit for this long after a response has named it.
const RATE_LIMIT_EXPIRY_MS: u64 = 10_000;
/// The status of an engine is removed if it was not renewed for this long.
const FORGET_AFTER_MS: u64 = 60_000;

/// Sends this router's demand and wanted adapters to agents until `stop` ends.
pub async fn send_demand_to_agents(router: PlatformRouter, socket: Rc<GossipSocket>, stop: Stop) {
    // Starts from the clock, so that the sequence also increases across restarts of the router.
    let mut sequence = now_unix_ms();
    let (mut next_round_unix_ms, mut next_urgent_unix_ms) = (0, 0);
    while !stop.is_ended() {
        let changed = router.listen_for_demand_change();
        let engines = router.view.engines();
        let now = now_unix_ms();
        let is_urgent = router.has_unreported_waits.get() && now >= next_urgent_unix_ms;
        let is_round = now >= next_round_unix_ms || is_urgent;
        if is_round {
            router.has_unreported_waits.set(false);
            let count = engines.len() as u64;
            next_round_unix_ms = now + INTERVAL_MS.max(INTERVAL_PER_AGENT_MS * count);
            next_urgent_unix_ms = now + PAUSE_MS.max(PAUSE_PER_AGENT_MS * count);
            sequence += 1;
            send_demand(&router, &socket, &engines, sequence).await;
        }
        send_wanted_adapters(&router, &socket, &engines, is_round).await;
        sleep_ms(PAUSE_MS).await;
        let now = now_unix_ms();
        let wake_unix_ms = if router.has_unreported_waits.get() {
            next_urgent_unix_ms.min(next_round_unix_ms)
        } else {
            next_round_unix_ms
        };
        select(changed, pin!(sleep_until_unix_ms(wake_unix_ms.max(now)))).await;
    }
}

/// Sends the demand for each model to all agents in the router's own failure domain and to one
/// agent in each other domain, which relays it there.
async fn send_demand(
    router: &PlatformRouter,
    socket: &GossipSocket,
    engines: &[Rc<Upstream>],
    sequence: u64,
) {
    let now = now_unix_ms();
    let peers = gossip_peers(router);
    let message = GossipMessage::Demand(RouterDemand {
        router: router.settings.router.clone(),
        sequence,
        models: router.demand_by_model(),
        agents: group_by_domain(&peers),
        failure_domain: router.settings.failure_domain.clone(),
        rate_limits: recent_rate_limits(engines, now),
        leaving: leaving_upstreams(engines),
        config_version: router.view.configs().version(),
        address: router.settings.gossip_listen,
        started_unix_ms: router.started_unix_ms,
        received_unix_ms: now,
    });
    let targets = gossip_targets(&router.settings.failure_domain, &peers, sequence);
    log_unsent(router, socket.send(&message, &targets).await);
}

/// Returns the rate limits that engines have named lately. An engine that this router sends nothing
/// may have lifted its limit since.
fn recent_rate_limits(engines: &[Rc<Upstream>], now_unix_ms: u64) -> Vec<(UpstreamId, f64)> {
    let limits = engines.iter().filter_map(|engine| {
        let limit = engine.rate_limit.get()?;
        let is_recent = now_unix_ms < limit.named_unix_ms + RATE_LIMIT_EXPIRY_MS;
        is_recent.then(|| (engine.id(), limit.share.per_second))
    });
    limits.collect()
}

/// Returns the engines that have said that they leave.
fn leaving_upstreams(engines: &[Rc<Upstream>]) -> Vec<UpstreamIncarnation> {
    let leaving = engines
        .iter()
        .filter(|engine| engine.has_announced_departure.get());
    leaving.map(|engine| engine.incarnation()).collect()
}

/// Sends each agent the adapters that requests wait for, or have recently used, at its engine. In a
/// regular round all agents are sent theirs, at other times only those with an unreported adapter.
async fn send_wanted_adapters(
    router: &PlatformRouter,
    socket: &GossipSocket,
    engines: &[Rc<Upstream>],
    is_round: bool,
) {
    for engine in engines {
        if !engine.has_unreported_adapter.replace(false) && !is_round {
            continue;
        }
        let adapters = engine.wanted_adapters();
        if adapters.is_empty() {
            continue;
        }
        let target = GossipTarget {
            address: agent_address(router, engine),
            is_relay: false,
        };
        let message = GossipMessage::AdaptersWanted(adapters);
        log_unsent(router, socket.send(&message, &[target]).await);
    }
}

/// Logs the addresses that a datagram could not be sent to.
pub(crate) fn log_unsent(router: &PlatformRouter, unsent: Vec<(SocketAddr, std::io::Error)>) {
    for (address, error) in unsent {
        debug!(router.log, "news_not_sent"; "to" => %address, "error" => %error);
    }
}

/// Returns the gossip address of an engine's agent, which runs on the engine's own instance.
fn agent_address(router: &PlatformRouter, engine: &Upstream) -> SocketAddr {
    let address = engine.entry.borrow().address;
    SocketAddr::new(address.ip(), router.settings.gossip_listen.port())
}

/// Returns the agents of all engines that this router knows.
pub(crate) fn gossip_peers(router: &PlatformRouter) -> Vec<Peer> {
    let now = now_unix_ms();
    let engines = router.view.engines();
    engines
        .iter()
        .map(|engine| gossip_peer(router, engine, now))
        .collect()
}

/// Returns the agents of the engines that this router knows and that don't leave, or of all if none stays.
pub(crate) fn staying_agents(router: &PlatformRouter) -> Vec<Peer> {
    let now = now_unix_ms();
    let engines = router.view.engines();
    let staying = engines
        .iter()
        .filter(|engine| engine.state() == UpstreamState::Ready && !engine.is_replaced());
    let staying: Vec<Peer> = staying
        .map(|engine| gossip_peer(router, engine, now))
        .collect();
    if staying.is_empty() {
        gossip_peers(router)
    } else {
        staying
    }
}

fn gossip_peer(router: &PlatformRouter, engine: &Upstream, now_unix_ms: u64) -> Peer {
    let status = router.engines.get(&engine.id());
    Peer {
        address: agent_address(router, engine),
        domain: engine.entry.borrow().failure_domain.clone(),
        can_relay: status.is_some_and(|status| status.is_fresh(now_unix_ms)),
    }
}

/// Groups the addresses of agents by failure domain.
fn group_by_domain(peers: &[Peer]) -> Vec<(FailureDomain, Vec<Ipv4Addr>)> {
    let mut groups: HashMap<FailureDomain, Vec<Ipv4Addr>> = HashMap::default();
    for peer in peers {
        if let IpAddr::V4(address) = peer.address.ip() {
            groups.entry(peer.domain.clone()).or_default().push(address);
        }
    }
    groups.into_iter().collect()
}

/// Receives the status of engines from their agents until `stop` ends.
pub async fn receive_from_agents(router: PlatformRouter, socket: Rc<GossipSocket>, stop: Stop) {
    let mut next_forget_unix_ms = 0;
    while !stop.is_ended() {
        let received = pin!(socket.receive(now_unix_ms));
        let message = match select(received, pin!(stop.ended())).await {
            futures_util::future::Either::Left((message, _)) => message,
            futures_util::future::Either::Right(_) => return,
        };
        match message {
            Ok(ReceivedGossip {
                message: GossipMessage::Engine(status),
                ..
            }) => {
                router.record_router_count(status.router_count, &status.upstream);
                let agent = status.agent_address(router.settings.gossip_listen.port());
                let sender = agent.map(ConfigSender::Agent);
                router.view.configs().hear(status.config_version, sender);
                if status.is_leaving {
                    record_departure(&router, &status);
                }
                let before = router.engines.get(&status.upstream);
                if router.engines.insert_if_newer(status.clone()) {
                    let run = status.incarnation();
                    router
                        .view
                        .record_start(&run, status.software_version.as_ref());
                    record_peers(&router, &status);
                    wake_changed_models(&router, before.as_deref(), &status);
                }
            }
            Ok(ReceivedGossip {
                message: GossipMessage::Suspects(reports),
                ..
            }) => merge_suspect_reports(&router, &reports),
            Ok(ReceivedGossip {
                message: GossipMessage::SuspectParts(reports),
                ..
            }) => merge_part_reports(&router, &reports),
            Ok(ReceivedGossip {
                message: GossipMessage::StreamOrigins(answers),
                sender,
                ..
            }) => record_origins(&router, &answers, sender),
            Ok(ReceivedGossip {
                message: GossipMessage::StreamOriginsWanted(streams),
                sender,
                ..
            }) => send_origins(&router, &streams, sender).await,
            // Messages that are meant for agents.
            Ok(_) => {}
            Err(error) => {
                warn!(router.log, "news_not_received"; "error" => %error);
                sleep_ms(INTERVAL_MS).await;
            }
        }
        let now = now_unix_ms();
        if now >= next_forget_unix_ms {
            next_forget_unix_ms = now + FORGET_AFTER_MS;
            router
                .engines
                .remove_received_before(now.saturating_sub(FORGET_AFTER_MS));
            router.view.forget_starts(now);
        }
    }
}

/// Records that an engine leaves, as its agent has heard from it or from a router.
fn record_departure(router: &PlatformRouter, status: &EngineStatus) {
    if let Some(upstream) = router.view.run(&status.incarnation()) {
        router.record_departure(&upstream);
    }
}

/// Wakes the requests that wait for a model whose replica at the engine has changed.
fn wake_changed_models(
    router: &PlatformRouter,
    before: Option<&EngineStatus>,
    status: &EngineStatus,
) {
    if router.waiting.is_empty() {
        return;
    }
    for loaded in &status.loaded {
        let was_same = before.and_then(|before| before.loaded_model(&loaded.model)) == Some(loaded);
        if !was_same {
            router.waiting.wake_model(&loaded.model);
        }
    }
}
