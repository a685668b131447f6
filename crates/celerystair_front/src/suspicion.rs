//! Requests and prompt parts that crash upstreams: refuses them, and exchanges reports on them with
//! the other routers, by way of agents.

use std::{pin::pin, rc::Rc};

use celerystair_core::prelude::*;
use celerystair_news::prelude::*;
use celerystair_policy::prelude::*;
use futures_util::future::select;

use crate::{
    demand::{gossip_peers, log_unsent},
    front::PlatformRouter,
    request::CallerRequest,
    runs::record_silent_crashes,
};

/// Reports suspects to agents until `stop` ends.
pub async fn send_suspects_to_agents(router: PlatformRouter, socket: Rc<GossipSocket>, stop: Stop) {
    let mut draw = now_unix_ms();
    let mut next_sample_unix_ms = 0;
    let mut refused_parts = Vec::new();
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
        log_refused_parts(&router, &mut refused_parts);
        let has_pending =
            router.suspects.borrow().has_pending() || router.suspect_parts.borrow().has_pending();
        if !has_pending {
            let timer = pin!(sleep_until_unix_ms(next_sample_unix_ms));
            select(select(changed, timer), pin!(stop.ended())).await;
        }
    }
}

/// How often a router that has just started asks for suspects, as datagrams are lost.
const SUSPECT_QUERIES: u64 = 3;
/// Time between two of these queries.
const SUSPECT_QUERY_INTERVAL_MS: u64 = 100;
/// How often a router that knows no agent yet checks for one.
const AGENTS_POLL_MS: u64 = 20;

/// Asks agents for the suspects that they know, as soon as the router knows any agent: until then it
/// runs requests that crash upstreams.
pub async fn ask_for_suspects(router: PlatformRouter, socket: Rc<GossipSocket>, stop: Stop) {
    let mut asked = 0;
    while asked < SUSPECT_QUERIES && !stop.is_ended() {
        let agents = gossip_peers(&router);
        if agents.is_empty() {
            sleep_ms(AGENTS_POLL_MS).await;
            continue;
        }
        asked += 1;
        let targets = suspect_query_targets(&agents, now_unix_ms());
        let unsent = socket.send(&GossipMessage::SuspectsWanted, &targets).await;
        log_unsent(&router, unsent);
        sleep_ms(SUSPECT_QUERY_INTERVAL_MS).await;
    }
}

/// Tells the suspected parts of prompts which requests explain crashes.
fn update_crashing_requests(router: &PlatformRouter, now_unix_ms: u64) {
    let mut parts = router.suspect_parts.borrow_mut();
    if !parts.is_empty() {
        let requests = router.suspects.borrow().crashing_requests(now_unix_ms);
        parts.set_crashing_requests(requests);
    }
}

/// Logs the parts of prompts that are refused or accepted since the last call.
fn log_refused_parts(router: &PlatformRouter, known: &mut Vec<PromptPartId>) {
    update_crashing_requests(router, now_unix_ms());
    let refused = router
        .suspect_parts
        .borrow_mut()
        .refused_parts(now_unix_ms());
    for part in refused.iter().filter(|part| !known.contains(part)) {
        router.log_part_refused(*part);
    }
    for part in known.iter().filter(|part| !refused.contains(part)) {
        router.log_part_accepted(*part);
    }
    *known = refused;
}

/// Clears the crashes of upstreams that the list still holds although they would have expired by
/// now, unless an outage of the store keeps entries from expiring.
fn clear_suspects_of_living_upstreams(router: &PlatformRouter) {
    let now = now_unix_ms();
    let listed_since_unix_ms = router.view.listed_since_unix_ms();
    let is_list_current =
        listed_since_unix_ms.is_some_and(|since| now >= since + UNLISTED_AFTER_MS);
    let has_suspects = router.suspects.borrow().counts(now).remembered > 0
        || router
            .suspect_parts
            .borrow_mut()
            .part_counts(now)
            .remembered
            > 0;
    if !is_list_current || !has_suspects {
        return;
    }
    let incarnations = router.view.incarnations();
    let alive: Vec<CrashId> = incarnations
        .iter()
        .map(UpstreamIncarnation::crash_id)
        .collect();
    let mut parts = router.suspect_parts.borrow_mut();
    let false_crashes = parts.false_crashes(&alive, now);
    if !false_crashes.is_empty() {
        parts.clear_crashes(&false_crashes, ROUTER_CHANGE_SENDS);
    }
    drop(parts);
    let mut suspects = router.suspects.borrow_mut();
    let cleared = suspects.clear_alive(&alive, ROUTER_CHANGE_SENDS, now);
    drop(suspects);
    for fingerprint in cleared {
        router.log_false_crash_cleared(fingerprint);
    }
}

