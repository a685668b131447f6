//! Exchanges reports on requests that crash upstreams with the other routers, by way of agents.

use std::{pin::pin, rc::Rc};

use celerystair_core::prelude::*;
use celerystair_news::prelude::*;
use celerystair_policy::prelude::*;
use futures_util::future::select;

use crate::{
    demand::{gossip_peers, log_unsent},
    front::PlatformRouter,
    runs::record_silent_crashes,
};

/// The most requests that one round reports.
const REPORTS_PER_ROUND_MAX: usize = 4 * REPORTS_PER_DATAGRAM_MAX;

/// Reports suspects to agents until `stop` ends.
pub async fn send_suspects_to_agents(router: PlatformRouter, socket: Rc<GossipSocket>, stop: Stop) {
    let mut draw = now_unix_ms();
    let mut next_sample_unix_ms = 0;
    while !stop.is_ended() {
        let changed = router.listen_for_suspects_change();
        draw += 1;
        record_silent_crashes(&router);
        send_changes(&router, &socket, draw).await;
        let now = now_unix_ms();
        if now >= next_sample_unix_ms {
            next_sample_unix_ms = now + REPORT_SAMPLE_MS;
            clear_suspects_of_living_upstreams(&router);
            send_sample(&router, &socket, draw).await;
        }
        sleep_ms(REPORT_ROUND_MS).await;
        if !router.suspects.borrow().has_pending() {
            let timer = pin!(sleep_until_unix_ms(next_sample_unix_ms));
            select(select(changed, timer), pin!(stop.ended())).await;
        }
    }
}

/// Clears the crashes of upstreams that the list still holds although they would have expired by
/// now, unless an outage of the store keeps entries from expiring.
fn clear_suspects_of_living_upstreams(router: &PlatformRouter) {
    let now = now_unix_ms();
    let listed_since_unix_ms = router.view.listed_since_unix_ms();
    let is_list_current =
        listed_since_unix_ms.is_some_and(|since| now >= since + UNLISTED_AFTER_MS);
    let has_suspects = router.suspects.borrow().counts(now).remembered > 0;
    if !is_list_current || !has_suspects {
        return;
    }
    let incarnations = router.view.incarnations();
    let alive: Vec<CrashId> = incarnations
        .iter()
        .map(UpstreamIncarnation::crash_id)
        .collect();
    let mut suspects = router.suspects.borrow_mut();
    let cleared = suspects.clear_alive(&alive, ROUTER_CHANGE_SENDS, now);
    drop(suspects);
    for fingerprint in cleared {
        router.log_false_crash_cleared(fingerprint);
    }
}

async fn send_changes(router: &PlatformRouter, socket: &GossipSocket, draw: u64) {
    let reports = {
        let mut suspects = router.suspects.borrow_mut();
        suspects.take_pending(REPORTS_PER_ROUND_MAX, now_unix_ms())
    };
    if reports.is_empty() {
        return;
    }
    let domain = &router.settings.failure_domain;
    let targets = gossip_targets(domain, &gossip_peers(router), draw);
    for datagram in reports.chunks(REPORTS_PER_DATAGRAM_MAX) {
        let message = GossipMessage::Suspects(datagram.to_vec());
        log_unsent(router, socket.send(&message, &targets).await);
    }
}

async fn send_sample(router: &PlatformRouter, socket: &GossipSocket, draw: u64) {
    let reports = {
        let mut suspects = router.suspects.borrow_mut();
        suspects.sample(REPORTS_PER_DATAGRAM_MAX, draw, now_unix_ms())
    };
    if reports.is_empty() {
        return;
    }
    let peers = gossip_peers(router);
    let targets = random_targets(peers.iter(), 1, draw);
    let message = GossipMessage::Suspects(reports);
    log_unsent(router, socket.send(&message, &targets).await);
}

/// Adds what another process has reported of suspects.
pub fn merge_suspect_reports(router: &PlatformRouter, reports: &[SuspectReport]) {
    let now = now_unix_ms();
    for report in reports {
        // Agents spread it further.
        let crashes = router.suspects.borrow_mut().merge(report, 0, now);
        if let Some(crashes) = crashes {
            router.log_suspect_learned(report.fingerprint, crashes);
        }
    }
}
