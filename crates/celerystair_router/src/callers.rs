//! The paths that callers use.

use celerystair_core::{prelude::*, time::before_deadline};
use celerystair_net::{
    json::{ReadBodyError, read_body, typed_response},
    prelude::*,
};

use crate::{
    answer::{models_response, refusal_response},
    caller_request::{CallerRequest, asked_timeout_ms, read_completion, read_service_call},
    router::Router,
    serve::serve_request,
};

/// How long a request may wait until a router that has just started knows what it routes to.
const KNOWN_WAIT_MAX_MS: u64 = 10_000;

/// Answers one request of a caller.
pub async fn answer_caller(router: Router, request: HttpRequest) -> HttpResponse {
    let id = RequestId::random();
    match request.uri().path() {
        "/healthz" => typed_response(200, "text/plain", "ok\n"),
        "/readyz" => readiness(&router),
        "/metrics" => typed_response(200, "text/plain; version=0.0.4", router.node.scrape()),
        "/v1/models" => models_response(model_names(&router)),
        _ => match read(&router, &id, request).await {
            Ok(request) => serve_request(&router, request).await,
            Err(refusal) => refusal_response(&refusal, &id),
        },
    }
}

async fn read(
    router: &Router,
    id: &RequestId,
    request: HttpRequest,
) -> Result<CallerRequest, Refusal> {
    let path = request.uri().path();
    let is_completion = matches!(path, "/v1/chat/completions" | "/v1/completions");
    if !is_completion && !path.starts_with("/services/") {
        return Err(Refusal::not_run(
            RefusalReason::NotFound,
            format!("no such path: {path}"),
        ));
    }
    if is_completion && request.method() != http::Method::POST {
        return Err(Refusal::not_run(
            RefusalReason::BadRequest,
            "completions are posted",
        ));
    }
    let arrived_unix_ms = now_unix_ms();
    let (parts, body) = read_body(request, router.settings.body_max_bytes)
        .await
        .map_err(|error| body_refusal(&error))?;
    wait_until_known(router, asked_timeout_ms(&parts.headers).unwrap_or_default()).await?;
    if is_completion {
        read_completion(router, id, &parts, body, arrived_unix_ms)
    } else {
        read_service_call(router, id, &parts, body, arrived_unix_ms)
    }
}

fn body_refusal(error: &ReadBodyError) -> Refusal {
    let reason = match error {
        ReadBodyError::TooLarge { .. } => RefusalReason::BodyTooLarge,
        ReadBodyError::Cut(_) | ReadBodyError::BadJson(_) => RefusalReason::BadRequest,
    };
    Refusal::not_run(reason, error.to_string())
}

/// Waits until the router knows what it routes to: one that has just started would take every
/// name for an unknown one.
async fn wait_until_known(router: &Router, timeout_ms: u64) -> Result<(), Refusal> {
    if is_known(router) {
        return Ok(());
    }
    let wait_ms = timeout_ms.min(KNOWN_WAIT_MAX_MS);
    let wait_ms = wait_ms.saturating_sub(2 * router.settings.answer_margin_ms);
    let node = &router.node;
    let known = async {
        node.config.wait_until_known_or_draining(&node.stop).await;
        node.models.wait_until_complete().await;
        node.services.wait_until_complete().await;
        node.agents.wait_until_complete().await;
        node.placements.wait_until_complete().await;
    };
    let known = before_deadline(now_unix_ms() + wait_ms, known).await;
    known.ok_or_else(|| {
        let detail = "the router has not read yet what it routes to";
        Refusal::not_run(RefusalReason::StoreUnavailable, detail)
    })
}

fn is_known(router: &Router) -> bool {
    let node = &router.node;
    node.config.is_known()
        && node.models.is_complete()
        && node.services.is_complete()
        && node.agents.is_complete()
        && node.placements.is_complete()
}

/// A router is ready once it knows what it routes to, and until its stop begins.
fn readiness(router: &Router) -> HttpResponse {
    if is_known(router) && !router.node.stop.is_draining() {
        typed_response(200, "text/plain", "ready\n")
    } else {
        typed_response(503, "text/plain", "not ready\n")
    }
}

fn model_names(router: &Router) -> Vec<String> {
    let mut names = Vec::new();
    for (model, object) in router.node.models.all() {
        names.extend(
            object
                .adapters
                .iter()
                .map(|adapter| format!("{model}:{adapter}")),
        );
        names.push(model);
    }
    names.sort();
    names
}
