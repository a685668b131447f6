//! The page that shows the table.

use std::fmt::Write;

use crate::table::{Cell, Counts, Promise, Table};

/// Returns the page's text.
pub fn render(table: &Table) -> String {
    let mut page = String::new();
    write_page(&mut page, table).expect("writing to a string can't fail");
    page
}

fn write_page(page: &mut String, table: &Table) -> std::fmt::Result {
    let Counts {
        tested,
        excluded,
        reviewed,
        open,
    } = table.counts();
    writeln!(page, "# Promises beside disruptions\n")?;
    writeln!(
        page,
        "Written by `cargo run -p promises` from `tools/promises/promises.jsonc`. Each row is a sentence of the platform's rules, each column a\n\
        kind of disruption. CI fails if a test that is named here doesn't exist.\n\n\
        **{open} cells are open**, {tested} have tests, {reviewed} were read in a review that found no fault, {excluded} can't matter.\n"
    )?;
    writeln!(page, "## Disruptions\n")?;
    for (index, disruption) in table.disruptions.iter().enumerate() {
        writeln!(
            page,
            "{}. `{}`: {}",
            index + 1,
            disruption.name,
            disruption.what
        )?;
    }
    writeln!(page, "\n## Overview\n")?;
    writeln!(
        page,
        "`T` has tests, `R` was reviewed, `-` can't matter, `.` is open.\n"
    )?;
    let numbers = (1..=table.disruptions.len()).map(|number| number.to_string());
    let numbers: Vec<String> = numbers.collect();
    writeln!(page, "| rule | promise | {} |", numbers.join(" | "))?;
    writeln!(page, "|---|---|{}", "---|".repeat(numbers.len()))?;
    for promise in &table.promises {
        let marks = table
            .disruptions
            .iter()
            .map(|known| mark(promise.cells.get(&known.name)));
        let marks: Vec<&str> = marks.collect();
        writeln!(
            page,
            "| {} | {} | {} |",
            promise.rule,
            promise.text,
            marks.join(" | ")
        )?;
    }
    writeln!(page, "\n## Cells")?;
    for promise in &table.promises {
        write_cells(page, table, promise)?;
    }
    Ok(())
}

fn mark(cell: Option<&Cell>) -> &'static str {
    match cell {
        Some(Cell::Tests(_)) => "T",
        Some(Cell::Excluded(_)) => "-",
        Some(Cell::Reviewed(_)) => "R",
        None => ".",
    }
}

fn write_cells(page: &mut String, table: &Table, promise: &Promise) -> std::fmt::Result {
    writeln!(page, "\n**{}**: {}\n", promise.rule, promise.text)?;
    for disruption in &table.disruptions {
        let name = &disruption.name;
        match promise.cells.get(name) {
            Some(Cell::Tests(tests)) => {
                let tests: Vec<String> = tests.iter().map(|test| format!("`{test}`")).collect();
                write!(page, "* {name}: {}", tests.join(", "))?;
                match promise.played.get(name) {
                    Some(played) => writeln!(page, ". Played: {played}.")?,
                    None => writeln!(page)?,
                }
            }
            Some(Cell::Excluded(reason)) => writeln!(page, "* {name}: can't matter: {reason}")?,
            Some(Cell::Reviewed(reason)) => writeln!(page, "* {name}: reviewed: {reason}")?,
            None => {}
        }
    }
    Ok(())
}
