//! Rate limiting of log lines under bursts of similar lines.

use std::{
    fmt,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
};

use celerystair_telemetry::bounded::{LINES_PER_SECOND_MAX, RateLimitedDrain};
use slog::{Drain, KV, Logger, Never, OwnedKVList, Record, Serializer, info, o};

/// A drain that keeps each line: the message, then the sorted key-value pairs.
#[derive(Clone, Default)]
struct CapturedLines(Arc<Mutex<Vec<String>>>);

impl CapturedLines {
    fn lines(&self) -> Vec<String> {
        self.0
            .lock()
            .expect("no thread panicked with the lock held")
            .clone()
    }
}

impl Drain for CapturedLines {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, _: &OwnedKVList) -> Result<(), Never> {
        let mut pairs = Pairs(Vec::new());
        record
            .kv()
            .serialize(record, &mut pairs)
            .expect("the record is serialized");
        pairs.0.sort();
        let line = format!("{} {}", record.msg(), pairs.0.join(" "));
        let line = line.trim_end().to_owned();
        self.0
            .lock()
            .expect("no thread panicked with the lock held")
            .push(line);
        Ok(())
    }
}

/// Key-value pairs of a record, as `key=value`.
struct Pairs(Vec<String>);

impl Serializer for Pairs {
    fn emit_arguments(&mut self, key: &'static str, value: &fmt::Arguments<'_>) -> slog::Result {
        self.0.push(format!("{key}={value}"));
        Ok(())
    }
}

/// Returns a rate-limited logger, the lines that it writes, and its clock in milliseconds.
fn rate_limited_logger() -> (Logger, CapturedLines, Arc<AtomicU64>) {
    let (captured, clock) = (CapturedLines::default(), Arc::new(AtomicU64::new(5000)));
    let now_ms = clock.clone();
    let drain = RateLimitedDrain::new(captured.clone(), move || now_ms.load(Ordering::Relaxed));
    (Logger::root(drain.fuse(), o!()), captured, clock)
}

#[test]
fn lines_over_the_limit_are_suppressed_and_counted() {
    let (log, captured, clock) = rate_limited_logger();
    for number in 0..1000 {
        info!(log, "request_waits"; "number" => number);
    }
    info!(log, "upstream_gone");
    let lines = captured.lines();
    assert_eq!(lines.len() as u32, LINES_PER_SECOND_MAX + 1);
    assert_eq!(
        lines[0], "request_waits number=0",
        "the first line of a burst is kept"
    );
    assert_eq!(
        lines[lines.len() - 1],
        "upstream_gone",
        "other messages have limits of their own"
    );
    clock.store(6000, Ordering::Relaxed);
    info!(log, "upstream_found");
    info!(log, "request_waits"; "number" => 1000);
    let suppressed = 1000 - LINES_PER_SECOND_MAX;
    let report = format!("lines_left_out count={suppressed} kind=request_waits");
    let after = [&report, "upstream_found", "request_waits number=1000"];
    assert_eq!(captured.lines()[lines.len()..], after);
}

#[test]
fn messages_formatted_at_run_time_are_limited_too() {
    let (log, captured, _) = rate_limited_logger();
    for _ in 0..1000 {
        info!(log, "{}", "attempt_failed");
    }
    assert_eq!(captured.lines().len() as u32, LINES_PER_SECOND_MAX);
}

#[test]
fn lines_within_the_limit_are_written_unchanged() {
    let (log, captured, clock) = rate_limited_logger();
    for second in 0..5 {
        clock.store(5000 + second * 1000, Ordering::Relaxed);
        for _ in 0..LINES_PER_SECOND_MAX {
            info!(log, "a");
            info!(log, "b");
        }
    }
    assert_eq!(captured.lines().len() as u32, 10 * LINES_PER_SECOND_MAX);
}
