//! A caller's request: reading it, and its way to an answer.

use std::rc::Rc;

use celerystair_core::{prelude::*, rendezvous::fingerprint};
use celerystair_net::{
    json::{ReadBodyError, read_body},
    prelude::*,
};
use http::{HeaderValue, header};

use crate::{
    answers::refusal_response,
    attempt::request_headers,
    dialect::InvalidHead,
    front::PlatformRouter,
    request::{CallerRequest, serve},
    view::ConfigInForce,
};

/// How soon a caller should come back to a router that knows no configuration yet.
const STARTING_RETRY_MS: u64 = 500;

/// Answers one request.
pub async fn answer_caller(front: PlatformRouter, request: HttpRequest) -> HttpResponse {
    let arrived_unix_ms = now_unix_ms();
    // What follows a chunked body may be another request only to a reader who takes its length
    // from elsewhere; so nothing is read after it.
    let closes = request.headers().contains_key(header::TRANSFER_ENCODING);
    let mut response = match read_request(&front, request, arrived_unix_ms).await {
        Ok(request) => {
            let request = Rc::new(request);
            match serve(&front, request.clone()).await {
                Ok(response) => {
                    front.count("answered", arrived_unix_ms);
                    response
                }
                Err(refusal) => {
                    front.count(refusal.reason.as_str(), arrived_unix_ms);
                    front.log_refusal(&request, &refusal);
                    refusal_response(&refusal, Some(&request.head.id))
                }
            }
        }
        Err(refusal) => {
            front.count(refusal.reason.as_str(), arrived_unix_ms);
            front.log_unread(&refusal);
            refusal_response(&refusal, None)
        }
    };
    if closes {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

async fn read_request(
    front: &PlatformRouter,
    request: HttpRequest,
    arrived_unix_ms: u64,
) -> Result<CallerRequest, Refusal> {
    let Some(in_force) = front.view.config() else {
        let detail = "this router has just started and knows no configuration yet";
        return Err(
            Refusal::not_run(RefusalReason::NoUpstream, detail).retry_after(STARTING_RETRY_MS)
        );
    };
    let route = find_route(&in_force, &request)?;
    let head = (front.settings.header_codec.read_request)(request.headers())
        .map_err(|error: InvalidHead| bad_request(error.to_string()))?;
    let body_max_bytes = in_force.config.caller_limits.body_max_bytes;
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
    let mut identity = target.as_str().as_bytes().to_vec();
    identity.extend_from_slice(&body);
    Ok(CallerRequest {
        headers: request_headers(
            &parts.headers,
            front.settings.header_codec.is_always_forwarded,
        ),
        method: parts.method,
        target: http::Uri::from(target),
        arrived_unix_ms,
        deadline_unix_ms: arrived_unix_ms + deadline_ms.min(route.timeout_ms),
        fingerprint: fingerprint(&identity),
        head,
        body,
        route,
    })
}

fn find_route(
    in_force: &ConfigInForce,
    request: &HttpRequest,
) -> Result<Rc<celerystair_policy::fleet::Route>, Refusal> {
    let mut hosts = request.headers().get_all(header::HOST).iter();
    let host = hosts.next().and_then(|host| host.to_str().ok());
    let host = host.ok_or_else(|| bad_request("the request names no host"))?;
    if hosts.next().is_some() {
        return Err(bad_request("the request names two hosts"));
    }
    let path = request.uri().path();
    in_force.routes.find(host, path).ok_or_else(|| {
        let version = in_force.config.version;
        let detail = format!("no route for this host and path at version {version}");
        Refusal::not_run(RefusalReason::NotFound, detail)
    })
}

fn bad_request(detail: impl Into<String>) -> Refusal {
    Refusal::not_run(RefusalReason::BadRequest, detail)
}
