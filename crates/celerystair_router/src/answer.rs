//! Refusals as problem documents (RFC 9457), and other answers of the router itself.

use bytes::Bytes;
use celerystair_core::prelude::*;
use celerystair_net::{
    json::{json_response, typed_response},
    prelude::*,
};
use http::{HeaderValue, header::RETRY_AFTER};
use serde_json::json;

/// When to come back after a refusal for a reason that passes, where no time is known.
const RETRY_AFTER_MS: u64 = 1000;

/// A refusal as callers read it.
pub fn refusal_response(refusal: &Refusal, request: &RequestId) -> HttpResponse {
    let reason = refusal.reason.as_str();
    let document = json!({
        "type": format!("urn:celerystair:refusal:{reason}"),
        "title": reason.replace('_', " "),
        "status": refusal.reason.status(),
        "detail": refusal.detail,
        "reason": reason,
        "run": refusal.run.as_str(),
        "request_id": request.as_str(),
    });
    let mut response = typed_response(
        refusal.reason.status(),
        "application/problem+json",
        document.to_string(),
    );
    let retry_after_ms = retry_after_ms(refusal);
    if retry_after_ms > 0 {
        // The header counts in whole seconds; a caller must not come back too early.
        let seconds = retry_after_ms.div_ceil(1000);
        response
            .headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

/// When another try is worth making: what the refusal says, or else a second for what passes.
fn retry_after_ms(refusal: &Refusal) -> u64 {
    let passes = matches!(
        refusal.reason,
        RefusalReason::ConnectionLost
            | RefusalReason::DeadlineExceeded
            | RefusalReason::OrganisationLimit
            | RefusalReason::Leaving
            | RefusalReason::LoadFailed
            | RefusalReason::NoMemory
            | RefusalReason::NoUpstream
            | RefusalReason::NotHere
            | RefusalReason::Overloaded
            | RefusalReason::StoreUnavailable
            | RefusalReason::UpstreamFailed
            | RefusalReason::WaitTooLong
    );
    if refusal.retry_after_ms == 0 && passes {
        RETRY_AFTER_MS
    } else {
        refusal.retry_after_ms
    }
}

/// The last event of a stream that ends before it is whole.
pub fn error_event(refusal: &Refusal) -> Bytes {
    let error = json!({
        "message": refusal.detail,
        "reason": refusal.reason.as_str(),
        "run": refusal.run.as_str(),
    });
    Bytes::from(format!(
        "event: error\ndata: {}\n\n",
        json!({ "error": error })
    ))
}

/// The list of models and adapters in the usual shape.
pub fn models_response(names: impl IntoIterator<Item = String>) -> HttpResponse {
    let data: Vec<_> = names
        .into_iter()
        .map(|name| json!({ "id": name, "object": "model", "owned_by": "celerystair" }))
        .collect();
    json_response(200, &json!({ "object": "list", "data": data }))
}
