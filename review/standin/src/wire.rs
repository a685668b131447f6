//! The names of the users' platform, from a data file.

use std::sync::LazyLock;

use serde_json::Value;

static WIRE: LazyLock<Value> = LazyLock::new(|| {
    serde_json::from_str(include_str!("../wire.json")).expect("the data file is JSON")
});

pub fn text(key: &str) -> &'static str {
    WIRE[key].as_str().expect("the data file has this text")
}

/// The name of a header of the platform.
pub fn header(name: &str) -> String {
    format!("{}{name}", text("header"))
}

/// A value of the data file in which each `@key` stands for another text.
pub fn template(key: &str, values: &[(&str, &str)]) -> Value {
    let mut value = WIRE[key].clone();
    fill(&mut value, values);
    value
}

fn fill(value: &mut Value, values: &[(&str, &str)]) {
    match value {
        Value::String(text) => {
            for (key, filled) in values {
                *text = text.replace(&format!("@{key}"), filled);
            }
        }
        Value::Array(items) => items.iter_mut().for_each(|item| fill(item, values)),
        Value::Object(fields) => fields.values_mut().for_each(|field| fill(field, values)),
        _ => {}
    }
}

/// The lines of a settings file.
pub fn settings(key: &str, values: &[(&str, &str)]) -> String {
    let lines = template(key, values);
    let lines = lines.as_array().expect("settings are a list");
    lines
        .iter()
        .filter_map(Value::as_str)
        .map(|line| format!("{line}\n"))
        .collect()
}
