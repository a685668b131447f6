//! Applying a change to a document: merges it with changes accepted since its base revision, or
//! refuses it as a whole.

use serde_json::Value;

use crate::{
    change::{
        ChangeRecord, ChangeRequest, Edit, EditError, FieldConflict, FieldEdit, FieldProblem,
    },
    fleet::{Exception, FleetDocument, Scope},
    queries::check_document::{check_document, check_scopes},
};

/// Maximum size of the document. The platform stores values of up to a megabyte; the difference is
/// left for the store's own fields.
pub const DOCUMENT_MAX_BYTES: usize = 900_000;
/// Maximum size of the history; the oldest changes are dropped first. Every process reads the whole
/// document at each revision, and pays for a longer history each time.
pub const HISTORY_MAX_BYTES: usize = 128 * 1024;
/// Maximum removals of exceptions that the document records. An edit of a removed exception that is based
/// on a revision before its removal is then reported as a conflict.
const REMOVALS_MAX: usize = 256;
/// Maximum size of a change's id, author and reason each.
const TEXT_MAX_BYTES: usize = 4096;

/// The result of applying a change that was not refused.
#[derive(Clone, Debug, PartialEq)]
pub enum Applied {
    /// The change was accepted before, as this revision.
    AlreadyAccepted(u64),
    /// The document with the change applied, at the next revision.
    NewRevision(Box<FleetDocument>),
}

/// Applies `change` to `document`.
///
/// Edits of fields that have not changed since `based_on` are merged. An edit that equals the
/// field's last edit is not a conflict.
///
/// # Errors
/// [`EditError`] if the change is refused; no part of it is applied.
pub fn apply_change(
    document: &FleetDocument,
    change: &ChangeRequest,
    now_unix_ms: u64,
) -> Result<Applied, EditError> {
    if let Some(record) = find_record(document, &change.change_id) {
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
    let conflicts = find_conflicts(document, change);
    if !conflicts.is_empty() {
        return Err(EditError::Conflict { conflicts });
    }
    let mut next = document.clone();
    next.revision += 1;
    for edit in &change.edits {
        apply_edit(&mut next, change, edit)?;
    }
    let problems = check_edited_scopes(&next, change);
    if !problems.is_empty() {
        return Err(EditError::BadFields { problems });
    }
    record_last_edits(&mut next, change);
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

/// Returns the record of the change with this id, if the history still contains it.
pub fn find_record<'a>(document: &'a FleetDocument, change_id: &str) -> Option<&'a ChangeRecord> {
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
            problems.push(problem(field, "is longer than 4096 bytes"));
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
                "is edited more than once in the change",
            ));
        }
    }
    if problems.is_empty() {
        return Ok(());
    }
    Err(EditError::BadFields { problems })
}

/// Checks the scopes that the change edits: all of them if it sets a default, because a default
/// applies in every scope.
fn check_edited_scopes(document: &FleetDocument, change: &ChangeRequest) -> Vec<FieldProblem> {
    let edited: Option<Vec<&Scope>> = change
        .edits
        .iter()
        .map(|edit| edit.target().scope)
        .collect();
    match edited {
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

/// Refuses a base revision that does not exist yet, or that is too old to detect conflicts with
/// removed exceptions.
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
    let undecidable = change
        .edits
        .iter()
        .find(|edit| edit.target().scope.is_some() && last_edit(document, edit).is_none());
    match undecidable {
        Some(edit) => Err(EditError::BaseTooOld {
            field: edit.target().to_string(),
            based_on,
        }),
        None => Ok(()),
    }
}

/// Returns the recorded last edit of the field that `edit` changes.
fn last_edit<'a>(document: &'a FleetDocument, edit: &Edit) -> Option<&'a FieldEdit> {
    let mut latest_first = document.last_edits.iter().rev();
    latest_first.find(|last| last.edit.target() == edit.target())
}

fn find_conflicts(document: &FleetDocument, change: &ChangeRequest) -> Vec<FieldConflict> {
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
                return Err(bad("the exception does not exist".to_owned()));
            }
        }
    }
    Ok(())
}

/// Returns whether an exception was removed.
fn remove_exception(document: &mut FleetDocument, scope: &Scope, field: &str) -> bool {
    let before = document.exceptions.len();
    document
        .exceptions
        .retain(|exception| exception.scope != *scope || exception.field != field);
    document.exceptions.len() < before
}

/// Records the change's edits as the last ones of their fields, and drops the oldest removals
/// beyond [`REMOVALS_MAX`].
fn record_last_edits(document: &mut FleetDocument, change: &ChangeRequest) {
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

/// Drops the oldest changes beyond [`HISTORY_MAX_BYTES`]. The newest always stays, so that an
/// author whose answer was lost can send the change again and learn its outcome.
fn drop_old_history(document: &mut FleetDocument) {
    let mut kept_bytes = 0;
    let mut kept = 0;
    for record in document.changes.iter().rev() {
        kept_bytes += estimated_record_bytes(record);
        if kept > 0 && kept_bytes > HISTORY_MAX_BYTES {
            break;
        }
        kept += 1;
    }
    document.changes.drain(..document.changes.len() - kept);
}

/// Estimates the size of a record as JSON. It is not serialised, because this runs for every record
/// at every change.
fn estimated_record_bytes(record: &ChangeRecord) -> usize {
    let texts = record.change_id.len() + record.author.len() + record.reason.len();
    let edits = record.edits.iter().map(estimated_edit_bytes);
    RECORD_OVERHEAD_BYTES + texts + edits.sum::<usize>()
}

fn estimated_edit_bytes(edit: &Edit) -> usize {
    let target = edit.target();
    let name = target.scope.map_or(0, |scope| scope.name.len());
    let value = edit.value().map_or(0, estimated_value_bytes);
    EDIT_OVERHEAD_BYTES + name + target.field.len() + value
}

fn estimated_value_bytes(value: &Value) -> usize {
    match value {
        Value::Bool(_) | Value::Null | Value::Number(_) => 24,
        other => other.to_string().len(),
    }
}

/// JSON field names, punctuation and longest numbers of a record, without its texts and edits.
const RECORD_OVERHEAD_BYTES: usize = 120;
/// The same for an edit, without its scope's name, its field and its value.
const EDIT_OVERHEAD_BYTES: usize = 150;

fn check_size(document: &FleetDocument) -> Result<(), EditError> {
    let history: usize = document.changes.iter().map(estimated_record_bytes).sum();
    let last_edits = document.last_edits.iter();
    let last_edits: usize = last_edits
        .map(|last| RECORD_OVERHEAD_BYTES + estimated_edit_bytes(&last.edit))
        .sum();
    let texts = |e: &Exception| e.reason.len() + e.author.len() + e.scope.name.len();
    let exceptions = document.exceptions.iter();
    let exceptions: usize = exceptions
        .map(|e| EDIT_OVERHEAD_BYTES + texts(e) + estimated_value_bytes(&e.value))
        .sum();
    let rest = last_edits + exceptions;
    // The document is serialised only if the estimate comes near the limit.
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
