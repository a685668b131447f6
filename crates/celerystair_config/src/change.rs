//! Edits of the fleet's configuration document. A change groups edits by one author for one
//! reason, and is applied as a whole or not at all.

use std::fmt;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use thiserror::Error;

use crate::fleet::Scope;

/// One edit of one field.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case", tag = "op")]
pub enum Edit {
    /// Removes an exception.
    RemoveException {
        /// The scope of the exception.
        scope: Scope,
        /// The field that the exception overrides.
        field: String,
    },
    /// Sets the value that applies where no exception does.
    SetDefault {
        /// The name of a field of [`Defaults`](crate::fleet::Defaults).
        field: String,
        /// The field's new value.
        value: Value,
    },
    /// Sets the value for one scope, and replaces an earlier exception of the same field there.
    SetException {
        /// The scope of the exception.
        scope: Scope,
        /// The name of a field of [`Defaults`](crate::fleet::Defaults).
        field: String,
        /// The field's value in this scope.
        value: Value,
        /// When the exception starts to apply; immediately if absent.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        from_unix_ms: Option<u64>,
        /// When the exception stops applying; never if absent.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        until_unix_ms: Option<u64>,
    },
}

/// What an edit changes. Two edits can conflict only if their targets are equal.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct EditTarget<'a> {
    /// The scope of an exception; `None` for a default.
    pub scope: Option<&'a Scope>,
    /// The name of the field.
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
    /// Returns what the edit changes.
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

    /// Returns the value that the edit sets; `None` if it removes an exception.
    pub fn value(&self) -> Option<&Value> {
        match self {
            Self::RemoveException { .. } => None,
            Self::SetDefault { value, .. } | Self::SetException { value, .. } => Some(value),
        }
    }
}

/// A requested change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRequest {
    /// Chosen by the author; a change that is sent again with the same id is applied once.
    pub change_id: String,
    /// The revision that the author had read when making the edits.
    pub based_on: u64,
    /// The operator who requests the change.
    pub author: String,
    /// The author's reason for the change.
    pub reason: String,
    /// The edits; either all are applied or none.
    pub edits: Vec<Edit>,
}

/// An accepted change, as the document's history stores it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRecord {
    /// The revision that the change produced.
    pub revision: u64,
    /// The id that the author chose.
    pub change_id: String,
    /// The operator who requested the change.
    pub author: String,
    /// The author's reason for the change.
    pub reason: String,
    /// When the change was accepted.
    pub accepted_unix_ms: u64,
    /// The edits of the change.
    pub edits: Vec<Edit>,
}

/// The last edit of one field.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FieldEdit {
    /// The revision that the edit's change produced.
    pub revision: u64,
    /// The operator who requested the change.
    pub author: String,
    /// The edit.
    pub edit: Edit,
}

/// An invalid field of a change or a document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FieldProblem {
    /// The field's path, such as `defaults.queue_max`.
    pub field: String,
    /// What is wrong with its value.
    pub detail: String,
}

/// A conflict with another change of the same field, accepted since the author had read.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct FieldConflict {
    /// The field's path, such as `defaults.queue_max`.
    pub field: String,
    /// The accepted value; `None` if the exception was removed.
    pub theirs: Option<Value>,
    /// The author of the accepted value.
    pub their_author: String,
    /// The revision that set the accepted value.
    pub their_revision: u64,
    /// The requested value; `None` if the exception was to be removed.
    pub yours: Option<Value>,
}

/// Why a change is refused; no part of it is applied.
#[derive(Clone, Debug, Deserialize, Error, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "error")]
pub enum EditError {
    /// Fields of the change or of the resulting document are invalid.
    #[error("invalid fields:{}", indented_lines(problems))]
    BadFields {
        /// Every invalid field.
        problems: Vec<FieldProblem>,
    },
    /// Another change was accepted under the same id.
    #[error(
        "change id {change_id} was already used by another change, accepted as revision {revision}"
    )]
    ChangeIdTaken {
        /// The id of both changes.
        change_id: String,
        /// The revision that the other change produced.
        revision: u64,
    },
    /// Other changes of the same fields were accepted since the author had read.
    #[error("other changes edited the same fields:{}", indented_lines(conflicts))]
    Conflict {
        /// Every conflicting field, with both values.
        conflicts: Vec<FieldConflict>,
    },
    /// The change is based on a revision that does not exist yet.
    #[error("the change is based on revision {based_on}, but the latest is {revision}")]
    #[serde(rename = "not_yet")]
    UnknownRevision {
        /// The revision that the change is based on.
        based_on: u64,
        /// The latest revision.
        revision: u64,
    },
    /// The document would exceed its maximum size.
    #[error("the document would grow to {document_bytes} bytes; the maximum is {max_bytes}")]
    TooLarge {
        /// The document's size with the change.
        document_bytes: usize,
        /// The maximum size.
        max_bytes: usize,
    },
    /// The change edits a field without a recorded last edit, and removals of exceptions since
    /// `based_on` are no longer recorded, so a conflict with a removal can't be ruled out. The
    /// author must read the document again.
    #[error("{field} may have been removed since revision {based_on}; read the document again")]
    #[serde(rename = "too_old")]
    BaseTooOld {
        /// The field's path.
        field: String,
        /// The revision that the change is based on.
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
        let value_or_removed = |value: &Option<Value>| {
            value
                .as_ref()
                .map_or_else(|| "removed".to_owned(), Value::to_string)
        };
        write!(
            f,
            "{}: {} by {} in revision {}, {} by you",
            self.field,
            value_or_removed(&self.theirs),
            self.their_author,
            self.their_revision,
            value_or_removed(&self.yours)
        )
    }
}

/// Formats each item on a line of its own, indented.
fn indented_lines(items: &[impl fmt::Display]) -> String {
    let lines: Vec<String> = items.iter().map(|item| format!("\n  {item}")).collect();
    lines.concat()
}
