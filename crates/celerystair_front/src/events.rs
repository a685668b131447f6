//! Finding where the events of a stream end, and splitting the stream into whole ones.

use bytes::{Bytes, BytesMut};

/// The longest event that is buffered.
const EVENT_MAX_BYTES: usize = 256 * 1024;

/// Follows the lines of an event stream to tell whether an event has begun and not ended. A line ends
/// with LF, CR LF or CR, and an event with an empty line.
#[derive(Clone, Debug, Default)]
pub struct EventScanner {
    line: Line,
    /// Whether a field of the current event has been read.
    has_field: bool,
    /// Whether the last byte was a CR: an LF after it belongs to the same line end.
    is_after_cr: bool,
    has_event: bool,
}

/// What the current line has so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Line {
    #[default]
    Empty,
    Comment,
    Field,
}

impl EventScanner {
    /// Reads more of the stream. Returns the number of these bytes after which the stream was last
    /// between two events.
    pub fn scan(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut end = None;
        for (index, byte) in bytes.iter().enumerate() {
            let is_second_of_cr_lf = *byte == b'\n' && self.is_after_cr;
            self.is_after_cr = *byte == b'\r';
            match byte {
                b'\n' if is_second_of_cr_lf => {}
                b'\n' | b'\r' => self.end_line(),
                b':' if self.line == Line::Empty => self.line = Line::Comment,
                _ if self.line == Line::Empty => self.line = Line::Field,
                _ => {}
            }
            if self.is_between_events() {
                end = Some(index + 1);
            }
        }
        end
    }

    fn end_line(&mut self) {
        match std::mem::take(&mut self.line) {
            Line::Empty => {
                self.has_event |= self.has_field;
                self.has_field = false;
            }
            Line::Comment => {}
            Line::Field => self.has_field = true,
        }
    }

    /// Returns whether no event has begun that hasn't ended.
    pub fn is_between_events(&self) -> bool {
        self.line == Line::Empty && !self.has_field
    }

    /// Returns whether an event has ended.
    pub fn has_event(&self) -> bool {
        self.has_event
    }

    /// Forgets the event that has begun.
    fn drop_partial(&mut self) {
        *self = Self {
            has_event: self.has_event,
            ..Self::default()
        };
    }
}

/// Buffers the bytes of a stream and returns them in whole events.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    scanner: EventScanner,
    partial: BytesMut,
    last_id: Option<u64>,
}

impl EventSplitter {
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

    /// Reads bytes that are passed on as they are.
    pub fn observe(&mut self, bytes: &[u8]) {
        self.scanner.scan(bytes);
    }

    /// Returns where in its events the stream is.
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

    /// Discards the bytes after the last whole event; the next upstream sends that event again.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
        self.scanner.drop_partial();
    }
}

/// Returns the id of the last event that has one.
fn last_id(events: &[u8]) -> Option<u64> {
    let lines = events.split(|byte| matches!(byte, b'\n' | b'\r')).rev();
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = std::str::from_utf8(ids.next()?).ok()?;
    id.trim().parse().ok()
}
