//! The promises, the disruptions, and what shows each promise beside each disruption.

use std::{
    collections::{BTreeMap, HashSet},
    path::Path,
};

use eyre::{WrapErr, bail};
use serde::Deserialize;

/// The table, as it is written in the data file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Table {
    /// The columns.
    pub disruptions: Vec<Disruption>,
    /// The rows.
    pub promises: Vec<Promise>,
}

/// A kind of disruption, or two that overlap on one request.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Disruption {
    /// By which cells name it.
    pub name: String,
    /// What happens.
    pub what: String,
}

/// A sentence of the platform's rules.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Promise {
    /// The rule's name.
    pub rule: String,
    /// What is promised.
    pub text: String,
    /// What is known, by disruption. One that is missing is open.
    pub cells: BTreeMap<String, Cell>,
    /// In which phases and forms the tests of a cell play its disruption, by disruption. Without it a cell says
    /// only that they play some.
    #[serde(default)]
    pub played: BTreeMap<String, String>,
}

/// What shows that a promise holds beside a disruption.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "lowercase")]
pub enum Cell {
    /// Tests play it.
    Tests(Vec<String>),
    /// It can't matter, for this reason.
    Excluded(String),
    /// It was read in a review that found no fault, and no test plays it.
    Reviewed(String),
}

impl Table {
    /// Reads the data file.
    ///
    /// # Errors
    /// The file can't be read, or its content is none of this form.
    pub fn read(path: &Path) -> eyre::Result<Self> {
        let text = std::fs::read_to_string(path).wrap_err_with(|| path.display().to_string())?;
        let value = jsonc_parser::parse_to_serde_value::<serde_json::Value>(
            &text,
            &jsonc_parser::ParseOptions::default(),
        )?;
        Ok(serde_json::from_value(value)?)
    }

    /// Checks that each disruption and each test that a cell names exists, and that what is played has tests.
    ///
    /// # Errors
    /// The first one that doesn't.
    pub fn check(&self, tests: &HashSet<String>) -> eyre::Result<()> {
        for promise in &self.promises {
            for (name, cell) in &promise.cells {
                if !self.disruptions.iter().any(|known| known.name == *name) {
                    bail!("{}: no disruption is named {name}", promise.rule);
                }
                if let Cell::Tests(named) = cell
                    && let Some(missing) = named.iter().find(|test| !tests.contains(*test))
                {
                    bail!("{}, {name}: no test is named {missing}", promise.rule);
                }
            }
            let has_tests = |name: &str| matches!(promise.cells.get(name), Some(Cell::Tests(_)));
            if let Some(name) = promise.played.keys().find(|name| !has_tests(name)) {
                bail!("{}: no test plays {name}", promise.rule);
            }
        }
        Ok(())
    }

    /// Returns how many cells have tests, are excluded, were reviewed and are open.
    pub fn counts(&self) -> Counts {
        let mut counts = Counts::default();
        for promise in &self.promises {
            for cell in promise.cells.values() {
                match cell {
                    Cell::Tests(_) => counts.tested += 1,
                    Cell::Excluded(_) => counts.excluded += 1,
                    Cell::Reviewed(_) => counts.reviewed += 1,
                }
            }
            counts.open += self.disruptions.len() - promise.cells.len();
        }
        counts
    }
}

/// How many cells are of each kind.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Tests play them.
    pub tested: usize,
    /// They can't matter.
    pub excluded: usize,
    /// A review found no fault.
    pub reviewed: usize,
    /// Nothing shows that they hold.
    pub open: usize,
}
