//! One request over all its attempts at upstreams.

use std::{cell::RefCell, pin::pin, rc::Rc};

use bytes::Bytes;
use celerystair_core::prelude::*;
use celerystair_net::prelude::*;
use celerystair_policy::{prelude::*, waiting::retry_after_ms};
use futures_util::future::{Either, select};

use crate::{
    attempt::{
        BufferedResponse, FailedAttempt, KeptAttempt, Resumption, StartedResponse, buffer_response,
        send_attempt,
    },
    bodies::BodyReservation,
    dialect::RequestHead,
    elsewhere::{SILENCE_RECHECK_MS, should_leave_silent_upstream},
    front::PlatformRouter,
    origins::{OriginSource, prove_list, stream_origin},
    pick::{Pick, WaitReason, ms_until_admission, pick_upstream},
    standstill::before_silence,
    stream::stream_response,
    suspicion::{SuspicionRefusal, suspicion_refusal},
    upstream::Upstream,
};

/// Maximum number of requests that may wait at one router for a replica.
const WAITING_MAX: usize = 400;
/// The header of event streams after which event one goes on.
const LAST_EVENT_ID: &str = "last-event-id";
/// Part of a caller's time that is reserved for returning the response.
const RESPONSE_MARGIN_MS: u64 = 20;
/// A request whose upstream is silent for this many times the route's target latency moves to
/// another upstream, if one accepts it now.
const SILENCE_TARGET_MULTIPLE: u64 = 3;
/// Minimum silence before a request moves, whatever the route's target latency is.
const SILENCE_MIN_MS: u64 = 400;

/// A caller's request, with its body read completely.
pub struct CallerRequest {
    /// The platform's headers of the request.
    pub head: RequestHead,
    /// The HTTP method.
    pub method: http::Method,
    /// The path and query.
    pub target: http::Uri,
    /// The headers that are forwarded to the upstream.
    pub headers: http::HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// Keeps the room that the body takes.
    pub body_room: BodyReservation,
    /// The route that matches the request.
    pub route: Rc<Route>,
    /// When the request arrived.
    pub arrived_unix_ms: u64,
    /// When the last byte of its body was read.
    pub read_unix_ms: u64,
    /// When the response is due: after the caller's timeout or the route's, whichever is shorter.
    pub deadline_unix_ms: u64,
    /// Hash of the method, host, path, query and body, by which requests that crash upstreams are
    /// recognised.
    pub fingerprint: u64,
}

impl CallerRequest {
    /// Returns the model that the request waits for, which is empty at plain services.
    pub fn queue(&self) -> ModelName {
        let model = self.head.model.as_ref();
        model.map_or_else(ModelName::default, |model| model.base.clone())
    }

    /// Whether the caller takes up a stream of which it has got events.
    pub fn takes_up_stream(&self) -> bool {
        self.route.kind == RequestKind::Stream && self.route.can_resume && self.names_last_event()
    }

    /// Whether it has the id of an event, perhaps one that this router can't read: the upstream gets it
    /// and may go on after it.
    fn names_last_event(&self) -> bool {
        let ids = self.headers.get_all(LAST_EVENT_ID).iter();
        self.head.last_event_id.is_some()
            || ids
                .into_iter()
                .any(|id| !id.as_bytes().trim_ascii().is_empty())
    }

    /// Returns when its attempts end at the latest.
    pub fn attempts_end_unix_ms(&self) -> u64 {
        self.deadline_unix_ms.saturating_sub(RESPONSE_MARGIN_MS)
    }

    /// Returns the time since the request arrived.
    pub fn age_ms(&self, now_unix_ms: u64) -> u64 {
        now_unix_ms.saturating_sub(self.arrived_unix_ms)
    }
}

