//! The paths that callers use.

use celerystair_core::prelude::*;
use celerystair_net::{
    json::{ReadBodyError, read_body, typed_response},
    prelude::*,
};

use crate::{
    answer::{models_response, refusal_response},
    caller_request::{CallerRequest, read_completion, read_service_call},
    router::Router,
    serve::serve_request,
};

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
    if !router.node.config.is_known() {
        return Err(Refusal::not_run(
            RefusalReason::StoreUnavailable,
            "this router has just started, and neither the store nor a peer has said what is in force",
        ));
    }
    let (parts, body) = read_body(request, router.settings.body_max_bytes)
        .await
        .map_err(|error| body_refusal(&error))?;
    if is_completion {
        read_completion(router, id, &parts, body)
    } else {
        read_service_call(router, id, &parts, body)
    }
}

fn body_refusal(error: &ReadBodyError) -> Refusal {
    let reason = match error {
        ReadBodyError::TooLarge { .. } => RefusalReason::BodyTooLarge,
        ReadBodyError::Cut(_) | ReadBodyError::BadJson(_) => RefusalReason::BadRequest,
    };
    Refusal::not_run(reason, error.to_string())
}

/// A router is ready once it knows what it routes to, and until its stop begins.
fn readiness(router: &Router) -> HttpResponse {
    let node = &router.node;
    let known = node.config.is_known()
        && node.models.is_complete()
        && node.services.is_complete()
        && node.agents.is_complete()
        && node.placements.is_complete();
    if known && !node.stop.is_draining() {
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
