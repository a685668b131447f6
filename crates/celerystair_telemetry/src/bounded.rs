//! Rate limiting of log lines, by their message. During a burst, every request may log that it
//! waits: thousands of similar lines, of which the first ones are informative. The rest are only
//! counted.

use std::{collections::BTreeMap, fmt, sync::Mutex};

use slog::{Drain, Level, OwnedKVList, Record, b};

/// The maximum number of lines with the same message that are written per second.
pub const LINES_PER_SECOND_MAX: u32 = 200;
const SECOND_MS: u64 = 1000;

/// A drain that suppresses the lines beyond [`LINES_PER_SECOND_MAX`] of each message and logs their
/// number, as `lines_left_out`, with the first line after that second.
pub struct RateLimitedDrain<D, C> {
    drain: D,
    now_ms: C,
    /// The current window of each message.
    windows: Mutex<BTreeMap<String, Window>>,
}

/// Counts of the lines with one message in the second that began at `start_ms`.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    start_ms: u64,
    written: u32,
    suppressed: u32,
}

/// The number of lines with one message that were suppressed in a window that has ended.
struct Suppressed {
    kind: String,
    count: u32,
}

impl<D, C: Fn() -> u64> RateLimitedDrain<D, C> {
    /// Limits the lines passed on to `drain`. `now_ms` returns a monotonic time in milliseconds.
    pub fn new(drain: D, now_ms: C) -> Self {
        Self {
            drain,
            now_ms,
            windows: Mutex::default(),
        }
    }

    /// Counts a line with the message `kind`. Returns whether to write it, and the suppressed lines
    /// to report before it.
    fn count(&self, kind: &str) -> (bool, Vec<Suppressed>) {
        let now_ms = (self.now_ms)();
        let Ok(mut windows) = self.windows.lock() else {
            // A thread panicked while it held the lock: log without a limit.
            return (true, Vec::new());
        };
        let mut suppressed = Vec::new();
        windows.retain(|kind, window| {
            let is_over = now_ms >= window.start_ms + SECOND_MS;
            if is_over && window.suppressed > 0 {
                suppressed.push(Suppressed {
                    kind: kind.clone(),
                    count: window.suppressed,
                });
            }
            !is_over
        });
        if !windows.contains_key(kind) {
            let window = Window {
                start_ms: now_ms,
                ..Window::default()
            };
            windows.insert(kind.to_owned(), window);
        }
        let is_written = windows.get_mut(kind).is_some_and(|window| {
            let is_written = window.written < LINES_PER_SECOND_MAX;
            window.written += u32::from(is_written);
            window.suppressed += u32::from(!is_written);
            is_written
        });
        (is_written, suppressed)
    }
}

impl<D: Drain, C: Fn() -> u64> Drain for RateLimitedDrain<D, C> {
    type Ok = ();
    type Err = D::Err;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), D::Err> {
        let message = record.msg();
        let (is_written, suppressed) = match message.as_str() {
            Some(kind) => self.count(kind),
            None => self.count(&message.to_string()),
        };
        for Suppressed { kind, count } in &suppressed {
            let message: fmt::Arguments<'_> = format_args!("lines_left_out");
            let pairs = b!("kind" => kind, "count" => count);
            let line = slog::record!(Level::Warning, "", &message, pairs);
            self.drain.log(&line, values)?;
        }
        if is_written {
            self.drain.log(record, values)?;
        }
        Ok(())
    }
}
