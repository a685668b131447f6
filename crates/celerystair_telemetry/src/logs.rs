//! A logger for terminals or JSON. It writes on a thread of its own and drops when it can't
//! keep up, so that a slow reader of the log never holds up a request.

use std::time::Instant;

use celerystair_config::prelude::LogFormat;
use slog::{Discard, Drain, Logger, o};

use crate::bounded::Bounded;

/// Records that may wait for the writer.
const CHANNEL_RECORDS: usize = 4096;

/// A logger whose records bear `role` and `process`.
pub fn logger(format: LogFormat, role: &'static str, process: &str) -> Logger {
    let values = o!("role" => role, "process" => process.to_owned());
    match format {
        LogFormat::Off => Logger::root(Discard, o!()),
        LogFormat::Json => {
            let drain = slog_json::Json::default(std::io::stderr());
            Logger::root(on_thread(drain.fuse()), values)
        }
        LogFormat::Terminal => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            let drain = slog_term::FullFormat::new(decorator).build();
            Logger::root(on_thread(drain.fuse()), values)
        }
    }
}

/// A logger that writes JSON to standard output, where the users' platform collects it; so many
/// lines of each kind a second.
pub fn logger_to_stdout(role: &'static str, process: &str) -> Logger {
    let values = o!("role" => role, "process" => process.to_owned());
    let drain = on_thread(slog_json::Json::default(std::io::stdout()).fuse());
    let start = Instant::now();
    let now_ms = move || start.elapsed().as_millis() as u64;
    Logger::root(Bounded::new(drain, now_ms).fuse(), values)
}

fn on_thread<D>(drain: D) -> slog::Fuse<slog_async::Async>
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    slog_async::Async::new(drain)
        .chan_size(CHANNEL_RECORDS)
        .build()
        .fuse()
}
