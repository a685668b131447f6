//! The life of one request over all its attempts.

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use celerystair_core::{
    prelude::*,
    time::{before_deadline, remaining_ms},
};
use celerystair_journal::suspects::{CRASHES_MAX, suspect_name};
use celerystair_net::prelude::*;
use celerystair_protocol::Head;
use celerystair_telemetry::{metrics::label, prelude::*};

use crate::{
    admission::{Admitted, admit, check_wait},
    answer::{error_event, refusal_response},
    attempt::{AnswerStream, Answering, Tracked, submit},
    caller_request::{CallerRequest, Target},
    lost::charge_if_lost,
    router::Router,
    select::{Chosen, choose_peer, follow_agent, follow_placement},
};

/// Attempts of one request at most, over all upstreams: few enough that no request alone can use
/// up a router's retry budget. Waiting until an upstream is back takes no attempt.
const ATTEMPTS_MAX: u32 = 8;
/// Waits before other attempts when every upstream was tried.
const RETRY_MIN_MS: u64 = 50;
const RETRY_MAX_MS: u64 = 400;
/// An answer that is not asked for as a stream is kept back until it is whole, so that a cut one
/// can still be had elsewhere. A larger one is passed on as it comes: its caller may be slow, and
/// its end is not known.
const KEPT_BACK_MAX_BYTES: usize = 1 << 20;
/// A caller that takes nothing of its answer for this long has it cut off: it holds a turn at the
/// upstream that others wait for.
const STALLED_MAX_MS: u64 = 10_000;
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
    let admitted = admit(router, request)?;
    let mut tried: HashSet<UpstreamId> = HashSet::default();
    let mut attempts = 0;
    let mut cuts = 0;
    let mut suspect = false;
    let mut retry_ms = RETRY_MIN_MS;
    let mut is_first_round = true;
    let mut last: Option<Refusal> = None;
    router.retry_budget.earn(request.retry_budget_percent);
    while attempts < ATTEMPTS_MAX
        && remaining_ms(request.deadline_unix_ms) > answer_margin_ms(router)
    {
        suspect |= is_suspect(router, request, last.as_ref())?;
        let Some(chosen) = choose_peer(router, request, &tried) else {
            // With nothing run, a refusal now is worth more to the caller than a wait. A request
            // that may have run is in doubt until it is answered, so it waits for an upstream.
            let in_doubt = last.as_ref().is_some_and(|l| l.run == RunState::Unknown);
            if tried.is_empty() && !in_doubt {
                break;
            }
            tried.clear();
            is_first_round = false;
            sleep_ms(retry_ms).await;
            retry_ms = (retry_ms * 2).min(RETRY_MAX_MS);
            continue;
        };
        if last.is_none() {
            check_wait(router, request, chosen.queue_wait_ms)?;
        }
        if last
            .as_ref()
            .is_some_and(|last| costs_budget(last, is_first_round) && !router.retry_budget.take())
        {
            break;
        }
        attempts += 1;
        tried.insert(chosen.peer.upstream.clone());
        let upstream = &chosen.peer.upstream;
        let why = chosen.why(&request.target);
        record(router, request, "upstream_chosen", upstream, why);
        let tracked = Tracked::new(&chosen.peer, suspect);
        match answer_from(router, request, &chosen, &tracked, &admitted).await {
            Ok(response) => return Ok(response),
            Err(refusal) => {
                let was_cut = was_cut(router, request, &tracked, &refusal).await;
                cuts += u32::from(was_cut);
                // From the first cut on it runs alone: it may have been the cause, and where it
                // was not, no other request can cut it off again.
                suspect |= was_cut;
                let may_retry = may_retry(request, &refusal) && cuts < CRASHES_MAX;
                match refusal.reason {
                    RefusalReason::NotHere => follow_placement(router, request).await,
                    RefusalReason::ConnectionLost => follow_agent(router, request, upstream).await,
                    _ => {}
                }
                let detail = refusal.to_string();
                last = Some(merge(last, refusal));
                if !may_retry {
                    break;
                }
                record(router, request, "attempt_retried", upstream, detail);
            }
        }
    }
    Err(last.unwrap_or_else(|| {
        let detail = "no upstream can serve the request now";
        Refusal::not_run(RefusalReason::NoUpstream, detail)
    }))
}

