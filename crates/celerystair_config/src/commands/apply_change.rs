//! Applying a change to a document: merged with what others changed since, or refused whole.

use serde_json::Value;

use crate::{
    change::{ChangeRecord, ChangeRequest, Edit, EditError, FieldConflict, FieldProblem},
    fleet::{Exception, FleetDocument},
    queries::check_document::check_document,
};

/// The platform holds values up to a megabyte; the rest is room for the store's own fields.
pub const DOCUMENT_MAX_BYTES: usize = 900_000;
/// History beyond this is dropped, oldest first. Every process reads the document at each
/// revision, so that the history's size is paid for many times over.
pub const HISTORY_MAX_BYTES: usize = 128 * 1024;
const TEXT_MAX_BYTES: usize = 4096;

/// What became of a change that was not refused.
#[derive(Clone, Debug, PartialEq)]
pub enum Applied {
    /// It had been accepted before, as this revision.
    Already(u64),
    /// The document with the change, one revision up.
    New(Box<FleetDocument>),
}

/// Applies `change` to `document`.
///
/// Edits of fields that nobody else has changed since `based_on` merge. An edit that equals
/// the other's is no conflict.
///
/// # Errors
/// [`EditError`]: no part of the change is in force.
pub fn apply_change(
    document: &FleetDocument,
    change: &ChangeRequest,
    now_unix_ms: u64,
) -> Result<Applied, EditError> {
    if let Some(record) = record_of(document, &change.change_id) {
        return if record.edits == change.edits && record.author == change.author {
            Ok(Applied::Already(record.revision))
        } else {
            Err(EditError::ChangeIdTaken {
                change_id: change.change_id.clone(),
                revision: record.revision,
            })
        };
    }
    check_request(change)?;
    check_base(document, change)?;
    let conflicts = conflicts_of(document, change);
    if !conflicts.is_empty() {
        return Err(EditError::Conflict { conflicts });
    }
    let mut next = document.clone();
    next.revision += 1;
    for edit in &change.edits {
        apply_edit(&mut next, change, edit)?;
    }
    let problems = check_document(&next);
    if !problems.is_empty() {
        return Err(EditError::BadFields { problems });
    }
    next.changes.push(ChangeRecord {
        revision: next.revision,
        change_id: change.change_id.clone(),
        author: change.author.clone(),
        reason: change.reason.clone(),
        accepted_unix_ms: now_unix_ms,
        edits: change.edits.clone(),
    });
    drop_old_history(&mut next);
    check_size(&next)?;
    Ok(Applied::New(Box::new(next)))
}

/// The record of the change with this id, if the document still has it.
pub fn record_of<'a>(document: &'a FleetDocument, change_id: &str) -> Option<&'a ChangeRecord> {
    document
        .changes
        .iter()
        .rev()
        .find(|record| record.change_id == change_id)
}

fn check_request(change: &ChangeRequest) -> Result<(), EditError> {
    let mut problems = Vec::new();
    let texts = [
        ("change_id", &change.change_id),
        ("author", &change.author),
        ("reason", &change.reason),
    ];
    for (field, text) in texts {
        if text.trim().is_empty() {
            problems.push(problem(field, "must not be empty"));
        } else if text.len() > TEXT_MAX_BYTES {
            problems.push(problem(field, "is too long"));
        }
    }
    if change.edits.is_empty() {
        problems.push(problem("edits", "must not be empty"));
    }
    for (index, edit) in change.edits.iter().enumerate() {
        let target = edit.target();
        if change.edits[..index].iter().any(|e| e.target() == target) {
            problems.push(problem(
                &target.to_string(),
                "is edited twice in one change",
            ));
        }
    }
    if problems.is_empty() {
        return Ok(());
    }
    Err(EditError::BadFields { problems })
}

fn problem(field: &str, detail: &str) -> FieldProblem {
    FieldProblem {
        field: field.to_owned(),
        detail: detail.to_owned(),
    }
}

/// Refuses a base whose later changes are not all known.
fn check_base(document: &FleetDocument, change: &ChangeRequest) -> Result<(), EditError> {
    let based_on = change.based_on;
    if based_on > document.revision {
        return Err(EditError::NotYet {
            based_on,
            revision: document.revision,
        });
    }
    let oldest = document
        .changes
        .first()
        .map_or(document.revision + 1, |record| record.revision);
    if based_on + 1 < oldest {
        return Err(EditError::TooOld { based_on, oldest });
    }
    Ok(())
}

