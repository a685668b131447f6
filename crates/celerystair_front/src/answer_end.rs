//! Finding out whether an answer that has ended is whole, by its framing and its upstream's process.

use bytes::Bytes;
use celerystair_core::{prelude::*, time::before_deadline};
use celerystair_net::body::FramedBody;
use celerystair_policy::prelude::*;
use http::{HeaderMap, header};
use http_body_util::{BodyExt, Limited};

use crate::{
    connections::{ConnectError, UpstreamConnection, connect},
    framing::Framing,
    front::PlatformRouter,
    request::CallerRequest,
    upstream::Upstream,
};

/// How often an upstream is asked whose address doesn't answer in time.
const ASKED_MAX: u32 = 2;
/// How long an engine's report is waited for: it needs no slot.
const REPORT_TIMEOUT_MS: u64 = 300;
/// The longest report that is read.
const REPORT_MAX_BYTES: usize = 1024 * 1024;

/// Returns what is known of the end of an answer to a request that was sent at `sent_unix_ms`, which has
/// ended as HTTP requires. If only its connection marked it, opens the connection that replaces the
/// closed one, also to an upstream that leaves.
pub async fn find_answer_end(
    router: &PlatformRouter,
    request: &CallerRequest,
    upstream: &Upstream,
    framing: Framing,
    sent_unix_ms: u64,
) -> AnswerEnd {
    if framing == Framing::Marked {
        return AnswerEnd::Marked;
    }
    let asking = async {
        sleep_ms(PROCESS_END_MS).await;
        for _ in 0..ASKED_MAX {
            let end = AnswerEnd::by_upstream(ask(router, upstream, sent_unix_ms).await);
            if end != AnswerEnd::Unknown {
                return end;
            }
        }
        AnswerEnd::Unknown
    };
    let answered = before_deadline(request.deadline_unix_ms, asking).await;
    let end = answered.unwrap_or(AnswerEnd::Unknown);
    router.count_answer_end(request, upstream, end);
    end
}

async fn ask(router: &PlatformRouter, upstream: &Upstream, sent_unix_ms: u64) -> Listening {
    let (address, service) = {
        let entry = upstream.entry.borrow();
        (entry.address, entry.service.clone())
    };
    let mut connection = match connect(address).await {
        Ok(connection) => connection,
        Err(ConnectError::Refused) => return Listening::Refuses,
        Err(ConnectError::NoAnswer) => return Listening::Silent,
    };
    let accepted_unix_ms = now_unix_ms();
    let reported = if router.has_engines(&service) {
        let deadline_unix_ms = accepted_unix_ms + REPORT_TIMEOUT_MS;
        let reading = read_start(router, upstream, &mut connection);
        let started = before_deadline(deadline_unix_ms, reading).await.flatten();
        started.map_or(ReportedStart::Untold, ReportedStart::UnixMs)
    } else {
        ReportedStart::NotAsked
    };
    let later = router.view.later_starts(upstream);
    let acceptor = acceptor(&AcceptorFacts {
        started_unix_ms: upstream.incarnation().started_unix_ms,
        reported,
        is_later_listed: is_later_listed(router, upstream),
        later: &later,
        is_listed: !router.view.has_ended(upstream),
        sent_unix_ms,
        opened_unix_ms: connection.opened_unix_ms,
        accepted_unix_ms,
    });
    if acceptor == Acceptor::Same && upstream.state() == UpstreamState::Ready {
        upstream.connections.keep(connection, &HeaderMap::new());
    }
    Listening::Accepts(acceptor)
}

/// Asks an engine when it started.
async fn read_start(
    router: &PlatformRouter,
    upstream: &Upstream,
    connection: &mut UpstreamConnection,
) -> Option<u64> {
    let reports = router.settings.engine_reports;
    let host = upstream.entry.borrow().address.to_string();
    let request = http::Request::get(reports.path)
        .header(header::HOST, host)
        .body(FramedBody::new(Bytes::new()))
        .ok()?;
    let response = connection.send(request).await.ok()?;
    if response.status() != http::StatusCode::OK {
        return None;
    }
    let body = Limited::new(response.into_body(), REPORT_MAX_BYTES);
    let body = body.collect().await.ok()?.to_bytes();
    (reports.read_started_unix_ms)(&body)
}

/// Whether the list names a later process at the upstream's address or under its id.
fn is_later_listed(router: &PlatformRouter, upstream: &Upstream) -> bool {
    let listed = router.view.upstream(&upstream.id());
    let is_listed_anew =
        listed.is_some_and(|listed| listed.incarnation() != upstream.incarnation());
    is_listed_anew || upstream.is_replaced()
}
