//! The HTTP endpoints for callers.

use celerystair_core::{prelude::*, time::before_deadline};
use celerystair_net::{
    json::{ReadBodyError, read_body, typed_response},
    prelude::*,
};

use crate::{
    answer::{models_response, refusal_response},
    caller_request::{CallerRequest, read_completion, read_service_call, requested_timeout_ms},
    router::Router,
    serve::serve_request,
};

/// The longest that a request waits for the initial synchronisation of a router that has just
/// started.
const SYNC_WAIT_MAX_MS: u64 = 10_000;

/// Handles one HTTP request of a caller.
pub async fn answer_caller(router: Router, request: HttpRequest) -> HttpResponse {
    let id = RequestId::random();
    match request.uri().path() {
        "/healthz" => typed_response(200, "text/plain", "ok\n"),
        "/readyz" => readiness_response(&router),
        "/metrics" => typed_response(200, "text/plain; version=0.0.4", router.node.scrape()),
        "/v1/models" => models_response(model_names(&router)),
        _ => match read_request(&router, &id, request).await {
            Ok(request) => serve_request(&router, request).await,
            Err(refusal) => refusal_response(&refusal, &id),
        },
    }
}

async fn read_request(
    router: &Router,
    id: &RequestId,
    request: HttpRequest,
) -> Result<CallerRequest, Refusal> {
    let path = request.uri().path();
    let is_completion = matches!(path, "/v1/chat/completions" | "/v1/completions");
    if !is_completion && !path.starts_with("/services/") {
        return Err(Refusal::not_run(
            RefusalReason::NotFound,
            format!("path {path} does not exist"),
        ));
    }
    if is_completion && request.method() != http::Method::POST {
        return Err(Refusal::not_run(
            RefusalReason::BadRequest,
            "completion requests must use POST",
        ));
    }
    let arrived_unix_ms = now_unix_ms();
    let (parts, body) = read_body(request, router.settings.body_max_bytes)
        .await
        .map_err(|error| body_refusal(&error))?;
    wait_until_synced(
        router,
        requested_timeout_ms(&parts.headers).unwrap_or_default(),
    )
    .await?;
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

/// Waits until the router has read its routing data from the store: before that, it would refuse
/// every model and service as unknown.
async fn wait_until_synced(router: &Router, timeout_ms: u64) -> Result<(), Refusal> {
    if is_synced(router) {
        return Ok(());
    }
    let wait_ms = timeout_ms.min(SYNC_WAIT_MAX_MS);
    let wait_ms = wait_ms.saturating_sub(2 * router.settings.answer_margin_ms);
    let node = &router.node;
    let synced = async {
        node.config.wait_until_known_or_draining(&node.stop).await;
        node.models.wait_until_complete().await;
        node.services.wait_until_complete().await;
        node.agents.wait_until_complete().await;
        node.placements.wait_until_complete().await;
    };
    let synced = before_deadline(now_unix_ms() + wait_ms, synced).await;
    synced.ok_or_else(|| {
        let detail = "the router has not yet read its routing data from the store";
        Refusal::not_run(RefusalReason::StoreUnavailable, detail)
    })
}

fn is_synced(router: &Router) -> bool {
    let node = &router.node;
    node.config.is_known()
        && node.models.is_complete()
        && node.services.is_complete()
        && node.agents.is_complete()
        && node.placements.is_complete()
}

/// Reports ready once the router has read its routing data, and until it starts to drain.
fn readiness_response(router: &Router) -> HttpResponse {
    if is_synced(router) && !router.node.stop.is_draining() {
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
