//! Applying changes to a document, against an oracle that keeps every accepted change.

mod support;

use std::collections::BTreeMap;

use celerystair::config::{
    change::{ChangeRequest, Edit},
    commands::apply_change::HISTORY_MAX_BYTES,
    prelude::*,
};
use serde_json::{Value, json};
use support::config::{any_change, for_seeds};

/// Every accepted change with its revision; knows nothing of documents.
#[derive(Default)]
struct Oracle {
    accepted: Vec<(u64, ChangeRequest)>,
}

impl Oracle {
    /// Whether another change of the same field came after the base.
    fn conflicts(&self, change: &ChangeRequest) -> bool {
        change.edits.iter().any(|edit| {
            let since = self.accepted.iter().filter(|(r, _)| *r > change.based_on);
            let mut meeting = since
                .flat_map(|(_, other)| &other.edits)
                .filter(|other| other.target() == edit.target());
            meeting.next_back().is_some_and(|last| last != edit)
        })
    }

    /// The exceptions and defaults that must be in force.
    fn values(&self) -> BTreeMap<String, Value> {
        let mut values = BTreeMap::new();
        for edit in self.accepted.iter().flat_map(|(_, change)| &change.edits) {
            match edit.value() {
                Some(value) => values.insert(edit.target().to_string(), value.clone()),
                None => values.remove(&edit.target().to_string()),
            };
        }
        values
    }
}

fn values_of(
    document: &FleetDocument,
    oracle: &BTreeMap<String, Value>,
) -> BTreeMap<String, Value> {
    let mut values = BTreeMap::new();
    for exception in &document.exceptions {
        let name = format!("{}: {}", exception.scope, exception.field);
        values.insert(name, exception.value.clone());
    }
    for (field, value) in document.defaults.to_fields() {
        let name = format!("defaults.{field}");
        if oracle.contains_key(&name) {
            values.insert(name, value);
        }
    }
    values
}

#[test]
fn what_was_accepted_is_in_the_document_once_and_nothing_else_is() {
    for_seeds(300, |u| {
        let mut document = FleetDocument::default();
        let mut oracle = Oracle::default();
        let mut sent: Vec<ChangeRequest> = Vec::new();
        for number in 0..u.int_in_range(1..=30)? {
            let change = if !sent.is_empty() && u.ratio(1, 4)? {
                u.choose(&sent)?.clone()
            } else {
                let based_on = u.int_in_range(0..=document.revision)?;
                any_change(u, format!("c{number}"), based_on)?
            };
            sent.push(change.clone());
            let was = oracle
                .accepted
                .iter()
                .find(|(_, c)| c.change_id == change.change_id);
            match apply_change(&document, &change, 0) {
                Ok(Applied::AlreadyAccepted(revision)) => {
                    assert_eq!(was.map(|(r, _)| *r), Some(revision), "settled by its id");
                }
                Ok(Applied::NewRevision(next)) => {
                    assert!(was.is_none(), "{} took effect twice", change.change_id);
                    assert!(!oracle.conflicts(&change), "a conflict was accepted");
                    assert_eq!(next.revision, document.revision + 1);
                    oracle.accepted.push((next.revision, change));
                    document = *next;
                }
                Err(EditError::Conflict { .. }) => {
                    assert!(was.is_none() && oracle.conflicts(&change), "no conflict");
                }
                Err(EditError::BadFields { problems }) => {
                    let removes = change
                        .edits
                        .iter()
                        .any(|e| matches!(e, Edit::RemoveException { .. }));
                    assert!(
                        was.is_none() && removes,
                        "refused for no reason: {problems:?}"
                    );
                }
                Err(error) => panic!("refused for no reason: {error}"),
            }
            let expected = oracle.values();
            assert_eq!(values_of(&document, &expected), expected);
        }
        Ok(())
    });
}

fn change(change_id: &str, based_on: u64, edits: Vec<Edit>) -> ChangeRequest {
    ChangeRequest {
        change_id: change_id.to_owned(),
        based_on,
        author: "ada".to_owned(),
        reason: "a test".to_owned(),
        edits,
    }
}

fn set_default(field: &str, value: Value) -> Edit {
    Edit::SetDefault {
        field: field.to_owned(),
        value,
    }
}

fn set_exception(kind: ScopeKind, field: &str, value: Value) -> Edit {
    Edit::SetException {
        scope: Scope {
            kind,
            name: "x".to_owned(),
        },
        field: field.to_owned(),
        value,
        from_unix_ms: None,
        until_unix_ms: None,
    }
}

fn accept(document: &FleetDocument, change: &ChangeRequest) -> FleetDocument {
    match apply_change(document, change, 0) {
        Ok(Applied::NewRevision(next)) => *next,
        other => panic!("not accepted: {other:?}"),
    }
}

