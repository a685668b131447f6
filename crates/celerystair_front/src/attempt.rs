//! One attempt to send a request to one upstream.

use std::{cell::Cell, pin::pin, rc::Rc};

use bytes::{Bytes, BytesMut};
use celerystair_core::{
    prelude::*,
    time::{before_deadline, remaining_ms},
};
use celerystair_net::{body::FramedBody, prelude::*};
use celerystair_policy::{prelude::*, stall::KEEP_SILENT_RESPONSE_MS};
use futures_util::future::{Either, select};
use http::{HeaderMap, HeaderName, HeaderValue, Method, header};
use http_body_util::BodyExt;
use hyper::{body::Incoming, ext::ReasonPhrase};

use crate::{
    answer_end::find_answer_end,
    answer_limits::is_head_too_long,
    connections::{UpstreamConnection, connect},
    dialect::{PauseHeader, RateLimitHeader, ResponseHead},
    framing::{Framing, declared_length, declares_missing_body, is_cut_off, response_framing},
    front::PlatformRouter,
    incomplete_answers::AnswerReservation,
    request::CallerRequest,
    runs::RunGuard,
    standstill::before_bound,
    upstream::{InFlightGuard, Upstream},
};

/// A response whose head has arrived and whose body is still to be read.
pub struct StartedResponse {
    /// The status and headers.
    pub head: Box<http::response::Parts>,
    /// The rest of the body.
    pub body: Incoming,
    /// How the end of the body is marked.
    pub framing: Framing,
    /// When the head arrived.
    pub began_unix_ms: u64,
    /// The connection that the response arrives on.
    pub connection: UpstreamConnection,
    /// Keeps the request counted as in flight at the upstream.
    pub in_flight: InFlightGuard,
    /// The upstream that responded.
    pub upstream: Rc<Upstream>,
    /// The run that the response ends once it is complete.
    pub run: RunGuard,
}

/// A complete response of an upstream.
#[derive(Clone)]
pub struct BufferedResponse {
    /// The upstream that responded.
    pub upstream: UpstreamId,
    /// The status.
    pub status: http::StatusCode,
    /// The end-to-end headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// When the head arrived.
    pub began_unix_ms: u64,
    /// Whether the response proves that the request crashes no upstream.
    pub is_proven_answer: bool,
}

/// The longest body of an error response that is kept while its request waits or runs elsewhere, as hundreds
/// may at a time.
const KEPT_BODY_MAX_BYTES: usize = 64 * 1024;

impl BufferedResponse {
    /// Whether an error response is kept for the caller while the request waits or runs elsewhere.
    pub fn is_kept(&self) -> bool {
        self.body.len() <= KEPT_BODY_MAX_BYTES
    }
}

/// An attempt that did not produce a successful response.
pub struct FailedAttempt {
    /// How the attempt failed.
    pub failure: AttemptFailure,
    /// The upstream's own error response, if it sent one.
    pub response: Option<BufferedResponse>,
}

impl From<AttemptFailure> for FailedAttempt {
    fn from(failure: AttemptFailure) -> Self {
        Self {
            failure,
            response: None,
        }
    }
}

/// Where a request that is sent to another upstream goes on, and what is kept meanwhile.
#[derive(Clone, Copy, Default)]
pub struct Resumption<'a> {
    /// The last event of a stream that was passed on; `None` if the request begins anew.
    pub last_event_id: Option<u64>,
    /// The attempt at the silent upstream that the request leaves.
    pub kept: Option<&'a KeptAttempt<'a>>,
}

impl Resumption<'_> {
    /// Whether the attempt at a silent upstream is still open.
    pub fn keeps_attempt(&self) -> bool {
        self.kept.is_some_and(|kept| (kept.is_open)())
    }

    /// Ends the attempt at the silent upstream, because another one may be running the request.
    fn close_kept(&self) {
        if let Some(kept) = self.kept {
            (kept.close)();
        }
    }
}

/// An attempt at a silent upstream, which stays open while the request is sent to another one that may
/// decline it.
pub struct KeptAttempt<'a> {
    /// Returns whether the attempt is still open.
    pub is_open: &'a dyn Fn() -> bool,
    /// Ends the attempt, because another upstream may be running the request.
    pub close: &'a dyn Fn(),
}

