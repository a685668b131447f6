//! Prints JSON on a terminal: a list of objects as a table with a row per object and a column per
//! field, anything else field by field.

use serde_json::{Map, Value};

/// Prints `value` to standard output.
pub fn print_table(value: &Value) {
    match value {
        Value::Array(rows) => print_rows(rows),
        Value::Object(fields) => print_fields(fields),
        other => println!("{}", format_cell(other)),
    }
}

fn print_fields(fields: &Map<String, Value>) {
    for (name, value) in fields {
        match value {
            Value::Array(rows) if rows.iter().any(Value::is_object) => {
                println!("\n{name}");
                print_rows(rows);
            }
            Value::Object(inner) => {
                println!("\n{name}");
                for (name, value) in inner {
                    println!("  {name:<24} {}", format_cell(value));
                }
            }
            plain => println!("{name:<26} {}", format_cell(plain)),
        }
    }
}

fn print_rows(rows: &[Value]) {
    if rows.is_empty() {
        println!("none");
        return;
    }
    let mut columns: Vec<&str> = Vec::new();
    for row in rows.iter().filter_map(Value::as_object) {
        for name in row.keys() {
            if !columns.contains(&name.as_str()) {
                columns.push(name);
            }
        }
    }
    let mut table: Vec<Vec<String>> = vec![columns.iter().map(|c| (*c).to_owned()).collect()];
    table.extend(rows.iter().map(|row| {
        let cells = columns.iter();
        cells.map(|name| format_cell(&row[*name])).collect()
    }));
    let widths: Vec<usize> = (0..columns.len())
        .map(|column| {
            table
                .iter()
                .map(|line| line[column].len())
                .max()
                .unwrap_or(0)
        })
        .collect();
    for line in table {
        let cells: Vec<String> = line
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:<width$}"))
            .collect();
        println!("{}", cells.join("  ").trim_end());
    }
}

fn format_cell(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
