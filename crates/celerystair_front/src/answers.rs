//! HTTP responses for refusals.

use celerystair_core::prelude::*;
use celerystair_net::{json::typed_response, prelude::*};
use http::{HeaderValue, header::RETRY_AFTER};
use serde_json::json;

/// Builds the problem document that refuses `request`. The status tells the caller that the request
/// was not run exactly when the refusal says so.
pub fn refusal_response(refusal: &Refusal, request: Option<&RequestId>) -> HttpResponse {
    let reason = refusal.reason.as_str();
    let status = status(refusal);
    let document = json!({
        "type": format!("urn:celerystair:refusal:{reason}"),
        "status": status,
        "detail": refusal.detail,
        "reason": reason,
        "run": refusal.run.as_str(),
        "request_id": request.map(RequestId::as_str),
    });
    let mut response = typed_response(status, "application/problem+json", document.to_string());
    if refusal.retry_after_ms > 0 {
        let seconds = format!("{:.3}", refusal.retry_after_ms as f64 / 1000.0);
        if let Ok(seconds) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(RETRY_AFTER, seconds);
        }
    }
    response
}

fn status(refusal: &Refusal) -> u16 {
    match (refusal.reason, refusal.run) {
        (
            RefusalReason::BadRequest | RefusalReason::BodyTooLarge | RefusalReason::NotFound,
            RunState::NotRun,
        ) => refusal.reason.status(),
        (_, RunState::NotRun) => 503,
        (RefusalReason::DeadlineExceeded, RunState::Unknown) => 504,
        (_, RunState::Unknown) => 502,
    }
}