#[test]
fn a_bad_edit_refuses_the_batch_and_every_bad_field_is_named() {
    let edits = vec![
        set_default("queue_max", json!(100)),
        set_default("retry_budget_percent", json!(300)),
        set_exception(ScopeKind::Model, "drain", json!(true)),
        set_exception(ScopeKind::Kind, "queue_max", json!(0)),
    ];
    let refused = apply_change(&FleetDocument::default(), &change("c", 0, edits), 0);
    let Err(EditError::BadFields { problems }) = refused else {
        panic!("not refused: {refused:?}");
    };
    let mut fields: Vec<&str> = problems.iter().map(|p| p.field.as_str()).collect();
    fields.sort_unstable();
    let expected = [
        "defaults.retry_budget_percent",
        "kind x: queue_max",
        "model x: drain",
    ];
    assert_eq!(fields, expected);
}

#[test]
fn a_field_that_does_not_exist_or_has_another_type_is_refused() {
    for (field, value) in [("queue_maximum", json!(1)), ("queue_max", json!("many"))] {
        let edits = vec![set_default(field, value)];
        let refused = apply_change(&FleetDocument::default(), &change("c", 0, edits), 0);
        assert!(
            matches!(refused, Err(EditError::BadFields { .. })),
            "{refused:?}"
        );
    }
}

#[test]
fn a_conflict_names_both_values_and_the_other_author() {
    let first = accept(
        &FleetDocument::default(),
        &change("c1", 0, vec![set_default("queue_max", json!(7))]),
    );
    let other = accept(
        &first,
        &change("c2", 0, vec![set_default("kind_weight", json!(2))]),
    );
    let mut late = change("c3", 0, vec![set_default("queue_max", json!(8))]);
    late.author = "bo".to_owned();
    let Err(EditError::Conflict { conflicts }) = apply_change(&other, &late, 0) else {
        panic!("a conflict was accepted");
    };
    assert_eq!(conflicts[0].theirs, Some(json!(7)));
    assert_eq!(conflicts[0].yours, Some(json!(8)));
    assert_eq!(conflicts[0].their_author, "ada");
    assert_eq!(conflicts[0].their_revision, 1);
}

#[test]
fn the_history_is_bounded_and_a_conflict_beyond_it_is_still_found() {
    let mut document = FleetDocument::default();
    for number in 0..2000 {
        let edits = vec![set_default("queue_max", json!(number + 1))];
        let id = format!("c{number}");
        document = accept(&document, &change(&id, document.revision, edits));
    }
    let history: usize = document
        .changes
        .iter()
        .map(|record| serde_json::to_vec(record).expect("JSON").len())
        .sum();
    assert!(history <= HISTORY_MAX_BYTES, "{history} bytes of history");
    assert!(
        document.changes.len() > 340,
        "a released backlog can be settled"
    );
    let old = change("old", 0, vec![set_default("queue_max", json!(1))]);
    let Err(EditError::Conflict { conflicts }) = apply_change(&document, &old, 0) else {
        panic!("a conflict was accepted");
    };
    assert_eq!(conflicts[0].theirs, Some(json!(2000)));
}

#[test]
fn a_backlog_longer_than_the_history_is_accepted_from_one_base() {
    let mut document = FleetDocument::default();
    for number in 0..1000 {
        let edit = Edit::SetException {
            scope: Scope {
                kind: ScopeKind::Model,
                name: format!("m{number}"),
            },
            field: "queue_max".to_owned(),
            value: json!(3),
            from_unix_ms: None,
            until_unix_ms: None,
        };
        document = accept(&document, &change(&format!("c{number}"), 0, vec![edit]));
    }
    assert_eq!(document.exceptions.len(), 1000);
    let bytes = serde_json::to_vec(&document).expect("JSON").len();
    assert!(bytes < 900_000, "{bytes} bytes");
}

#[test]
fn an_edit_based_on_a_time_before_forgotten_removals_is_not_guessed_at() {
    let mut document = FleetDocument::default();
    for number in 0..300 {
        let scope = Scope {
            kind: ScopeKind::Model,
            name: format!("m{number}"),
        };
        let field = "queue_max".to_owned();
        let set = Edit::SetException {
            scope: scope.clone(),
            field: field.clone(),
            value: json!(3),
            from_unix_ms: None,
            until_unix_ms: None,
        };
        let base = document.revision;
        document = accept(&document, &change(&format!("s{number}"), base, vec![set]));
        let remove = Edit::RemoveException { scope, field };
        document = accept(
            &document,
            &change(&format!("r{number}"), base + 1, vec![remove]),
        );
    }
    let edits = vec![set_exception(ScopeKind::Model, "queue_max", json!(4))];
    let refused = apply_change(&document, &change("old", 1, edits.clone()), 0);
    assert!(
        matches!(refused, Err(EditError::BaseTooOld { .. })),
        "{refused:?}"
    );
    accept(&document, &change("new", document.revision, edits));
}

#[test]
fn a_document_in_a_file_gets_the_same_check() {
    let text = r#"{"revision": 4, "exceptions": [{
        "scope": {"kind": "kind", "name": "draft"}, "field": "queue_max", "value": 0,
        "reason": "", "author": "ada"}]}"#;
    let error = read_settings::<FleetDocument>("config", text).expect_err("refused");
    let error = error.to_string();
    for expected in ["kind draft: queue_max: must be over 0", "needs a reason"] {
        assert!(error.contains(expected), "{error}");
    }
}
