//! Finding where the events of a stream end, and bytes that are no part of any.

/// The fields that the format has.
const FIELDS: [&str; 4] = ["data", "event", "id", "retry"];

/// Follows the lines of an event stream to tell whether an event has begun and not ended. A line ends
/// with LF, CR LF or CR, and an event with an empty line.
///
/// Only comments and known fields are lines of an event. Readers of events ignore other lines, but an error
/// that an upstream writes after an event, with or without its head, consists of such lines.
#[derive(Clone, Debug, Default)]
pub struct EventScanner {
    /// Names of fields beside those that the format has.
    more_fields: &'static [&'static str],
    line: Line,
    /// The name of the current line's field, as far as it has been read.
    field: Vec<u8>,
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
    /// A field's name, or the beginning of one.
    Name,
    /// A field's name and its colon.
    Value,
    /// Bytes that can't be a part of any event.
    Invalid,
}

impl EventScanner {
    /// Creates a scanner of streams whose events may have these fields beside those of the format.
    pub fn new(more_fields: &'static [&'static str]) -> Self {
        Self {
            more_fields,
            ..Self::default()
        }
    }

    /// Reads more of the stream, up to a byte that can't be a part of any event. Returns the number of these
    /// bytes after which the stream was last between two events.
    pub fn scan(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut end = None;
        for (index, byte) in bytes.iter().enumerate() {
            if self.is_invalid() {
                break;
            }
            let is_second_of_cr_lf = *byte == b'\n' && self.is_after_cr;
            self.is_after_cr = *byte == b'\r';
            match (byte, self.line) {
                (b'\n', _) if is_second_of_cr_lf => {}
                (b'\n' | b'\r', _) => self.end_line(),
                (b':', Line::Empty) => self.line = Line::Comment,
                (b':', Line::Name) => self.end_name(),
                (_, Line::Empty | Line::Name) => self.add_to_name(*byte),
                _ => {}
            }
            if self.is_between_events() {
                end = Some(index + 1);
            }
        }
        end
    }

    fn add_to_name(&mut self, byte: u8) {
        self.field.push(byte);
        let mut fields = FIELDS.iter().chain(self.more_fields);
        let is_known = fields.any(|field| field.as_bytes().starts_with(&self.field));
        self.line = if is_known { Line::Name } else { Line::Invalid };
    }

    fn end_name(&mut self) {
        let mut fields = FIELDS.iter().chain(self.more_fields);
        let is_known = fields.any(|field| field.as_bytes() == self.field);
        self.line = if is_known { Line::Value } else { Line::Invalid };
        self.field.clear();
    }

    fn end_line(&mut self) {
        if self.line == Line::Name {
            self.end_name();
        }
        match self.line {
            Line::Empty => {
                self.has_event |= self.has_field;
                self.has_field = false;
            }
            Line::Comment => {}
            Line::Name | Line::Value => self.has_field = true,
            Line::Invalid => return,
        }
        self.line = Line::Empty;
    }

    /// Returns whether no event has begun that hasn't ended.
    pub fn is_between_events(&self) -> bool {
        self.line == Line::Empty && !self.has_field
    }

    /// Returns whether an event has ended.
    pub fn has_event(&self) -> bool {
        self.has_event
    }

    /// Returns whether the stream has a line that can't be a part of any event.
    pub fn is_invalid(&self) -> bool {
        self.line == Line::Invalid
    }
}
