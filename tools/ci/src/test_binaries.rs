//! Running the workspace's test binaries, several at a time.

use std::{
    collections::VecDeque,
    path::PathBuf,
    process::{Command, Stdio},
    sync::Mutex,
};

use eyre::{WrapErr, bail};
use serde_json::Value;

/// How many test binaries run at a time: most wait for timers and processes rather than compute.
const BINARIES_AT_ONCE: usize = 3;
/// The binaries that take longest, which start first.
const LONGEST: [&str; 2] = ["soak", "out_of_step"];

/// A test binary, as cargo has built it.
struct TestBinary {
    name: String,
    executable: PathBuf,
    /// The folder of its package, in which cargo runs it.
    folder: PathBuf,
}

/// Builds and runs all tests of the workspace but those in `skipped`, and prints what they print.
///
/// # Errors
/// The build or a test fails.
pub fn run_tests(skipped: &[String]) -> eyre::Result<()> {
    let mut binaries = build()?;
    binaries.sort_by_key(|binary| !LONGEST.contains(&binary.name.as_str()));
    println!("== tests: {} binaries", binaries.len());
    let waiting = Mutex::new(VecDeque::from(binaries));
    let failed = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..BINARIES_AT_ONCE {
            scope.spawn(|| {
                while let Some(binary) = next(&waiting) {
                    if !run(&binary, skipped) {
                        failed.lock().expect("not poisoned").push(binary.name);
                    }
                }
            });
        }
    });
    let mut failed = failed.into_inner().expect("not poisoned");
    let mut doc_tests = Command::new("cargo");
    doc_tests.args(["test", "--workspace", "--no-fail-fast", "--doc", "--"]);
    doc_tests.args(skipped.iter().flat_map(|test| ["--skip", test]));
    if !doc_tests.status().wrap_err("cargo test --doc")?.success() {
        failed.push("doc tests".to_owned());
    }
    if !failed.is_empty() {
        bail!("tests failed: {}", failed.join(", "));
    }
    Ok(())
}

fn next(waiting: &Mutex<VecDeque<TestBinary>>) -> Option<TestBinary> {
    waiting.lock().expect("not poisoned").pop_front()
}

fn build() -> eyre::Result<Vec<TestBinary>> {
    const FORMAT: &str = "--message-format=json-render-diagnostics";
    println!("== build of the tests: cargo test --workspace --no-run");
    let output = Command::new("cargo")
        .args(["test", "--workspace", "--no-run", FORMAT])
        .stderr(Stdio::inherit())
        .output()
        .wrap_err("cargo test --no-run")?;
    if !output.status.success() {
        bail!("the build of the tests failed: {}", output.status);
    }
    let lines = output.stdout.split(|byte| *byte == b'\n');
    let messages = lines.filter(|line| line.starts_with(b"{"));
    let mut binaries = Vec::new();
    for message in messages {
        let message: Value = serde_json::from_slice(message)?;
        binaries.extend(read_binary(&message));
    }
    if binaries.is_empty() {
        bail!("no test binary was built");
    }
    Ok(binaries)
}

/// Reads the test binary that a message of cargo tells of, if it tells of one.
fn read_binary(message: &Value) -> Option<TestBinary> {
    let is_test = message["profile"]["test"].as_bool()?;
    let manifest = PathBuf::from(message["manifest_path"].as_str()?);
    let executable = message["executable"].as_str()?;
    is_test.then_some(TestBinary {
        name: message["target"]["name"].as_str()?.to_owned(),
        executable: executable.into(),
        folder: manifest.parent()?.to_owned(),
    })
}

/// Runs a binary and prints its output as a whole; returns whether all its tests passed.
fn run(binary: &TestBinary, skipped: &[String]) -> bool {
    let output = Command::new(&binary.executable)
        .args(skipped.iter().flat_map(|test| ["--skip", test]))
        .current_dir(&binary.folder)
        .env("CARGO_MANIFEST_DIR", &binary.folder)
        .output();
    let output = match output {
        Ok(output) => output,
        Err(error) => {
            println!("{} can't be run: {error}", binary.name);
            return false;
        }
    };
    let (out, err) = (&output.stdout, &output.stderr);
    // One call for each binary, so that the outputs of two don't mix.
    print!(
        "     Running {} of {}\n{}{}",
        binary.name,
        binary.folder.display(),
        String::from_utf8_lossy(out),
        String::from_utf8_lossy(err)
    );
    if !output.status.success() {
        println!("FAILED: {}, {}", binary.name, output.status);
    }
    output.status.success()
}