async fn send_changes(router: &PlatformRouter, socket: &GossipSocket, draw: u64) {
    let messages = changed_suspects(
        &mut router.suspects.borrow_mut(),
        &mut router.suspect_parts.borrow_mut(),
        now_unix_ms(),
    );
    if messages.is_empty() {
        return;
    }
    let domain = &router.settings.failure_domain;
    let targets = gossip_targets(domain, &gossip_peers(router), draw);
    for message in messages {
        log_unsent(router, socket.send(&message, &targets).await);
    }
}

async fn send_sample(router: &PlatformRouter, socket: &GossipSocket, draw: u64) {
    let messages = sample_of_suspects(
        &mut router.suspects.borrow_mut(),
        &mut router.suspect_parts.borrow_mut(),
        draw,
        now_unix_ms(),
    );
    if messages.is_empty() {
        return;
    }
    let peers = gossip_peers(router);
    let targets = random_targets(peers.iter(), 1, draw);
    for message in messages {
        log_unsent(router, socket.send(&message, &targets).await);
    }
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
    // The sender may not know of an answer to what it reports.
    if router.suspects.borrow().has_pending() {
        router.notify_suspects_change();
    }
}

/// Adds what another process has reported of parts of prompts.
pub fn merge_part_reports(router: &PlatformRouter, reports: &[PartReport]) {
    let now = now_unix_ms();
    let mut parts = router.suspect_parts.borrow_mut();
    for report in reports {
        // Agents spread it further.
        parts.merge(report, 0, now);
    }
    // The sender may not know of answers that clear what it reports.
    if parts.has_pending() {
        router.notify_suspects_change();
    }
}

/// Why a request is refused because of crashes.
pub struct SuspicionRefusal {
    /// What crashed, for the caller and the log.
    pub detail: String,
    /// Time until the crashes are forgotten.
    pub retry_after_ms: u64,
}

/// Returns why the request is refused, because upstreams crashed while they ran it or other requests
/// with a part of its prompt, or `None` if it isn't.
pub fn suspicion_refusal(
    router: &PlatformRouter,
    request: &CallerRequest,
    now_unix_ms: u64,
) -> Option<SuspicionRefusal> {
    let prompt_parts = &request.head.prompt_parts;
    update_crashing_requests(router, now_unix_ms);
    let mut parts = router.suspect_parts.borrow_mut();
    if let Some(refusal) = parts.refusal(prompt_parts.iter().map(|part| part.id), now_unix_ms) {
        let part = prompt_parts.iter().find(|part| part.id == refusal.part)?;
        let PartRefusal {
            crashes,
            own_crashes,
            until_unix_ms,
            ..
        } = refusal;
        let detail = format!(
            "{crashes} upstreams crashed while they ran requests with the prompt part {}, \
            {own_crashes} of them seen by this router",
            part.name
        );
        return Some(SuspicionRefusal {
            detail,
            retry_after_ms: until_unix_ms.saturating_sub(now_unix_ms),
        });
    }
    let suspects = router.suspects.borrow();
    let until_unix_ms =
        suspects.refused_until_unix_ms(request.fingerprint, now_unix_ms, |crash| {
            parts.is_explained(crash, now_unix_ms)
        })?;
    Some(SuspicionRefusal {
        detail: "upstreams crashed while they ran this request".to_owned(),
        retry_after_ms: until_unix_ms - now_unix_ms,
    })
}
