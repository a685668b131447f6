//! The fleet's configuration document: defaults for all, and a short list of exceptions,
//! each with a written reason. One conditional write to `config/head` changes it as a whole.

use std::fmt;

use celerystair_core::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use thiserror::Error;

use crate::change::{ChangeRecord, FieldEdit};

/// The document at `config/head`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FleetDocument {
    /// Rises with every accepted change.
    pub revision: u64,
    /// What holds where no exception does.
    #[serde(default)]
    pub defaults: Defaults,
    /// Exceptions, in the order in which they were accepted.
    #[serde(default)]
    pub exceptions: Vec<Exception>,
    /// The last changes, oldest first; older ones are dropped to bound the document.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub changes: Vec<ChangeRecord>,
    /// The last edit of each field, oldest first: what a later edit of it would meet.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub last_edits: Vec<FieldEdit>,
    /// Removals of exceptions up to this revision are forgotten.
    #[serde(default)]
    pub removals_forgotten_revision: u64,
}

/// Every field that operators set for the fleet, with its value where nobody has set it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a switch that operators set on its own"
)]
pub struct Defaults {
    /// Slots of each model: the number of replicas decided.
    pub slots_per_model: u32,
    /// What a second of a caller's wait for a cold start costs.
    pub cold_start_weight: f64,
    /// What a second of an idle accelerator costs.
    pub idle_weight: f64,
    /// The shortest time that an idle replica stays loaded.
    pub keep_alive_min_ms: u64,
    /// The longest time that an idle replica stays loaded.
    pub keep_alive_max_ms: u64,
    /// Whether keep-alive follows each model's own arrivals; if not, idle replicas stay for
    /// `keep_alive_min_ms`.
    pub keep_alive_adaptive: bool,
    /// Whether a replica is kept loaded without calls; an exception with its first and last
    /// moment makes a warm window, such as a press deadline.
    pub keep_warm: bool,
    /// Which slot of a model that is not loaded is woken.
    pub wake: WakePolicy,
    /// How fetches from the weight store are kept within its budget.
    pub load_budget: LoadBudget,
    /// Fetches from the weight store at once, over the whole fleet.
    pub loads_in_flight_max: u32,
    /// How loads of adapters are kept within the weight store's limit.
    pub adapter_budget: AdapterBudget,
    /// Loads of adapters at once at full speed, over the whole fleet.
    pub adapters_in_flight_max: u32,
    /// Deadline of a request that names none, from its arrival.
    pub request_timeout_ms: u64,
    /// The longest deadline that a request may name.
    pub request_timeout_max_ms: u64,
    /// Weight of a kind when requests must be shed; higher is kept longer.
    pub kind_weight: u32,
    /// Requests of one organisation that a router has at once; 0 for no limit.
    pub organisation_requests_max: u32,
    /// Requests that wait at one agent at most.
    pub queue_max: u32,
    /// Whether requests are shed by weight and by expected wait; without, each waits its turn in
    /// order of arrival until its deadline.
    pub shedding: bool,
    /// Retries allowed, as a share of first attempts.
    pub retry_budget_percent: u32,
    /// How long a caller may send a non-idempotent request again under its key.
    pub journal_retention_ms: u64,
    /// How long a request that crashed an upstream stays under suspicion.
    pub suspect_expiry_ms: u64,
    /// Whether new work is kept from an upstream (set by an operator to drain it).
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

/// How fetches from the weight store are kept within its budget; see `docs/COLD_STARTS.md`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadBudget {
    /// Each agent changes the number of its own fetches by the speed that it sees.
    Adaptive,
    /// One agent grants permits by earliest deadline.
    #[default]
    Permits,
    /// Nothing is kept; each load begins at once.
    Unlimited,
}

/// How loads of adapters are kept within the weight store's limit; see `docs/COLD_STARTS.md`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AdapterBudget {
    /// Each agent runs one load at once without asking anybody; for more, one agent grants
    /// permits by earliest deadline.
    #[default]
    Permits,
    /// Nothing is kept; each load begins at once.
    Unlimited,
}

/// Which slot of a model that is not loaded is woken; see `docs/COLD_STARTS.md`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WakePolicy {
    /// Each router wakes a slot of its own choice, and each load is first written to the store.
    /// A baseline to measure against.
    EachRouter,
    /// All routers wake the first slot of the placement.
    #[default]
    FirstSlot,
    /// The same, and routers take no notice of what agents tell of their replicas and queues. A
    /// baseline to measure against.
    #[serde(rename = "without_news")]
    FirstSlotWithoutGossip,
}

