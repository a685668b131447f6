//! The measurements; each gives lines over at least four sizes.
//!
//! | module | sizes |
//! |---|---|
//! | [`changes`] | changes of configuration a second, exceptions in the document |
//! | [`connections`] | connections between a router and agents, seen from both ends |
//! | [`requests`] | requests a second, tokens of an answer, waiting requests |
//! | [`state`] | models, adapters, agents and instances |
//! | [`told`] | agents and instances, for a process that others tell of changes |
//! | [`wakeups`] | wake-ups of models and of adapters a second |

pub mod changes;
pub mod connections;
pub mod requests;
pub mod state;
pub mod told;
pub mod wakeups;

use crate::fit::Line;

/// A quantity that was measured over several sizes.
#[derive(Clone, Debug)]
pub struct Measured {
    /// What [`crate::plan`] knows it by.
    pub id: &'static str,
    /// What was varied.
    pub size: &'static str,
    /// What was measured, with its unit.
    pub quantity: &'static str,
    /// The fitted line.
    pub line: Line,
}

impl Measured {
    /// A line through `points`.
    pub fn new(
        id: &'static str,
        size: &'static str,
        quantity: &'static str,
        points: Vec<(f64, f64)>,
    ) -> Self {
        Self {
            id,
            size,
            quantity,
            line: Line::through(points),
        }
    }
}
