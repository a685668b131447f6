//! Finding out at which software version a stream goes on that a caller takes up again, and telling
//! other processes where streams began. `celerystair_policy::stream_versions` decides at which version, and
//! `celerystair_policy::stream_holders` whom to tell and ask.

use std::{net::SocketAddr, pin::pin};

use celerystair_core::prelude::*;
use celerystair_news::prelude::*;
use celerystair_policy::prelude::*;
use futures_util::future::{Either, select};

use crate::{
    attempt::StartedResponse,
    demand::{gossip_peers, log_unsent, staying_agents},
    front::PlatformRouter,
    request::CallerRequest,
};

/// How a router knows where a stream began. The `Debug` form is logged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OriginSource {
    /// It passed the stream on itself, or has asked before.
    Own,
    /// Another process told it.
    Holders,
    /// The caller doesn't name the request that began the stream; this router or others know a stream
    /// that an identical request began.
    SameBytes,
    /// No other version was listed while the stream may have begun.
    List,
}

/// How many processes were asked where a stream began.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OriginSearch {
    /// How many were asked; 0 if this router knows the origin.
    pub asked: usize,
    /// How many of them have answered.
    pub answered: usize,
}

/// Collects the processes that answer about a stream while a request waits for them.
struct AnswersWanted<'a> {
    router: &'a PlatformRouter,
    stream: StreamId,
}

impl AnswersWanted<'_> {
    /// Returns how many have answered.
    fn count(&self) -> usize {
        let mut answers = self.router.origin_answers.borrow_mut();
        // Another request that waited for the same stream may have ended first.
        answers.entry(self.stream).or_default().len()
    }
}

impl Drop for AnswersWanted<'_> {
    fn drop(&mut self) {
        self.router.origin_answers.borrow_mut().remove(&self.stream);
    }
}

/// Tells the processes that hold it where the stream of the request began. Returns once the datagrams are
/// sent, so that the origin is on its way before the first event is.
pub async fn publish_origin(
    router: &PlatformRouter,
    request: &CallerRequest,
    origin: StreamOrigin,
) {
    let streams = [
        (StreamId::begun_by(&request.head.id), StreamKey::Request),
        (identical_stream(request), StreamKey::SharedBytes),
    ];
    tell_holders(router, &streams, &origin).await;
}

async fn tell_holders(
    router: &PlatformRouter,
    streams: &[(StreamId, StreamKey)],
    origin: &StreamOrigin,
) {
    let (peers, now) = (holder_peers(router), now_unix_ms());
    let messages = router.stream_origins.begin(streams, origin, &peers, now);
    log_unsent(router, send_records(&router.gossip_socket, messages).await);
}

/// Returns the other processes that may hold where a stream began.
fn holder_peers(router: &PlatformRouter) -> HolderPeers {
    HolderPeers {
        agents: staying_agents(router),
        routers: router.known_routers.borrow_mut().peers(now_unix_ms()),
    }
}

/// Records the processes of which an agent has told: its own, and routers.
pub fn record_peers(router: &PlatformRouter, status: &EngineStatus) {
    let own = router.settings.gossip_listen;
    let mut held = router.stream_origins.held.borrow_mut();
    if status.agent_started_unix_ms > 0
        && let Some(agent) = status.agent_address(own.port())
    {
        held.record_start(agent, status.agent_started_unix_ms);
    }
    let mut known_routers = router.known_routers.borrow_mut();
    for other in status.some_routers.iter().filter(|r| r.address != own) {
        known_routers.record(other, now_unix_ms());
        held.record_start(other.address, other.started_unix_ms);
    }
}

/// Answers a router that asks where streams began.
pub async fn send_origins(router: &PlatformRouter, streams: &[StreamId], sender: SocketAddr) {
    let answer = router.stream_origins.answer(streams);
    if let Err(error) = router.gossip_socket.send_to(&answer, sender).await {
        log_unsent(router, vec![(sender, error)]);
    }
}

