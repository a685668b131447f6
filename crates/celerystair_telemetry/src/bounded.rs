//! A bound on the volume of a log, by the kind of line. A burst that has every request wait writes
//! thousands of lines alike; the first of each kind tell what happens, and the others are counted.

use std::{collections::BTreeMap, fmt, sync::Mutex};

use slog::{Drain, Level, OwnedKVList, Record, b};

/// Lines of one kind that are written a second.
pub const LINES_PER_SECOND: u32 = 200;
const SECOND_MS: u64 = 1000;

/// A drain that leaves out what is over the bound, and says how much that was.
pub struct Bounded<D, C> {
    drain: D,
    now_ms: C,
    kinds: Mutex<BTreeMap<String, Kind>>,
}

/// One kind of line in the second that began at `since_ms`.
#[derive(Clone, Copy, Debug, Default)]
struct Kind {
    since_ms: u64,
    written: u32,
    left_out: u32,
}

/// What was left out of a kind in a second that is over.
struct LeftOut {
    kind: String,
    count: u32,
}

impl<D, C: Fn() -> u64> Bounded<D, C> {
    /// Bounds what goes to `drain`, by a clock in milliseconds.
    pub fn new(drain: D, now_ms: C) -> Self {
        Self {
            drain,
            now_ms,
            kinds: Mutex::default(),
        }
    }

    /// Counts a line of this kind; gives whether it is written, and what is to be told first.
    fn count(&self, kind: &str) -> (bool, Vec<LeftOut>) {
        let now_ms = (self.now_ms)();
        let Ok(mut kinds) = self.kinds.lock() else {
            // A thread has died while it counted; the lines go on without a bound.
            return (true, Vec::new());
        };
        let mut left_out = Vec::new();
        kinds.retain(|name, kind| {
            let is_over = now_ms >= kind.since_ms + SECOND_MS;
            if is_over && kind.left_out > 0 {
                left_out.push(LeftOut {
                    kind: name.clone(),
                    count: kind.left_out,
                });
            }
            !is_over
        });
        if !kinds.contains_key(kind) {
            let begun = Kind {
                since_ms: now_ms,
                ..Kind::default()
            };
            kinds.insert(kind.to_owned(), begun);
        }
        let is_written = kinds.get_mut(kind).is_some_and(|kind| {
            let is_written = kind.written < LINES_PER_SECOND;
            kind.written += u32::from(is_written);
            kind.left_out += u32::from(!is_written);
            is_written
        });
        (is_written, left_out)
    }
}

impl<D: Drain, C: Fn() -> u64> Drain for Bounded<D, C> {
    type Ok = ();
    type Err = D::Err;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), D::Err> {
        let message = record.msg();
        let (is_written, left_out) = match message.as_str() {
            Some(kind) => self.count(kind),
            None => self.count(&message.to_string()),
        };
        for LeftOut { kind, count } in &left_out {
            let told: fmt::Arguments<'_> = format_args!("lines_left_out");
            let pairs = b!("kind" => kind, "count" => count);
            let line = slog::record!(Level::Warning, "", &told, pairs);
            self.drain.log(&line, values)?;
        }
        if is_written {
            self.drain.log(record, values)?;
        }
        Ok(())
    }
}
