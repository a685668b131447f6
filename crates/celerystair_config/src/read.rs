//! Reads settings: JSON with comments, checked field by field. What is wrong is named with
//! its path and line.

use std::{fmt, path::Path};

use jsonc_parser::ast;
use serde::de::DeserializeOwned;
use serde_json::Value;
use thiserror::Error;

/// One thing that is wrong in settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingsProblem {
    /// The field, such as `process.platform.url`.
    pub path: String,
    /// The line in the file, from 1.
    pub line: usize,
    /// What is wrong with it.
    pub detail: String,
}

impl fmt::Display for SettingsProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}: {}", self.line, self.path, self.detail)
    }
}

/// Why settings can't be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("can't read {path}: {error}")]
    Unreadable {
        /// The file.
        path: String,
        /// The system's reason.
        error: std::io::Error,
    },
    /// Fields are wrong.
    #[error("{name} can't be used:{}", list(problems))]
    Invalid {
        /// The file.
        name: String,
        /// All that is wrong.
        problems: Vec<SettingsProblem>,
    },
}

fn list(problems: &[SettingsProblem]) -> String {
    let lines: Vec<String> = problems
        .iter()
        .map(|problem| format!("\n  {problem}"))
        .collect();
    lines.concat()
}

/// Settings whose values are checked beyond their types.
pub trait Checked {
    /// Adds what is wrong to `problems`.
    fn check(&self, problems: &mut Problems);
}

/// Collects what is wrong, with the path of each field.
#[derive(Debug, Default)]
pub struct Problems {
    prefix: Vec<String>,
    found: Vec<(String, String)>,
}

impl Problems {
    /// Notes `detail` for `field` unless `holds`.
    pub fn require(&mut self, holds: bool, field: &str, detail: impl Into<String>) {
        if !holds {
            let mut path = self.prefix.clone();
            path.push(field.to_owned());
            self.found.push((path.join("."), detail.into()));
        }
    }

    /// Checks what stands below `field`.
    pub fn within(&mut self, field: impl fmt::Display, check: impl FnOnce(&mut Self)) {
        self.prefix.push(field.to_string());
        check(self);
        self.prefix.pop();
    }
}

/// Reads and checks the file at `path`.
pub fn read_settings_file<T: Checked + DeserializeOwned>(path: &Path) -> Result<T, SettingsError> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| SettingsError::Unreadable {
        path: name.clone(),
        error,
    })?;
    read_settings(&name, &text)
}

/// Reads and checks `text`; `name` is the file's name in messages.
pub fn read_settings<T: Checked + DeserializeOwned>(
    name: &str,
    text: &str,
) -> Result<T, SettingsError> {
    let bad = |problems| SettingsError::Invalid {
        name: name.to_owned(),
        problems,
    };
    let value: Value =
        jsonc_parser::parse_to_serde_value(text, &jsonc_parser::ParseOptions::default()).map_err(
            |error| {
                bad(vec![SettingsProblem {
                    path: "file".to_owned(),
                    line: error.line_display(),
                    detail: error.to_string(),
                }])
            },
        )?;
    let settings: T = serde_path_to_error::deserialize(value).map_err(|error| {
        let path = error.path().to_string();
        let detail = error.inner().to_string();
        bad(vec![type_problem(text, &path, detail)])
    })?;
    let mut problems = Problems::default();
    settings.check(&mut problems);
    if problems.found.is_empty() {
        return Ok(settings);
    }
    let found = problems.found.into_iter();
    Err(bad(found
        .map(|(path, detail)| SettingsProblem {
            line: line_of(text, &path),
            path,
            detail,
        })
        .collect()))
}

/// An unknown field is reported by its parent's path; the message names the field itself.
fn type_problem(text: &str, path: &str, detail: String) -> SettingsProblem {
    let named = detail
        .strip_prefix("unknown field `")
        .and_then(|rest| rest.split('`').next());
    let already = |field: &str| path == field || path.ends_with(&format!(".{field}"));
    let path = match named {
        Some(field) if !already(field) && matches!(path, "." | "") => field.to_owned(),
        Some(field) if !already(field) => format!("{path}.{field}"),
        _ => path.to_owned(),
    };
    SettingsProblem {
        line: line_of(text, &path),
        path,
        detail,
    }
}

/// The line of the field at `path`, or of the deepest part of it that is there.
fn line_of(text: &str, path: &str) -> usize {
    let parsed = jsonc_parser::parse_to_ast(
        text,
        &jsonc_parser::CollectOptions::default(),
        &jsonc_parser::ParseOptions::default(),
    );
    let Some(root) = parsed.ok().and_then(|result| result.value) else {
        return 1;
    };
    let mut offset = start_of(&root);
    let mut value = &root;
    for part in path
        .replace('[', ".")
        .replace(']', "")
        .split('.')
        .filter(|part| !part.is_empty())
    {
        let next = match value {
            ast::Value::Object(object) => object
                .properties
                .iter()
                .find(|property| property.name.as_str() == part)
                .map(|property| (property.range.start, &property.value)),
            ast::Value::Array(array) => part
                .parse::<usize>()
                .ok()
                .and_then(|index| array.elements.get(index))
                .map(|element| (start_of(element), element)),
            _ => None,
        };
        let Some((start, inner)) = next else { break };
        offset = start;
        value = inner;
    }
    text[..offset].matches('\n').count() + 1
}

fn start_of(value: &ast::Value<'_>) -> usize {
    use jsonc_parser::common::Ranged;
    value.range().start
}
