//! The one runner of checks, called by `.ci/run`: formatter, linter, dependencies, settings and
//! tests. It skips exactly the tests that `KNOWN-RED.txt` names, and prints them.

mod test_binaries;

use std::process::Command;

use eyre::{WrapErr, bail};
use test_binaries::run_tests;

const KNOWN_RED: &str = "KNOWN-RED.txt";
/// Features that would bring in what the project must do without.
const FORBIDDEN: [&str; 3] = [
    "io-uring",
    "tokio feature \"rt\"",
    "tokio feature \"rt-multi-thread\"",
];
const SETTINGS: [&str; 8] = [
    "examples/office/agent.jsonc",
    "examples/office/router.jsonc",
    "examples/office/load.jsonc",
    "examples/office/load-keep.jsonc",
    "examples/office/trial.jsonc",
    "examples/hangang/agent.jsonc",
    "examples/hangang/router.jsonc",
    "examples/hangang/trial.jsonc",
];

fn main() -> eyre::Result<()> {
    cargo("formatter", &["fmt", "--all", "--check"])?;
    cargo(
        "linter",
        &[
            "clippy",
            "--workspace",
            "--all-targets",
            "--",
            "-D",
            "warnings",
        ],
    )?;
    check_features()?;
    check_policy()?;
    check_platform_names()?;
    cargo(
        "generated code",
        &["run", "--quiet", "--package", "protogen", "--", "--check"],
    )?;
    cargo(
        "promises",
        &["run", "--quiet", "--package", "promises", "--", "--check"],
    )?;
    for settings in SETTINGS {
        cargo("settings", &["run", "--quiet", "--", "check", settings])?;
    }
    let skipped = known_red()?;
    for test in &skipped {
        println!("KNOWN RED, skipped: {test}");
    }
    run_tests(&skipped)?;
    println!("all checks passed; {} known red", skipped.len());
    Ok(())
}

fn cargo(name: &str, arguments: &[&str]) -> eyre::Result<()> {
    println!("== {name}: cargo {}", arguments.join(" "));
    let status = Command::new("cargo")
        .args(arguments)
        .status()
        .wrap_err("cargo")?;
    if !status.success() {
        bail!("{name} failed: {status}");
    }
    Ok(())
}

/// What the policy may depend on: nothing that waits, talks or stores.
const POLICY_DEPENDENCIES: [&str; 1] = ["celerystair_core"];

/// Decisions stay apart from input and output.
fn check_policy() -> eyre::Result<()> {
    println!("== policy");
    let path = "crates/celerystair_policy/Cargo.toml";
    let manifest = std::fs::read_to_string(path).wrap_err(path)?;
    let table = manifest.split("[dependencies]").nth(1).unwrap_or_default();
    let table = table.split("\n[").next().unwrap_or_default();
    let names = table.lines().filter_map(|line| line.split('.').next());
    for name in names.map(str::trim).filter(|name| !name.is_empty()) {
        if !POLICY_DEPENDENCIES.contains(&name) {
            bail!("celerystair_policy depends on {name}");
        }
    }
    Ok(())
}

/// Names of the users' platform that nothing outside its adapter knows, one a line.
const PLATFORM_NAMES: &str = "platform/NAMES.txt";
/// Where they may stand.
const ADAPTER: &str = "platform";

/// The platform's names stay in the adapter.
fn check_platform_names() -> eyre::Result<()> {
    println!("== platform's names");
    let names = std::fs::read_to_string(PLATFORM_NAMES).wrap_err(PLATFORM_NAMES)?;
    let mut folders = vec![std::path::PathBuf::from(".")];
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(&folder)? {
            let path = entry?.path();
            let place = path.strip_prefix(".").unwrap_or(&path);
            let is_left_out = [ADAPTER, "target", ".git", "journal"]
                .iter()
                .any(|left_out| place == std::path::Path::new(left_out));
            if path.is_dir() && !is_left_out {
                folders.push(path);
            } else if path.extension().is_some_and(|end| end == "rs") {
                let text = std::fs::read_to_string(&path)?;
                if let Some(name) = names.lines().find(|name| text.contains(name)) {
                    bail!("{} knows the platform's name {name}", place.display());
                }
            }
        }
    }
    Ok(())
}

/// The feature tree must have neither `io_uring` nor a tokio runtime.
fn check_features() -> eyre::Result<()> {
    println!("== dependencies");
    let arguments = ["tree", "--workspace", "-e", "features", "--prefix", "none"];
    let output = Command::new("cargo")
        .args(arguments)
        .output()
        .wrap_err("cargo tree")?;
    if !output.status.success() {
        bail!(
            "cargo tree failed: {}",
            String::from_utf8_lossy(&output.stderr)
        );
    }
    let tree = String::from_utf8_lossy(&output.stdout);
    match FORBIDDEN.iter().find(|feature| tree.contains(**feature)) {
        Some(feature) => bail!("the feature tree has {feature}"),
        None => Ok(()),
    }
}

/// Names of the tests with a fault that is known and not yet mended, from lines `test: NAME`.
fn known_red() -> eyre::Result<Vec<String>> {
    let text = std::fs::read_to_string(KNOWN_RED).wrap_err(KNOWN_RED)?;
    let names = text.lines().filter_map(|line| line.strip_prefix("test: "));
    Ok(names.map(|name| name.trim().to_owned()).collect())
}
