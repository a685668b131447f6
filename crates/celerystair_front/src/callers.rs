//! Reading callers' requests and answering them.

use std::rc::Rc;

use celerystair_core::{prelude::*, time::before_deadline};
use celerystair_net::{
    json::{ReadBodyError, read_body},
    prelude::*,
};
use celerystair_policy::prelude::{Route, request_fingerprint};
use http::{HeaderValue, header};
use http_body_util::BodyExt;

use crate::{
    answers::refusal_response,
    attempt::request_headers,
    dialect::{InvalidHead, RequestHead},
    front::PlatformRouter,
    request::{CallerRequest, serve_request},
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
    let mut response = match read_request(&router, request, arrived_unix_ms).await {
        Ok(request) => {
            let request = Rc::new(request);
            let mut unanswered = DropWatch {
                router: &router,
                request: &request,
                is_answered: false,
            };
            let served = serve_request(&router, request.clone()).await;
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
        }
    }
}

async fn read_request(
    router: &PlatformRouter,
    request: HttpRequest,
    arrived_unix_ms: u64,
) -> Result<CallerRequest, Refusal> {
    let read = read_head(router, &request);
    let (active, route, head) = match read {
        Ok(read) => read,
        Err(refusal) => {
            discard_body(request).await;
            return Err(refusal);
        }
    };
    let body_max_bytes = active.config.caller_limits.body_max_bytes;
    let (parts, body) = read_body(request, body_max_bytes).await.map_err(|error| {
        let reason = match error {
            ReadBodyError::TooLarge { .. } => RefusalReason::BodyTooLarge,
            ReadBodyError::Cut(_) | ReadBodyError::BadJson(_) => RefusalReason::BadRequest,
        };
        Refusal::not_run(reason, error.to_string())
    })?;
    let target = parts.uri.path_and_query().cloned();
    let target = target.ok_or_else(|| bad_request("the request has no path"))?;
    let deadline_ms = head.deadline_ms.unwrap_or(route.timeout_ms);
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
        deadline_unix_ms: arrived_unix_ms.saturating_add(deadline_ms.min(route.timeout_ms)),
        fingerprint,
        head,
        body,
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
async fn discard_body(request: HttpRequest) {
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
    before_deadline(now_unix_ms() + DISCARD_MAX_MS, reading).await;
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
