//! Reading callers' requests and answering them.

use std::{pin::pin, rc::Rc};

use celerystair_core::{prelude::*, time::before_deadline};
use celerystair_net::prelude::*;
use celerystair_policy::prelude::{Route, request_fingerprint};
use futures_util::future::{Either, select};
use http::{HeaderValue, header};
use http_body_util::{BodyExt, Limited};

use crate::{
    answers::refusal_response,
    attempt::{RESPONSE_MAX_BYTES, request_headers},
    bodies::read_caller_body,
    dialect::{InvalidHead, RequestHead},
    front::PlatformRouter,
    request::{CallerRequest, serve_request},
    stops::GivenUpBy,
    view::ActiveConfig,
};

/// `Retry-After` of a router that has not read a configuration yet.
const NO_CONFIG_RETRY_AFTER_MS: u64 = 500;

/// Reads a caller's request, serves it and returns the response or a refusal.
pub async fn handle_caller_request(router: PlatformRouter, request: HttpRequest) -> HttpResponse {
    let arrived_unix_ms = now_unix_ms();
    // Guards against request smuggling: a reader that takes the body's length from elsewhere may
    // see another request after a chunked body, so the connection is closed after the response.
    let must_close = request.headers().contains_key(header::TRANSFER_ENCODING);
    let caller_version = request.version();
    let mut response = match read_request(&router, request, arrived_unix_ms).await {
        Ok(request) => {
            let request = Rc::new(request);
            let mut unanswered = DropWatch {
                router: &router,
                request: &request,
                is_answered: false,
            };
            let served = match serve_request(&router, request.clone()).await {
                Ok(response) if caller_version < http::Version::HTTP_11 => {
                    whole_response(&router, response).await
                }
                served => served,
            };
            unanswered.is_answered = true;
            drop(unanswered);
            match served {
                Ok(response) => {
                    router.record_outcome("answered", arrived_unix_ms);
                    response
                }
                Err(refusal) => {
                    router.record_outcome(refusal.reason.as_str(), arrived_unix_ms);
                    router.log_refusal(&request, &refusal);
                    router.record_refusal_in_stop(&request, &refusal);
                    refusal_response(&refusal, Some(&request.head.id))
                }
            }
        }
        Err(refusal) => {
            router.record_outcome(refusal.reason.as_str(), arrived_unix_ms);
            router.log_unreadable_request(&refusal);
            refusal_response(&refusal, None)
        }
    };
    if must_close {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Reads a stream to its end, because a caller of HTTP/1.0 knows no chunks: without a length it takes a
/// stream that breaks off for a complete one.
///
/// # Errors
/// A refusal if the stream breaks off, is longer than [`RESPONSE_MAX_BYTES`], or still runs as the
/// process ends.
async fn whole_response(
    router: &PlatformRouter,
    response: HttpResponse,
) -> Result<HttpResponse, Refusal> {
    let (head, body) = response.into_parts();
    let reading = pin!(Limited::new(body, RESPONSE_MAX_BYTES).collect());
    let whole = match select(reading, pin!(router.closing.draining())).await {
        Either::Left((whole, _)) => whole,
        Either::Right(_) => {
            let detail = "this router is shutting down";
            return Err(Refusal::unknown(RefusalReason::DeadlineExceeded, detail));
        }
    };
    let whole = whole.map_err(|error| {
        let detail = format!("the stream can't be sent whole: {error}");
        Refusal::unknown(RefusalReason::UpstreamFailed, detail)
    })?;
    let body = HttpBody::full(whole.to_bytes());
    Ok(HttpResponse::from_parts(head, body))
}

/// Logs a request that is dropped before it is answered.
struct DropWatch<'a> {
    router: &'a PlatformRouter,
    request: &'a CallerRequest,
    is_answered: bool,
}

impl Drop for DropWatch<'_> {
    fn drop(&mut self) {
        if !self.is_answered {
            self.router.log_request_dropped(self.request);
            let detail = "its connection ended before the answer began";
            self.router
                .log_given_up_in_stop(self.request, None, GivenUpBy::Connection, detail);
        }
    }
}

