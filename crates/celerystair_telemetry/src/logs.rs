//! Loggers for terminals and JSON. A dedicated thread writes the records; when it can't keep up,
//! records are dropped, so that a slow reader of the log never blocks a request.

use std::time::Instant;

use celerystair_config::prelude::LogFormat;
use slog::{Discard, Drain, Logger, o};

use crate::bounded::RateLimitedDrain;

/// Capacity of the channel to the writer thread, in records.
const CHANNEL_RECORDS: usize = 4096;

/// Creates a logger to standard error that adds `role` and `process` to each record.
pub fn logger(format: LogFormat, role: &'static str, process: &str) -> Logger {
    let values = o!("role" => role, "process" => process.to_owned());
    match format {
        LogFormat::Off => Logger::root(Discard, o!()),
        LogFormat::Json => {
            let drain = slog_json::Json::default(std::io::stderr());
            Logger::root(on_writer_thread(drain.fuse()), values)
        }
        LogFormat::Terminal => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            let drain = slog_term::FullFormat::new(decorator).build();
            Logger::root(on_writer_thread(drain.fuse()), values)
        }
    }
}

/// Creates a JSON logger to standard output, from which the platform collects logs. Lines with the
/// same message are limited per second; see [`RateLimitedDrain`]. The records are written as the guard is
/// dropped: clones of the logger in hooks and threads outlive the process's work.
pub fn logger_to_stdout(role: &'static str, process: &str) -> (Logger, LogGuard) {
    let values = o!("role" => role, "process" => process.to_owned());
    let writer = slog_json::Json::default(std::io::stdout()).fuse();
    let (drain, guard) = slog_async::Async::new(writer)
        .chan_size(CHANNEL_RECORDS)
        .build_with_guard();
    let start = Instant::now();
    let now_ms = move || start.elapsed().as_millis() as u64;
    let drain = RateLimitedDrain::new(drain.fuse(), now_ms);
    (
        Logger::root(drain.fuse(), values),
        LogGuard { _guard: guard },
    )
}

/// Waits, as it is dropped, until all records so far are written.
pub struct LogGuard {
    _guard: slog_async::AsyncGuard,
}

/// Logs each panic as `panicked`, with its place and message. A task that panics ends alone, and
/// whatever it should have done stays undone.
pub fn log_panics(log: &Logger) {
    let (log, print) = (log.clone(), std::panic::take_hook());
    std::panic::set_hook(Box::new(move |panic| {
        slog::error!(log, "panicked"; "detail" => %panic);
        print(panic);
    }));
}

fn on_writer_thread<D>(drain: D) -> slog::Fuse<slog_async::Async>
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    slog_async::Async::new(drain)
        .chan_size(CHANNEL_RECORDS)
        .build()
        .fuse()
}
