//! Holds where streams began, for routers that are asked to take them up and don't know it.

use std::net::SocketAddr;

use celerystair_core::prelude::*;
use celerystair_news::prelude::*;
use celerystair_policy::prelude::*;
use celerystair_telemetry::prelude::*;

use crate::{
    agent::EngineAgent,
    tell::{log_send_failures, other_agents},
};

/// Answers a router that asks where streams began, also about those that this agent doesn't know.
pub async fn send_origins(agent: &EngineAgent, streams: &[StreamId], router: SocketAddr) {
    let answer = agent.stream_origins.answer(streams);
    if let Err(error) = agent.gossip_socket.send_to(&answer, router).await {
        log_send_failures(agent, vec![(router, error)]);
    }
}

/// Records the process of a router or of another agent.
pub fn record_start(agent: &EngineAgent, process: SocketAddr, started_unix_ms: u64) {
    if started_unix_ms > 0 {
        let mut held = agent.stream_origins.held.borrow_mut();
        held.record_start(process, started_unix_ms);
    }
}

/// Tells others of the streams that this agent holds, once some that hold them leave or start again, until
/// `stop` ends.
pub async fn keep_held_origins(agent: EngineAgent, stop: Stop) {
    let own = agent.settings.gossip_listen;
    let peers = || holder_peers(&agent);
    let report = |retold: Retold| {
        info!(agent.log, "stream_origins_retold"; "records" => retold.records,
            "processes" => retold.receivers);
        log_send_failures(&agent, retold.unsent);
    };
    let (socket, table) = (&agent.gossip_socket, &agent.stream_origins);
    keep_origins_held(socket, table, own, peers, report, &stop).await;
}

/// Returns the processes that may hold where a stream began, this one included unless its engine leaves.
fn holder_peers(agent: &EngineAgent) -> HolderPeers {
    let now = now_unix_ms();
    let leaving = agent.engine_statuses.leaving_addresses(now);
    let mut agents: Vec<Peer> = other_agents(agent, now)
        .filter(|peer| !leaving.contains(&peer.address.ip()))
        .collect();
    if !agent.is_engine_leaving() {
        agents.push(Peer {
            address: agent.settings.gossip_listen,
            domain: agent.settings.failure_domain.clone(),
            can_relay: true,
        });
    }
    HolderPeers {
        agents,
        routers: agent.router_demand.router_peers(),
    }
}