async fn read_request(
    router: &PlatformRouter,
    mut request: HttpRequest,
    arrived_unix_ms: u64,
) -> Result<CallerRequest, Refusal> {
    let read = read_head(router, &request);
    let (active, route, head) = match read {
        Ok(read) => read,
        Err(refusal) => {
            discard_body(request, u64::MAX).await;
            return Err(refusal);
        }
    };
    let deadline_ms = head.deadline_ms.unwrap_or(route.timeout_ms);
    let deadline_unix_ms = arrived_unix_ms.saturating_add(deadline_ms.min(route.timeout_ms));
    let body_max_bytes = active.config.caller_limits.body_max_bytes;
    let body = request.body_mut();
    let read = read_caller_body(router, &head.id, body, body_max_bytes, deadline_unix_ms).await;
    let (body, body_room) = match read {
        Ok(read) => read,
        Err(refusal) => {
            discard_body(request, deadline_unix_ms).await;
            return Err(refusal);
        }
    };
    let (parts, _) = request.into_parts();
    let target = parts.uri.path_and_query().cloned();
    let target = target.ok_or_else(|| bad_request("the request has no path"))?;
    let fingerprint =
        request_fingerprint(parts.method.as_str(), &route.host, target.as_str(), &body);
    Ok(CallerRequest {
        headers: request_headers(
            &parts.headers,
            router.settings.header_codec.is_always_forwarded,
        ),
        method: parts.method,
        target: http::Uri::from(target),
        arrived_unix_ms,
        read_unix_ms: now_unix_ms(),
        deadline_unix_ms,
        fingerprint,
        head,
        body,
        body_room,
        route,
    })
}

/// Reads all of a request but its body.
fn read_head(
    router: &PlatformRouter,
    request: &HttpRequest,
) -> Result<(Rc<ActiveConfig>, Rc<Route>, RequestHead), Refusal> {
    let Some(active) = router.view.config() else {
        let detail = "this router has just started and has no configuration yet";
        return Err(Refusal::not_run(RefusalReason::NoUpstream, detail)
            .retry_after(NO_CONFIG_RETRY_AFTER_MS));
    };
    let route = find_route(&active, request)?;
    let head = (router.settings.header_codec.read_request)(request.headers())
        .map_err(|error: InvalidHead| bad_request(error.to_string()))?;
    Ok((active, route, head))
}

/// Reads the body of a request that is refused. A close with unread bytes resets the connection, and
/// the refusal may be lost with it. A caller that asks before it sends a body is spared the sending.
async fn discard_body(request: HttpRequest, until_unix_ms: u64) {
    const DISCARD_MAX_BYTES: usize = 4 * 1024 * 1024;
    const DISCARD_MAX_MS: u64 = 2000;
    if request.headers().contains_key(header::EXPECT) {
        return;
    }
    let mut body = request.into_body();
    let reading = async {
        let mut read_bytes = 0;
        while let Some(Ok(frame)) = body.frame().await {
            read_bytes += frame.data_ref().map_or(0, bytes::Bytes::len);
            if read_bytes > DISCARD_MAX_BYTES {
                return;
            }
        }
    };
    // The refusal goes out all the same.
    before_deadline(until_unix_ms.min(now_unix_ms() + DISCARD_MAX_MS), reading).await;
}

fn find_route(active: &ActiveConfig, request: &HttpRequest) -> Result<Rc<Route>, Refusal> {
    let mut hosts = request.headers().get_all(header::HOST).iter();
    let host = hosts.next().and_then(|host| host.to_str().ok());
    let host = host.ok_or_else(|| bad_request("the request has no readable Host header"))?;
    if hosts.next().is_some() {
        return Err(bad_request("the request has more than one Host header"));
    }
    let path = request.uri().path();
    active.routes.find(host, path).ok_or_else(|| {
        let version = active.config.version;
        let detail =
            format!("no route matches this host and path in configuration version {version}");
        Refusal::not_run(RefusalReason::NotFound, detail)
    })
}

fn bad_request(detail: impl Into<String>) -> Refusal {
    Refusal::not_run(RefusalReason::BadRequest, detail)
}
