//! Invariants of the system, checked against what the stand-ins observed.

use celerystair_standin::witness::Observations;
use thiserror::Error;

use crate::tally::Tally;

/// A violated invariant.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum Violation {
    /// More replicas of a model occupied memory at the same time than its placement allows.
    #[error("{count} replicas of {model} were loaded at once, at most {max_replicas} are allowed")]
    TooManyReplicas {
        /// The model.
        model: String,
        /// Replicas that occupied memory.
        count: u32,
        /// Replicas that the placement allows.
        max_replicas: u32,
    },
    /// Load orders would have overcommitted the memory of an accelerator.
    #[error("{count} orders would have overcommitted an accelerator")]
    Overcommitted {
        /// Number of such orders.
        count: u64,
    },
    /// Engines accepted orders of agents that had lost their claim.
    #[error("{count} orders were accepted after one with a higher fencing token")]
    StaleOrders {
        /// Number of such orders.
        count: u64,
    },
    /// A non-idempotent request ran more than once.
    #[error("key {key} was executed {count} times")]
    RanMoreThanOnce {
        /// The idempotency key.
        key: String,
        /// Number of its executions.
        count: u32,
    },
    /// Every caller of a request was told that it has not run, but it has.
    #[error("{marker} was refused as not run, but ran {count} times")]
    RanButReportedNotRun {
        /// The idempotency key or prompt marker by which the stand-ins counted it.
        marker: String,
        /// Number of its executions.
        count: u32,
    },
    /// A caller got an answer although no upstream ran its request.
    #[error("{marker} was answered, but never ran")]
    AnsweredButNeverRan {
        /// The idempotency key or prompt marker by which the stand-ins would have counted it.
        marker: String,
    },
    /// A caller received the response to another request, or an incomplete one that did not say so.
    #[error("wrong response: {0}")]
    WrongResponse(String),
    /// A caller received no response.
    #[error("no response: {0}")]
    NoResponse(String),
    /// Responses arrived after their deadlines.
    #[error("{count} responses arrived after their deadline")]
    LateResponses {
        /// Number of such responses.
        count: u64,
    },
}

/// Returns all violated invariants. `max_replicas` gives the number of replicas that the placement
/// of a model allows.
pub fn check(
    observations: &Observations,
    tally: &Tally,
    max_replicas: impl Fn(&str) -> u32,
) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (model, count) in &observations.replicas_peak {
        if *count > max_replicas(model) {
            violations.push(Violation::TooManyReplicas {
                model: model.clone(),
                count: *count,
                max_replicas: max_replicas(model),
            });
        }
    }
    if observations.overcommit_faults > 0 {
        violations.push(Violation::Overcommitted {
            count: observations.overcommit_faults,
        });
    }
    if observations.stale_orders > 0 {
        violations.push(Violation::StaleOrders {
            count: observations.stale_orders,
        });
    }
    for (key, count) in observations
        .executions
        .iter()
        .filter(|(_, count)| **count > 1)
    {
        violations.push(Violation::RanMoreThanOnce {
            key: key.clone(),
            count: *count,
        });
    }
    violations.extend(tally.wrong.iter().cloned().map(Violation::WrongResponse));
    violations.extend(tally.lost.iter().cloned().map(Violation::NoResponse));
    if tally.late > 0 {
        violations.push(Violation::LateResponses { count: tally.late });
    }
    violations
}
