//! Finding where the events of a stream end.

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
}
