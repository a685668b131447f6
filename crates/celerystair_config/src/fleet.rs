//! The fleet's configuration document: default values, and exceptions that override them for one
//! scope, each with a reason. The document is stored as one object, `config/head`, and replaced as
//! a whole by a conditional write.

use std::fmt;

use celerystair_core::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use thiserror::Error;

use crate::change::{ChangeRecord, FieldEdit};

/// The configuration document, stored at `config/head`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FleetDocument {
    /// Increases by one with every accepted change.
    pub revision: u64,
    /// Values that apply where no exception does.
    #[serde(default)]
    pub defaults: Defaults,
    /// Exceptions, in the order of their acceptance.
    #[serde(default)]
    pub exceptions: Vec<Exception>,
    /// Recent changes, oldest first; older ones are dropped to bound the document's size.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub changes: Vec<ChangeRecord>,
    /// The last edit of each field, oldest first; used to detect conflicting edits.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub last_edits: Vec<FieldEdit>,
    /// Removals of exceptions up to this revision are no longer in `last_edits`.
    #[serde(default)]
    pub removals_forgotten_revision: u64,
}

/// Every field that operators can set for the fleet, with its built-in value.
///
/// The same type holds the values in force for one scope, after exceptions are applied.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "operators set each switch on its own"
)]
pub struct Defaults {
    /// Slots in the placement of each model, which is its target number of replicas.
    pub slots_per_model: u32,
    /// Cost of one second that a caller waits for a cold start.
    pub cold_start_weight: f64,
    /// Cost of one second that an accelerator is idle.
    pub idle_weight: f64,
    /// Minimum time that an idle replica stays loaded.
    pub keep_alive_min_ms: u64,
    /// Maximum time that an idle replica stays loaded.
    pub keep_alive_max_ms: u64,
    /// Whether keep-alive adapts to each model's request arrivals; if not, idle replicas stay
    /// loaded for `keep_alive_min_ms`.
    pub keep_alive_adaptive: bool,
    /// Whether a replica stays loaded without requests. An exception with a start and an end
    /// makes a warm window, for example before a press deadline.
    pub keep_warm: bool,
    /// Which slot of a model is woken when none is loaded.
    pub wake: WakePolicy,
    /// How concurrent fetches from the weight store are limited.
    pub load_budget: LoadBudget,
    /// Maximum concurrent fetches from the weight store, across the fleet.
    pub loads_in_flight_max: u32,
    /// How concurrent adapter loads are limited.
    pub adapter_budget: AdapterBudget,
    /// Maximum concurrent permits for adapter loads, across the fleet; matches the number of loads
    /// that the weight store serves at full speed.
    pub adapters_in_flight_max: u32,
    /// Timeout of a request that specifies none, counted from its arrival.
    pub request_timeout_ms: u64,
    /// Longest timeout that a request may specify.
    pub request_timeout_max_ms: u64,
    /// Weight of a request kind in load shedding; kinds with a lower weight are shed first.
    pub kind_weight: u32,
    /// Maximum requests of one organisation in flight at a router; 0 means no limit.
    pub organisation_requests_max: u32,
    /// Maximum requests that wait at one agent.
    pub queue_max: u32,
    /// Whether requests are shed by weight and by expected wait; if not, requests wait in order
    /// of arrival until their deadlines.
    pub shedding: bool,
    /// Retry budget, as a percentage of first attempts.
    pub retry_budget_percent: u32,
    /// How long a caller may resend a non-idempotent request under the same idempotency key.
    pub journal_retention_ms: u64,
    /// How long a request that crashed an upstream stays a suspect.
    pub suspect_expiry_ms: u64,
    /// Whether routers send an upstream no new work; operators set this to drain it.
    pub drain: bool,
}

impl Default for Defaults {
    fn default() -> Self {
        Self {
            slots_per_model: 2,
            cold_start_weight: 1.0,
            idle_weight: 0.05,
            keep_alive_min_ms: 5_000,
            keep_alive_max_ms: 1_800_000,
            keep_alive_adaptive: true,
            keep_warm: false,
            wake: WakePolicy::FirstSlot,
            load_budget: LoadBudget::Permits,
            loads_in_flight_max: 4,
            adapter_budget: AdapterBudget::Permits,
            adapters_in_flight_max: 32,
            request_timeout_ms: 60_000,
            request_timeout_max_ms: 600_000,
            kind_weight: 1,
            organisation_requests_max: 0,
            queue_max: 512,
            shedding: true,
            retry_budget_percent: 20,
            journal_retention_ms: 86_400_000,
            suspect_expiry_ms: 3_600_000,
            drain: false,
        }
    }
}

/// How concurrent fetches from the weight store are limited; see `docs/COLD_STARTS.md`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadBudget {
    /// Each agent adapts its number of concurrent fetches to the throughput that it measures.
    Adaptive,
    /// One agent grants permits, earliest deadline first.
    #[default]
    Permits,
    /// No limit; each load starts immediately.
    Unlimited,
}

/// How concurrent adapter loads are limited; see `docs/COLD_STARTS.md`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AdapterBudget {
    /// Each agent runs one load at a time without a permit; for further loads, one agent grants
    /// permits, earliest deadline first.
    #[default]
    Permits,
    /// No limit; each load starts immediately.
    Unlimited,
}

/// Which slot of a model is woken when none is loaded; see `docs/COLD_STARTS.md`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WakePolicy {
    /// Each router wakes a slot of its own choice, and each load is written to the store before
    /// it starts. A baseline for measurements.
    EachRouter,
    /// All routers wake the first slot of the placement.
    #[default]
    FirstSlot,
    /// Like [`FirstSlot`](Self::FirstSlot), but routers ignore what agents report of their
    /// replicas and queues. A baseline for measurements.
    #[serde(rename = "without_news")]
    FirstSlotWithoutGossip,
}