/// Tells others of the streams that this router holds, once some that hold them leave or start again, until
/// `stop` ends.
pub async fn keep_held_origins(router: PlatformRouter, stop: Stop) {
    let own = Peer {
        address: router.settings.gossip_listen,
        domain: router.settings.failure_domain.clone(),
        can_relay: false,
    };
    let peers = || {
        let mut peers = holder_peers(&router);
        peers.routers.push(own.clone());
        peers
    };
    let report = |retold: Retold| {
        router.log_origins_retold(&retold);
        log_unsent(&router, retold.unsent);
    };
    let (socket, table) = (&router.gossip_socket, &router.stream_origins);
    keep_origins_held(socket, table, own.address, peers, report, &stop).await;
}

fn identical_stream(request: &CallerRequest) -> StreamId {
    let parts: Vec<PromptPartId> = request.head.prompt_parts.iter().map(|p| p.id).collect();
    StreamId::of_identical(request.fingerprint, request.head.model.as_ref(), &parts)
}

/// Returns the identifier by which the stream is looked up that the request takes up.
fn wanted_stream(request: &CallerRequest) -> StreamId {
    StreamId::taken_up(request.head.resumes.as_ref(), identical_stream(request))
}

/// Records where streams began, as the process at `sender` has told.
pub fn record_origins(router: &PlatformRouter, news: &[OriginNews], sender: SocketAddr) {
    router.stream_origins.record(news, now_unix_ms());
    for answer in news.iter().filter(|news| news.held.is_none()) {
        if let Some(answers) = router.origin_answers.borrow_mut().get_mut(&answer.stream) {
            answers.insert(sender);
        }
    }
    router.origin_answered.notify(usize::MAX);
}

/// Returns where the stream began that the request takes up, which the processes that hold it are asked if
/// this router doesn't know. If the request names the one that began the stream, only that one's record
/// counts: an identical request may have begun another stream at another version. If it names none, all
/// that hold the record of identical requests must agree.
async fn find_origin(
    router: &PlatformRouter,
    request: &CallerRequest,
    search: &mut OriginSearch,
) -> Option<(StreamOrigin, OriginSource)> {
    let named = request.head.resumes.as_ref();
    let wanted = wanted_stream(request);
    let key = named.map_or(StreamKey::SharedBytes, |_| StreamKey::Request);
    let known = || router.stream_origins.origins.borrow().get(wanted).cloned();
    let find_named = || named.and_then(|_| known());
    if let Some(origin) = find_named() {
        return Some((origin, OriginSource::Own));
    }
    let message = GossipMessage::StreamOriginsWanted(vec![wanted]);
    let deadline_unix_ms = now_unix_ms() + ORIGIN_WAIT_MS;
    let answers = AnswersWanted {
        router,
        stream: wanted,
    };
    let mut ask_unix_ms = 0;
    while find_named().is_none() && now_unix_ms() < deadline_unix_ms {
        let answered = router.origin_answered.listen();
        answers.count();
        if now_unix_ms() >= ask_unix_ms {
            let holders = holders_asked(wanted, key, &holder_peers(router), &gossip_peers(router));
            for holder in &holders {
                if let Err(error) = router.gossip_socket.send_to(&message, *holder).await {
                    log_unsent(router, vec![(*holder, error)]);
                }
            }
            search.asked = holders.len();
            ask_unix_ms = now_unix_ms() + ORIGIN_RETRY_MS;
        }
        if answers.count() < search.asked {
            let timer = sleep_until_unix_ms(ask_unix_ms.min(deadline_unix_ms));
            select(answered, pin!(timer)).await;
        }
        search.answered = answers.count();
        if search.answered >= search.asked {
            break;
        }
    }
    let source = named.map_or(OriginSource::SameBytes, |_| OriginSource::Holders);
    known().map(|origin| (origin, source))
}

