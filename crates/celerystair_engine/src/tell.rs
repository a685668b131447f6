//! Sending the engine's status, and receiving and relaying gossip.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    pin::pin,
};

use celerystair_core::prelude::*;
use celerystair_news::prelude::*;
use celerystair_platform::prelude::ConfigSender;
use celerystair_policy::prelude::*;
use celerystair_telemetry::prelude::*;
use futures_util::future::{Either, select};

use crate::{
    agent::EngineAgent,
    origins::{record_start, send_origins},
    suspicion::{merge_part_reports, merge_suspect_reports, send_suspects},
};

/// The shortest interval at which the agent sends an unchanged status.
const MIN_STATUS_INTERVAL_MS: u64 = 600;
/// The interval is also at least this long times the number of receivers, so that the CPU time for
/// gossip doesn't grow with the fleet.
const STATUS_INTERVAL_PER_PEER_MS: u64 = 20;

/// The parts of the last sent status that decide whether another one is due.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SentStatus {
    loaded: Vec<LoadedModel>,
    loading: Option<ModelName>,
    takes_orders: bool,
    request_count: u32,
    sent_unix_ms: u64,
}

/// A change of the engine's request count by this share of its slots makes a status due: routers
/// send more requests to an engine that they believe idle.
const REQUEST_COUNT_CHANGE_SHARE: f64 = 0.25;
/// The shortest time between two statuses of which the second only has another request count.
const MIN_REQUEST_COUNT_INTERVAL_MS: u64 = 200;

/// Sends the engine's status to routers and other agents if it has changed or the interval has
/// passed.
pub async fn send_status_if_due(agent: &EngineAgent) {
    let now = now_unix_ms();
    agent.router_demand.remove_expired(now);
    let Some(status) = build_status(agent, now) else {
        return;
    };
    let peers = status_receivers(agent, now);
    let interval_ms = MIN_STATUS_INTERVAL_MS.max(STATUS_INTERVAL_PER_PEER_MS * peers.len() as u64);
    let is_current = {
        let sent = agent.last_sent.borrow();
        sent.loaded == status.loaded
            && sent.loading == status.loading
            && sent.takes_orders == status.takes_orders
            && now < sent.sent_unix_ms + interval_ms
            && !has_request_count_changed(agent, &sent, &status, now)
    };
    if is_current {
        return;
    }
    *agent.last_sent.borrow_mut() = SentStatus {
        loaded: status.loaded.clone(),
        loading: status.loading.clone(),
        takes_orders: status.takes_orders,
        request_count: status.running.saturating_add(status.waiting),
        sent_unix_ms: now,
    };
    let targets = gossip_targets(
        &agent.settings.failure_domain,
        &peers,
        agent.gossip_sequence.get(),
    );
    log_send_failures(
        agent,
        agent
            .gossip_socket
            .send(&GossipMessage::Engine(status), &targets)
            .await,
    );
}

/// Whether the engine's request count has changed enough since the last status, and long enough
/// ago, to send another one.
fn has_request_count_changed(
    agent: &EngineAgent,
    sent: &SentStatus,
    status: &EngineStatus,
    now_unix_ms: u64,
) -> bool {
    let request_count = status.running.saturating_add(status.waiting);
    let change = request_count.abs_diff(sent.request_count);
    let min_change = f64::from(agent.engine_slots.get()) * REQUEST_COUNT_CHANGE_SHARE;
    now_unix_ms >= sent.sent_unix_ms + MIN_REQUEST_COUNT_INTERVAL_MS
        && f64::from(change) >= min_change.max(1.0)
}

pub(crate) fn log_send_failures(agent: &EngineAgent, failures: Vec<(SocketAddr, std::io::Error)>) {
    for (address, error) in failures {
        debug!(agent.log, "news_not_sent"; "to" => %address, "error" => %error);
    }
}

/// Returns the processes that use the status of an engine: the routers and the other agents.
pub(crate) fn status_receivers(agent: &EngineAgent, now_unix_ms: u64) -> Vec<Peer> {
    let mut peers = agent.router_demand.router_peers();
    peers.extend(other_agents(agent, now_unix_ms));
    peers
}

pub(crate) fn other_agents(agent: &EngineAgent, now_unix_ms: u64) -> impl Iterator<Item = Peer> {
    let own = agent.settings.gossip_listen;
    let fresh = agent.engine_statuses.fresh_addresses(now_unix_ms);
    let others = agent.router_demand.known_agents().into_iter();
    others
        .filter(move |(address, _)| IpAddr::V4(*address) != own.ip())
        .map(move |(address, domain)| Peer {
            address: SocketAddr::new(IpAddr::V4(address), own.port()),
            domain,
            can_relay: fresh.contains(&address),
        })
}

/// Relays a message from another failure domain to the processes of the agent's own that use it.
async fn relay(agent: &EngineAgent, message: &GossipMessage) {
    let now = now_unix_ms();
    let peers: Vec<Peer> = match message {
        GossipMessage::Engine(_) => status_receivers(agent, now),
        GossipMessage::Demand(_) => other_agents(agent, now).collect(),
        // Agents spread the changes of suspects by themselves.
        GossipMessage::AdaptersWanted(_)
        | GossipMessage::Suspects(_)
        | GossipMessage::SuspectParts(_)
        | GossipMessage::SuspectsWanted
        | GossipMessage::StreamOrigins(_)
        | GossipMessage::StreamOriginsWanted(_) => return,
    };
    let domain = &agent.settings.failure_domain;
    let addresses = relay_targets(domain, &peers, agent.settings.gossip_listen);
    let targets: Vec<GossipTarget> = addresses
        .into_iter()
        .map(|address| GossipTarget {
            address,
            is_relay: false,
        })
        .collect();
    log_send_failures(agent, agent.gossip_socket.send(message, &targets).await);
}

