//! Edits of the fleet's document. A change is a batch of edits by one author for one reason;
//! it takes effect as a whole or not at all.

use std::fmt;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use thiserror::Error;

use crate::fleet::Scope;

/// One edit of one field.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case", tag = "op")]
pub enum Edit {
    /// Ends an exception.
    RemoveException {
        /// What it applies to.
        scope: Scope,
        /// Its field.
        field: String,
    },
    /// Sets the value that holds where no exception does.
    SetDefault {
        /// A field of [`Defaults`](crate::fleet::Defaults).
        field: String,
        /// Its value.
        value: Value,
    },
    /// Sets the value for one scope, in place of an earlier exception there.
    SetException {
        /// What it applies to.
        scope: Scope,
        /// A field of [`Defaults`](crate::fleet::Defaults).
        field: String,
        /// Its value there.
        value: Value,
        /// When it starts to hold; at once if absent.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        from_unix_ms: Option<u64>,
        /// When it ends; never if absent.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        until_unix_ms: Option<u64>,
    },
}

/// What an edit changes; two edits meet if their targets are equal.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct EditTarget<'a> {
    /// The scope of an exception; none for a default.
    pub scope: Option<&'a Scope>,
    /// The field.
    pub field: &'a str,
}

impl fmt::Display for EditTarget<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.scope {
            Some(scope) => write!(f, "{scope}: {}", self.field),
            None => write!(f, "defaults.{}", self.field),
        }
    }
}

impl Edit {
    /// What the edit changes.
    pub fn target(&self) -> EditTarget<'_> {
        match self {
            Self::RemoveException { scope, field } | Self::SetException { scope, field, .. } => {
                EditTarget {
                    scope: Some(scope),
                    field,
                }
            }
            Self::SetDefault { field, .. } => EditTarget { scope: None, field },
        }
    }

    /// The value that it sets; none if it removes one.
    pub fn value(&self) -> Option<&Value> {
        match self {
            Self::RemoveException { .. } => None,
            Self::SetDefault { value, .. } | Self::SetException { value, .. } => Some(value),
        }
    }
}

/// A change that somebody asks for.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRequest {
    /// Chosen by the asker; sent again with the same id, a change takes effect once.
    pub change_id: String,
    /// The revision that the author had read.
    pub based_on: u64,
    /// Who asks.
    pub author: String,
    /// Why.
    pub reason: String,
    /// The edits; all take effect or none.
    pub edits: Vec<Edit>,
}

/// A change that was accepted, as the document keeps it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRecord {
    /// The revision that it made.
    pub revision: u64,
    /// Its id.
    pub change_id: String,
    /// Who asked.
    pub author: String,
    /// Why.
    pub reason: String,
    /// When it was accepted.
    pub accepted_unix_ms: u64,
    /// Its edits.
    pub edits: Vec<Edit>,
}

/// The last edit of one field.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FieldEdit {
    /// The revision that it made.
    pub revision: u64,
    /// Who asked.
    pub author: String,
    /// The edit.
    pub edit: Edit,
}

/// A field that can't have the value it was given.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FieldProblem {
    /// The field, such as `defaults.queue_max`.
    pub field: String,
    /// What is wrong.
    pub detail: String,
}

/// An edit that meets another of the same field, accepted since the author had read.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct FieldConflict {
    /// The field.
    pub field: String,
    /// The value that was accepted; none if it was removed.
    pub theirs: Option<Value>,
    /// Who set it.
    pub their_author: String,
    /// The revision that it made.
    pub their_revision: u64,
    /// The value that was asked for; none if it was to be removed.
    pub yours: Option<Value>,
}

/// Why a change is refused; no part of it took effect.
#[derive(Clone, Debug, Deserialize, Error, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "error")]
pub enum EditError {
    /// Fields can't have the values they were given.
    #[error("refused:{}", list(problems))]
    BadFields {
        /// All of them.
        problems: Vec<FieldProblem>,
    },
    /// The id belongs to another change.
    #[error("{change_id} is the id of another change, which made revision {revision}")]
    ChangeIdTaken {
        /// The id.
        change_id: String,
        /// The revision that the other change made.
        revision: u64,
    },
    /// Others have changed the same fields since the author had read.
    #[error("others have changed the same fields:{}", list(conflicts))]
    Conflict {
        /// All of them, with both values.
        conflicts: Vec<FieldConflict>,
    },
    /// The author names a revision that does not exist yet.
    #[error("revision {based_on} does not exist; the latest is {revision}")]
    #[serde(rename = "not_yet")]
    UnknownRevision {
        /// The revision that was named.
        based_on: u64,
        /// The latest one.
        revision: u64,
    },
    /// The document has no room for it.
    #[error("the document would have {document_bytes} bytes, and may have {max_bytes}")]
    TooLarge {
        /// Its size with the change.
        document_bytes: usize,
        /// What it may have.
        max_bytes: usize,
    },
    /// An exception that does not exist now may have been removed since; removals that long
    /// ago are forgotten. Read again, then decide.
    #[error("{field} may have been removed since revision {based_on}; read again")]
    #[serde(rename = "too_old")]
    BaseTooOld {
        /// The field.
        field: String,
        /// The revision that was named.
        based_on: u64,
    },
}

impl fmt::Display for FieldProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.detail)
    }
}

impl fmt::Display for FieldConflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let shown = |value: &Option<Value>| {
            value
                .as_ref()
                .map_or_else(|| "removed".to_owned(), Value::to_string)
        };
        write!(
            f,
            "{}: {} by {} in revision {}, {} by you",
            self.field,
            shown(&self.theirs),
            self.their_author,
            self.their_revision,
            shown(&self.yours)
        )
    }
}

fn list(items: &[impl fmt::Display]) -> String {
    let lines: Vec<String> = items.iter().map(|item| format!("\n  {item}")).collect();
    lines.concat()
}