/// The state of a request after its attempts so far.
#[derive(Default)]
pub struct Progress {
    /// Upstreams that were attempted.
    pub tried: Vec<UpstreamId>,
    /// Number of attempts that reached the upstream they were meant for.
    pub reached_upstreams: u32,
    /// Number of attempts that reached any upstream; further attempts count as retries.
    pub delivered_attempts: u32,
    /// Whether an upstream may have run the request.
    pub may_have_run: bool,
    /// Whether an abandoned attempt may still arrive at its upstream.
    pub has_unresolved_attempt: bool,
    /// The software version of the stream's events that were passed on; `None` if none was.
    pub version: Option<SoftwareVersion>,
    /// The last error response of an upstream, returned if no later attempt succeeds.
    pub response: Option<BufferedResponse>,
}

/// Whether a request may have run, and whether an attempt is in doubt, before a silent upstream counts.
#[derive(Clone, Copy)]
struct BeforeSilence {
    may_have_run: bool,
    has_unresolved_attempt: bool,
}

impl Progress {
    /// Drops an error response that is too long to be kept while the request waits or runs elsewhere.
    fn drop_long_response(&mut self) {
        self.response.take_if(|response| !response.is_kept());
    }

    /// Counts the attempt at a silent upstream while another one is tried.
    fn add_silent(&mut self, upstream: &Upstream) -> BeforeSilence {
        self.tried.push(upstream.id());
        self.reached_upstreams += 1;
        self.delivered_attempts += 1;
        BeforeSilence {
            may_have_run: std::mem::replace(&mut self.may_have_run, true),
            has_unresolved_attempt: std::mem::replace(&mut self.has_unresolved_attempt, true),
        }
    }

    /// Takes the attempt off again, because no other upstream runs the request.
    fn remove_silent(&mut self, upstream: &Upstream, before: BeforeSilence) {
        let id = upstream.id();
        self.tried.retain(|tried| *tried != id);
        self.reached_upstreams -= 1;
        self.delivered_attempts -= 1;
        self.may_have_run = before.may_have_run;
        self.has_unresolved_attempt = before.has_unresolved_attempt;
    }
}

/// A response of an upstream.
pub enum UpstreamResponse {
    /// The complete response.
    Buffered(BufferedResponse),
    /// A response whose head has arrived and whose body is still to be read.
    Started(StartedResponse),
}

/// Chooses a service of the request's route and serves the request there.
pub async fn serve_request(
    router: &PlatformRouter,
    request: Rc<CallerRequest>,
) -> Result<HttpResponse, Refusal> {
    let mut progress = Progress::default();
    let service = if request.takes_up_stream() {
        let (origin, source) = origin_before_stop(router, &request).await?;
        router.log_stream_taken_up(&request, &origin, source);
        progress.version = Some(origin.version);
        origin.service
    } else {
        let service = choose_service(&request.route, rand::random());
        let no_service = || Refusal::not_run(RefusalReason::NoUpstream, "the route has no service");
        service.ok_or_else(no_service)?.clone()
    };
    if let Some(model) = &request.head.model {
        router.count_model_request(&model.base, request.route.target_latency_ms);
    }
    router.count_service_request(&service);
    let response = try_upstreams(
        router,
        &request,
        &service,
        &mut progress,
        Resumption::default(),
    )
    .await?;
    Ok(match response {
        UpstreamResponse::Buffered(response) => {
            if response.is_proven_answer {
                router.clear_suspicion(&request, response.status, &response.upstream);
                router.record_part_answer(&request, response.began_unix_ms);
            }
            buffered_response(response)
        }
        UpstreamResponse::Started(started) => {
            stream_response(router, request, service, progress, started)
        }
    })
}