/// Builds the engine's status with the next sequence number. It leaves out models that the plan
/// unloads, so that routers stop sending requests for them. Returns `None` while the engine's id is
/// unknown.
fn build_status(agent: &EngineAgent, now_unix_ms: u64) -> Option<EngineStatus> {
    let upstream = agent.upstream_id.borrow().clone()?;
    let state = agent.engine_state.borrow();
    let plan = agent.plan.borrow();
    let is_to_unload = |model: &ModelName| {
        let unload = plan.as_ref().map(|plan| &plan.order.unload);
        unload.is_some_and(|unload| unload.contains(model))
    };
    let loaded = state
        .loaded
        .iter()
        .filter(|loaded| !is_to_unload(&loaded.model));
    agent.gossip_sequence.set(agent.gossip_sequence.get() + 1);
    Some(EngineStatus {
        upstream,
        started_unix_ms: state.started_unix_ms,
        sequence: agent.gossip_sequence.get(),
        loaded: loaded.cloned().collect(),
        loading: plan.as_ref().map(|plan| plan.order.load.clone()),
        ready_unix_ms: plan
            .as_ref()
            .map_or(0, |plan| plan.expected_ready_unix_ms(now_unix_ms)),
        cold_load_observations: agent.current_cold_load_observations(now_unix_ms),
        is_loading_cold: plan.as_ref().is_some_and(|plan| plan.order.is_cold),
        waiting: state.waiting,
        running: state.running,
        in_memory: state.in_memory.clone(),
        on_disk: state.on_disk.clone(),
        router_count: agent.router_demand.router_count() as u32,
        takes_orders: agent.can_send_orders(),
        is_leaving: agent.is_engine_leaving(),
        received_unix_ms: now_unix_ms,
        address: match agent.settings.gossip_listen.ip() {
            IpAddr::V4(address) => address,
            IpAddr::V6(_) => Ipv4Addr::UNSPECIFIED,
        },
        software_version: agent.software_version.borrow().clone(),
        config_version: agent.configs.version(),
        agent_started_unix_ms: agent.started_unix_ms,
        some_routers: routers_in_turn(
            agent.router_demand.router_processes(),
            agent.gossip_sequence.get(),
        ),
    })
}

/// Receives gossip, stores it and relays it where that is asked for, until `stop` ends.
pub async fn receive_gossip(agent: EngineAgent, stop: Stop) {
    while !stop.is_ended() {
        let receiving = pin!(agent.gossip_socket.receive(now_unix_ms));
        let received = match select(receiving, pin!(stop.ended())).await {
            Either::Left((received, _)) => received,
            Either::Right(_) => return,
        };
        match received {
            Ok(received) => {
                if let GossipMessage::StreamOriginsWanted(streams) = &received.message {
                    send_origins(&agent, streams, received.sender).await;
                    continue;
                }
                if received.message == GossipMessage::SuspectsWanted {
                    send_suspects(&agent, received.sender).await;
                    continue;
                }
                let is_new = apply_message(&agent, &received.message);
                if is_new && received.should_relay {
                    relay(&agent, &received.message).await;
                }
            }
            Err(error) => {
                warn!(agent.log, "news_not_received"; "error" => %error);
                sleep_ms(MIN_STATUS_INTERVAL_MS).await;
            }
        }
    }
}

/// Applies a message to the agent's state. Returns false if it isn't newer than what is stored.
fn apply_message(agent: &EngineAgent, message: &GossipMessage) -> bool {
    match message {
        GossipMessage::Engine(status) => {
            let sender = status.agent_address(agent.settings.gossip_listen.port());
            agent
                .configs
                .hear(status.config_version, sender.map(ConfigSender::Agent));
            let is_new = agent.engine_statuses.insert_if_newer(status.clone());
            if is_new && let Some(sender) = sender {
                record_start(agent, sender, status.agent_started_unix_ms);
            }
            is_new
        }
        GossipMessage::Demand(demand) => {
            let sender = ConfigSender::Router(demand.address);
            agent.configs.hear(demand.config_version, Some(sender));
            let is_urgent = demand.models.iter().any(|(_, view)| view.waiting > 0);
            let is_new = agent.router_demand.insert_if_newer(demand.clone());
            if is_new {
                record_start(agent, demand.address, demand.started_unix_ms);
            }
            if is_new && is_urgent {
                agent.wake();
            }
            is_new
        }
        GossipMessage::AdaptersWanted(adapters) => {
            agent.record_requested_adapters(adapters);
            agent.wake();
            true
        }
        GossipMessage::Suspects(reports) => merge_suspect_reports(agent, reports),
        GossipMessage::SuspectParts(reports) => merge_part_reports(agent, reports),
        GossipMessage::StreamOrigins(origins) => {
            agent.stream_origins.record(origins, now_unix_ms());
            true
        }
        // Answered where it is received.
        GossipMessage::StreamOriginsWanted(_) | GossipMessage::SuspectsWanted => false,
    }
}
