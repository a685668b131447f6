//! The life of one request over all its attempts.

use std::{pin::pin, rc::Rc};

use bytes::Bytes;
use celerystair_core::prelude::*;
use celerystair_net::prelude::*;
use celerystair_policy::{prelude::*, waiting::retry_after_ms};
use futures_util::future::select;

use crate::{
    attempt::{AnswerWait, BegunAnswer, FailedAttempt, WholeAnswer, collect, send},
    dialect::RequestHead,
    elsewhere::leaves_silent_upstream,
    front::PlatformRouter,
    pick::{Pick, WaitsFor, pick},
    stream::streamed,
    upstream::Upstream,
};

/// Requests that may wait at one router for a replica.
const WAITING_MAX: usize = 400;
/// Kept from a caller's time for the way back.
const ANSWER_MARGIN_MS: u64 = 20;
/// An upstream that is silent for this many times the route's target is left, where another one
/// takes the request now.
const SILENT_TARGETS: u64 = 3;
/// But not before this.
const SILENT_MIN_MS: u64 = 400;

/// A caller's request, read as a whole.
pub struct CallerRequest {
    /// What the caller says of it.
    pub head: RequestHead,
    /// Its method.
    pub method: http::Method,
    /// Its path and query.
    pub target: http::Uri,
    /// The headers that go on.
    pub headers: http::HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// The route that it takes.
    pub route: Rc<Route>,
    /// When it arrived.
    pub arrived_unix_ms: u64,
    /// When its answer must be there: the caller's deadline, or the route's timeout.
    pub deadline_unix_ms: u64,
    /// Tells it from others: of its path and body.
    pub fingerprint: u64,
}

impl CallerRequest {
    /// How long ago it arrived.
    pub fn age_ms(&self, now_unix_ms: u64) -> u64 {
        now_unix_ms.saturating_sub(self.arrived_unix_ms)
    }
}

/// What the attempts so far have come to.
#[derive(Default)]
pub struct Progress {
    /// Upstreams to which it was sent.
    pub tried: Vec<UpstreamId>,
    /// Upstreams that it has reached.
    pub sent: u32,
    /// Attempts that any upstream has seen.
    pub arrived: u32,
    /// Whether an upstream may have run it.
    pub may_have_run: bool,
    /// Whether an attempt was given up that may arrive yet.
    pub is_in_doubt: bool,
    /// An upstream's own answer, for want of a better one.
    pub answer: Option<WholeAnswer>,
}

/// An answer of an upstream.
pub enum Served {
    /// It is whole.
    Whole(WholeAnswer),
    /// It has begun, and goes on.
    Begun(BegunAnswer),
}

/// Serves a request.
pub async fn serve(
    front: &PlatformRouter,
    request: Rc<CallerRequest>,
) -> Result<HttpResponse, Refusal> {
    let draw = rand::random::<f64>();
    let service = choose_service(&request.route, draw)
        .ok_or_else(|| Refusal::not_run(RefusalReason::NoUpstream, "the route has no service"))?;
    let service = service.clone();
    if let Some(model) = &request.head.model {
        front.note_arrival(&model.base, request.route.target_latency_ms);
    }
    front.note_request(&service);
    let mut progress = Progress::default();
    let served = serve_at(front, &request, &service, &mut progress, None).await?;
    Ok(match served {
        Served::Whole(answer) => {
            front.suspects.borrow_mut().clear(request.fingerprint);
            whole_response(answer)
        }
        Served::Begun(begun) => streamed(front, request, service, progress, begun),
    })
}