/// Returns where the stream began that the caller takes up, unless this router shuts down before the rest of
/// it is expected to end.
async fn origin_before_stop(
    router: &PlatformRouter,
    request: &CallerRequest,
) -> Result<(StreamOrigin, OriginSource), Refusal> {
    let leaving = || {
        let detail = "this router shuts down before the answer is expected to end";
        Refusal::not_run(RefusalReason::Leaving, detail).retry_after(DECLINED_RETRY_AFTER_MS)
    };
    if !router.can_end_before_stop(request, now_unix_ms()) {
        return Err(leaving());
    }
    let finding = pin!(stream_origin(router, request));
    match select(finding, pin!(router.closing.draining())).await {
        Either::Left((found, _)) => found,
        Either::Right(_) => Err(leaving()),
    }
}

/// Tries upstreams of `service` until one responds. While an attempt at a silent upstream is kept, tries
/// only those that accept the request now; if it is still open afterwards, no other one runs the request.
pub async fn try_upstreams(
    router: &PlatformRouter,
    request: &CallerRequest,
    service: &ServiceName,
    progress: &mut Progress,
    resumption: Resumption<'_>,
) -> Result<UpstreamResponse, Refusal> {
    let mut waited: Option<(WaitReason, u64)> = None;
    let mut proven_from_unix_ms = None;
    loop {
        let now = now_unix_ms();
        if let Some(SuspicionRefusal {
            detail,
            retry_after_ms,
        }) = suspicion_refusal(router, request, now)
        {
            let reason = RefusalReason::Suspect;
            return Err(refusal(progress, reason, &detail, retry_after_ms));
        }
        if now + RESPONSE_MARGIN_MS >= request.deadline_unix_ms {
            return last_response_or_refusal(
                progress,
                RefusalReason::DeadlineExceeded,
                "no time is left before the deadline",
            );
        }
        let version = progress.version.as_ref();
        let is_ongoing = request.takes_up_stream() || resumption.last_event_id.is_some();
        let tried = &progress.tried;
        let upstream = match pick_upstream(router, request, service, version, tried, is_ongoing) {
            Pick::Now(upstream) => {
                let oldest_unix_ms = now.saturating_sub(VERSION_PROOF_AGE_MAX_MS);
                let from_unix_ms = proven_from_unix_ms.unwrap_or(oldest_unix_ms);
                if version.is_some() && !router.view.is_list_proven(from_unix_ms) {
                    proven_from_unix_ms = Some(now);
                    if !prove_list(router, request, now).await {
                        return list_unproven(router, request, progress);
                    }
                    continue;
                }
                upstream
            }
            Pick::Later {
                ready_unix_ms,
                reason,
            } => {
                if resumption.keeps_attempt() {
                    let detail = "no other upstream accepts the request now";
                    return Err(refusal(progress, RefusalReason::Overloaded, detail, 0));
                }
                if waited.is_none() {
                    router.log_request_waits(request, reason, ready_unix_ms);
                }
                waited.get_or_insert((reason, now));
                progress.drop_long_response();
                proven_from_unix_ms = None;
                wait_for_change(router, request, service, progress, ready_unix_ms).await?;
                continue;
            }
            Pick::NoneLeft if progress.tried.is_empty() && version.is_some() => {
                return Err(version_gone(router, service, progress, now));
            }
            Pick::NoneLeft if progress.tried.is_empty() => {
                let retry_after_ms = NO_UPSTREAM_RETRY_AFTER_MS;
                let detail = "no upstream of the service is ready";
                let reason = RefusalReason::NoUpstream;
                return Err(refusal(progress, reason, detail, retry_after_ms));
            }
            Pick::NoneLeft => {
                return last_response_or_refusal(
                    progress,
                    RefusalReason::NoUpstream,
                    "every ready upstream was tried",
                );
            }
        };
        // A stream that its caller has events of goes on for as long as it can.
        if resumption.last_event_id.is_none() && !router.can_end_before_stop(request, now) {
            let detail = "this router shuts down before the answer is expected to end";
            let reason = RefusalReason::Leaving;
            return last_response_or_refusal(progress, reason, detail);
        }
        if !progress.may_have_run {
            router.log_sent_in_stop(request, &upstream);
        }
        if progress.delivered_attempts > 0 && !router.try_spend_retry(request, service, progress) {
            return last_response_or_refusal(
                progress,
                RefusalReason::Overloaded,
                "the retry budget is exhausted",
            );
        }
        progress.drop_long_response();
        let attempt =
            match send_or_move(router, request, service, progress, &upstream, resumption).await {
                SendOutcome::Elsewhere(result) => return result,
                SendOutcome::Attempt(attempt) => attempt,
            };
        // The attempt may have taken long.
        proven_from_unix_ms = None;
        match read_response(router, request, attempt).await {
            Ok(response) => {
                router.count_attempt(service, None);
                router.log_late_response(request, &upstream, waited, now);
                progress.tried.push(upstream.id());
                progress.reached_upstreams += 1;
                progress.delivered_attempts += 1;
                return Ok(response);
            }
            Err(failed) => {
                router.count_attempt(service, Some(failed.failure));
                router.log_attempt_failed(request, &upstream, failed.failure, now);
                let response =
                    handle_failed_attempt(router, request, service, &upstream, progress, failed)?;
                if let Some(response) = response {
                    return Ok(response);
                }
            }
        }
    }
}

