//! Writes `docs/PROMISES.md` from `promises.jsonc`: which test plays each promise beside each disruption.
//! `cargo run -p promises`. With `--check` it writes nothing and fails if the page is not current. Both fail
//! if a test that is named doesn't exist.

mod page;
mod table;

use std::{
    collections::HashSet,
    path::{Path, PathBuf},
};

use eyre::{WrapErr, bail};

use crate::{page::render, table::Table};

const DATA: &str = "tools/promises/promises.jsonc";
const PAGE: &str = "docs/PROMISES.md";

fn main() -> eyre::Result<()> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let table = Table::read(&root.join(DATA))?;
    table.check(&test_names(&root)?)?;
    let (fresh, path) = (render(&table), root.join(PAGE));
    if !std::env::args().any(|argument| argument == "--check") {
        return std::fs::write(path, fresh).wrap_err(PAGE);
    }
    if fresh != std::fs::read_to_string(path).wrap_err(PAGE)? {
        bail!("{PAGE} is not current: cargo run -p promises");
    }
    Ok(())
}

/// Returns the names of all tests in the repository's test files.
fn test_names(root: &Path) -> eyre::Result<HashSet<String>> {
    let mut names = HashSet::new();
    let mut folders = vec![root.join("tests"), root.join("platform/tests")];
    for package in std::fs::read_dir(root.join("crates"))? {
        folders.push(package?.path().join("tests"));
    }
    folders.retain(|folder| folder.is_dir());
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(&folder)? {
            let path = entry?.path();
            if path.is_dir() {
                folders.push(path);
            } else if path.extension().is_some_and(|end| end == "rs") {
                names.extend(tests_in(&path)?);
            }
        }
    }
    Ok(names)
}

fn tests_in(path: &PathBuf) -> eyre::Result<Vec<String>> {
    let text = std::fs::read_to_string(path)?;
    let after_attribute = text.split("#[test]").skip(1);
    let names = after_attribute.filter_map(|rest| {
        let (_, rest) = rest.split_once("fn ")?;
        let (name, _) = rest.split_once('(')?;
        Some(name.to_owned())
    });
    Ok(names.collect())
}
