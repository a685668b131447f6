//! Runs one request over all its attempts: retries, deadlines and the response body.

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use celerystair_core::{
    prelude::*,
    time::{before_deadline, remaining_ms},
};
use celerystair_journal::suspects::{CRASHES_MAX, suspect_name};
use celerystair_net::{events::EventScanner, prelude::*};
use celerystair_protocol::Head;
use celerystair_telemetry::{metrics::label, prelude::*};

use crate::{
    admission::{AdmissionGuard, admit, check_expected_wait},
    answer::{error_event, refusal_response},
    attempt::{ResponseStream, StartedResponse, TrackedAttempt, submit},
    caller_request::{CallerRequest, Target},
    lost::record_crash_if_lost,
    router::Router,
    select::{ChosenUpstream, choose_upstream, refresh_agent, refresh_placement},
};

/// Maximum attempts of one request over all upstreams: few enough that one request can't exhaust a
/// router's retry budget. Waiting for an upstream to become available uses no attempt.
const ATTEMPTS_MAX: u32 = 8;
/// Bounds of the backoff before upstreams are tried again, once all have been tried.
const BACKOFF_MIN_MS: u64 = 50;
const BACKOFF_MAX_MS: u64 = 400;
/// A response that the caller did not ask to be streamed is buffered up to this size, so that
/// another upstream can be tried if it is cut off. A larger one is forwarded as it arrives, because
/// its size is unknown and its caller may be slow.
const BUFFERED_BODY_MAX_BYTES: usize = 1 << 20;
/// A response is aborted if its caller reads nothing for this long, because it holds capacity at
/// the upstream that other requests wait for.
const CALLER_STALL_MAX_MS: u64 = 10_000;
/// Chunks that are buffered for a slow caller.
const BUFFERED_CHUNKS_MAX: usize = 16;

/// Serves a request and returns the response to its caller, always before the request's deadline.
pub async fn serve_request(router: &Router, request: CallerRequest) -> HttpResponse {
    let arrived_unix_ms = now_unix_ms();
    record_event(router, &request, "request_arrived", "", String::new());
    let outcome = run_attempts(router, &request).await;
    let outcome_label = match &outcome {
        Ok(_) => "answered",
        Err(refusal) => refusal.reason.as_str(),
    };
    let waited_seconds = (now_unix_ms() - arrived_unix_ms) as f64 / 1000.0;
    router
        .node
        .metrics
        .requests
        .add(1, &[label("outcome", outcome_label)]);
    router
        .node
        .metrics
        .first_byte_seconds
        .record(waited_seconds, &[]);
    match outcome {
        Ok(response) => {
            record_event(router, &request, "request_answered", "", String::new());
            response
        }
        Err(refusal) => {
            record_event(router, &request, "request_refused", "", refusal.to_string());
            refusal_response(&refusal, &request.id)
        }
    }
}

/// Tries upstreams until one starts to stream its response, or returns a complete one if the
/// response is buffered.
async fn run_attempts(router: &Router, request: &CallerRequest) -> Result<HttpResponse, Refusal> {
    let guard = admit(router, request)?;
    let mut tried: HashSet<UpstreamId> = HashSet::default();
    let mut attempts = 0;
    let mut interruptions = 0;
    let mut runs_alone = false;
    let mut backoff_ms = BACKOFF_MIN_MS;
    let mut is_first_round = true;
    let mut last_refusal: Option<Refusal> = None;
    router.retry_budget.deposit(request.retry_budget_percent);
    while attempts < ATTEMPTS_MAX
        && remaining_ms(request.deadline_unix_ms) > answer_margin_ms(router)
    {
        runs_alone |= is_suspect(router, request, last_refusal.as_ref())?;
        let Some(chosen) = choose_upstream(router, request, &tried) else {
            // If nothing has run, an immediate refusal serves the caller better than a wait. If the
            // request may have run, only a response settles its outcome, so it waits for an
            // upstream.
            let may_have_run = last_refusal
                .as_ref()
                .is_some_and(|refusal| refusal.run == RunState::Unknown);
            if tried.is_empty() && !may_have_run {
                break;
            }
            tried.clear();
            is_first_round = false;
            sleep_ms(backoff_ms).await;
            backoff_ms = (backoff_ms * 2).min(BACKOFF_MAX_MS);
            continue;
        };
        if last_refusal.is_none() {
            check_expected_wait(router, request, chosen.queue_wait_ms)?;
        }
        if last_refusal.as_ref().is_some_and(|refusal| {
            consumes_retry_budget(refusal, is_first_round) && !router.retry_budget.try_withdraw()
        }) {
            break;
        }
        attempts += 1;
        tried.insert(chosen.peer.upstream.clone());
        let upstream = &chosen.peer.upstream;
        let state = chosen.describe(&request.target);
        record_event(router, request, "upstream_chosen", upstream, state);
        let attempt = TrackedAttempt::new(&chosen.peer, runs_alone);
        match run_attempt(router, request, &chosen, &attempt, &guard).await {
            Ok(response) => return Ok(response),
            Err(refusal) => {
                let was_interrupted = was_interrupted(router, request, &attempt, &refusal).await;
                interruptions += u32::from(was_interrupted);
                // After the first interruption the request runs alone: it may have crashed the
                // upstream, and if not, no other request can interrupt it again.
                runs_alone |= was_interrupted;
                let may_retry = may_retry(request, &refusal) && interruptions < CRASHES_MAX;
                match refusal.reason {
                    RefusalReason::NotHere if chosen.peer.is_in_backoff() => {
                        refresh_agent(router, request, upstream).await;
                    }
                    RefusalReason::NotHere => refresh_placement(router, request).await,
                    RefusalReason::ConnectionLost => refresh_agent(router, request, upstream).await,
                    _ => {}
                }
                let detail = refusal.to_string();
                last_refusal = Some(merge_refusals(last_refusal, refusal));
                if !may_retry {
                    break;
                }
                record_event(router, request, "attempt_retried", upstream, detail);
            }
        }
    }
    Err(last_refusal.unwrap_or_else(|| {
        let detail = "no upstream is available for the request";
        Refusal::not_run(RefusalReason::NoUpstream, detail)
    }))
}