/// Sends the request to `upstream` and returns when the head of a successful response has arrived, or at
/// `end_unix_ms`.
pub async fn send_attempt(
    router: &PlatformRouter,
    request: &CallerRequest,
    upstream: &Rc<Upstream>,
    resumption: Resumption<'_>,
    end_unix_ms: u64,
) -> Result<StartedResponse, FailedAttempt> {
    let result = send_and_check(router, request, upstream, resumption, end_unix_ms).await;
    if result
        .as_ref()
        .is_err_and(|failed| !failed.failure.has_not_run())
    {
        resumption.close_kept();
    }
    result
}

async fn send_and_check(
    router: &PlatformRouter,
    request: &CallerRequest,
    upstream: &Rc<Upstream>,
    resumption: Resumption<'_>,
    end_unix_ms: u64,
) -> Result<StartedResponse, FailedAttempt> {
    let mut run = RunGuard::start(router, request, upstream);
    let sent_unix_ms = now_unix_ms();
    upstream.count_towards_rate_limit(router.router_count_or_default(), sent_unix_ms);
    let model = request.head.model.as_ref().map(|model| &model.base);
    let in_flight = upstream.track_request(model, request.head.prompt_tokens);
    let work = exchange(router, request, upstream, resumption);
    let work = before_deadline(end_unix_ms, work);
    let exchanged = match select(pin!(work), pin!(router.closing.draining())).await {
        Either::Left((Some(exchanged), _)) => exchanged,
        Either::Left((None, _)) => {
            upstream.update_health(|health| health.record_failure(false, now_unix_ms()));
            return Err(AttemptFailure::Silent.into());
        }
        Either::Right(_) => return Err(AttemptFailure::Silent.into()),
    };
    let (response, connection) = exchanged.inspect_err(|failure| {
        match failure {
            AttemptFailure::AnswerLost => run.lose(),
            _ => run.finish(),
        }
        let is_certain = matches!(
            failure,
            AttemptFailure::Unreachable | AttemptFailure::InvalidAnswer
        );
        upstream.update_health(|health| health.record_failure(is_certain, now_unix_ms()));
    })?;
    let (head, body) = response.into_parts();
    log_if_unnamed(router, request, upstream, &head, &connection);
    let is_own = is_own(router, request, &head, &connection);
    if is_own {
        record_announcements(router, upstream, &head, sent_unix_ms);
    }
    let checked = check_response_head(router, request, &upstream.id(), &head, is_own);
    if matches!(
        checked,
        Ok(_) | Err(AttemptFailure::Declined | AttemptFailure::NotLoaded)
    ) {
        router.clear_false_crash(upstream, sent_unix_ms);
    }
    let framing = match checked {
        Ok(framing) => framing,
        Err(failure) => {
            run.finish();
            record_rejected_response(upstream, failure);
            if failure.has_not_run() {
                reuse_if_complete(request, upstream, connection, &head.headers, &body);
            }
            return Err(failure.into());
        }
    };
    resumption.close_kept();
    let started = StartedResponse {
        framing,
        began_unix_ms: now_unix_ms(),
        head: Box::new(head),
        body,
        connection,
        in_flight,
        upstream: upstream.clone(),
        run,
    };
    if started.head.status.is_success() {
        upstream.update_health(UpstreamHealth::record_success);
        return Ok(started);
    }
    upstream.update_health(|health| health.record_failure(false, now_unix_ms()));
    Err(FailedAttempt {
        failure: AttemptFailure::Failed,
        response: buffer_response(router, request, started, end_unix_ms)
            .await
            .ok(),
    })
}

async fn exchange(
    router: &PlatformRouter,
    request: &CallerRequest,
    upstream: &Rc<Upstream>,
    resumption: Resumption<'_>,
) -> Result<(http::Response<Incoming>, UpstreamConnection), AttemptFailure> {
    let mut outgoing = outgoing_request(router, request, upstream, resumption.last_event_id);
    let connections = &upstream.connections;
    connections.set_max_idle(router.max_idle_connections(&upstream.entry.borrow().service));
    if let Some(start) = router.view.later_starts(upstream).last() {
        // Which start would answer on an earlier connection can't be told.
        connections.close_opened_until(start.known_unix_ms);
    }
    let mut idle_connection =
        connections.take_idle(&request.head.id, request.route.is_repeatable());
    loop {
        let address = upstream.entry.borrow().address;
        let mut connection = match idle_connection.take() {
            Some(connection) => connection,
            None => connect(address)
                .await
                .map_err(|_| AttemptFailure::Unreachable)?,
        };
        let sending = connection.send(outgoing);
        let sent = close_unless_declined(router, resumption.kept, sending).await;
        match sent {
            Ok(response) => return Ok((response, connection)),
            Err(mut error) => match error.take_message() {
                // The idle connection closed before the request was sent; try a new connection.
                Some(unsent) if connection.is_reused => outgoing = unsent,
                Some(_) => return Err(AttemptFailure::Unreachable),
                None if is_head_too_long(error.error()) => {
                    let bytes = connection.head_bytes();
                    router.count_answer_over_limit(request, upstream, AnswerLimit::Head, bytes);
                    return Err(AttemptFailure::InvalidAnswer);
                }
                None => return Err(AttemptFailure::AnswerLost),
            },
        }
    }
}

