//! The life of one request over all its attempts.

use bytes::{Bytes, BytesMut};
use celerystair_core::{prelude::*, time::before_deadline};
use celerystair_net::prelude::*;
use celerystair_protocol::Head;
use celerystair_telemetry::{metrics::label, prelude::*};

use crate::{
    answer::refusal_response,
    attempt::{AnswerStream, Answering, submit},
    caller_request::{CallerRequest, Target},
    router::Router,
    select::{Chosen, choose_peer, follow_placement},
};

/// Attempts of one request at most, over all upstreams.
const ATTEMPTS_MAX: u32 = 4;
/// Wait before another attempt when every upstream was tried.
const RETRY_INTERVAL_MS: u64 = 50;
/// Chunks that may wait for a slow caller.
const CHUNKS_MAX: usize = 16;

/// Serves a request and answers its caller, before the deadline in any case.
pub async fn serve_request(router: &Router, request: CallerRequest) -> HttpResponse {
    let arrived_unix_ms = now_unix_ms();
    record(router, &request, "request_arrived", "", String::new());
    let outcome = begin(router, &request).await;
    let word = match &outcome {
        Ok(_) => "answered",
        Err(refusal) => refusal.reason.as_str(),
    };
    let waited_seconds = (now_unix_ms() - arrived_unix_ms) as f64 / 1000.0;
    router
        .node
        .metrics
        .requests
        .add(1, &[label("outcome", word)]);
    router
        .node
        .metrics
        .first_byte_seconds
        .record(waited_seconds, &[]);
    match outcome {
        Ok(response) => {
            record(router, &request, "request_answered", "", String::new());
            response
        }
        Err(refusal) => {
            record(router, &request, "request_refused", "", refusal.to_string());
            refusal_response(&refusal, &request.id)
        }
    }
}

/// Tries upstreams until an answer has begun, or is whole if it is not streamed.
async fn begin(router: &Router, request: &CallerRequest) -> Result<HttpResponse, Refusal> {
    let mut tried: HashSet<UpstreamId> = HashSet::default();
    let mut last = None;
    for _ in 0..ATTEMPTS_MAX {
        let Some(chosen) = choose_peer(router, request, &tried) else {
            if tried.is_empty() {
                break;
            }
            tried.clear();
            sleep_ms(RETRY_INTERVAL_MS).await;
            continue;
        };
        tried.insert(chosen.peer.upstream.clone());
        record(
            router,
            request,
            "upstream_chosen",
            &chosen.peer.upstream,
            chosen.why(&request.target),
        );
        match answer_from(router, request, &chosen).await {
            Ok(response) => return Ok(response),
            Err(refusal) if may_retry(request, &refusal) => {
                let upstream = &chosen.peer.upstream;
                record(
                    router,
                    request,
                    "attempt_retried",
                    upstream,
                    refusal.to_string(),
                );
                if refusal.reason == RefusalReason::NotHere {
                    follow_placement(router, &request.target).await;
                }
                last = Some(refusal);
            }
            Err(refusal) => return Err(refusal),
        }
    }
    Err(last.unwrap_or_else(|| {
        Refusal::not_run(
            RefusalReason::NoUpstream,
            "no upstream can serve the request now",
        )
        .retry_after(1000)
    }))
}

async fn answer_from(
    router: &Router,
    request: &CallerRequest,
    chosen: &Chosen,
) -> Result<HttpResponse, Refusal> {
    let deadline_unix_ms = request.deadline_unix_ms - router.settings.answer_margin_ms / 2;
    let work = async {
        let answering = submit(router, &chosen.peer, request, chosen.generation).await?;
        if request.stream {
            return Ok(streamed(answering, request.deadline_unix_ms));
        }
        let Answering {
            head,
            cold_start_ms,
            mut rest,
        } = answering;
        let body = collect(&mut rest).await?;
        Ok(response(&head, cold_start_ms, HttpBody::full(body)))
    };
    before_deadline(deadline_unix_ms, work)
        .await
        .unwrap_or_else(|| {
            let detail = "the upstream did not answer before the deadline";
            Err(Refusal::unknown(RefusalReason::DeadlineExceeded, detail))
        })
}

fn may_retry(request: &CallerRequest, refusal: &Refusal) -> bool {
    let elsewhere = matches!(
        refusal.reason,
        RefusalReason::NotHere
            | RefusalReason::Leaving
            | RefusalReason::NoMemory
            | RefusalReason::LoadFailed
            | RefusalReason::WaitTooLong
            | RefusalReason::Overloaded
            | RefusalReason::ConnectionLost
            | RefusalReason::UpstreamFailed
            | RefusalReason::StoreUnavailable
    );
    elsewhere && (refusal.run == RunState::NotRun || request.idempotent)
}

async fn collect(rest: &mut AnswerStream) -> Result<Bytes, Refusal> {
    let mut body = BytesMut::new();
    while let Some(chunk) = rest.next().await? {
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

/// An answer that is passed on as it comes; a cut aborts the caller's connection.
fn streamed(answering: Answering, deadline_unix_ms: u64) -> HttpResponse {
    let Answering {
        head,
        cold_start_ms,
        mut rest,
    } = answering;
    let (chunks, body) = async_channel::bounded(CHUNKS_MAX);
    compio::runtime::spawn(async move {
        loop {
            let next = before_deadline(deadline_unix_ms, rest.next()).await;
            let sent = match next {
                Some(Ok(Some(chunk))) => chunks.send(Ok(chunk)).await,
                Some(Ok(None)) => return,
                Some(Err(_)) | None => {
                    chunks.send(Err(BodyError)).await.ok();
                    return;
                }
            };
            if sent.is_err() {
                return;
            }
        }
    })
    .detach();
    response(&head, cold_start_ms, HttpBody::chunks(body))
}

fn response(head: &Head, cold_start_ms: u64, body: HttpBody) -> HttpResponse {
    let mut response = http::Response::new(body);
    *response.status_mut() = u16::try_from(head.status)
        .ok()
        .and_then(|status| http::StatusCode::from_u16(status).ok())
        .unwrap_or(http::StatusCode::BAD_GATEWAY);
    if let Ok(value) = http::HeaderValue::from_str(&head.content_type) {
        response
            .headers_mut()
            .insert(http::header::CONTENT_TYPE, value);
    }
    if cold_start_ms > 0
        && let Ok(value) = http::HeaderValue::from_str(&format!("cold-start;dur={cold_start_ms}"))
    {
        response.headers_mut().insert("server-timing", value);
    }
    response
}

fn record(router: &Router, request: &CallerRequest, kind: &str, upstream: &str, detail: String) {
    let model = match &request.target {
        Target::Model(model) => model.to_string(),
        Target::Service(service) => service.clone(),
    };
    router.node.timeline.record(Event {
        kind: kind.to_owned(),
        request: request.id.to_string(),
        model,
        upstream: upstream.to_owned(),
        detail,
        ..Event::default()
    });
}
