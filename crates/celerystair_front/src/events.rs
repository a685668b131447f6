//! The events of a stream: where each ends, and its id.

use bytes::{Bytes, BytesMut};

/// Whole events taken from the bytes of a stream.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Takes in bytes; gives the whole events that they complete, as one piece.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        // The blank line that ends an event may have begun in what was there before.
        let search_from = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(bytes);
        let end = last_event_end(&self.partial, search_from)?;
        let whole = self.partial.split_to(end).freeze();
        if let Some(id) = last_id(&whole) {
            self.last_id = Some(id);
        }
        Some(whole)
    }

    /// The id of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// What came after the last whole event.
    pub fn take_rest(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Drops what came after the last whole event: another upstream sends it anew.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
    }
}

/// Where the last whole event ends.
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

/// The last id that whole events bear.
fn last_id(events: &[u8]) -> Option<u64> {
    let lines = events.split(|byte| *byte == b'\n').rev();
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = std::str::from_utf8(ids.next()?).ok()?;
    id.trim().parse().ok()
}
