//! Validation of a configuration document. `celerystair check`, the administration API and every
//! process that puts a document in force use it.

use celerystair_core::prelude::*;

use crate::{
    change::FieldProblem,
    fleet::{Defaults, FleetDocument, Scope, ScopeKind},
    read::{Checked, Problems},
};

impl Checked for FleetDocument {
    fn check(&self, problems: &mut Problems) {
        for problem in check_document(self) {
            problems.require(false, &problem.field, problem.detail);
        }
    }
}

/// Longest duration that a field may have: a leap year.
const INTERVAL_MAX_MS: u64 = 366 * 24 * 3600 * 1000;
const SLOTS_MAX: u32 = 1000;

/// Returns every invalid field of `document`; empty if it can be put in force.
pub fn check_document(document: &FleetDocument) -> Vec<FieldProblem> {
    check_scopes(document, |_| true)
}

/// Returns every invalid field of the defaults, and of the exceptions in scopes for which
/// `is_checked` returns true. For a document whose other scopes were checked before.
pub fn check_scopes(
    document: &FleetDocument,
    is_checked: impl Fn(&Scope) -> bool,
) -> Vec<FieldProblem> {
    let mut problems = Vec::new();
    for (field, detail) in check_defaults(&document.defaults) {
        problems.push(FieldProblem {
            field: format!("defaults.{field}"),
            detail: detail.to_owned(),
        });
    }
    if document.defaults.drain {
        problems.push(FieldProblem {
            field: "defaults.drain".to_owned(),
            detail: "would drain every upstream; set an exception for one upstream instead"
                .to_owned(),
        });
    }
    check_exceptions(document, is_checked, &mut problems);
    problems
}

/// Returns the invalid fields of `values`, with what is wrong; some rules compare two fields.
fn check_defaults(values: &Defaults) -> Vec<(&'static str, &'static str)> {
    let is_weight = |weight: f64| weight.is_finite() && weight >= 0.0;
    let is_interval = |interval_ms: u64| (1..=INTERVAL_MAX_MS).contains(&interval_ms);
    let checks = [
        (
            values.slots_per_model <= SLOTS_MAX,
            "slots_per_model",
            "must be at most 1000",
        ),
        (
            is_weight(values.cold_start_weight),
            "cold_start_weight",
            "must be 0 or more",
        ),
        (
            is_weight(values.idle_weight),
            "idle_weight",
            "must be 0 or more",
        ),
        (
            values.keep_alive_min_ms <= values.keep_alive_max_ms,
            "keep_alive_min_ms",
            "must be at most keep_alive_max_ms",
        ),
        (
            values.keep_alive_max_ms <= INTERVAL_MAX_MS,
            "keep_alive_max_ms",
            "must be at most a year",
        ),
        (
            is_interval(values.request_timeout_ms),
            "request_timeout_ms",
            "must be from 1 ms to a year",
        ),
        (
            values.request_timeout_ms <= values.request_timeout_max_ms,
            "request_timeout_ms",
            "must be at most request_timeout_max_ms",
        ),
        (
            is_interval(values.request_timeout_max_ms),
            "request_timeout_max_ms",
            "must be from 1 ms to a year",
        ),
        (values.queue_max > 0, "queue_max", "must be over 0"),
        (
            values.retry_budget_percent <= 100,
            "retry_budget_percent",
            "must be at most 100",
        ),
        (
            is_interval(values.journal_retention_ms),
            "journal_retention_ms",
            "must be from 1 ms to a year",
        ),
        (
            is_interval(values.suspect_expiry_ms),
            "suspect_expiry_ms",
            "must be from 1 ms to a year",
        ),
    ];
    let failed = checks.into_iter().filter(|(is_valid, ..)| !is_valid);
    failed.map(|(_, field, detail)| (field, detail)).collect()
}

/// Checks the exceptions of one scope together, because they apply together.
fn check_exceptions(
    document: &FleetDocument,
    is_checked: impl Fn(&Scope) -> bool,
    problems: &mut Vec<FieldProblem>,
) {
    let mut by_scope: HashMap<&Scope, Defaults> = HashMap::default();
    let mut seen = HashSet::default();
    for exception in document.exceptions.iter().filter(|e| is_checked(&e.scope)) {
        let scope = &exception.scope;
        let mut report = |field: &str, detail: String| {
            problems.push(FieldProblem {
                field: format!("{scope}: {field}"),
                detail,
            });
        };
        let field = exception.field.as_str();
        if scope.name.is_empty() {
            report(field, "the scope's name must not be empty".to_owned());
        }
        if exception.reason.trim().is_empty() {
            report(field, "an exception needs a reason".to_owned());
        }
        if exception.author.trim().is_empty() {
            report(field, "an exception needs an author".to_owned());
        }
        if let (Some(from), Some(until)) = (exception.from_unix_ms, exception.until_unix_ms)
            && from >= until
        {
            report(field, "must end after it starts".to_owned());
        }
        if !seen.insert((scope, field)) {
            report(
                field,
                "has more than one exception in this scope".to_owned(),
            );
        }
        if field == "drain" && !matches!(scope.kind, ScopeKind::FailureDomain | ScopeKind::Upstream)
        {
            report(
                field,
                "can be set for an upstream or a failure domain only".to_owned(),
            );
        }
        let values = by_scope
            .entry(scope)
            .or_insert_with(|| document.defaults.clone());
        match values.with_field(field, &exception.value) {
            Ok(changed) => *values = changed,
            Err(error) => report(field, error.to_string()),
        }
    }
    for (scope, values) in by_scope {
        for (field, detail) in check_defaults(&values) {
            // A default that is invalid by itself is reported once, with the defaults.
            if !is_invalid_default(document, field) {
                problems.push(FieldProblem {
                    field: format!("{scope}: {field}"),
                    detail: detail.to_owned(),
                });
            }
        }
    }
}

fn is_invalid_default(document: &FleetDocument, field: &str) -> bool {
    let invalid = check_defaults(&document.defaults);
    invalid.iter().any(|(name, _)| *name == field)
}
