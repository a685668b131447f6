//! The one check of a document: `celerystair check`, the admin API and every process that
//! loads it use this.

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

/// No delay or time-out in the configuration is longer.
const INTERVAL_MAX_MS: u64 = 366 * 24 * 3600 * 1000;
const SLOTS_MAX: u32 = 1000;

/// Everything that is wrong with `document`; empty if it can be put in force.
pub fn check_document(document: &FleetDocument) -> Vec<FieldProblem> {
    check_scopes(document, |_| true)
}

/// Everything that is wrong with the defaults, and with the exceptions of some scopes; for a
/// document whose other scopes were checked before.
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
            detail: "would drain every upstream; drain one by an exception".to_owned(),
        });
    }
    check_exceptions(document, is_checked, &mut problems);
    problems
}

/// What is wrong with values that are to hold together.
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
            "must not be over keep_alive_max_ms",
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
            "must not be over request_timeout_max_ms",
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
    let failed = checks.into_iter().filter(|(holds, ..)| !holds);
    failed.map(|(_, field, detail)| (field, detail)).collect()
}

/// Exceptions of one scope are checked together, for they hold together.
fn check_exceptions(
    document: &FleetDocument,
    is_checked: impl Fn(&Scope) -> bool,
    problems: &mut Vec<FieldProblem>,
) {
    let mut by_scope: HashMap<&Scope, Defaults> = HashMap::default();
    let mut seen = HashSet::default();
    for exception in document.exceptions.iter().filter(|e| is_checked(&e.scope)) {
        let scope = &exception.scope;
        let mut note = |field: &str, detail: String| {
            problems.push(FieldProblem {
                field: format!("{scope}: {field}"),
                detail,
            });
        };
        let field = exception.field.as_str();
        if scope.name.is_empty() {
            note(field, "the scope has no name".to_owned());
        }
        if exception.reason.trim().is_empty() {
            note(field, "an exception needs a reason".to_owned());
        }
        if exception.author.trim().is_empty() {
            note(field, "an exception needs an author".to_owned());
        }
        if let (Some(from), Some(until)) = (exception.from_unix_ms, exception.until_unix_ms)
            && from >= until
        {
            note(field, "would end before it starts".to_owned());
        }
        if !seen.insert((scope, field)) {
            note(field, "has two exceptions".to_owned());
        }
        if field == "drain" && !matches!(scope.kind, ScopeKind::FailureDomain | ScopeKind::Upstream)
        {
            note(
                field,
                "applies to an upstream or a failure domain".to_owned(),
            );
        }
        let values = by_scope
            .entry(scope)
            .or_insert_with(|| document.defaults.clone());
        match values.with_field(field, &exception.value) {
            Ok(changed) => *values = changed,
            Err(error) => note(field, error.to_string()),
        }
    }
    for (scope, values) in by_scope {
        for (field, detail) in check_defaults(&values) {
            // What is wrong without the exception is reported with the defaults.
            if !is_bad_default(document, field) {
                problems.push(FieldProblem {
                    field: format!("{scope}: {field}"),
                    detail: detail.to_owned(),
                });
            }
        }
    }
}

fn is_bad_default(document: &FleetDocument, field: &str) -> bool {
    let bad = check_defaults(&document.defaults);
    bad.iter().any(|(bad, _)| *bad == field)
}
