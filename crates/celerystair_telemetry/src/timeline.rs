//! The timeline: a trace of the decisions and outcomes in each process, as JSON lines.
//!
//! A dedicated thread writes the events. When it can't keep up, events are dropped and counted,
//! also in the file, so that no request waits for the disk. `docs/OPERATIONS.md` lists the kinds of
//! events; [`crate::story`] reads the files.

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

/// Capacity of the channel to the writer thread, in events.
const CHANNEL_EVENTS: usize = 8192;
/// Buffered lines are written once they exceed this size, or the channel is empty.
const BUFFER_BYTES: usize = 64 << 10;

/// One event of the timeline. Optional fields are empty if they don't apply, and are then omitted
/// from the file.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Event {
    /// Hybrid logical time; set by [`Timeline::record`].
    pub hybrid_time: u64,
    /// The name of the recording process; set by [`Timeline::record`].
    pub process: String,
    /// The role of the recording process, such as `router`; set by [`Timeline::record`].
    pub role: String,
    /// The kind of event, such as `load_started`.
    pub kind: String,
    /// The identifier of the request.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub request: String,
    /// The identifier of the attempt.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub attempt: String,
    /// The model, as `base` or `base:adapter`.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub model: String,
    /// The name of the upstream.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub upstream: String,
    /// The generation of the placement, or the identifier of a configuration change.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub change: String,
    /// The cause or result, in the form that the kind of event defines.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub detail: String,
}

/// A process's recorder of events. Clones share one clock and one writer thread.
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
    /// Waits until all recorded events are written, so that a graceful shutdown loses none.
    fn drop(&mut self) {
        self.events.close();
        if let Some(thread) = self.thread.take() {
            thread.join().ok();
        }
    }
}

impl Timeline {
    /// Creates a timeline that discards its events. Its clock still runs.
    pub fn off() -> Self {
        Self::default()
    }

    /// Creates a timeline that appends its events to the file at `path`.
    pub fn to_file(path: &Path, role: &'static str, process: &str) -> std::io::Result<Self> {
        let file = OpenOptions::new().append(true).create(true).open(path)?;
        let (events, receiver) = async_channel::bounded::<Event>(CHANNEL_EVENTS);
        let dropped = Arc::new(AtomicU64::new(0));
        let clock = HybridClock::default();
        let line_writer = LineWriter {
            file,
            process: process.to_owned(),
            role,
            dropped: dropped.clone(),
            clock: clock.clone(),
        };
        let thread = std::thread::Builder::new()
            .name("timeline".to_owned())
            .spawn(move || line_writer.write_all(&receiver))?;
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

    /// Returns the clock that stamps events and messages between processes.
    pub fn clock(&self) -> &HybridClock {
        &self.clock
    }

    /// Records an event, or drops and counts it if the channel to the writer is full.
    pub fn record(&self, mut event: Event) {
        let Some(writer) = &self.writer else { return };
        event.hybrid_time = self.clock.tick();
        event.process.clone_from(&writer.process);
        writer.role.clone_into(&mut event.role);
        if writer.events.try_send(event).is_err() {
            writer.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the number of events dropped since the start of the process.
    pub fn dropped(&self) -> u64 {
        self.writer
            .as_ref()
            .map_or(0, |writer| writer.dropped.load(Ordering::Relaxed))
    }
}

/// The state of the writer thread.
struct LineWriter {
    file: File,
    process: String,
    role: &'static str,
    dropped: Arc<AtomicU64>,
    clock: HybridClock,
}

impl LineWriter {
    /// Writes events until the channel is closed and empty. Each write ends with a complete line,
    /// so that several processes can append to one file.
    fn write_all(mut self, receiver: &async_channel::Receiver<Event>) {
        let mut lines = Vec::with_capacity(BUFFER_BYTES);
        let mut reported_dropped = 0;
        while let Ok(event) = receiver.recv_blocking() {
            push_line(&mut lines, &event);
            let dropped = self.dropped.load(Ordering::Relaxed);
            if dropped > reported_dropped {
                push_line(&mut lines, &self.dropped_event(dropped - reported_dropped));
                reported_dropped = dropped;
            }
            if receiver.is_empty() || lines.len() > BUFFER_BYTES {
                // A full disk must not end the process. The timeline then has a gap.
                self.file.write_all(&lines).ok();
                lines.clear();
            }
        }
    }

    /// Creates the event that records in the file how many events are missing from it.
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

/// Appends `event` as one line, or nothing if it can't be serialized.
fn push_line(lines: &mut Vec<u8>, event: &Event) {
    let start = lines.len();
    if serde_json::to_writer(&mut *lines, event).is_ok() {
        lines.push(b'\n');
    } else {
        lines.truncate(start);
    }
}