/// Tries upstreams until one answers. A stream is resumed after `last_event_id`.
pub async fn serve_at(
    front: &PlatformRouter,
    request: &CallerRequest,
    service: &ServiceName,
    progress: &mut Progress,
    last_event_id: Option<u64>,
) -> Result<Served, Refusal> {
    let mut waited: Option<(WaitsFor, u64)> = None;
    loop {
        let now = now_unix_ms();
        if front.suspects.borrow().is_refused(request.fingerprint, now) {
            let detail = "upstreams have crashed while they ran it";
            return Err(refusal(progress, RefusalReason::Suspect, detail, 0));
        }
        if now + ANSWER_MARGIN_MS >= request.deadline_unix_ms {
            return fall_back(
                progress,
                RefusalReason::DeadlineExceeded,
                "its time is over",
            );
        }
        let upstream = match pick(front, request, service, &progress.tried) {
            Pick::Now(upstream) => upstream,
            Pick::Later {
                ready_unix_ms,
                what,
            } => {
                if waited.is_none() {
                    front.log_wait(request, what, ready_unix_ms);
                }
                waited.get_or_insert((what, now));
                wait(front, request, service, progress, ready_unix_ms).await?;
                continue;
            }
            Pick::Nowhere if progress.tried.is_empty() => {
                let retry_after_ms = NO_UPSTREAM_RETRY_MS;
                let detail = "no upstream of the service is known";
                let reason = RefusalReason::NoUpstream;
                return Err(refusal(progress, reason, detail, retry_after_ms));
            }
            Pick::Nowhere => {
                return fall_back(
                    progress,
                    RefusalReason::NoUpstream,
                    "every upstream was tried",
                );
            }
        };
        if progress.arrived > 0 && !front.take_retry(request, service, progress) {
            return fall_back(progress, RefusalReason::Overloaded, "no retry is left");
        }
        match attempt(front, request, service, progress, &upstream, last_event_id).await {
            Ok(served) => {
                front.note_attempt(service, None);
                front.log_start(request, &upstream, waited, now);
                progress.tried.push(upstream.id());
                progress.sent += 1;
                progress.arrived += 1;
                return Ok(served);
            }
            Err(failed) => {
                front.note_attempt(service, Some(failed.failure));
                front.log_failure(request, &upstream, failed.failure, now);
                let served = after_failure(front, request, &upstream, progress, failed)?;
                if let Some(served) = served {
                    return Ok(served);
                }
            }
        }
    }
}

/// How soon a caller should come back when no upstream is known: upstreams that have started are
/// in the list within a second or two.
const NO_UPSTREAM_RETRY_MS: u64 = 500;

async fn attempt(
    front: &PlatformRouter,
    request: &CallerRequest,
    service: &ServiceName,
    progress: &Progress,
    upstream: &Rc<Upstream>,
    last_event_id: Option<u64>,
) -> Result<Served, FailedAttempt> {
    let mut tried = progress.tried.clone();
    tried.push(upstream.id());
    let sent = progress.sent + 1;
    let silent_ms = (request.route.target_latency_ms * SILENT_TARGETS).max(SILENT_MIN_MS);
    let end_unix_ms = request.deadline_unix_ms - ANSWER_MARGIN_MS;
    let wait = AnswerWait {
        end_unix_ms,
        silent_unix_ms: now_unix_ms() + silent_ms,
        goes_elsewhere: &|| leaves_silent_upstream(front, request, service, &tried, sent),
    };
    let begun = send(front, request, upstream, last_event_id, &wait).await?;
    if request.route.kind == RequestKind::Stream {
        return Ok(Served::Begun(begun));
    }
    Ok(Served::Whole(collect(begun, end_unix_ms).await?))
}

/// Takes in a failed attempt. Gives what the upstream itself answered if no other one may be
/// made, and nothing if one may.
///
/// # Errors
/// A refusal if no other attempt may be made and no upstream has answered.
fn after_failure(
    front: &PlatformRouter,
    request: &CallerRequest,
    upstream: &Rc<Upstream>,
    progress: &mut Progress,
    failed: FailedAttempt,
) -> Result<Option<Served>, Refusal> {
    let failure = failed.failure;
    let id = upstream.id();
    progress.tried.push(id);
    progress.sent += u32::from(failure.has_reached_intended_upstream());
    progress.arrived += u32::from(failure.has_reached_any_upstream());
    if failure == AttemptFailure::AnswerLost {
        front.note_crash(request, upstream);
    }
    let is_repeatable = request.route.is_repeatable();
    let attempts_max = request.route.attempts_max;
    let step = next_step(
        failure,
        progress.may_have_run,
        is_repeatable,
        progress.sent,
        attempts_max,
    );
    progress.may_have_run |= !failure.has_not_run();
    progress.is_in_doubt |= failure == AttemptFailure::Silent;
    progress.answer = failed.answer.or(progress.answer.take());
    match (step, progress.answer.take()) {
        (NextStep::TryAnother, answer) => {
            progress.answer = answer;
            Ok(None)
        }
        (_, Some(answer)) => Ok(Some(Served::Whole(answer))),
        (NextStep::RefuseNotRun, None) => {
            let detail = format!("the upstream has not run it: {}", failure.as_str());
            let retry_after_ms = DECLINED_RETRY_MS;
            Err(refusal(
                progress,
                RefusalReason::Overloaded,
                &detail,
                retry_after_ms,
            ))
        }
        (NextStep::Fail, None) => {
            let detail = format!("the upstream gave no answer: {}", failure.as_str());
            let reason = if failure == AttemptFailure::Silent {
                RefusalReason::DeadlineExceeded
            } else {
                RefusalReason::UpstreamFailed
            };
            Err(refusal(progress, reason, &detail, 0))
        }
    }
}

