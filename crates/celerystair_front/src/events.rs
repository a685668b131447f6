//! Splitting a stream into whole events.

use bytes::{Bytes, BytesMut};
use celerystair_net::events::{EventRules, EventScanner};

/// The longest event that is buffered.
const EVENT_MAX_BYTES: usize = 256 * 1024;

/// Buffers the bytes of a stream and returns them in whole events.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    rules: EventRules,
    scanner: EventScanner,
    partial: BytesMut,
}

impl EventSplitter {
    /// Creates a splitter of a stream that goes on after the event `last_id`, if that is known.
    pub fn new(rules: EventRules, last_id: Option<u64>) -> Self {
        Self {
            rules,
            scanner: EventScanner::new(rules, last_id),
            partial: BytesMut::new(),
        }
    }

    /// Appends bytes and returns all events that are now complete, as one piece.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        let buffered_bytes = self.partial.len();
        self.partial.extend_from_slice(bytes);
        let end = self.scanner.scan(bytes)?;
        Some(self.partial.split_to(buffered_bytes + end).freeze())
    }

    /// Reads bytes that are passed on also inside an event. Returns those that may be: of bytes that are no
    /// part of an event, only what whole events come before.
    pub fn observe(&mut self, bytes: &Bytes) -> Bytes {
        let end = self.scanner.scan(bytes);
        if self.scanner.invalid_event().is_some() {
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

    /// Returns the id of the last whole event that had one, or after which the stream goes on.
    pub fn last_id(&self) -> Option<u64> {
        self.scanner.last_id()
    }

    /// Returns the number of buffered bytes after the last whole event.
    pub fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Discards the bytes after the last whole event, before another upstream goes on after it.
    pub fn begin_part(&mut self) {
        self.partial.clear();
        self.scanner = EventScanner::new(self.rules, self.scanner.last_id());
    }
}
