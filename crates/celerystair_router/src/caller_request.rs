//! Reading a caller's request: what it asks for, for whom, and until when.

use bytes::Bytes;
use celerystair_config::fleet;
use celerystair_core::{prelude::*, rendezvous::fingerprint};
use http::{HeaderMap, request::Parts};
use serde_json::Value;

use crate::router::Router;

const ORGANISATION: &str = "celerystair-organisation";
const KIND: &str = "celerystair-kind";
const TIMEOUT: &str = "request-timeout-ms";
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The journal keeps keys as they are.
const KEY_MAX_BYTES: usize = 255;

/// What a request is for.
#[derive(Clone, Debug)]
pub enum Target {
    /// A model, perhaps with an adapter.
    Model(ModelRef),
    /// A plain service.
    Service(String),
}

/// A request as the router works with it.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Its identifier.
    pub id: RequestId,
    /// For whom.
    pub organisation: OrganisationName,
    /// Its kind, by which it is weighted.
    pub kind: KindName,
    /// What it is for.
    pub target: Target,
    /// Method of the call to the upstream.
    pub method: String,
    /// Path and query of the call to the upstream.
    pub path: String,
    /// Type of the body.
    pub content_type: String,
    /// The body.
    pub body: Bytes,
    /// When the caller stops waiting.
    pub deadline_unix_ms: u64,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// The caller's key; empty if there is none.
    pub idempotency_key: String,
    /// Its weight among others that wait.
    pub weight: u32,
    /// Requests that its organisation may have at this router; 0 for no limit.
    pub organisation_requests_max: u32,
    /// Retries that this request earns, in percent of one.
    pub retry_budget_percent: u32,
    /// Whether the answer is to be streamed.
    pub stream: bool,
    /// A hash of what the upstream will execute.
    pub fingerprint: u64,
}

/// Reads a completion.
pub fn read_completion(
    router: &Router,
    id: &RequestId,
    parts: &Parts,
    body: Bytes,
    arrived_unix_ms: u64,
) -> Result<CallerRequest, Refusal> {
    let bad = |detail: String| Refusal::not_run(RefusalReason::BadRequest, detail);
    let value: Value =
        serde_json::from_slice(&body).map_err(|error| bad(format!("bad JSON: {error}")))?;
    let Some(name) = value.get("model").and_then(Value::as_str) else {
        return Err(bad("`model` is missing".to_owned()));
    };
    let model = ModelRef::parse(name);
    let unknown = || Refusal::not_run(RefusalReason::UnknownModel, format!("no model {name}"));
    let (_, object) = router.node.models.get(&model.base).ok_or_else(unknown)?;
    if let Some(adapter) = &model.adapter
        && !object.adapters.iter().any(|known| **known == **adapter)
    {
        return Err(unknown());
    }
    let stream = value
        .get("stream")
        .and_then(Value::as_bool)
        .unwrap_or(false);
    let mut request = read_common(
        router,
        id,
        parts,
        body,
        Target::Model(model),
        arrived_unix_ms,
    )?;
    request.idempotent = true;
    request.stream = stream;
    Ok(request)
}

/// Reads a call to a plain service, at `/services/<name>/...`.
pub fn read_service_call(
    router: &Router,
    id: &RequestId,
    parts: &Parts,
    body: Bytes,
    arrived_unix_ms: u64,
) -> Result<CallerRequest, Refusal> {
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let rest = path.strip_prefix("/services/").unwrap_or_default();
    let (name, rest) = rest.split_once('/').unwrap_or((rest, ""));
    let Some((_, service)) = router.node.services.get(name) else {
        let detail = format!("no service {name}");
        return Err(Refusal::not_run(RefusalReason::UnknownService, detail));
    };
    let path = format!("/{rest}");
    let mut request = read_common(
        router,
        id,
        parts,
        body,
        Target::Service(name.to_owned()),
        arrived_unix_ms,
    )?;
    request.path = path;
    request.idempotent = service.idempotent_methods.contains(&request.method);
    if !request.idempotent && request.idempotency_key.is_empty() {
        let detail = "a call that may not be repeated needs an Idempotency-Key";
        return Err(Refusal::not_run(RefusalReason::KeyRequired, detail));
    }
    if request.idempotency_key.len() > KEY_MAX_BYTES {
        let detail = format!("an Idempotency-Key has at most {KEY_MAX_BYTES} bytes");
        return Err(Refusal::not_run(RefusalReason::BadRequest, detail));
    }
    Ok(request)
}

fn read_common(
    router: &Router,
    id: &RequestId,
    parts: &Parts,
    body: Bytes,
    target: Target,
    arrived_unix_ms: u64,
) -> Result<CallerRequest, Refusal> {
    let organisation = OrganisationName::from(header(&parts.headers, ORGANISATION));
    let kind = KindName::from(header(&parts.headers, KIND));
    let model = match &target {
        Target::Model(model) => Some(model),
        Target::Service(_) => None,
    };
    let config = router.node.config.current();
    let limits = fleet::values_for_request(&config, &organisation, &kind, model, arrived_unix_ms);
    let timeout_ms = match header(&parts.headers, TIMEOUT) {
        "" => limits.request_timeout_ms,
        text => text.parse::<u64>().map_err(|_| {
            let detail = format!("{TIMEOUT} is not a number of milliseconds: {text}");
            Refusal::not_run(RefusalReason::BadRequest, detail)
        })?,
    };
    if timeout_ms <= router.settings.answer_margin_ms {
        let detail = format!("{timeout_ms} ms leave no time for an answer");
        return Err(Refusal::not_run(RefusalReason::DeadlinePast, detail));
    }
    let mut identity = parts.method.as_str().as_bytes().to_vec();
    identity.extend_from_slice(parts.uri.to_string().as_bytes());
    identity.extend_from_slice(&body);
    Ok(CallerRequest {
        id: id.clone(),
        organisation,
        kind,
        target,
        method: parts.method.to_string(),
        path: parts.uri.path().to_owned(),
        content_type: header(&parts.headers, "content-type").to_owned(),
        deadline_unix_ms: arrived_unix_ms + timeout_ms.min(limits.request_timeout_max_ms),
        idempotent: false,
        idempotency_key: header(&parts.headers, IDEMPOTENCY_KEY).to_owned(),
        weight: limits.kind_weight,
        organisation_requests_max: limits.organisation_requests_max,
        retry_budget_percent: limits.retry_budget_percent,
        stream: false,
        fingerprint: fingerprint(&identity),
        body,
    })
}

/// How long the caller says that it waits, if it does.
pub fn asked_timeout_ms(headers: &HeaderMap) -> Option<u64> {
    header(headers, TIMEOUT).parse().ok()
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}
