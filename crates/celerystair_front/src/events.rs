//! Splitting a stream into whole events.

use bytes::{Bytes, BytesMut};
use celerystair_net::events::EventScanner;

/// The longest event that is buffered.
const EVENT_MAX_BYTES: usize = 256 * 1024;

/// Buffers the bytes of a stream and returns them in whole events.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    scanner: EventScanner,
    more_fields: &'static [&'static str],
    partial: BytesMut,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Creates a splitter of streams whose events may have these fields beside those of the format.
    pub fn new(more_fields: &'static [&'static str]) -> Self {
        Self {
            scanner: EventScanner::new(more_fields),
            more_fields,
            ..Self::default()
        }
    }

    /// Appends bytes and returns all events that are now complete, as one piece.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        let buffered_bytes = self.partial.len();
        self.partial.extend_from_slice(bytes);
        let end = self.scanner.scan(bytes)?;
        let whole = self.partial.split_to(buffered_bytes + end).freeze();
        if let Some(id) = last_id(&whole) {
            self.last_id = Some(id);
        }
        Some(whole)
    }

    /// Reads bytes that are passed on also inside an event. Returns those that may be: of bytes that are no
    /// part of an event, only what whole events come before.
    pub fn observe(&mut self, bytes: &Bytes) -> Bytes {
        let end = self.scanner.scan(bytes);
        if self.scanner.is_invalid() {
            bytes.slice(..end.unwrap_or(0))
        } else {
            bytes.clone()
        }
    }

    /// Returns where in its events the current upstream's part of the stream is.
    pub fn scanner(&self) -> &EventScanner {
        &self.scanner
    }

    /// Returns whether the event that has begun is longer than any that is buffered.
    pub fn is_event_too_long(&self) -> bool {
        self.partial.len() > EVENT_MAX_BYTES
    }

    /// Returns the id of the last whole event that had one.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the number of buffered bytes after the last whole event.
    pub fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Discards the bytes after the last whole event, before another upstream goes on after it.
    pub fn begin_part(&mut self) {
        self.partial.clear();
        self.scanner = EventScanner::new(self.more_fields);
    }
}

/// Returns the id of the last event that has one.
fn last_id(events: &[u8]) -> Option<u64> {
    let lines = events.split(|byte| matches!(byte, b'\n' | b'\r')).rev();
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = std::str::from_utf8(ids.next()?).ok()?;
    id.trim().parse().ok()
}