/// Returns the result of `sending`, and ends the kept attempt if the upstream has not declined
/// the request shortly after it was sent.
async fn close_unless_declined<T>(
    router: &PlatformRouter,
    kept: Option<&KeptAttempt<'_>>,
    sending: impl Future<Output = T>,
) -> T {
    let Some(kept) = kept else {
        return sending.await;
    };
    let mut sending = pin!(sending);
    let declined = before_bound(router, KEEP_SILENT_RESPONSE_MS, sending.as_mut()).await;
    if let Some(result) = declined {
        return result;
    }
    (kept.close)();
    sending.await
}

fn outgoing_request(
    router: &PlatformRouter,
    request: &CallerRequest,
    upstream: &Upstream,
    last_event_id: Option<u64>,
) -> http::Request<FramedBody> {
    let entry = upstream.entry.borrow();
    let mut outgoing = http::Request::new(FramedBody::new(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.target.clone();
    *outgoing.headers_mut() = request.headers.clone();
    let is_engine = router.has_engines(&entry.service);
    let is_ongoing = request.takes_up_stream() || last_event_id.is_some();
    let head = crate::dialect::ForwardedHead {
        expected_upstream: &entry.id,
        remaining_ms: remaining_ms(request.deadline_unix_ms),
        priority: is_engine.then(|| engine_urgency(request.route.urgency_rank, is_ongoing)),
        last_event_id,
    };
    (router.settings.header_codec.write_request)(outgoing.headers_mut(), &head);
    outgoing
}

/// Returns which request the response names.
fn named_request(request: &CallerRequest, response_head: &ResponseHead<'_>) -> NamedRequest {
    match response_head.request_id {
        Some(id) if id == request.head.id.as_str() => NamedRequest::Own,
        Some(_) => NamedRequest::Other,
        None => NamedRequest::Nobody,
    }
}

/// Logs a response that doesn't name the request.
fn log_if_unnamed(
    router: &PlatformRouter,
    request: &CallerRequest,
    upstream: &Upstream,
    head: &http::response::Parts,
    connection: &UpstreamConnection,
) {
    let response_head = (router.settings.header_codec.read_response)(&head.headers);
    let named = named_request(request, &response_head);
    if named != NamedRequest::Own {
        let is_not_run = response_head.is_not_run;
        let is_reused = connection.is_reused;
        router.log_unnamed_response(request, upstream, head.status, named, is_not_run, is_reused);
    }
}

/// To a caller, these statuses promise that its request has not run. An upstream that promises this
/// also says so in a header; its status alone is not passed on.
const NOT_RUN_STATUSES: [http::StatusCode; 4] = [
    http::StatusCode::REQUEST_TIMEOUT,
    http::StatusCode::MISDIRECTED_REQUEST,
    http::StatusCode::TOO_MANY_REQUESTS,
    http::StatusCode::SERVICE_UNAVAILABLE,
];

/// Returns whether the response is proven to be the request's own.
fn is_own(
    router: &PlatformRouter,
    request: &CallerRequest,
    head: &http::response::Parts,
    connection: &UpstreamConnection,
) -> bool {
    let response_head = (router.settings.header_codec.read_response)(&head.headers);
    is_own_response(named_request(request, &response_head), connection.is_reused)
        && !is_joined_head(request, head)
}

/// Whether the head begins as one response and ends as another. If an upstream breaks off inside a
/// header or the reason phrase, the status line of its next response becomes a part of that.
fn is_joined_head(request: &CallerRequest, head: &http::response::Parts) -> bool {
    let reason = head.extensions.get::<ReasonPhrase>();
    let values = head.headers.values().map(HeaderValue::as_bytes);
    let mut values = values.filter(|value| *value != request.head.id.as_str().as_bytes());
    reason.is_some_and(|reason| has_status_line(reason.as_bytes())) || values.any(has_status_line)
}

/// Whether the text contains the beginning of a status line, such as `HTTP/1.1 200`.
fn has_status_line(text: &[u8]) -> bool {
    text.windows(12).any(|part| {
        matches!(part, [b'H', b'T', b'T', b'P', b'/', b'1', b'.', minor, b' ', status @ ..]
            if minor.is_ascii_digit() && status.iter().all(u8::is_ascii_digit))
    })
}

/// Returns how the response is framed if its body may be passed on.
fn check_response_head(
    router: &PlatformRouter,
    request: &CallerRequest,
    expected: &UpstreamId,
    head: &http::response::Parts,
    is_own: bool,
) -> Result<Framing, AttemptFailure> {
    let response_head = (router.settings.header_codec.read_response)(&head.headers);
    // The response may belong to another request. This request's own response may still arrive on
    // the connection, which must therefore not be reused for another caller.
    if !is_own || !is_final_status(head.status) {
        return Err(AttemptFailure::InvalidAnswer);
    }
    if head.status == http::StatusCode::MISDIRECTED_REQUEST {
        let is_other = response_head
            .upstream
            .is_some_and(|id| id != expected.as_str());
        // The intended upstream itself sends this status only if the requested model isn't loaded.
        return Err(if is_other || request.head.model.is_none() {
            AttemptFailure::Misdirected
        } else {
            AttemptFailure::NotLoaded
        });
    }
    if response_head.is_not_run {
        return Err(AttemptFailure::Declined);
    }
    if NOT_RUN_STATUSES.contains(&head.status) {
        return Err(AttemptFailure::InvalidAnswer);
    }
    if declares_missing_body(head) {
        return Err(AttemptFailure::InvalidAnswer);
    }
    let is_encoded = head.headers.contains_key(header::CONTENT_ENCODING);
    let is_authentic = response_head.is_sealed && response_head.request_id.is_some() && !is_encoded;
    if head.status.is_success() && !is_authentic {
        return Err(AttemptFailure::InvalidAnswer);
    }
    if head.status.is_redirection() {
        return Err(AttemptFailure::InvalidAnswer);
    }
    response_framing(&request.method, head).ok_or_else(|| {
        let codings = head.headers.get_all(header::TRANSFER_ENCODING);
        router.log_transfer_coding(request, expected, &codings);
        AttemptFailure::InvalidAnswer
    })
}

/// Records what the upstream says of itself in the request's own response: that it leaves, that it
/// wants a pause, and the rate limit that it names, or that it names none any more.
fn record_announcements(
    router: &PlatformRouter,
    upstream: &Upstream,
    head: &http::response::Parts,
    sent_unix_ms: u64,
) {
    let codec = &router.settings.header_codec;
    for name in head.headers.keys() {
        if (codec.is_unknown_response_header)(name) {
            router.log_unknown_header(name);
        }
    }
    let response_head = (codec.read_response)(&head.headers);
    if response_head.request_id.is_none() || head.status == http::StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    let now = now_unix_ms();
    let is_authentic = response_head.is_sealed || response_head.is_not_run;
    if response_head.is_leaving && is_authentic {
        router.record_departure(upstream);
    }
    if head.status == http::StatusCode::SERVICE_UNAVAILABLE && is_authentic {
        match response_head.pause {
            PauseHeader::Ms(pause_ms) => {
                if upstream.pause(pause_ms, now) {
                    router.log_pause(upstream, pause_ms);
                }
            }
            PauseHeader::Absent => {}
            PauseHeader::Invalid => router.log_invalid_pause(upstream),
        }
    }
    match response_head.rate_limit {
        RateLimitHeader::PerSecond(per_second) => {
            if upstream.set_rate_limit(per_second, now) {
                router.log_rate_limit(upstream, Some(per_second));
            }
        }
        RateLimitHeader::Absent => {
            if upstream.end_rate_limit(sent_unix_ms) {
                router.log_rate_limit(upstream, None);
            }
        }
        RateLimitHeader::Invalid => router.log_invalid_rate_limit(upstream),
    }
}

fn record_rejected_response(upstream: &Upstream, failure: AttemptFailure) {
    match failure {
        AttemptFailure::Misdirected => upstream.is_misdirected.set(true),
        // The upstream is healthy; only the router's information about its models was stale.
        AttemptFailure::NotLoaded => {}
        _ => {
            let is_certain = failure != AttemptFailure::Declined;
            upstream.update_health(|health| health.record_failure(is_certain, now_unix_ms()));
        }
    }
}

/// Reads the rest of the response until `deadline_unix_ms`, and keeps the connection for reuse. The
/// connection of a response that is too long is closed.
pub async fn buffer_response(
    router: &PlatformRouter,
    request: &CallerRequest,
    started: StartedResponse,
    deadline_unix_ms: u64,
) -> Result<BufferedResponse, AttemptFailure> {
    let StartedResponse {
        head,
        mut body,
        framing,
        began_unix_ms,
        connection,
        in_flight,
        upstream,
        mut run,
    } = started;
    let reservation = AnswerReservation::new(&router.incomplete_answers, upstream.id());
    let is_upstream_at_fault = Cell::new(true);
    let over_limit = |limit: AnswerLimit| {
        router.count_answer_over_limit(request, &upstream, limit, reservation.bytes());
        is_upstream_at_fault.set(limit.is_upstream_at_fault());
        AttemptFailure::InvalidAnswer
    };
    let reading = async {
        let mut bytes = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| AttemptFailure::AnswerLost)?;
            if let Ok(data) = frame.into_data() {
                reservation.add(data.len()).map_err(over_limit)?;
                bytes.extend_from_slice(&data);
            }
        }
        if is_cut_off(framing, &head, &bytes) {
            return Err(AttemptFailure::AnswerLost);
        }
        let end = find_answer_end(router, request, &upstream, framing, run.sent_unix_ms()).await;
        if !end.is_whole() {
            return Err(AttemptFailure::AnswerLost);
        }
        Ok(bytes.freeze())
    };
    let reading = async {
        match select(pin!(reading), pin!(reservation.give_way())).await {
            Either::Left((read, _)) => read,
            Either::Right(_) => Err(over_limit(AnswerLimit::Room)),
        }
    };
    let bytes = before_deadline(deadline_unix_ms, reading)
        .await
        .ok_or(AttemptFailure::Silent)?
        .inspect_err(|failure| {
            if *failure == AttemptFailure::AnswerLost {
                run.lose();
            } else {
                run.finish();
                if is_upstream_at_fault.get() {
                    upstream.update_health(|health| health.record_failure(true, now_unix_ms()));
                }
            }
        })?;
    run.complete();
    drop(in_flight);
    upstream.connections.keep(connection, &head.headers);
    Ok(BufferedResponse {
        upstream: upstream.id(),
        began_unix_ms,
        is_proven_answer: is_proven_answer(head.status.is_success(), framing == Framing::Marked),
        status: head.status,
        headers: response_headers(&request.method, &head.headers),
        body: bytes,
    })
}

