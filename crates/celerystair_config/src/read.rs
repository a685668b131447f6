//! Reads settings files: JSON with comments. Errors name the path and line of each invalid field.

use std::{fmt, path::Path};

use jsonc_parser::ast;
use serde::de::DeserializeOwned;
use serde_json::Value;
use thiserror::Error;

/// An invalid field in settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingsProblem {
    /// The field's path, such as `process.platform.url`.
    pub path: String,
    /// The line in the file; the first is 1.
    pub line: usize,
    /// What is wrong with its value.
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
        /// The path of the file.
        path: String,
        /// The error of the operating system.
        error: std::io::Error,
    },
    /// The text is not JSON, or fields are invalid.
    #[error("invalid settings in {name}:{}", indented_lines(problems))]
    Invalid {
        /// The name of the file.
        name: String,
        /// Everything that is invalid; one entry if the text could not be parsed.
        problems: Vec<SettingsProblem>,
    },
}

/// Formats each problem on a line of its own, indented.
fn indented_lines(problems: &[SettingsProblem]) -> String {
    let lines: Vec<String> = problems
        .iter()
        .map(|problem| format!("\n  {problem}"))
        .collect();
    lines.concat()
}

/// Settings with rules for their values beyond their types.
pub trait Checked {
    /// Checks the values, and adds each invalid field to `problems`.
    fn check(&self, problems: &mut Problems);
}

/// Collects invalid fields with their paths.
#[derive(Debug, Default)]
pub struct Problems {
    prefix: Vec<String>,
    found: Vec<(String, String)>,
}

impl Problems {
    /// Adds `field` with `detail` as a problem unless `is_valid`.
    pub fn require(&mut self, is_valid: bool, field: &str, detail: impl Into<String>) {
        if !is_valid {
            let mut path = self.prefix.clone();
            path.push(field.to_owned());
            self.found.push((path.join("."), detail.into()));
        }
    }

    /// Runs `check` with `field` added to the path of every problem that it finds.
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

/// Parses and checks `text`; `name` is the file's name in error messages.
pub fn read_settings<T: Checked + DeserializeOwned>(
    name: &str,
    text: &str,
) -> Result<T, SettingsError> {
    let invalid = |problems| SettingsError::Invalid {
        name: name.to_owned(),
        problems,
    };
    let value: Value =
        jsonc_parser::parse_to_serde_value(text, &jsonc_parser::ParseOptions::default()).map_err(
            |error| {
                invalid(vec![SettingsProblem {
                    path: "file".to_owned(),
                    line: error.line_display(),
                    detail: error.to_string(),
                }])
            },
        )?;
    let settings: T = serde_path_to_error::deserialize(value).map_err(|error| {
        let path = error.path().to_string();
        let detail = error.inner().to_string();
        invalid(vec![parse_problem(text, &path, detail)])
    })?;
    let mut problems = Problems::default();
    settings.check(&mut problems);
    if problems.found.is_empty() {
        return Ok(settings);
    }
    let found = problems.found.into_iter();
    Err(invalid(
        found
            .map(|(path, detail)| SettingsProblem {
                line: line_of(text, &path),
                path,
                detail,
            })
            .collect(),
    ))
}

/// Describes an error of the deserializer. For an unknown field its path is that of the parent,
/// so that the field's name is taken from the message.
fn parse_problem(text: &str, path: &str, detail: String) -> SettingsProblem {
    let unknown_field = detail
        .strip_prefix("unknown field `")
        .and_then(|rest| rest.split('`').next());
    let ends_with_field = |field: &str| path == field || path.ends_with(&format!(".{field}"));
    let path = match unknown_field {
        Some(field) if !ends_with_field(field) && matches!(path, "." | "") => field.to_owned(),
        Some(field) if !ends_with_field(field) => format!("{path}.{field}"),
        _ => path.to_owned(),
    };
    SettingsProblem {
        line: line_of(text, &path),
        path,
        detail,
    }
}

/// Returns the line of the field at `path`, or of its deepest ancestor in the text.
fn line_of(text: &str, path: &str) -> usize {
    let parsed = jsonc_parser::parse_to_ast(
        text,
        &jsonc_parser::CollectOptions::default(),
        &jsonc_parser::ParseOptions::default(),
    );
    let Some(root) = parsed.ok().and_then(|result| result.value) else {
        return 1;
    };
    let mut offset = start_offset(&root);
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
                .map(|element| (start_offset(element), element)),
            _ => None,
        };
        let Some((start, inner)) = next else { break };
        offset = start;
        value = inner;
    }
    text[..offset].matches('\n').count() + 1
}

fn start_offset(value: &ast::Value<'_>) -> usize {
    use jsonc_parser::common::Ranged;
    value.range().start
}