/// Whether the attempt was interrupted by a failure of its upstream or by the loss of the whole
/// instance, which is recorded as a crash.
async fn was_interrupted(
    router: &Router,
    request: &CallerRequest,
    attempt: &TrackedAttempt,
    refusal: &Refusal,
) -> bool {
    match (refusal.reason, &request.target) {
        _ if refusal.run == RunState::NotRun => false,
        (RefusalReason::UpstreamFailed, _) => true,
        (RefusalReason::ConnectionLost, Target::Model(_)) => {
            record_crash_if_lost(router, request, attempt).await
        }
        _ => false,
    }
}

/// Whether the request is suspected of crashing upstreams, and must run alone.
///
/// # Errors
/// A [`Refusal`] if it has crashed too many upstreams.
fn is_suspect(
    router: &Router,
    request: &CallerRequest,
    last_refusal: Option<&Refusal>,
) -> Result<bool, Refusal> {
    let Some((_, suspect)) = router.suspects.get(&suspect_name(request.fingerprint)) else {
        return Ok(false);
    };
    let now = now_unix_ms();
    if suspect.is_refused_at(now) {
        let detail = format!(
            "{} upstreams crashed while they ran the request",
            suspect.crashes
        );
        let refusal = match last_refusal {
            Some(last_refusal) if last_refusal.run == RunState::Unknown => {
                Refusal::unknown(RefusalReason::Suspect, detail)
            }
            _ => Refusal::not_run(RefusalReason::Suspect, detail),
        };
        return Err(refusal.retry_after(suspect.expires_unix_ms - now));
    }
    Ok(suspect.is_active_at(now))
}