fn conflicts_of(document: &FleetDocument, change: &ChangeRequest) -> Vec<FieldConflict> {
    let since = |record: &&ChangeRecord| record.revision > change.based_on;
    let mut conflicts = Vec::new();
    for edit in &change.edits {
        let records = document.changes.iter().rev().filter(since);
        let latest = records
            .flat_map(|record| record.edits.iter().map(move |other| (record, other)))
            .find(|(_, other)| other.target() == edit.target());
        if let Some((record, other)) = latest
            && other != edit
        {
            conflicts.push(FieldConflict {
                field: edit.target().to_string(),
                theirs: other.value().cloned(),
                their_author: record.author.clone(),
                their_revision: record.revision,
                yours: edit.value().cloned(),
            });
        }
    }
    conflicts
}

fn apply_edit(
    document: &mut FleetDocument,
    change: &ChangeRequest,
    edit: &Edit,
) -> Result<(), EditError> {
    let bad = |detail: String| EditError::BadFields {
        problems: vec![problem(&edit.target().to_string(), &detail)],
    };
    match edit {
        Edit::SetDefault { field, value } => {
            document.defaults = document
                .defaults
                .with_field(field, value)
                .map_err(|error| bad(error.to_string()))?;
        }
        Edit::SetException {
            scope,
            field,
            value,
            from_unix_ms,
            until_unix_ms,
        } => {
            remove_exception(document, scope, field);
            document.exceptions.push(Exception {
                scope: scope.clone(),
                field: field.clone(),
                value: value.clone(),
                reason: change.reason.clone(),
                author: change.author.clone(),
                from_unix_ms: *from_unix_ms,
                until_unix_ms: *until_unix_ms,
            });
        }
        Edit::RemoveException { scope, field } => {
            if !remove_exception(document, scope, field) {
                return Err(bad("there is no such exception".to_owned()));
            }
        }
    }
    Ok(())
}

fn remove_exception(
    document: &mut FleetDocument,
    scope: &crate::fleet::Scope,
    field: &str,
) -> bool {
    let before = document.exceptions.len();
    document
        .exceptions
        .retain(|exception| exception.scope != *scope || exception.field != field);
    document.exceptions.len() < before
}

/// Drops the oldest changes beyond the history's size; the newest always stays, for it
/// settles a lost answer.
fn drop_old_history(document: &mut FleetDocument) {
    let mut kept_bytes = 0;
    let mut kept = 0;
    for record in document.changes.iter().rev() {
        kept_bytes += record_bytes(record);
        if kept > 0 && kept_bytes > HISTORY_MAX_BYTES {
            break;
        }
        kept += 1;
    }
    document.changes.drain(..document.changes.len() - kept);
}

/// At least the size of a record as JSON, without writing it: this runs for every record at
/// every change.
fn record_bytes(record: &ChangeRecord) -> usize {
    let texts = record.change_id.len() + record.author.len() + record.reason.len();
    let edits = record.edits.iter().map(edit_bytes);
    RECORD_FRAME_BYTES + ESCAPED * texts + edits.sum::<usize>()
}

fn edit_bytes(edit: &Edit) -> usize {
    let target = edit.target();
    let name = target.scope.map_or(0, |scope| scope.name.len());
    let value = edit.value().map_or(0, value_bytes);
    EDIT_FRAME_BYTES + ESCAPED * (name + target.field.len()) + value
}

fn value_bytes(value: &Value) -> usize {
    match value {
        Value::Bool(_) | Value::Null | Value::Number(_) => 24,
        other => other.to_string().len(),
    }
}

/// Names and marks of a record's fields, and its numbers at their longest.
const RECORD_FRAME_BYTES: usize = 150;
const EDIT_FRAME_BYTES: usize = 160;
/// A quote or a line break in a text takes two bytes in JSON.
const ESCAPED: usize = 2;

fn check_size(document: &FleetDocument) -> Result<(), EditError> {
    let history: usize = document.changes.iter().map(record_bytes).sum();
    let texts = |e: &Exception| e.reason.len() + e.author.len() + e.scope.name.len();
    let exceptions = document.exceptions.iter();
    let rest: usize = exceptions
        .map(|e| EDIT_FRAME_BYTES + ESCAPED * texts(e) + value_bytes(&e.value))
        .sum();
    if 2 * (history + rest) < DOCUMENT_MAX_BYTES {
        return Ok(());
    }
    let document_bytes = serde_json::to_vec(document).map_or(usize::MAX, |bytes| bytes.len());
    if document_bytes <= DOCUMENT_MAX_BYTES {
        return Ok(());
    }
    Err(EditError::TooLarge {
        document_bytes,
        max_bytes: DOCUMENT_MAX_BYTES,
    })
}