/// Keeps the connection of a refusal for reuse by other requests, provided that its body has ended.
fn reuse_if_complete(
    request: &CallerRequest,
    upstream: &Upstream,
    mut connection: UpstreamConnection,
    headers: &HeaderMap,
    body: &Incoming,
) {
    connection.refused.record(&request.head.id);
    if http_body::Body::is_end_stream(body) && connection.refused.is_connection_kept() {
        upstream.connections.keep(connection, headers);
    }
}

/// Hop-by-hop headers, which are not forwarded.
const CONNECTION_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// Returns the headers of a caller's request that are forwarded to an upstream.
pub fn request_headers(
    headers: &HeaderMap,
    is_always_forwarded: fn(&HeaderName) -> bool,
) -> HeaderMap {
    let mut forwarded = end_to_end_headers(headers, is_always_forwarded);
    forwarded.remove(header::CONTENT_LENGTH);
    forwarded
}

/// Returns the headers of an upstream's response that are forwarded to the caller. The length is written anew
/// with the body: the upstream may have written it in a form that HTTP forbids to pass on, or for the first
/// part of a stream. Only where there is no body for it, it is forwarded as a number.
pub fn response_headers(method: &Method, headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = end_to_end_headers(headers, |_| false);
    forwarded.remove(header::CONTENT_LENGTH);
    let length = declared_length(headers).filter(|_| method == Method::HEAD);
    if let Some(length) = length {
        forwarded.insert(header::CONTENT_LENGTH, length.into());
    }
    forwarded
}

fn end_to_end_headers(
    headers: &HeaderMap,
    is_always_forwarded: fn(&HeaderName) -> bool,
) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| HeaderValue::to_str(value).ok())
        .flat_map(|value| value.split(','))
        .filter_map(|token| token.trim().parse().ok())
        .filter(|name| !is_always_forwarded(name))
        .collect();
    let mut forwarded = HeaderMap::with_capacity(headers.len() + 4);
    for (name, value) in headers {
        if !CONNECTION_HEADERS.contains(name) && !named.contains(name) {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}
