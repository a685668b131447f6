//! The document in force here, its history, and what is in force for something and why.

use celerystair_config::{
    fleet::{Defaults, ScopeRef},
    prelude::*,
    queries::explain::EffectiveField,
};
use celerystair_core::prelude::*;
use serde::Serialize;

use crate::{api::Admin, error::AdminError};

/// Defaults and exceptions, without the history.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DocumentReply {
    /// The revision in force at this router.
    pub revision: u64,
    /// What holds where no exception does.
    pub defaults: Defaults,
    /// The exceptions.
    pub exceptions: Vec<Exception>,
}

/// Defaults and exceptions in force at this router.
pub fn document(admin: &Admin) -> DocumentReply {
    let current = admin.node.config.current();
    DocumentReply {
        revision: current.revision,
        defaults: current.defaults.clone(),
        exceptions: current.exceptions.clone(),
    }
}

/// The last changes, latest first.
pub fn changes(admin: &Admin) -> Vec<ChangeRecord> {
    let current = admin.node.config.current();
    current.changes.iter().rev().cloned().collect()
}

/// What is in force for something.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ExplainReply {
    /// The revision in force at this router.
    pub revision: u64,
    /// What was asked about.
    pub scope: String,
    /// Every field.
    pub fields: Vec<EffectiveField>,
}

/// What is in force for `name`, with the scopes that it belongs to.
///
/// # Errors
/// [`AdminError::NotFound`] if there is no such kind of scope.
pub fn explain_scope(admin: &Admin, kind: &str, name: &str) -> Result<ExplainReply, AdminError> {
    let kind = ScopeKind::from_name(kind).ok_or_else(|| AdminError::NotFound {
        what: format!("kind of scope {kind}"),
    })?;
    let domain = admin.node.agents.get(name);
    let domain = domain.map(|(_, agent)| agent.failure_domain.to_string());
    let mut scopes: Vec<ScopeRef<'_>> = Vec::new();
    match kind {
        ScopeKind::Adapter => {
            let base = name.split(':').next().unwrap_or_default();
            scopes.push((ScopeKind::Model, base));
        }
        ScopeKind::Upstream => {
            scopes.extend(domain.as_deref().map(|d| (ScopeKind::FailureDomain, d)));
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
