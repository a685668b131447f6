//! The values in force for a scope, and where each comes from.

use serde::Serialize;
use serde_json::Value;

use crate::fleet::{Exception, FleetDocument, ScopeRef};

/// A field's value in force, and where it comes from.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct EffectiveField {
    /// The name of the field.
    pub field: String,
    /// The value in force.
    pub value: Value,
    /// The exception that sets the value; `None` if the default applies.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub exception: Option<Exception>,
    /// Active exceptions that a more specific one overrides.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub overridden: Vec<Exception>,
    /// Exceptions that apply at another time.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub not_now: Vec<Exception>,
}

/// Returns every field for something that belongs to all of `scopes`, the most specific last.
pub fn explain(
    document: &FleetDocument,
    scopes: &[ScopeRef<'_>],
    now_unix_ms: u64,
) -> Vec<EffectiveField> {
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
            let (mut active, not_now): (Vec<Exception>, Vec<Exception>) = matching
                .cloned()
                .partition(|exception| exception.is_active_at(now_unix_ms));
            let exception = active.pop();
            EffectiveField {
                field,
                value: exception
                    .as_ref()
                    .map_or(value, |exception| exception.value.clone()),
                exception,
                overridden: active,
                not_now,
            }
        })
        .collect()
}
