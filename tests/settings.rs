//! Settings: what is wrong is named with its path and line.

use std::process::Command;

use celerystair::{config::prelude::*, trial::prelude::*};

fn problems<
    T: celerystair::config::read::Checked + serde::de::DeserializeOwned + std::fmt::Debug,
>(
    text: &str,
) -> Vec<(String, usize)> {
    match read_settings::<T>("test", text) {
        Err(SettingsError::Invalid { problems, .. }) => problems
            .into_iter()
            .map(|problem| (problem.path, problem.line))
            .collect(),
        other => panic!("expected problems, found {other:?}"),
    }
}

const ROUTER: &str = r#"{
  // a comment
  "router": "r",
  "listen": "127.0.0.1:0",
  "peer_listen": "127.0.0.1:0",
  "process": {
    "failure_domain": "a",
    "platform": {
      "url": "http://127.0.0.1:1"
    }
  }
}"#;

#[test]
fn comments_are_allowed_and_defaults_fill_in() {
    let settings: RouterSettings = read_settings("test", ROUTER).expect("it can be used");
    assert_eq!(settings.process.clock_scale, 1);
}

#[test]
fn an_unknown_field_is_named() {
    let text = ROUTER.replace("\"url\":", "\"uri\": 1,\n      \"url\":");
    assert_eq!(
        problems::<RouterSettings>(&text),
        [("process.platform.uri".to_owned(), 9)]
    );
}

#[test]
fn a_value_of_the_wrong_type_is_named() {
    let text = ROUTER.replace("\"127.0.0.1:0\",\n  \"peer", "7,\n  \"peer");
    assert_eq!(
        problems::<RouterSettings>(&text),
        [("listen".to_owned(), 4)]
    );
}

#[test]
fn all_bad_values_are_named_at_once() {
    let text = ROUTER
        .replace("\"a\"", "\"\"")
        .replace("http:", "ftp:")
        .replace("\"r\"", "\"\"");
    let expected = [
        ("router".to_owned(), 3),
        ("process.failure_domain".to_owned(), 7),
        ("process.platform.url".to_owned(), 9),
    ];
    assert_eq!(problems::<RouterSettings>(&text), expected);
}

#[test]
fn text_that_is_not_json_is_refused_with_its_line() {
    assert_eq!(
        problems::<RouterSettings>("{\n  \"router\" \"r\"\n}")[0].1,
        2
    );
}

#[test]
fn a_group_of_models_must_name_a_pool_that_is_there() {
    let office = include_str!("../examples/office/trial.jsonc");
    let text = office.replace("\"pool\": \"caption\"", "\"pool\": \"nowhere\"");
    let found = problems::<TrialSettings>(&text);
    assert_eq!(found.len(), 1);
    assert_eq!(found[0].0, "models.0.pool");
}

/// A configuration of the users' platform, with one route.
const PLATFORM_CONFIG: &str = include_str!("../platform/tests/data/platform-config.json");

#[test]
fn a_configuration_of_the_platform_is_checked_as_routers_decide() {
    // What is replaced by what, the version in force, and what the verdict names.
    let cases = [
        ("", "", "6", "is valid"),
        ("", "", "8", "below the version in force"),
        ("7.0", "281474976710663", "7", "too far above 7"),
        ("desk", "none", "6", "route read"),
        ("idempotent", "odd", "6", "route read"),
        ("7.0", "null", "6", "missing field"),
    ];
    let path = std::env::temp_dir().join(format!("platform-{}.json", std::process::id()));
    for (from, to, in_force, named) in cases {
        let text = PLATFORM_CONFIG.replacen(from, to, usize::from(!from.is_empty()));
        std::fs::write(&path, text).expect("the file is written");
        let output = Command::new(env!("CARGO_BIN_EXE_celerystair"))
            .args(["check", "--in-force", in_force])
            .arg(&path)
            .output()
            .expect("it runs");
        let said = [output.stdout, output.stderr].concat();
        let said = String::from_utf8_lossy(&said);
        assert!(said.contains(named), "{to}: {said}");
        assert_eq!(output.status.success(), named == "is valid", "{said}");
    }
    std::fs::remove_file(&path).expect("the file is removed");
}