/// Refuses to go on with a stream whose software version the list may no longer tell, or returns the last
/// error response of an upstream if there is one.
fn list_unproven(
    router: &PlatformRouter,
    request: &CallerRequest,
    progress: &mut Progress,
) -> Result<UpstreamResponse, Refusal> {
    router.log_list_unproven(request);
    if let Some(response) = progress.response.take() {
        return Ok(UpstreamResponse::Buffered(response));
    }
    let detail = "the store doesn't tell which software versions are in service now";
    let reason = RefusalReason::SoftwareVersionUnproven;
    Err(refusal(progress, reason, detail, LIST_PROOF_RETRY_AFTER_MS))
}

/// Refuses to go on with a stream whose software version has no ready upstream.
fn version_gone(
    router: &PlatformRouter,
    service: &ServiceName,
    progress: &Progress,
    now_unix_ms: u64,
) -> Refusal {
    let version = progress.version.clone().unwrap_or_default();
    let history = router.view.version_history(service);
    let retry_after_ms = history.retry_after_ms(&version, now_unix_ms);
    let detail = format!("no upstream of {service} at software version {version} is ready");
    let reason = RefusalReason::SoftwareVersionGone;
    refusal(progress, reason, &detail, retry_after_ms)
}

/// `Retry-After` when no upstream is ready: an upstream that has started is listed in the store
/// within one or two seconds.
const NO_UPSTREAM_RETRY_AFTER_MS: u64 = 500;

/// Reads the body of a response that isn't a stream.
async fn read_response(
    router: &PlatformRouter,
    request: &CallerRequest,
    attempt: Result<StartedResponse, FailedAttempt>,
) -> Result<UpstreamResponse, FailedAttempt> {
    let started = attempt?;
    if request.route.kind == RequestKind::Stream {
        return Ok(UpstreamResponse::Started(started));
    }
    let reading = buffer_response(router, request, started, request.attempts_end_unix_ms());
    match select(pin!(reading), pin!(router.closing.draining())).await {
        Either::Left((response, _)) => Ok(UpstreamResponse::Buffered(response?)),
        Either::Right(_) => Err(AttemptFailure::Silent.into()),
    }
}

/// How the wait for an upstream's response ended.
enum SendOutcome {
    /// The upstream responded, or the attempt failed.
    Attempt(Result<StartedResponse, FailedAttempt>),
    /// The upstream was silent, and the request went on at another one.
    Elsewhere(Result<UpstreamResponse, Refusal>),
}

