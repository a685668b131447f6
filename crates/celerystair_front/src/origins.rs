//! Finding out at which software version a stream goes on that a caller takes up again, and telling
//! other processes where streams began. `celerystair_policy::stream_versions` decides.

use std::{net::SocketAddr, pin::pin};

use celerystair_core::prelude::*;
use celerystair_news::prelude::*;
use celerystair_policy::prelude::*;
use futures_util::future::select;

use crate::{
    demand::{gossip_peers, log_unsent},
    front::PlatformRouter,
    request::CallerRequest,
};

/// How a router knows where a stream began. The `Debug` form is logged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OriginSource {
    /// It passed the stream on itself, or has asked before.
    Own,
    /// Agents told it.
    Agents,
    /// The caller doesn't name the request that began the stream; this router or agents know a stream
    /// that an identical request began.
    SameBytes,
    /// No other version was listed while the stream may have begun.
    List,
}

/// What the agents were asked about a stream, and how many of them answered that they don't know it.
/// The `Debug` form is logged.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OriginSearch {
    /// How many agents were asked; 0 if this router knows the origin.
    pub asked: usize,
    /// How many of them denied it.
    pub denied: usize,
}

/// Tells the agents that hold it where the stream of the request began. Returns once the datagrams are
/// sent, so that the origin is on its way before the first event is.
pub async fn publish_origin(
    router: &PlatformRouter,
    request: &CallerRequest,
    origin: StreamOrigin,
) {
    let by_fingerprint = StreamId::with_fingerprint(request.fingerprint);
    let streams = [StreamId::begun_by(&request.head.id), by_fingerprint];
    let now = now_unix_ms();
    for stream in streams {
        let mut origins = router.stream_origins.borrow_mut();
        origins.insert(stream, origin.clone(), now);
    }
    let records = streams.map(|stream| (stream, Some(origin.clone())));
    let message = GossipMessage::StreamOrigins(records.to_vec());
    send_to_holders(router, by_fingerprint, &message).await;
}

async fn send_to_holders(
    router: &PlatformRouter,
    stream: StreamId,
    message: &GossipMessage,
) -> usize {
    let holders = version_holders(stream, &gossip_peers(router));
    for address in &holders {
        if let Err(error) = router.gossip_socket.send_to(message, *address).await {
            log_unsent(router, vec![(*address, error)]);
        }
    }
    holders.len()
}

/// Records where streams began, as the agent at `sender` has answered.
pub fn record_origins(
    router: &PlatformRouter,
    answers: Vec<(StreamId, Option<StreamOrigin>)>,
    sender: SocketAddr,
) {
    let now = now_unix_ms();
    for (stream, origin) in answers {
        if let Some(origin) = origin {
            let mut origins = router.stream_origins.borrow_mut();
            origins.insert(stream, origin, now);
        } else if let Some(deniers) = router.origin_denials.borrow_mut().get_mut(&stream) {
            deniers.insert(sender);
        }
    }
    router.origin_answered.notify(usize::MAX);
}

/// Returns where the stream began that the request takes up, which the agents that hold it are asked if
/// this router doesn't know. If the request names the one that began the stream, only that one's record
/// counts: an identical request may have begun another stream at another version.
async fn find_origin(
    router: &PlatformRouter,
    request: &CallerRequest,
    search: &mut OriginSearch,
) -> Option<(StreamOrigin, OriginSource)> {
    let by_fingerprint = StreamId::with_fingerprint(request.fingerprint);
    let named = request.head.resumes.as_ref();
    let wanted = StreamId::taken_up(named, request.fingerprint);
    let known = |stream| router.stream_origins.borrow().get(stream).cloned();
    if let Some(origin) = known(wanted) {
        let source = named.map_or(OriginSource::SameBytes, |_| OriginSource::Own);
        return Some((origin, source));
    }
    let message = GossipMessage::StreamOriginsWanted(vec![wanted]);
    let deadline_unix_ms = now_unix_ms() + ORIGIN_WAIT_MS;
    let denials = &router.origin_denials;
    denials.borrow_mut().entry(wanted).or_default();
    let mut ask_unix_ms = 0;
    let mut found = None;
    while found.is_none() && now_unix_ms() < deadline_unix_ms {
        let answered = router.origin_answered.listen();
        if now_unix_ms() >= ask_unix_ms {
            search.asked = send_to_holders(router, by_fingerprint, &message).await;
            ask_unix_ms = now_unix_ms() + ORIGIN_RETRY_MS;
        }
        let timer = sleep_until_unix_ms(ask_unix_ms.min(deadline_unix_ms));
        select(answered, pin!(timer)).await;
        found = known(wanted);
        search.denied = denials.borrow().get(&wanted).map_or(0, HashSet::len);
        if search.denied >= search.asked {
            break;
        }
    }
    denials.borrow_mut().remove(&wanted);
    let source = named.map_or(OriginSource::SameBytes, |_| OriginSource::Agents);
    found.map(|origin| (origin, source))
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
    let found = found.or_else(|| Some((assumed_origin(router, request)?, OriginSource::List)));
    let (origin, source) = found.ok_or_else(|| {
        let begun_by = request.head.resumes.as_ref().map_or("none", RequestId::as_str);
        let detail = format!(
            "the software version that began the stream is not known; earlier request named: {begun_by}"
        );
        Refusal::not_run(RefusalReason::StreamOriginUnknown, detail)
    })?;
    let mut targets = request.route.targets.iter();
    if targets.all(|target| target.service != origin.service) {
        let detail = format!("the route no longer leads to {}", origin.service);
        return Err(Refusal::not_run(RefusalReason::SoftwareVersionGone, detail));
    }
    Ok((origin, source))
}

/// Returns the only origin that is possible by the list of upstreams, if there is only one.
fn assumed_origin(router: &PlatformRouter, request: &CallerRequest) -> Option<StreamOrigin> {
    let [target] = request.route.targets.as_slice() else {
        return None;
    };
    let version = assumed_version(
        &router.view.version_history(&target.service),
        router.view.longest_timeout_ms(),
        router.view.versions_known_since_unix_ms(),
        now_unix_ms(),
    )?;
    Some(StreamOrigin {
        service: target.service.clone(),
        version,
    })
}
