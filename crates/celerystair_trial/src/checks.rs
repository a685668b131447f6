//! What must always hold, checked against what the stand-ins saw.

use celerystair_standin::witness::Observations;
use thiserror::Error;

use crate::tally::Tally;

/// Something that must always hold and did not.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum Violation {
    /// More replicas of a model held memory at one instant than were decided.
    #[error("{count} replicas of {model} were loaded, {decided} were decided")]
    TooManyReplicas {
        /// The model.
        model: String,
        /// Replicas that held memory.
        count: u32,
        /// Replicas decided.
        decided: u32,
    },
    /// Accelerator memory would have been overcommitted.
    #[error("{count} orders would have overcommitted an accelerator")]
    Overcommitted {
        /// Such orders.
        count: u64,
    },
    /// Engines took orders of holders that had lost their right.
    #[error("{count} orders were taken after one of a later claimant")]
    StaleOrders {
        /// Such orders.
        count: u64,
    },
    /// A non-idempotent request ran more than once.
    #[error("key {key} was executed {count} times")]
    RanTwice {
        /// The idempotency key.
        key: String,
        /// Its executions.
        count: u32,
    },
    /// Every caller of a request was told that it has not run, and it has.
    #[error("{marker} was refused as not run, and ran {count} times")]
    RanUnsaid {
        /// What the stand-ins counted it by.
        marker: String,
        /// Its executions.
        count: u32,
    },
    /// A request was answered that no upstream has run.
    #[error("{marker} was answered, and never ran")]
    AnsweredUnrun {
        /// What the stand-ins would have counted it by.
        marker: String,
    },
    /// A caller received an answer that was not its own, or not whole.
    #[error("wrong answer: {0}")]
    WrongAnswer(String),
    /// A caller received nothing.
    #[error("no answer: {0}")]
    NoAnswer(String),
    /// Answers came after their deadline.
    #[error("{count} answers came after their deadline")]
    Late {
        /// Such answers.
        count: u64,
    },
}

/// All that did not hold. `decided` gives the replicas decided for a model.
pub fn check(seen: &Observations, tally: &Tally, decided: impl Fn(&str) -> u32) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (model, count) in &seen.replicas_peak {
        if *count > decided(model) {
            violations.push(Violation::TooManyReplicas {
                model: model.clone(),
                count: *count,
                decided: decided(model),
            });
        }
    }
    if seen.overcommit_faults > 0 {
        violations.push(Violation::Overcommitted {
            count: seen.overcommit_faults,
        });
    }
    if seen.stale_orders > 0 {
        violations.push(Violation::StaleOrders {
            count: seen.stale_orders,
        });
    }
    for (key, count) in seen.executions.iter().filter(|(_, count)| **count > 1) {
        violations.push(Violation::RanTwice {
            key: key.clone(),
            count: *count,
        });
    }
    violations.extend(tally.wrong.iter().cloned().map(Violation::WrongAnswer));
    violations.extend(tally.lost.iter().cloned().map(Violation::NoAnswer));
    if tally.late > 0 {
        violations.push(Violation::Late { count: tally.late });
    }
    violations
}