/// Sends the request to `upstream` and waits for the head of its response. While the upstream is silent,
/// tries others, and stays if none accepts the request.
async fn send_or_move(
    router: &PlatformRouter,
    request: &CallerRequest,
    service: &ServiceName,
    progress: &mut Progress,
    upstream: &Rc<Upstream>,
    resumption: Resumption<'_>,
) -> SendOutcome {
    let mut silence_ms =
        (request.route.target_latency_ms * SILENCE_TARGET_MULTIPLE).max(SILENCE_MIN_MS);
    let sent_unix_ms = now_unix_ms();
    let end_unix_ms = request.attempts_end_unix_ms();
    let mut attempt = Box::pin(send_attempt(
        router,
        request,
        upstream,
        resumption,
        end_unix_ms,
    ));
    loop {
        if let Some(result) = before_silence(router, silence_ms, attempt.as_mut()).await {
            return SendOutcome::Attempt(result);
        }
        if resumption.keeps_attempt() || !should_leave(router, request, service, progress, upstream)
        {
            silence_ms = SILENCE_RECHECK_MS;
            continue;
        }
        let silent = RefCell::new(Some(attempt));
        let kept = KeptAttempt {
            is_open: &|| silent.borrow().is_some(),
            close: &|| {
                if silent.take().is_some() {
                    let failure = AttemptFailure::Silent;
                    upstream.update_health(|health| health.record_failure(false, now_unix_ms()));
                    router.count_attempt(service, Some(failure));
                    router.log_attempt_failed(request, upstream, failure, sent_unix_ms);
                }
            },
        };
        let next = Resumption {
            last_event_id: resumption.last_event_id,
            kept: Some(&kept),
        };
        let before = progress.add_silent(upstream);
        let moved = Box::pin(try_upstreams(router, request, service, progress, next)).await;
        let Some(still_open) = silent.take() else {
            return SendOutcome::Elsewhere(moved);
        };
        silence_ms = SILENCE_RECHECK_MS;
        router.log_request_stays(request, upstream);
        progress.remove_silent(upstream, before);
        if let Ok(UpstreamResponse::Buffered(response)) = moved {
            progress.response = Some(response);
        }
        attempt = still_open;
    }
}

/// Returns whether a request whose attempt at `upstream` is silent should be sent to another one now.
fn should_leave(
    router: &PlatformRouter,
    request: &CallerRequest,
    service: &ServiceName,
    progress: &Progress,
    upstream: &Upstream,
) -> bool {
    let mut tried = progress.tried.clone();
    tried.push(upstream.id());
    should_leave_silent_upstream(
        router,
        request,
        service,
        progress.version.as_ref(),
        &tried,
        progress.reached_upstreams + 1,
    )
}

/// Records a failed attempt. Returns `None` if another attempt may be made, or else the last error
/// response of an upstream.
///
/// # Errors
/// Returns a refusal if no other attempt may be made and no upstream has sent a response.
fn handle_failed_attempt(
    router: &PlatformRouter,
    request: &CallerRequest,
    service: &ServiceName,
    upstream: &Rc<Upstream>,
    progress: &mut Progress,
    failed: FailedAttempt,
) -> Result<Option<UpstreamResponse>, Refusal> {
    let failure = failed.failure;
    let id = upstream.id();
    progress.tried.push(id);
    progress.reached_upstreams += u32::from(failure.has_reached_intended_upstream());
    progress.delivered_attempts += u32::from(failure.has_reached_any_upstream());
    let is_repeatable = request.route.is_repeatable();
    let attempts_max = request.route.attempts_max;
    let step = next_step(
        failure,
        progress.may_have_run,
        is_repeatable,
        progress.reached_upstreams,
        attempts_max,
    );
    progress.may_have_run |= !failure.has_not_run();
    progress.has_unresolved_attempt |= failure == AttemptFailure::Silent;
    progress.response = failed.response.or(progress.response.take());
    match (step, progress.response.take()) {
        (NextStep::TryAnother, response) => {
            progress.response = response;
            Ok(None)
        }
        (_, Some(response)) => Ok(Some(UpstreamResponse::Buffered(response))),
        (NextStep::RefuseNotRun, None) => {
            let detail = format!("the upstream did not run the request: {}", failure.as_str());
            let retry_after_ms = declined_retry_after_ms(router, request, service);
            Err(refusal(
                progress,
                RefusalReason::Overloaded,
                &detail,
                retry_after_ms,
            ))
        }
        (NextStep::Fail, None) => {
            let detail = format!("the upstream gave no usable response: {}", failure.as_str());
            let reason = if failure == AttemptFailure::Silent {
                RefusalReason::DeadlineExceeded
            } else {
                RefusalReason::UpstreamFailed
            };
            Err(refusal(progress, reason, &detail, 0))
        }
    }
}