/// Whether the attempt was cut off by its upstream, or was lost with the whole instance.
async fn was_cut(
    router: &Router,
    request: &CallerRequest,
    tracked: &Tracked,
    refusal: &Refusal,
) -> bool {
    match (refusal.reason, &request.target) {
        _ if refusal.run == RunState::NotRun => false,
        (RefusalReason::UpstreamFailed, _) => true,
        (RefusalReason::ConnectionLost, Target::Model(_)) => {
            charge_if_lost(router, request, tracked).await
        }
        _ => false,
    }
}

/// Whether the request is suspected of crashing upstreams, and must run alone.
///
/// # Errors
/// A refusal if it has crashed too many.
fn is_suspect(
    router: &Router,
    request: &CallerRequest,
    last: Option<&Refusal>,
) -> Result<bool, Refusal> {
    let Some((_, suspect)) = router.suspects.get(&suspect_name(request.fingerprint)) else {
        return Ok(false);
    };
    let now = now_unix_ms();
    if suspect.is_refused_at(now) {
        let detail = format!("{} upstreams crashed while they ran it", suspect.crashes);
        let refusal = match last {
            Some(last) if last.run == RunState::Unknown => {
                Refusal::unknown(RefusalReason::Suspect, detail)
            }
            _ => Refusal::not_run(RefusalReason::Suspect, detail),
        };
        return Err(refusal.retry_after(suspect.expires_unix_ms - now));
    }
    Ok(suspect.holds_at(now))
}

/// The refusal of a request after one more attempt: "not run" only if no attempt may have run,
/// and the earlier reason where the later is only that time ran out.
fn merge(earlier: Option<Refusal>, later: Refusal) -> Refusal {
    let Some(earlier) = earlier else {
        return later;
    };
    let run = if earlier.run == RunState::Unknown {
        RunState::Unknown
    } else {
        later.run
    };
    let cause = if later.reason == RefusalReason::DeadlineExceeded {
        earlier
    } else {
        later
    };
    Refusal { run, ..cause }
}

/// By when the caller's answer must be on its way, whatever is still to be found out.
pub fn answer_by_unix_ms(router: &Router, request: &CallerRequest) -> u64 {
    request.deadline_unix_ms - answer_margin_ms(router) / 4
}

/// Kept from a request's time for the way back to the caller.
fn answer_margin_ms(router: &Router) -> u64 {
    router.settings.answer_margin_ms
}

async fn answer_from(
    router: &Router,
    request: &CallerRequest,
    chosen: &Chosen,
    tracked: &Tracked,
    admitted: &Rc<Admitted>,
) -> Result<HttpResponse, Refusal> {
    let margin_ms = answer_margin_ms(router);
    let work = async {
        let Answering {
            head,
            cold_start_ms,
            mut rest,
        } = submit(router, tracked, request, chosen.generation).await?;
        // Until the first chunk is passed on, the request can still be tried elsewhere.
        let first = if request.stream {
            rest.next().await?
        } else {
            let (body, is_whole) = collect(&mut rest).await?;
            if is_whole {
                return Ok(response(&head, cold_start_ms, HttpBody::full(body)));
            }
            Some(body)
        };
        let body = streamed(
            admitted.clone(),
            &head,
            first,
            rest,
            answer_by_unix_ms(router, request),
        );
        Ok(response(&head, cold_start_ms, body))
    };
    let outcome = before_deadline(request.deadline_unix_ms - margin_ms / 2, work).await;
    if let Some(outcome) = outcome {
        return outcome;
    }
    let detail = "the upstream did not answer before the deadline";
    let refusal = Refusal::unknown(RefusalReason::DeadlineExceeded, detail);
    let deadline_unix_ms = answer_by_unix_ms(router, request);
    Err(tracked.settle(router, refusal, deadline_unix_ms).await)
}

