//! Finding where the events of a stream end, and bytes that are no part of any.

/// The fields that the format has.
const FIELDS: [&str; 4] = ["data", "event", "id", "retry"];

/// The longest value of an `id` field that is read as a whole number, with blanks.
const ID_MAX_BYTES: usize = 32;

/// What the events of a stream have, beyond what the format says of them.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventRules {
    /// Names of fields beside those that the format has.
    pub more_fields: &'static [&'static str],
    /// Whether each id that is a whole number is greater than all before it.
    pub has_increasing_ids: bool,
}

/// Follows the lines of an event stream to tell whether an event has begun and not ended. A line ends
/// with LF, CR LF or CR, and an event with an empty line.
///
/// Only comments and known fields are lines of an event. Readers of events ignore other lines, but an error
/// that an upstream writes after an event, with or without its head, consists of such lines.
#[derive(Clone, Debug, Default)]
pub struct EventScanner {
    rules: EventRules,
    line: Line,
    /// The name of the current line's field, as far as it has been read.
    field: Vec<u8>,
    /// The value of the current line if it is an id, as far as it has been read.
    id_value: Option<Vec<u8>>,
    /// The id of the event that has begun.
    id: Option<u64>,
    /// The id of the last event that had one.
    last_id: Option<u64>,
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
    /// Bytes that can't be a part of the stream.
    Invalid(InvalidEvent),
}

/// Why bytes can't be a part of a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum InvalidEvent {
    /// A line is neither a comment nor a known field.
    UnknownLine,
    /// The event's id isn't greater than those before it.
    IdNotIncreasing,
}

impl InvalidEvent {
    /// Returns the form that logs use.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::UnknownLine => "a line is no part of an event",
            Self::IdNotIncreasing => "an event's id does not follow the last one",
        }
    }
}

impl EventScanner {
    /// Creates a scanner of a stream that goes on after the event `last_id`, if that is known.
    pub fn new(rules: EventRules, last_id: Option<u64>) -> Self {
        Self {
            rules,
            last_id,
            ..Self::default()
        }
    }

    /// Reads more of the stream, up to a byte that can't be a part of it. Returns the number of these
    /// bytes after which the stream was last between two events.
    pub fn scan(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut end = None;
        for (index, byte) in bytes.iter().enumerate() {
            if self.invalid_event().is_some() {
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
                (_, Line::Value) => self.add_to_value(*byte),
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
        let mut fields = FIELDS.iter().chain(self.rules.more_fields);
        let is_known = fields.any(|field| field.as_bytes().starts_with(&self.field));
        self.line = if is_known {
            Line::Name
        } else {
            Line::Invalid(InvalidEvent::UnknownLine)
        };
    }

    fn end_name(&mut self) {
        let mut fields = FIELDS.iter().chain(self.rules.more_fields);
        let is_known = fields.any(|field| field.as_bytes() == self.field);
        self.line = if is_known {
            Line::Value
        } else {
            Line::Invalid(InvalidEvent::UnknownLine)
        };
        self.id_value = (self.field == b"id").then(Vec::new);
        self.field.clear();
    }

    fn add_to_value(&mut self, byte: u8) {
        if let Some(value) = &mut self.id_value {
            value.push(byte);
            if value.len() > ID_MAX_BYTES {
                self.id_value = None;
            }
        }
    }

    fn end_line(&mut self) {
        if self.line == Line::Name {
            self.end_name();
        }
        match std::mem::take(&mut self.line) {
            Line::Empty => self.end_event(),
            Line::Comment => {}
            Line::Name | Line::Value => {
                self.has_field = true;
                self.end_id();
            }
            invalid @ Line::Invalid(_) => self.line = invalid,
        }
    }

    /// Reads the line's value if it is an id; one that is no whole number can't be compared.
    fn end_id(&mut self) {
        let value = self.id_value.take();
        let id = value.and_then(|value| str::from_utf8(&value).ok()?.trim().parse().ok());
        self.id = id.or(self.id);
    }

    fn end_event(&mut self) {
        let id = self.id.take();
        if id.is_some() && id <= self.last_id && self.rules.has_increasing_ids {
            self.line = Line::Invalid(InvalidEvent::IdNotIncreasing);
            return;
        }
        self.last_id = id.or(self.last_id);
        self.has_event |= self.has_field;
        self.has_field = false;
    }

    /// Returns whether no event has begun that hasn't ended.
    pub fn is_between_events(&self) -> bool {
        self.line == Line::Empty && !self.has_field
    }

    /// Returns whether an event has ended.
    pub fn has_event(&self) -> bool {
        self.has_event
    }

    /// Returns the id of the last event that had one.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns why the bytes that were read last can't be a part of the stream, if so.
    pub fn invalid_event(&self) -> Option<InvalidEvent> {
        match self.line {
            Line::Invalid(reason) => Some(reason),
            _ => None,
        }
    }
}