/// Why a field can't be set.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
pub enum FieldError {
    /// The value is not of the field's type.
    #[error("{detail}")]
    BadValue {
        /// The parser's reason.
        detail: String,
    },
    /// There is no such field.
    #[error("there is no such field")]
    Unknown,
}

impl Defaults {
    /// These values with `field` at `value`.
    pub fn with_field(&self, field: &str, value: &Value) -> Result<Self, FieldError> {
        let bad = |error: serde_json::Error| FieldError::BadValue {
            detail: error.to_string(),
        };
        let mut fields = self.to_fields();
        let Some(slot) = fields.get_mut(field) else {
            return Err(FieldError::Unknown);
        };
        *slot = value.clone();
        serde_json::from_value(Value::Object(fields)).map_err(bad)
    }

    /// Every field with its value.
    pub fn to_fields(&self) -> serde_json::Map<String, Value> {
        match serde_json::to_value(self) {
            Ok(Value::Object(fields)) => fields,
            _ => serde_json::Map::default(),
        }
    }
}

/// What an exception applies to.
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

/// What an exception applies to, by name.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Scope {
    /// The kind of thing.
    pub kind: ScopeKind,
    /// Its name.
    pub name: String,
}

impl fmt::Display for Scope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.kind.as_str(), self.name)
    }
}

impl ScopeKind {
    /// Every kind, in the order of its name.
    pub const ALL: [Self; 6] = [
        Self::Adapter,
        Self::FailureDomain,
        Self::Organisation,
        Self::Kind,
        Self::Model,
        Self::Upstream,
    ];

    /// The kind's name in JSON, in paths and on the command line.
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

    /// The kind of this name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.as_str() == name)
    }
}

/// A value that holds for one scope in place of the default.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Exception {
    /// What it applies to.
    pub scope: Scope,
    /// A field of [`Defaults`].
    pub field: String,
    /// Its value there.
    pub value: Value,
    /// Why.
    pub reason: String,
    /// Who set it.
    pub author: String,
    /// When it starts to hold; at once if absent.
    #[serde(default)]
    pub from_unix_ms: Option<u64>,
    /// When it ends; never if absent.
    #[serde(default)]
    pub until_unix_ms: Option<u64>,
}

impl Exception {
    /// Whether it holds at `now_unix_ms`.
    pub fn holds_at(&self, now_unix_ms: u64) -> bool {
        self.from_unix_ms.is_none_or(|from| from <= now_unix_ms)
            && self.until_unix_ms.is_none_or(|until| now_unix_ms < until)
    }
}

/// The names under which exceptions are looked up for one thing; later entries go first.
pub type ScopeName<'a> = (ScopeKind, &'a str);

/// What is in force for something that is known under all of `scopes`, the most specific last.
pub fn effective_values(
    document: &FleetDocument,
    scopes: &[ScopeName<'_>],
    now_unix_ms: u64,
) -> Defaults {
    let holding: Vec<&Exception> = scopes
        .iter()
        .flat_map(|(kind, name)| {
            document.exceptions.iter().filter(move |exception| {
                exception.scope.kind == *kind
                    && exception.scope.name == *name
                    && exception.holds_at(now_unix_ms)
            })
        })
        .collect();
    if holding.is_empty() {
        return document.defaults.clone();
    }
    let mut fields = document.defaults.to_fields();
    for exception in holding {
        fields.insert(exception.field.clone(), exception.value.clone());
    }
    serde_json::from_value(Value::Object(fields)).unwrap_or_else(|_| document.defaults.clone())
}

/// What is in force for a request.
pub fn values_for_request(
    document: &FleetDocument,
    organisation: &OrganisationName,
    kind: &KindName,
    model: Option<&ModelRef>,
    now_unix_ms: u64,
) -> Defaults {
    let adapter = model.map(ToString::to_string).unwrap_or_default();
    let base = model.map(|model| model.base.as_str()).unwrap_or_default();
    let scopes = [
        (ScopeKind::Organisation, organisation.as_str()),
        (ScopeKind::Kind, kind.as_str()),
        (ScopeKind::Model, base),
        (ScopeKind::Adapter, adapter.as_str()),
    ];
    effective_values(document, &scopes, now_unix_ms)
}

/// What is in force for a model.
pub fn values_for_model(document: &FleetDocument, model: &str, now_unix_ms: u64) -> Defaults {
    effective_values(document, &[(ScopeKind::Model, model)], now_unix_ms)
}

/// What is in force for an upstream.
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
