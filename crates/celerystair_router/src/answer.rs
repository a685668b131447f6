//! Responses that the router writes itself: refusals as problem documents (RFC 9457), and the list
//! of models.

use bytes::Bytes;
use celerystair_core::prelude::*;
use celerystair_net::{
    json::{json_response, typed_response},
    prelude::*,
};
use http::{HeaderValue, header::RETRY_AFTER};
use serde_json::json;

/// Retry delay for a transient refusal that has none of its own.
const DEFAULT_RETRY_AFTER_MS: u64 = 1000;

/// Formats a refusal as a problem document, with a `Retry-After` header if a retry is worthwhile.
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
        // The header has whole seconds; rounding up keeps callers from retrying too early.
        let seconds = retry_after_ms.div_ceil(1000);
        response
            .headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

/// Returns the delay before a retry is worthwhile: the refusal's own, or a second for a transient
/// reason, or 0.
fn retry_after_ms(refusal: &Refusal) -> u64 {
    let is_transient = matches!(
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
    if refusal.retry_after_ms == 0 && is_transient {
        DEFAULT_RETRY_AFTER_MS
    } else {
        refusal.retry_after_ms
    }
}

/// Formats the final event of an event stream that ends before it is complete.
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

/// Formats the list of models and adapters in the usual shape of `/v1/models`.
pub fn models_response(names: impl IntoIterator<Item = String>) -> HttpResponse {
    let data: Vec<_> = names
        .into_iter()
        .map(|name| json!({ "id": name, "object": "model", "owned_by": "celerystair" }))
        .collect();
    json_response(200, &json!({ "object": "list", "data": data }))
}