/// Why a field can't be set.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
pub enum FieldError {
    /// The value does not have the field's type.
    #[error("{detail}")]
    BadValue {
        /// The parser's reason.
        detail: String,
    },
    /// No field has this name.
    #[error("there is no such field")]
    Unknown,
}

impl Defaults {
    /// Returns a copy of these values with `field` set to `value`.
    pub fn with_field(&self, field: &str, value: &Value) -> Result<Self, FieldError> {
        let bad_value = |error: serde_json::Error| FieldError::BadValue {
            detail: error.to_string(),
        };
        let mut fields = self.to_fields();
        let Some(current) = fields.get_mut(field) else {
            return Err(FieldError::Unknown);
        };
        *current = value.clone();
        serde_json::from_value(Value::Object(fields)).map_err(bad_value)
    }

    /// Returns the value of each field by its name.
    pub fn to_fields(&self) -> serde_json::Map<String, Value> {
        match serde_json::to_value(self) {
            Ok(Value::Object(fields)) => fields,
            _ => serde_json::Map::default(),
        }
    }
}

/// The kind of scope that an exception applies to.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ScopeKind {
    /// One adapter, as `base:adapter`.
    Adapter,
    /// All upstreams of a failure domain.
    FailureDomain,
    /// All requests of an organisation.
    Organisation,
    /// All requests of a kind.
    Kind,
    /// One base model.
    Model,
    /// One upstream.
    Upstream,
}

/// What an exception applies to: one named model, upstream, organisation and so on.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Scope {
    /// What the name denotes.
    pub kind: ScopeKind,
    /// The name, such as `base:adapter` for an adapter.
    pub name: String,
}

impl fmt::Display for Scope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.kind.as_str(), self.name)
    }
}

impl ScopeKind {
    /// Every kind, in the order in which messages list them.
    pub const ALL: [Self; 6] = [
        Self::Adapter,
        Self::FailureDomain,
        Self::Organisation,
        Self::Kind,
        Self::Model,
        Self::Upstream,
    ];

    /// Returns the kind's name in JSON, in URL paths and on the command line.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Adapter => "adapter",
            Self::FailureDomain => "failure_domain",
            Self::Organisation => "organisation",
            Self::Kind => "kind",
            Self::Model => "model",
            Self::Upstream => "upstream",
        }
    }

    /// Returns the kind with this [`as_str`](Self::as_str) name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.as_str() == name)
    }
}

/// A value that overrides the default for one scope.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Exception {
    /// What the exception applies to.
    pub scope: Scope,
    /// The name of a field of [`Defaults`].
    pub field: String,
    /// The field's value in this scope.
    pub value: Value,
    /// The operator's reason for the exception.
    pub reason: String,
    /// The operator who set the exception.
    pub author: String,
    /// When the exception starts to apply; immediately if absent.
    #[serde(default)]
    pub from_unix_ms: Option<u64>,
    /// When the exception stops applying; never if absent.
    #[serde(default)]
    pub until_unix_ms: Option<u64>,
}

impl Exception {
    /// Returns whether the exception applies at `now_unix_ms`.
    pub fn is_active_at(&self, now_unix_ms: u64) -> bool {
        self.from_unix_ms.is_none_or(|from| from <= now_unix_ms)
            && self.until_unix_ms.is_none_or(|until| now_unix_ms < until)
    }
}

/// The kind and name of a scope, for lookups of exceptions.
pub type ScopeRef<'a> = (ScopeKind, &'a str);

/// Returns the values in force for something that belongs to all of `scopes`. Where several
/// exceptions set one field, the last scope takes precedence.
pub fn effective_values(
    document: &FleetDocument,
    scopes: &[ScopeRef<'_>],
    now_unix_ms: u64,
) -> Defaults {
    let active: Vec<&Exception> = scopes
        .iter()
        .flat_map(|(kind, name)| {
            document.exceptions.iter().filter(move |exception| {
                exception.scope.kind == *kind
                    && exception.scope.name == *name
                    && exception.is_active_at(now_unix_ms)
            })
        })
        .collect();
    if active.is_empty() {
        return document.defaults.clone();
    }
    let mut fields = document.defaults.to_fields();
    for exception in active {
        fields.insert(exception.field.clone(), exception.value.clone());
    }
    serde_json::from_value(Value::Object(fields)).unwrap_or_else(|_| document.defaults.clone())
}

/// Returns the values in force for a request.
pub fn values_for_request(
    document: &FleetDocument,
    organisation: &OrganisationName,
    kind: &KindName,
    model: Option<&ModelRef>,
    now_unix_ms: u64,
) -> Defaults {
    let adapter = model.map(ToString::to_string).unwrap_or_default();
    let base_model = model.map(|model| model.base.as_str()).unwrap_or_default();
    let scopes = [
        (ScopeKind::Organisation, organisation.as_str()),
        (ScopeKind::Kind, kind.as_str()),
        (ScopeKind::Model, base_model),
        (ScopeKind::Adapter, adapter.as_str()),
    ];
    effective_values(document, &scopes, now_unix_ms)
}

/// Returns the values in force for a base model.
pub fn values_for_model(document: &FleetDocument, model: &str, now_unix_ms: u64) -> Defaults {
    effective_values(document, &[(ScopeKind::Model, model)], now_unix_ms)
}

/// Returns the values in force for an upstream.
pub fn values_for_upstream(
    document: &FleetDocument,
    failure_domain: &str,
    upstream: &str,
    now_unix_ms: u64,
) -> Defaults {
    let scopes = [
        (ScopeKind::FailureDomain, failure_domain),
        (ScopeKind::Upstream, upstream),
    ];
    effective_values(document, &scopes, now_unix_ms)
}