/// How soon a caller should come back whose request full upstreams have declined.
const DECLINED_RETRY_MS: u64 = 200;

/// What an upstream itself answered, if one did; else a refusal.
fn fall_back(
    progress: &mut Progress,
    reason: RefusalReason,
    detail: &str,
) -> Result<Served, Refusal> {
    match progress.answer.take() {
        Some(answer) => Ok(Served::Whole(answer)),
        None => Err(refusal(progress, reason, detail, DECLINED_RETRY_MS)),
    }
}

fn refusal(
    progress: &Progress,
    reason: RefusalReason,
    detail: &str,
    retry_after_ms: u64,
) -> Refusal {
    if progress.may_have_run {
        Refusal::unknown(reason, detail)
    } else {
        Refusal::not_run(reason, detail).retry_after(retry_after_ms)
    }
}

/// Waits until something has changed that may let the request go on.
///
/// # Errors
/// A refusal, at once, if no upstream will take the request in the caller's time.
async fn wait(
    front: &PlatformRouter,
    request: &CallerRequest,
    service: &ServiceName,
    progress: &Progress,
    ready_unix_ms: u64,
) -> Result<(), Refusal> {
    let now = now_unix_ms();
    let patience_ms = match request.route.kind {
        RequestKind::Stream => request.route.patience_ms(),
        _ => u64::MAX / 2,
    };
    let inputs = WaitInputs {
        ready_unix_ms,
        caller_gives_up_unix_ms: request.arrived_unix_ms + patience_ms,
        deadline_unix_ms: request.deadline_unix_ms,
        waiting: front.waiting.len(),
        waiting_max: WAITING_MAX,
    };
    let until_unix_ms = match decide_wait(&inputs, now) {
        WaitDecision::Wait { until_unix_ms } => until_unix_ms,
        WaitDecision::Refuse { retry_after_ms } => {
            let ready_in_ms = ready_unix_ms.saturating_sub(now);
            let detail = format!("an upstream of {service} takes it in {ready_in_ms} ms");
            let reason = RefusalReason::WaitTooLong;
            return Err(refusal(progress, reason, &detail, retry_after_ms));
        }
    };
    if front.closing.is_draining() {
        let detail = "this router is about to end";
        let retry_after_ms = retry_after_ms(now, request.deadline_unix_ms, now);
        return Err(refusal(
            progress,
            RefusalReason::Leaving,
            detail,
            retry_after_ms,
        ));
    }
    let queue = request
        .head
        .model
        .as_ref()
        .map_or_else(ModelName::default, |m| m.base.clone());
    let (waiting, changed) = front.waiting.enter(&queue);
    if waiting.is_first {
        front.waits_untold.set(true);
        front.demand_changed();
    }
    let wake_unix_ms = until_unix_ms.min(now + RECHECK_INTERVAL_MS);
    let timer = pin!(sleep_until_unix_ms(wake_unix_ms));
    select(select(changed, timer), pin!(front.closing.draining())).await;
    Ok(())
}

/// How often a waiting request looks again though nothing was heard.
const RECHECK_INTERVAL_MS: u64 = 150;

/// An upstream's whole answer as it goes to the caller.
fn whole_response(answer: WholeAnswer) -> HttpResponse {
    let mut response = http::Response::new(HttpBody::full(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    response
}