/// `Retry-After` of a request that upstreams at capacity have declined.
const DECLINED_RETRY_AFTER_MS: u64 = 200;

fn declined_retry_after_ms(
    router: &PlatformRouter,
    request: &CallerRequest,
    service: &ServiceName,
) -> u64 {
    let wait_ms = ms_until_admission(router, service).max(DECLINED_RETRY_AFTER_MS);
    let now = now_unix_ms();
    retry_after_ms(now + wait_ms, request.deadline_unix_ms, now).max(DECLINED_RETRY_AFTER_MS)
}

/// Returns the last error response of an upstream if there is one, or else a refusal.
fn last_response_or_refusal(
    progress: &mut Progress,
    reason: RefusalReason,
    detail: &str,
) -> Result<UpstreamResponse, Refusal> {
    match progress.response.take() {
        Some(response) => Ok(UpstreamResponse::Buffered(response)),
        None => Err(refusal(progress, reason, detail, DECLINED_RETRY_AFTER_MS)),
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

/// Waits until a change may allow the request to be sent, or until it is time to check again.
///
/// # Errors
/// Returns a refusal at once if no upstream is expected to accept the request in the caller's time,
/// if too many requests wait, or if the router is shutting down.
async fn wait_for_change(
    router: &PlatformRouter,
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
        waiting: router.waiting.len(),
        waiting_max: WAITING_MAX,
    };
    let until_unix_ms = match decide_wait(&inputs, now) {
        WaitDecision::Wait { until_unix_ms } => until_unix_ms,
        WaitDecision::Refuse { retry_after_ms } => {
            let ready_in_ms = ready_unix_ms.saturating_sub(now);
            let detail =
                format!("an upstream of {service} is expected to be ready in {ready_in_ms} ms");
            let reason = RefusalReason::WaitTooLong;
            return Err(refusal(progress, reason, &detail, retry_after_ms));
        }
    };
    let can_end = router.can_end_before_stop(request, ready_unix_ms.max(now));
    if router.closing.is_draining() || !progress.may_have_run && !can_end {
        let detail = "this router shuts down before the answer is expected to end";
        let retry_after_ms = retry_after_ms(now, request.deadline_unix_ms, now);
        return Err(refusal(
            progress,
            RefusalReason::Leaving,
            detail,
            retry_after_ms,
        ));
    }
    let queue = request.queue();
    let (wait_guard, changed) = router.waiting.register(&queue);
    if wait_guard.is_first {
        router.has_unreported_waits.set(true);
        router.notify_demand_change();
    }
    let wake_unix_ms = until_unix_ms.min(now + RECHECK_INTERVAL_MS);
    let timer = pin!(sleep_until_unix_ms(wake_unix_ms));
    select(select(changed, timer), pin!(router.stop_changed())).await;
    Ok(())
}

/// How often a waiting request checks again without any notification.
const RECHECK_INTERVAL_MS: u64 = 150;

/// Builds the caller's response from a buffered response of an upstream.
fn buffered_response(upstream_response: BufferedResponse) -> HttpResponse {
    let mut response = http::Response::new(HttpBody::full(upstream_response.body));
    *response.status_mut() = upstream_response.status;
    *response.headers_mut() = upstream_response.headers;
    response
}