/// Returns where the stream began that the request takes up, and how that is known.
///
/// # Errors
/// Returns a refusal if it can't be told: at another version, the stream would mix events that don't
/// fit together.
pub async fn stream_origin(
    router: &PlatformRouter,
    request: &CallerRequest,
) -> Result<(StreamOrigin, OriginSource), Refusal> {
    let mut search = OriginSearch::default();
    let found = find_origin(router, request, &mut search).await;
    router.log_origin_search(request, search);
    let found = match found {
        None if assumed_origin(router, request).is_some() => {
            // The stream may have begun at a version that came until its caller took it up.
            if !prove_list(router, request, request.arrived_unix_ms).await {
                router.log_list_unproven(request);
                let detail = "the store doesn't tell which software versions were in service";
                let reason = RefusalReason::SoftwareVersionUnproven;
                return Err(Refusal::not_run(reason, detail).retry_after(LIST_PROOF_RETRY_AFTER_MS));
            }
            assumed_origin(router, request).map(|origin| (origin, OriginSource::List))
        }
        found => found,
    };
    let (origin, source) = found.ok_or_else(|| {
        let begun_by = request.head.resumes.as_ref().map_or("none", RequestId::as_str);
        let detail = format!(
            "the software version that began the stream is not known; earlier request named: {begun_by}"
        );
        Refusal::not_run(RefusalReason::StreamOriginUnknown, detail)
    })?;
    if matches!(source, OriginSource::Own | OriginSource::Holders) {
        // Its caller may take it up again after this router and others that hold it have ended.
        let named = (wanted_stream(request), StreamKey::Request);
        tell_holders(router, &[named], &origin).await;
    }
    let mut targets = request.route.targets.iter();
    if targets.all(|target| target.service != origin.service) {
        let detail = format!("the route no longer leads to {}", origin.service);
        return Err(Refusal::not_run(RefusalReason::SoftwareVersionGone, detail));
    }
    Ok((origin, source))
}

/// Returns whether the list of upstreams is known to hold all that it held at `at_unix_ms`, for which the
/// store is asked if need be, unless a planned stop ends before it answers.
pub async fn prove_list(router: &PlatformRouter, request: &CallerRequest, at_unix_ms: u64) -> bool {
    let routers = router.router_count_or_default();
    let proven = router
        .view
        .prove_list(at_unix_ms, request.deadline_unix_ms, routers);
    match select(pin!(proven), pin!(router.closing.draining())).await {
        Either::Left((is_proven, _)) => is_proven,
        Either::Right(_) => false,
    }
}

/// Returns the software version of the process that writes a response, or `None` if it can't be told.
pub fn version_of_writer(
    router: &PlatformRouter,
    started: &StartedResponse,
) -> Option<SoftwareVersion> {
    let upstream = &started.upstream;
    accepting_version(
        &upstream.software_version(),
        &router.view.later_starts(upstream),
        started.connection.opened_unix_ms,
    )
}

/// Returns the only origin that is possible by the list of upstreams, if there is only one.
fn assumed_origin(router: &PlatformRouter, request: &CallerRequest) -> Option<StreamOrigin> {
    let wanted = wanted_stream(request);
    let origins = router.stream_origins.origins.borrow();
    if origins.all(wanted).next().is_some() {
        // Several are known, more than the list may tell.
        return None;
    }
    let [target] = request.route.targets.as_slice() else {
        return None;
    };
    // A stream that began before the route led here began at another service.
    let routed_since_unix_ms = router.view.route_targets_since_unix_ms(&request.route)?;
    let known_since_unix_ms = router.view.versions_known_since_unix_ms();
    let version = assumed_version(
        &router.view.version_history(&target.service),
        router.view.longest_timeout_ms(),
        known_since_unix_ms.map(|since| since.max(routed_since_unix_ms)),
        now_unix_ms(),
    )?;
    Some(StreamOrigin {
        service: target.service.clone(),
        version,
    })
}
