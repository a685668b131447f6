//! Replays bursts of lines that are alike.

use std::{
    fmt,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
};

use celerystair_telemetry::bounded::{Bounded, LINES_PER_SECOND};
use slog::{Drain, KV, Logger, Never, OwnedKVList, Record, Serializer, info, o};

/// Keeps what was written: the message, and the sorted pairs.
#[derive(Clone, Default)]
struct Kept(Arc<Mutex<Vec<String>>>);

impl Kept {
    fn lines(&self) -> Vec<String> {
        self.0.lock().expect("lines").clone()
    }
}

impl Drain for Kept {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, _: &OwnedKVList) -> Result<(), Never> {
        let mut pairs = Pairs(Vec::new());
        record.kv().serialize(record, &mut pairs).expect("a line");
        pairs.0.sort();
        let line = format!("{} {}", record.msg(), pairs.0.join(" "));
        let line = line.trim_end().to_owned();
        self.0.lock().expect("lines").push(line);
        Ok(())
    }
}

struct Pairs(Vec<String>);

impl Serializer for Pairs {
    fn emit_arguments(&mut self, key: &'static str, value: &fmt::Arguments<'_>) -> slog::Result {
        self.0.push(format!("{key}={value}"));
        Ok(())
    }
}

fn bounded() -> (Logger, Kept, Arc<AtomicU64>) {
    let (kept, clock) = (Kept::default(), Arc::new(AtomicU64::new(5000)));
    let reading = clock.clone();
    let drain = Bounded::new(kept.clone(), move || reading.load(Ordering::Relaxed));
    (Logger::root(drain.fuse(), o!()), kept, clock)
}

#[test]
fn what_is_over_the_bound_is_left_out_and_counted() {
    let (log, kept, clock) = bounded();
    for number in 0..1000 {
        info!(log, "request_waits"; "number" => number);
    }
    info!(log, "upstream_gone");
    let lines = kept.lines();
    assert_eq!(lines.len() as u32, LINES_PER_SECOND + 1);
    assert_eq!(lines[0], "request_waits number=0", "the first tell most");
    assert_eq!(lines[lines.len() - 1], "upstream_gone", "other kinds go on");
    clock.store(6000, Ordering::Relaxed);
    info!(log, "upstream_found");
    info!(log, "request_waits"; "number" => 1000);
    let left_out = 1000 - LINES_PER_SECOND;
    let told = format!("lines_left_out count={left_out} kind=request_waits");
    let after = [&told, "upstream_found", "request_waits number=1000"];
    assert_eq!(kept.lines()[lines.len()..], after);
}

#[test]
fn a_kind_that_is_made_at_run_time_is_bounded_too() {
    let (log, kept, _) = bounded();
    for _ in 0..1000 {
        info!(log, "{}", "attempt_failed");
    }
    assert_eq!(kept.lines().len() as u32, LINES_PER_SECOND);
}

#[test]
fn what_is_within_the_bound_is_written_as_it_is() {
    let (log, kept, clock) = bounded();
    for second in 0..5 {
        clock.store(5000 + second * 1000, Ordering::Relaxed);
        for _ in 0..LINES_PER_SECOND {
            info!(log, "a");
            info!(log, "b");
        }
    }
    assert_eq!(kept.lines().len() as u32, 10 * LINES_PER_SECOND);
}
