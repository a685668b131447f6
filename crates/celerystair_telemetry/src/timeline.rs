//! The time line: what decided or ended something, in every process, as JSON lines.
//!
//! Events are written by a thread of their own. When it can't keep up, events are dropped and
//! counted, in the file too; a request never waits for it. The kinds of events are listed in
//! `docs/OPERATIONS.md`; [`crate::story`] reads the files.

use std::{
    fs::{File, OpenOptions},
    io::Write,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread::JoinHandle,
};

use celerystair_core::prelude::*;
use serde::{Deserialize, Serialize};

/// Events that may wait for the writer.
const CHANNEL_EVENTS: usize = 8192;
/// Lines are written once this many bytes have come together, or nothing waits.
const BUFFER_BYTES: usize = 64 << 10;

/// One event. Fields that don't apply are left empty and not written.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Event {
    /// Hybrid logical time; filled in when it is recorded.
    pub hybrid_time: u64,
    /// Where it happened; filled in when it is recorded.
    pub process: String,
    /// The role of the process; filled in when it is recorded.
    pub role: String,
    /// What happened, such as `load_started`.
    pub kind: String,
    /// The request.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub request: String,
    /// The attempt.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub attempt: String,
    /// The model, with its adapter.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub model: String,
    /// The upstream.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub upstream: String,
    /// The generation of the placement, or the change of configuration.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub change: String,
    /// Why, or with what result.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub detail: String,
}

/// Where a process records its events; cheap to clone.
#[derive(Clone, Default)]
pub struct Timeline {
    clock: HybridClock,
    writer: Option<Arc<Writer>>,
}

struct Writer {
    process: String,
    role: &'static str,
    events: async_channel::Sender<Event>,
    dropped: Arc<AtomicU64>,
    thread: Option<JoinHandle<()>>,
}

impl Drop for Writer {
    /// Waits until what was recorded is in the file, so that a planned stop loses no event.
    fn drop(&mut self) {
        self.events.close();
        if let Some(thread) = self.thread.take() {
            thread.join().ok();
        }
    }
}

impl Timeline {
    /// A time line that writes nothing; its clock still runs.
    pub fn off() -> Self {
        Self::default()
    }

    /// Appends events to the file at `path`.
    pub fn to_file(path: &Path, role: &'static str, process: &str) -> std::io::Result<Self> {
        let file = OpenOptions::new().append(true).create(true).open(path)?;
        let (events, waiting) = async_channel::bounded::<Event>(CHANNEL_EVENTS);
        let dropped = Arc::new(AtomicU64::new(0));
        let clock = HybridClock::default();
        let lines = LineWriter {
            file,
            process: process.to_owned(),
            role,
            dropped: dropped.clone(),
            clock: clock.clone(),
        };
        let thread = std::thread::Builder::new()
            .name("timeline".to_owned())
            .spawn(move || lines.write_all(&waiting))?;
        let writer = Writer {
            process: process.to_owned(),
            role,
            events,
            dropped,
            thread: Some(thread),
        };
        Ok(Self {
            clock,
            writer: Some(Arc::new(writer)),
        })
    }

    /// The clock whose time rides on every message.
    pub fn clock(&self) -> &HybridClock {
        &self.clock
    }

    /// Records an event, or drops and counts it when the writer is behind.
    pub fn record(&self, mut event: Event) {
        let Some(writer) = &self.writer else { return };
        event.hybrid_time = self.clock.tick();
        event.process.clone_from(&writer.process);
        writer.role.clone_into(&mut event.role);
        if writer.events.try_send(event).is_err() {
            writer.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Events dropped so far.
    pub fn dropped(&self) -> u64 {
        self.writer
            .as_ref()
            .map_or(0, |writer| writer.dropped.load(Ordering::Relaxed))
    }
}

/// The thread that writes.
struct LineWriter {
    file: File,
    process: String,
    role: &'static str,
    dropped: Arc<AtomicU64>,
    clock: HybridClock,
}

impl LineWriter {
    /// Writes until the channel is closed and empty. Each write ends with a whole line, so that
    /// several processes may append to one file.
    fn write_all(mut self, waiting: &async_channel::Receiver<Event>) {
        let mut lines = Vec::with_capacity(BUFFER_BYTES);
        let mut told_dropped = 0;
        while let Ok(event) = waiting.recv_blocking() {
            push_line(&mut lines, &event);
            let dropped = self.dropped.load(Ordering::Relaxed);
            if dropped > told_dropped {
                push_line(&mut lines, &self.dropped_event(dropped - told_dropped));
                told_dropped = dropped;
            }
            if waiting.is_empty() || lines.len() > BUFFER_BYTES {
                // A full volume must not end the process; the reader sees the gap.
                self.file.write_all(&lines).ok();
                lines.clear();
            }
        }
    }

    /// Says in the file itself that something is missing from it.
    fn dropped_event(&self, count: u64) -> Event {
        Event {
            hybrid_time: self.clock.tick(),
            process: self.process.clone(),
            role: self.role.to_owned(),
            kind: "events_dropped".to_owned(),
            detail: count.to_string(),
            ..Event::default()
        }
    }
}

fn push_line(lines: &mut Vec<u8>, event: &Event) {
    let start = lines.len();
    if serde_json::to_writer(&mut *lines, event).is_ok() {
        lines.push(b'\n');
    } else {
        lines.truncate(start);
    }
}
