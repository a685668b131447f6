//! The tables of the page, and their places in it.

use std::fmt::Write;

use eyre::OptionExt;

use crate::{measure::Measured, plan, usage::resident_bytes};

/// One row for each line that was fitted.
pub fn slopes(all: &[Measured]) -> String {
    let mut table = String::from(
        "| id | size varied | measured | at each size | slope, for each | fixed part | residual |\n\
         |---|---|---|---|---|---|---|\n",
    );
    for measured in all {
        let line = &measured.line;
        let points: Vec<String> = line
            .points
            .iter()
            .map(|(size, value)| format!("{size}: {}", number(*value)))
            .collect();
        writeln!(
            table,
            "| `{}` | {} | {} | {} | {} | {} | {:.0}% |",
            measured.id,
            measured.size,
            measured.quantity,
            points.join(", "),
            number(line.slope),
            number(line.fixed),
            line.residual_percent
        )
        .ok();
    }
    table
}

/// A figure with three significant digits.
pub fn number(value: f64) -> String {
    if value == 0.0 {
        return "0".to_owned();
    }
    let digits = 2 - value.abs().log10().floor() as i32;
    if digits <= 0 {
        format!("{value:.0}")
    } else {
        format!("{value:.*}", digits.min(6) as usize)
    }
}

/// Writes all tables into the page.
pub fn write(path: &str, all: &[Measured]) -> eyre::Result<()> {
    let mut page = std::fs::read_to_string(path)?;
    let run = format!(
        "Resident memory of the measuring process at its end, with all its roles and stand-ins: \
         {:.0} MB.\n",
        resident_bytes() / 1e6
    );
    page = replace(&page, "slopes", &format!("{}\n{run}", slopes(all)))?;
    page = replace(&page, "plan", &plan::table(all)?)?;
    page = replace(&page, "bad days", &plan::bad_days(all)?)?;
    std::fs::write(path, page)?;
    Ok(())
}

/// Replaces what stands between the markers of `name`.
fn replace(page: &str, name: &str, table: &str) -> eyre::Result<String> {
    let begin = format!("<!-- begin {name} -->\n");
    let end = format!("<!-- end {name} -->");
    let start = page.find(&begin).ok_or_eyre("a marker is missing")? + begin.len();
    let stop = page.find(&end).ok_or_eyre("a marker is missing")?;
    Ok(format!("{}\n{table}\n{}", &page[..start], &page[stop..]))
}
