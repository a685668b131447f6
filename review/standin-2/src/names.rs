//! The platform's names, from `names.conf`.

use std::{collections::BTreeMap, path::Path};

#[derive(Debug)]
pub struct Names(BTreeMap<String, String>);

impl Names {
    pub fn read(path: &Path) -> Option<Self> {
        let text = std::fs::read_to_string(path).ok()?;
        let lines = text.lines().filter(|line| !line.starts_with('#'));
        let pairs = lines.filter_map(|line| line.split_once('='));
        Some(Self(
            pairs
                .map(|(key, value)| (key.to_owned(), value.to_owned()))
                .collect(),
        ))
    }

    pub fn get(&self, key: &str) -> &str {
        self.0.get(key).map_or("", String::as_str)
    }

    /// Returns a header with the platform's prefix.
    pub fn header(&self, name: &str) -> String {
        format!("{}{name}", self.get("prefix"))
    }
}
