//! Plays one case of the second review: the project's programs as processes of their own, beside
//! stand-ins of clients, servers and the platform in this process.
//!
//! `review-standin-2 CASE FOLDER TROUBLE` writes `record.txt` into the folder. It exits with 1 if the rule
//! was broken, 0 if it held, and 2 if the case couldn't run. If TROUBLE is 0, the disruption is left out.

mod cases;
mod client;
mod fleet;
mod http;
mod json;
mod link;
mod names;
mod record;
mod server;
mod store;
mod traffic;

use std::{
    panic::{AssertUnwindSafe, catch_unwind},
    path::Path,
    process::exit,
    time::Duration,
};

use fleet::Fleet;
use names::Names;
use record::Record;

/// What became of the rule.
pub enum Verdict {
    Held(String),
    Broken(String),
    NotRun(String),
}

/// A case that takes longer couldn't run.
const LONGEST: Duration = Duration::from_secs(110);
/// The program that the deploy file builds.
pub const PROGRAM: &str = "target/release/celerystair";
const NAMES: &str = "review/standin-2/names.conf";

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, trouble] = arguments.as_slice() else {
        eprintln!("usage: review-standin-2 CASE FOLDER TROUBLE");
        exit(2);
    };
    let Some(names) = Names::read(NAMES.as_ref()) else {
        eprintln!("{NAMES} can't be read; run this from the root of the repository");
        exit(2);
    };
    if !Path::new(PROGRAM).exists() {
        eprintln!("{PROGRAM} isn't built");
        exit(2);
    }
    let has_trouble = trouble != "0";
    let record_path = Path::new(folder).join("record.txt");
    let record = Record::new();
    let started = catch_unwind(AssertUnwindSafe(|| Fleet::start(names, &record)));
    let Ok(mut fleet) = started else {
        exit(2);
    };
    record.note(format!(
        "case {case}, {} the disruption",
        if has_trouble { "with" } else { "without" }
    ));
    fleet.end_after(LONGEST, record_path.clone());
    let play = || match case.as_str() {
        "versions" => cases::versions(&mut fleet, has_trouble),
        "adapters" => cases::adapters(&mut fleet, has_trouble),
        "retaken" => cases::retaken(&mut fleet, has_trouble),
        "departure" => cases::departure(&mut fleet, has_trouble),
        "pause" => cases::pause(&mut fleet, has_trouble),
        "cut" => cases::cut(&mut fleet, has_trouble),
        _ => Verdict::NotRun(format!("there is no case {case}")),
    };
    let verdict = catch_unwind(AssertUnwindSafe(play))
        .unwrap_or_else(|_| Verdict::NotRun("a stand-in failed".to_owned()));
    let (code, line) = match verdict {
        Verdict::Held(line) => (0, format!("the rule held: {line}")),
        Verdict::Broken(line) => (1, format!("THE RULE IS BROKEN: {line}")),
        Verdict::NotRun(line) => (2, format!("the case couldn't run: {line}")),
    };
    fleet.end();
    record.note(&line);
    record.write(&record_path);
    println!("{line}");
    exit(code);
}
