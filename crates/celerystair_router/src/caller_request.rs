//! Parsing and validation of callers' requests: target, organisation, deadline.

use bytes::Bytes;
use celerystair_config::fleet;
use celerystair_core::{prelude::*, rendezvous::fingerprint};
use celerystair_platform::value_text::check_value;
use http::{HeaderMap, request::Parts};
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::router::Router;

const ORGANISATION_HEADER: &str = "celerystair-organisation";
const KIND_HEADER: &str = "celerystair-kind";
const TIMEOUT_HEADER: &str = "request-timeout-ms";
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// The journal stores keys unhashed, so their length is bounded.
const IDEMPOTENCY_KEY_MAX_BYTES: usize = 255;

/// The model or service that a request addresses.
#[derive(Clone, Debug)]
pub enum Target {
    /// A model, optionally with an adapter.
    Model(ModelRef),
    /// A plain service, by name.
    Service(String),
}

/// A parsed and validated request of a caller.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// The identifier that the router gave the request.
    pub id: RequestId,
    /// The organisation that sent it.
    pub organisation: OrganisationName,
    /// The kind of request, which sets its weight.
    pub kind: KindName,
    /// The model or service that it addresses.
    pub target: Target,
    /// HTTP method of the call to the upstream.
    pub method: String,
    /// Path and query of the call to the upstream.
    pub path: String,
    /// Content type of the body.
    pub content_type: String,
    /// The body.
    pub body: Bytes,
    /// The caller's deadline.
    pub deadline_unix_ms: u64,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// The caller's idempotency key; empty if there is none.
    pub idempotency_key: String,
    /// Priority among waiting requests, set by the kind; more is served first.
    pub weight: u32,
    /// Limit of the organisation's concurrent requests at this router; 0 for no limit.
    pub organisation_requests_max: u32,
    /// What this request adds to the retry budget, in percent of one retry.
    pub retry_budget_percent: u32,
    /// Whether the caller asked for a streamed response.
    pub stream: bool,
    /// A hash of method, URI and body; equal for repeats of the same request.
    pub fingerprint: u64,
}

/// Reads a completion request.
pub fn read_completion(
    router: &Router,
    id: &RequestId,
    parts: &Parts,
    body: Bytes,
    arrived_unix_ms: u64,
) -> Result<CallerRequest, Refusal> {
    let bad_request = |detail: String| Refusal::not_run(RefusalReason::BadRequest, detail);
    let fields = read_completion_fields(&body)
        .map_err(|error| bad_request(format!("the body is not valid JSON: {error}")))?;
    let Some(name) = &fields.model else {
        return Err(bad_request(
            "the field `model` is missing or not a string".to_owned(),
        ));
    };
    let model = ModelRef::parse(name);
    let unknown_model = || {
        Refusal::not_run(
            RefusalReason::UnknownModel,
            format!("model {name} does not exist"),
        )
    };
    let (_, object) = router
        .node
        .models
        .get(&model.base)
        .ok_or_else(unknown_model)?;
    if let Some(adapter) = &model.adapter
        && !object.adapters.iter().any(|known| **known == **adapter)
    {
        return Err(unknown_model());
    }
    let mut request = read_common(
        router,
        id,
        parts,
        body,
        Target::Model(model),
        arrived_unix_ms,
    )?;
    request.is_idempotent = true;
    request.stream = fields.stream;
    Ok(request)
}

/// The fields of a completion request that the router reads; the others are the upstream's.
struct CompletionFields {
    /// `None` if it is missing or not a string.
    model: Option<String>,
    /// Whether the response is to be streamed.
    stream: bool,
}

fn read_completion_fields(body: &[u8]) -> Result<CompletionFields, serde_json::Error> {
    #[derive(Default, Deserialize)]
    struct WireFields<'a> {
        #[serde(borrow, default)]
        model: Option<&'a RawValue>,
        #[serde(borrow, default)]
        stream: Option<&'a RawValue>,
    }

    let text =
        std::str::from_utf8(body).map_err(<serde_json::Error as serde::de::Error>::custom)?;
    check_value(text)?;
    let is_object = text.trim_start().starts_with('{');
    let fields: WireFields<'_> = if is_object {
        serde_json::from_str(text)?
    } else {
        WireFields::default()
    };
    let model = fields.model.map(|text| serde_json::from_str(text.get()));
    let stream = fields.stream.map(|text| serde_json::from_str(text.get()));
    Ok(CompletionFields {
        model: model.and_then(Result::ok),
        stream: stream.and_then(Result::ok).unwrap_or_default(),
    })
}

/// Reads a call of a plain service, at `/services/<name>/...`.
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
        let detail = format!("service {name} does not exist");
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
    request.is_idempotent = service.idempotent_methods.contains(&request.method);
    if !request.is_idempotent && request.idempotency_key.is_empty() {
        let detail = "a call that is not idempotent needs an Idempotency-Key header";
        return Err(Refusal::not_run(RefusalReason::KeyRequired, detail));
    }
    if request.idempotency_key.len() > IDEMPOTENCY_KEY_MAX_BYTES {
        let detail =
            format!("the Idempotency-Key is longer than {IDEMPOTENCY_KEY_MAX_BYTES} bytes");
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
    let organisation = OrganisationName::from(header_value(&parts.headers, ORGANISATION_HEADER));
    let kind = KindName::from(header_value(&parts.headers, KIND_HEADER));
    let model = match &target {
        Target::Model(model) => Some(model),
        Target::Service(_) => None,
    };
    let config = router.node.config.current();
    let limits = fleet::values_for_request(&config, &organisation, &kind, model, arrived_unix_ms);
    let timeout_ms = match header_value(&parts.headers, TIMEOUT_HEADER) {
        "" => limits.request_timeout_ms,
        text => text.parse::<u64>().map_err(|_| {
            let detail = format!("{TIMEOUT_HEADER} is not a number of milliseconds: {text}");
            Refusal::not_run(RefusalReason::BadRequest, detail)
        })?,
    };
    if timeout_ms <= router.settings.answer_margin_ms {
        let detail = format!("a timeout of {timeout_ms} ms leaves no time for a response");
        return Err(Refusal::not_run(RefusalReason::DeadlinePast, detail));
    }
    let mut fingerprint_input = parts.method.as_str().as_bytes().to_vec();
    fingerprint_input.extend_from_slice(parts.uri.to_string().as_bytes());
    fingerprint_input.extend_from_slice(&body);
    Ok(CallerRequest {
        id: id.clone(),
        organisation,
        kind,
        target,
        method: parts.method.to_string(),
        path: parts.uri.path().to_owned(),
        content_type: header_value(&parts.headers, "content-type").to_owned(),
        deadline_unix_ms: arrived_unix_ms + timeout_ms.min(limits.request_timeout_max_ms),
        is_idempotent: false,
        idempotency_key: header_value(&parts.headers, IDEMPOTENCY_KEY_HEADER).to_owned(),
        weight: limits.kind_weight,
        organisation_requests_max: limits.organisation_requests_max,
        retry_budget_percent: limits.retry_budget_percent,
        stream: false,
        fingerprint: fingerprint(&fingerprint_input),
        body,
    })
}

/// Returns the timeout in the request's headers; `None` if it is absent or not a number.
pub fn requested_timeout_ms(headers: &HeaderMap) -> Option<u64> {
    header_value(headers, TIMEOUT_HEADER).parse().ok()
}

fn header_value<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}
