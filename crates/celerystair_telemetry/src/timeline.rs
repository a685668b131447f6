//! The time line: what decided or ended something, in every process, as JSON lines.
//!
//! Events are written by a thread of their own. When it can't keep up, events are dropped and
//! counted; a request never waits for it. See `docs/ARCHITECTURE.md`.

use std::{
    fs::OpenOptions,
    io::{BufWriter, Write},
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use celerystair_core::prelude::*;
use serde::{Deserialize, Serialize};

/// Events that may wait for the writer.
const CHANNEL_EVENTS: usize = 8192;

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
    dropped: AtomicU64,
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
        std::thread::Builder::new()
            .name("timeline".to_owned())
            .spawn(move || {
                let mut file = BufWriter::new(file);
                while let Ok(event) = waiting.recv_blocking() {
                    write_line(&mut file, &event);
                    if waiting.is_empty() {
                        file.flush().ok();
                    }
                }
            })?;
        let writer = Writer {
            process: process.to_owned(),
            role,
            events,
            dropped: AtomicU64::new(0),
        };
        Ok(Self {
            clock: HybridClock::default(),
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

fn write_line(file: &mut impl Write, event: &Event) {
    // A full volume must not end the process; the reader of the file sees the gap.
    if serde_json::to_writer(&mut *file, event).is_ok() {
        file.write_all(b"\n").ok();
    }
}