/// Combines the refusals of two attempts: "not run" only if neither can have run, and the earlier
/// reason if the later one is only that the deadline passed.
fn merge_refusals(earlier: Option<Refusal>, later: Refusal) -> Refusal {
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

/// Returns the time at which the response must be sent, even if an attempt's outcome is still
/// unknown.
pub fn response_deadline_unix_ms(router: &Router, request: &CallerRequest) -> u64 {
    request.deadline_unix_ms - answer_margin_ms(router) / 4
}

/// Returns the part of a request's time that is reserved for sending the response to the caller.
fn answer_margin_ms(router: &Router) -> u64 {
    router.settings.answer_margin_ms
}

/// Runs one attempt and returns its response: complete if buffered, otherwise with a streamed body.
async fn run_attempt(
    router: &Router,
    request: &CallerRequest,
    chosen: &ChosenUpstream,
    attempt: &TrackedAttempt,
    guard: &Rc<AdmissionGuard>,
) -> Result<HttpResponse, Refusal> {
    let margin_ms = answer_margin_ms(router);
    let work = async {
        let StartedResponse {
            head,
            cold_start_ms,
            body: mut upstream_body,
        } = submit(router, attempt, request, chosen.generation).await?;
        // Until the first chunk is forwarded, the request can still be retried at another upstream.
        let first = if request.stream {
            upstream_body.next_chunk().await?
        } else {
            let (body, is_complete) = buffer_body(&mut upstream_body).await?;
            if is_complete {
                return Ok(build_response(&head, cold_start_ms, HttpBody::full(body)));
            }
            Some(body)
        };
        let body = stream_body(
            guard.clone(),
            &head,
            first,
            upstream_body,
            response_deadline_unix_ms(router, request),
        );
        Ok(build_response(&head, cold_start_ms, body))
    };
    let outcome = before_deadline(request.deadline_unix_ms - margin_ms / 2, work).await;
    if let Some(outcome) = outcome {
        return outcome;
    }
    let detail = "the upstream did not respond before the deadline";
    let refusal = Refusal::unknown(RefusalReason::DeadlineExceeded, detail);
    let deadline_unix_ms = response_deadline_unix_ms(router, request);
    Err(attempt.settle(router, refusal, deadline_unix_ms).await)
}

/// Whether another attempt may succeed and is safe. The journal prevents a second execution of a
/// call that is not idempotent, so after a lost connection it is sent again to learn its outcome.
fn may_retry(request: &CallerRequest, refusal: &Refusal) -> bool {
    let may_succeed_elsewhere = matches!(
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
        || request.is_idempotent
        || refusal.reason == RefusalReason::ConnectionLost;
    may_succeed_elsewhere && may_run_again
}

/// Whether a retry after this refusal uses the retry budget. It doesn't if the agent did no work
/// for the request because it is leaving or holds no slot, or because it was unreachable.
/// Unreachable agents may stay so, so they are exempt only in the first round over all upstreams.
fn consumes_retry_budget(refusal: &Refusal, is_first_round: bool) -> bool {
    match refusal.reason {
        RefusalReason::Leaving | RefusalReason::NotHere => false,
        RefusalReason::ConnectionLost if is_first_round => refusal.run == RunState::Unknown,
        _ => true,
    }
}

/// Buffers the body up to [`BUFFERED_BODY_MAX_BYTES`]; returns it, and whether it is complete.
async fn buffer_body(upstream_body: &mut ResponseStream) -> Result<(Bytes, bool), Refusal> {
    let mut body = BytesMut::new();
    while body.len() <= BUFFERED_BODY_MAX_BYTES {
        let Some(chunk) = upstream_body.next_chunk().await? else {
            return Ok((body.freeze(), true));
        };
        body.extend_from_slice(&chunk);
    }
    Ok((body.freeze(), false))
}

/// Forwards the body as it arrives; if it ends early, the caller's connection is aborted.
fn stream_body(
    guard: Rc<AdmissionGuard>,
    head: &Head,
    first: Option<Bytes>,
    mut upstream_body: ResponseStream,
    deadline_unix_ms: u64,
) -> HttpBody {
    let (chunks, body) = async_channel::bounded(BUFFERED_CHUNKS_MAX);
    let is_event_stream = head.content_type.starts_with("text/event-stream");
    compio::runtime::spawn(async move {
        // The request counts as admitted until its response has ended.
        let _guard = guard;
        let mut scanner = EventScanner::default();
        let mut next = Ok(first);
        let refusal = loop {
            match next {
                Ok(Some(chunk)) => {
                    scanner.scan(&chunk);
                    let until_unix_ms = deadline_unix_ms.min(now_unix_ms() + CALLER_STALL_MAX_MS);
                    match before_deadline(until_unix_ms, chunks.send(Ok(chunk))).await {
                        Some(Ok(())) => {}
                        Some(Err(_)) => return,
                        None => break caller_stalled(),
                    }
                }
                Ok(None) => return,
                Err(refusal) => break refusal,
            }
            next = before_deadline(deadline_unix_ms, upstream_body.next_chunk())
                .await
                .unwrap_or_else(|| {
                    let detail = "the response was not complete at the deadline";
                    Err(Refusal::unknown(RefusalReason::DeadlineExceeded, detail))
                });
        };
        // Ends the attempt now, because the caller may take long to read the buffered chunks.
        drop(upstream_body);
        let is_between_events = is_event_stream && scanner.is_between_events();
        abort_body(&chunks, &refusal, is_between_events).await;
    })
    .detach();
    HttpBody::chunks(body)
}

/// Returns the refusal for a caller that stopped reading its response.
fn caller_stalled() -> Refusal {
    let detail = "the caller stopped reading the response";
    Refusal::unknown(RefusalReason::Cancelled, detail)
}

/// Ends an incomplete body so that the caller can detect it: sends an error event if the body is an
/// event stream that ends between two events, and then aborts the connection. Inside an event, the error
/// would become a part of that.
async fn abort_body(
    chunks: &async_channel::Sender<Result<Bytes, BodyError>>,
    refusal: &Refusal,
    is_between_events: bool,
) {
    if is_between_events {
        chunks.send(Ok(error_event(refusal))).await.ok();
    }
    chunks.send(Err(BodyError)).await.ok();
}

fn build_response(head: &Head, cold_start_ms: u64, body: HttpBody) -> HttpResponse {
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

fn record_event(
    router: &Router,
    request: &CallerRequest,
    kind: &str,
    upstream: &str,
    detail: String,
) {
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
