//! Spreads reports on requests and prompt parts that crash upstreams among the routers, which don't
//! know each other. An agent outlives a router's process, so that a router that starts later learns of
//! the suspects.

use std::{net::SocketAddr, pin::pin};

use celerystair_core::prelude::*;
use celerystair_news::prelude::*;
use celerystair_policy::prelude::*;
use futures_util::future::select;

use crate::{
    agent::EngineAgent,
    tell::{log_send_failures, status_receivers},
};

/// Sends suspects to routers and other agents until `stop` ends.
pub async fn spread_suspects(agent: EngineAgent, stop: Stop) {
    let mut draw = now_unix_ms();
    let mut next_sample_unix_ms = 0;
    while !stop.is_ended() {
        let changed = agent.suspects_changed.listen();
        draw += 1;
        send_changes(&agent, draw).await;
        let now = now_unix_ms();
        if now >= next_sample_unix_ms {
            next_sample_unix_ms = now + REPORT_SAMPLE_MS;
            send_sample(&agent, draw).await;
        }
        sleep_ms(REPORT_ROUND_MS).await;
        let has_pending =
            agent.suspects.borrow().has_pending() || agent.suspect_parts.borrow().has_pending();
        if !has_pending {
            let timer = pin!(sleep_until_unix_ms(next_sample_unix_ms));
            select(select(changed, timer), pin!(stop.ended())).await;
        }
    }
}

async fn send_changes(agent: &EngineAgent, draw: u64) {
    let messages = changed_suspects(
        &mut agent.suspects.borrow_mut(),
        &mut agent.suspect_parts.borrow_mut(),
        now_unix_ms(),
    );
    send_messages(agent, &messages, suspect_change_targets, draw).await;
}

async fn send_sample(agent: &EngineAgent, draw: u64) {
    let messages = sample_of_suspects(
        &mut agent.suspects.borrow_mut(),
        &mut agent.suspect_parts.borrow_mut(),
        draw,
        now_unix_ms(),
    );
    send_messages(agent, &messages, suspect_sample_targets, draw).await;
}

/// Sends a router that has just started the suspects, those first that are refused.
pub async fn send_suspects(agent: &EngineAgent, router: SocketAddr) {
    let now = now_unix_ms();
    let messages = sample_of_suspects(
        &mut agent.suspects.borrow_mut(),
        &mut agent.suspect_parts.borrow_mut(),
        now,
        now,
    );
    let target = GossipTarget {
        address: router,
        is_relay: false,
    };
    for message in &messages {
        log_send_failures(agent, agent.gossip_socket.send(message, &[target]).await);
    }
}

async fn send_messages(
    agent: &EngineAgent,
    messages: &[GossipMessage],
    select_targets: fn(&FailureDomain, &[Peer], u64) -> Vec<GossipTarget>,
    draw: u64,
) {
    if messages.is_empty() {
        return;
    }
    let peers = status_receivers(agent, now_unix_ms());
    let targets = select_targets(&agent.settings.failure_domain, &peers, draw);
    for message in messages {
        log_send_failures(agent, agent.gossip_socket.send(message, &targets).await);
    }
}

/// Adds what another process has reported of suspects; returns whether any of it is new.
pub fn merge_suspect_reports(agent: &EngineAgent, reports: &[SuspectReport]) -> bool {
    let now = now_unix_ms();
    let mut suspects = agent.suspects.borrow_mut();
    let mut is_new = false;
    for report in reports {
        is_new |= suspects.merge(report, AGENT_CHANGE_SENDS, now).is_some();
    }
    drop(suspects);
    if is_new {
        agent.suspects_changed.notify(usize::MAX);
    }
    is_new
}

/// Adds what another process has reported of parts of prompts; returns whether any of it is new.
pub fn merge_part_reports(agent: &EngineAgent, reports: &[PartReport]) -> bool {
    let now = now_unix_ms();
    let mut parts = agent.suspect_parts.borrow_mut();
    let mut is_new = false;
    for report in reports {
        is_new |= parts.merge(report, AGENT_CHANGE_SENDS, now);
    }
    let has_pending = parts.has_pending();
    drop(parts);
    if has_pending {
        agent.suspects_changed.notify(usize::MAX);
    }
    is_new
}