/// Whether another attempt may come to something better. The journal keeps a call that may not
/// be repeated from running twice, so one that was lost sight of is sent on for its outcome.
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
    let may_run_again = refusal.run == RunState::NotRun
        || request.idempotent
        || refusal.reason == RefusalReason::ConnectionLost;
    elsewhere && may_run_again
}

/// Whether a retry after this refusal adds load: an agent that never queued the request, because
/// it is leaving or holds no slot, did no work for it. Nor did one that was not reached, but only
/// the first round over all upstreams is free of that: what is out of reach may stay so.
fn costs_budget(refusal: &Refusal, is_first_round: bool) -> bool {
    match refusal.reason {
        RefusalReason::Leaving | RefusalReason::NotHere => false,
        RefusalReason::ConnectionLost if is_first_round => refusal.run == RunState::Unknown,
        _ => true,
    }
}

/// The answer, or as much of it as is kept back, and whether it is whole.
async fn collect(rest: &mut AnswerStream) -> Result<(Bytes, bool), Refusal> {
    let mut body = BytesMut::new();
    while body.len() <= KEPT_BACK_MAX_BYTES {
        let Some(chunk) = rest.next().await? else {
            return Ok((body.freeze(), true));
        };
        body.extend_from_slice(&chunk);
    }
    Ok((body.freeze(), false))
}

/// An answer that is passed on as it comes; a cut aborts the caller's connection.
fn streamed(
    admitted: Rc<Admitted>,
    head: &Head,
    first: Option<Bytes>,
    mut rest: AnswerStream,
    deadline_unix_ms: u64,
) -> HttpBody {
    let (chunks, body) = async_channel::bounded(CHUNKS_MAX);
    let is_event_stream = head.content_type.starts_with("text/event-stream");
    compio::runtime::spawn(async move {
        // The request counts as one of the router's until its answer has ended.
        let _admitted = admitted;
        let mut next = Ok(first);
        let refusal = loop {
            match next {
                Ok(Some(chunk)) => {
                    let until_unix_ms = deadline_unix_ms.min(now_unix_ms() + STALLED_MAX_MS);
                    match before_deadline(until_unix_ms, chunks.send(Ok(chunk))).await {
                        Some(Ok(())) => {}
                        Some(Err(_)) => return,
                        None => break stalled(),
                    }
                }
                Ok(None) => return,
                Err(refusal) => break refusal,
            }
            next = before_deadline(deadline_unix_ms, rest.next())
                .await
                .unwrap_or_else(|| {
                    let detail = "the answer was not whole at the deadline";
                    Err(Refusal::unknown(RefusalReason::DeadlineExceeded, detail))
                });
        };
        // The attempt ends now, whenever the caller takes the last that waits for it.
        drop(rest);
        cut(&chunks, &refusal, is_event_stream).await;
    })
    .detach();
    HttpBody::chunks(body)
}

/// The refusal of a caller that takes nothing of its answer.
fn stalled() -> Refusal {
    let detail = "the caller took nothing of its answer for too long";
    Refusal::unknown(RefusalReason::Cancelled, detail)
}

/// Ends an answer that is not whole, so that its caller can see it: by an error event where the
/// answer is a stream of events, and in any case by a cut connection.
async fn cut(
    chunks: &async_channel::Sender<Result<Bytes, BodyError>>,
    refusal: &Refusal,
    is_event_stream: bool,
) {
    if is_event_stream {
        chunks.send(Ok(error_event(refusal))).await.ok();
    }
    chunks.send(Err(BodyError)).await.ok();
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
