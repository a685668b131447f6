//! Applying a change to a document: merged with what others changed since, or refused whole.

use serde_json::Value;

use crate::{
    change::{
        ChangeRecord, ChangeRequest, Edit, EditError, FieldConflict, FieldEdit, FieldProblem,
    },
    fleet::{Exception, FleetDocument, Scope},
    queries::check_document::{check_document, check_scopes},
};

/// The platform holds values up to a megabyte; the rest is room for the store's own fields.
pub const DOCUMENT_MAX_BYTES: usize = 900_000;
/// History beyond this is dropped, oldest first. Every process reads the document at each
/// revision, so that the history's size is paid for many times over.
pub const HISTORY_MAX_BYTES: usize = 128 * 1024;
/// Removed exceptions that are remembered, so that an edit of one that is based on an old
/// revision is a conflict and not a surprise.
const REMOVALS_MAX: usize = 256;
const TEXT_MAX_BYTES: usize = 4096;

/// What became of a change that was not refused.
#[derive(Clone, Debug, PartialEq)]
pub enum Applied {
    /// It had been accepted before, as this revision.
    AlreadyAccepted(u64),
    /// The document with the change, one revision up.
    NewRevision(Box<FleetDocument>),
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
            Ok(Applied::AlreadyAccepted(record.revision))
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
    let problems = check_changed(&next, change);
    if !problems.is_empty() {
        return Err(EditError::BadFields { problems });
    }
    note_last_edits(&mut next, change);
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
    Ok(Applied::NewRevision(Box::new(next)))
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

/// Checks what the change touches. A default holds in every scope; an exception in one.
fn check_changed(document: &FleetDocument, change: &ChangeRequest) -> Vec<FieldProblem> {
    let touched: Option<Vec<&Scope>> = change
        .edits
        .iter()
        .map(|edit| edit.target().scope)
        .collect();
    match touched {
        Some(scopes) => check_scopes(document, |scope| scopes.contains(&scope)),
        None => check_document(document),
    }
}

fn problem(field: &str, detail: &str) -> FieldProblem {
    FieldProblem {
        field: field.to_owned(),
        detail: detail.to_owned(),
    }
}

fn check_base(document: &FleetDocument, change: &ChangeRequest) -> Result<(), EditError> {
    let based_on = change.based_on;
    if based_on > document.revision {
        return Err(EditError::UnknownRevision {
            based_on,
            revision: document.revision,
        });
    }
    if based_on >= document.removals_forgotten_revision {
        return Ok(());
    }
    let forgotten = change
        .edits
        .iter()
        .find(|edit| edit.target().scope.is_some() && last_edit(document, edit).is_none());
    match forgotten {
        Some(edit) => Err(EditError::BaseTooOld {
            field: edit.target().to_string(),
            based_on,
        }),
        None => Ok(()),
    }
}

/// The last edit of the field that `edit` changes.
fn last_edit<'a>(document: &'a FleetDocument, edit: &Edit) -> Option<&'a FieldEdit> {
    let mut latest_first = document.last_edits.iter().rev();
    latest_first.find(|last| last.edit.target() == edit.target())
}

fn conflicts_of(document: &FleetDocument, change: &ChangeRequest) -> Vec<FieldConflict> {
    let mut conflicts = Vec::new();
    for edit in &change.edits {
        if let Some(last) = last_edit(document, edit)
            && last.revision > change.based_on
            && last.edit != *edit
        {
            conflicts.push(FieldConflict {
                field: edit.target().to_string(),
                theirs: last.edit.value().cloned(),
                their_author: last.author.clone(),
                their_revision: last.revision,
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

fn remove_exception(document: &mut FleetDocument, scope: &Scope, field: &str) -> bool {
    let before = document.exceptions.len();
    document
        .exceptions
        .retain(|exception| exception.scope != *scope || exception.field != field);
    document.exceptions.len() < before
}

fn note_last_edits(document: &mut FleetDocument, change: &ChangeRequest) {
    let is_edited = |last: &FieldEdit| {
        let mut edits = change.edits.iter();
        edits.any(|edit| edit.target() == last.edit.target())
    };
    document.last_edits.retain(|last| !is_edited(last));
    let revision = document.revision;
    document
        .last_edits
        .extend(change.edits.iter().map(|edit| FieldEdit {
            revision,
            author: change.author.clone(),
            edit: edit.clone(),
        }));
    let is_removal = |last: &FieldEdit| last.edit.value().is_none();
    let removals = document.last_edits.iter().filter(|last| is_removal(last));
    if removals.count() > REMOVALS_MAX
        && let Some(oldest) = document.last_edits.iter().position(is_removal)
    {
        let forgotten = document.last_edits[oldest].revision;
        document.removals_forgotten_revision = forgotten;
        document
            .last_edits
            .retain(|last| !is_removal(last) || last.revision > forgotten);
    }
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

/// About the size of a record as JSON, without writing it: this runs for every record at
/// every change.
fn record_bytes(record: &ChangeRecord) -> usize {
    let texts = record.change_id.len() + record.author.len() + record.reason.len();
    let edits = record.edits.iter().map(edit_bytes);
    RECORD_FRAME_BYTES + texts + edits.sum::<usize>()
}

fn edit_bytes(edit: &Edit) -> usize {
    let target = edit.target();
    let name = target.scope.map_or(0, |scope| scope.name.len());
    let value = edit.value().map_or(0, value_bytes);
    EDIT_FRAME_BYTES + name + target.field.len() + value
}

fn value_bytes(value: &Value) -> usize {
    match value {
        Value::Bool(_) | Value::Null | Value::Number(_) => 24,
        other => other.to_string().len(),
    }
}

/// Names and marks of a record's fields, and its numbers at their longest.
const RECORD_FRAME_BYTES: usize = 120;
const EDIT_FRAME_BYTES: usize = 150;

fn check_size(document: &FleetDocument) -> Result<(), EditError> {
    let history: usize = document.changes.iter().map(record_bytes).sum();
    let last_edits = document.last_edits.iter();
    let last_edits: usize = last_edits
        .map(|last| RECORD_FRAME_BYTES + edit_bytes(&last.edit))
        .sum();
    let texts = |e: &Exception| e.reason.len() + e.author.len() + e.scope.name.len();
    let exceptions = document.exceptions.iter();
    let exceptions: usize = exceptions
        .map(|e| EDIT_FRAME_BYTES + texts(e) + value_bytes(&e.value))
        .sum();
    let rest = last_edits + exceptions;
    // The estimate spares writing the document out while it is far from the limit.
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
