//! The document in force in this router, its history, and explanations of the values in force.

use celerystair_config::{
    fleet::{Defaults, ScopeRef},
    prelude::*,
    queries::explain::EffectiveField,
};
use celerystair_core::prelude::*;
use serde::Serialize;

use crate::{api::AdminState, error::AdminError};

/// The configuration document without its history.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DocumentReply {
    /// The revision in force in this router.
    pub revision: u64,
    /// Values that apply where no exception does.
    pub defaults: Defaults,
    /// Exceptions, in the order of their acceptance.
    pub exceptions: Vec<Exception>,
}

/// Returns the defaults and exceptions in force in this router.
pub fn current_document(admin: &AdminState) -> DocumentReply {
    let current = admin.node.config.current();
    DocumentReply {
        revision: current.revision,
        defaults: current.defaults.clone(),
        exceptions: current.exceptions.clone(),
    }
}

/// Returns the document's history, latest change first.
pub fn history(admin: &AdminState) -> Vec<ChangeRecord> {
    let current = admin.node.config.current();
    current.changes.iter().rev().cloned().collect()
}

/// The values in force for a scope.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ExplainReply {
    /// The revision in force in this router.
    pub revision: u64,
    /// The kind and name of the requested scope.
    pub scope: String,
    /// Every field, with its value and where it comes from.
    pub fields: Vec<EffectiveField>,
}

/// Explains the values in force for a scope, including those from the scopes that contain it.
///
/// # Errors
/// [`AdminError::NotFound`] if `kind` is not a kind of scope.
pub fn explain_scope(
    admin: &AdminState,
    kind: &str,
    name: &str,
) -> Result<ExplainReply, AdminError> {
    let kind = ScopeKind::from_name(kind).ok_or_else(|| AdminError::NotFound {
        what: format!("kind of scope {kind}"),
    })?;
    let agent = admin.node.agents.get(name);
    let failure_domain = agent.map(|(_, agent)| agent.failure_domain.to_string());
    let mut scopes: Vec<ScopeRef<'_>> = Vec::new();
    match kind {
        ScopeKind::Adapter => {
            let base = name.split(':').next().unwrap_or_default();
            scopes.push((ScopeKind::Model, base));
        }
        ScopeKind::Upstream => {
            scopes.extend(
                failure_domain
                    .as_deref()
                    .map(|domain| (ScopeKind::FailureDomain, domain)),
            );
        }
        _ => {}
    }
    scopes.push((kind, name));
    let current = admin.node.config.current();
    Ok(ExplainReply {
        revision: current.revision,
        scope: format!("{} {name}", kind.as_str()),
        fields: explain(&current, &scopes, now_unix_ms()),
    })
}
