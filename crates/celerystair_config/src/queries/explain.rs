//! What is in force for something, and why.

use serde::Serialize;
use serde_json::Value;

use crate::fleet::{Exception, FleetDocument, ScopeName};

/// One field with its value, and what it comes from.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FieldInForce {
    /// The field.
    pub field: String,
    /// Its value.
    pub value: Value,
    /// The exception that gives it; none for the default.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub exception: Option<Exception>,
    /// Exceptions that a more specific one overrides.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub overridden: Vec<Exception>,
    /// Exceptions that hold at another time.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub not_now: Vec<Exception>,
}

/// Every field for something that is known under all of `scopes`, the most specific last.
pub fn explain(
    document: &FleetDocument,
    scopes: &[ScopeName<'_>],
    now_unix_ms: u64,
) -> Vec<FieldInForce> {
    let fields = document.defaults.to_fields().into_iter();
    fields
        .map(|(field, value)| {
            let matching = scopes.iter().flat_map(|(kind, name)| {
                document.exceptions.iter().filter(|exception| {
                    exception.field == field
                        && exception.scope.kind == *kind
                        && exception.scope.name == *name
                })
            });
            let (mut holding, not_now): (Vec<Exception>, Vec<Exception>) = matching
                .cloned()
                .partition(|exception| exception.holds_at(now_unix_ms));
            let exception = holding.pop();
            FieldInForce {
                field,
                value: exception
                    .as_ref()
                    .map_or(value, |exception| exception.value.clone()),
                exception,
                overridden: holding,
                not_now,
            }
        })
        .collect()
}
