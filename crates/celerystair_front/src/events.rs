//! Splitting a stream of server-sent events into whole events.

use bytes::{Bytes, BytesMut};

/// The longest event that is buffered.
const EVENT_MAX_BYTES: usize = 256 * 1024;

/// Buffers the bytes of a stream and returns them in whole events.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Appends bytes and returns all events that are now complete, as one piece.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        // The blank line that ends an event may begin in the bytes that are already buffered.
        let search_from = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(bytes);
        let end = last_event_end(&self.partial, search_from)?;
        let whole = self.partial.split_to(end).freeze();
        if let Some(id) = last_id(&whole) {
            self.last_id = Some(id);
        }
        Some(whole)
    }

    /// Returns whether the event that has begun is longer than any that is buffered.
    pub fn is_event_too_long(&self) -> bool {
        self.partial.len() > EVENT_MAX_BYTES
    }

    /// Returns the id of the last whole event that had one.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the number of bytes after the last whole event.
    pub fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Removes and returns the bytes after the last whole event.
    pub fn take_rest(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Discards the bytes after the last whole event; the next upstream sends that event again.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
    }
}

/// Returns the index just after the last whole event.
fn last_event_end(bytes: &[u8], search_from: usize) -> Option<usize> {
    let ends_at = |index: usize| {
        let tail = &bytes[search_from.min(index)..=index];
        tail.ends_with(b"\n\n") || tail.ends_with(b"\n\r\n")
    };
    (search_from..bytes.len())
        .rev()
        .find(|index| bytes[*index] == b'\n' && ends_at(*index))
        .map(|index| index + 1)
}

/// Returns the id of the last event that has one.
fn last_id(events: &[u8]) -> Option<u64> {
    let lines = events.split(|byte| *byte == b'\n').rev();
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = std::str::from_utf8(ids.next()?).ok()?;
    id.trim().parse().ok()
}
