//! Finds out whether an event stream ends between two events.

/// Byte-order mark that may precede the first event.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// Position in the current line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LinePosition {
    /// This many bytes of a byte-order mark were read, and nothing else.
    Mark(usize),
    Start,
    Field,
    Comment,
}

/// Follows an event stream (`text/event-stream`) chunk by chunk, without keeping its events.
///
/// Lines end with LF, CRLF or CR, and an empty line ends an event. A stream that ends anywhere else was
/// truncated, whatever its framing says. Comments belong to no event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventScanner {
    position: LinePosition,
    /// Whether the last byte was a CR; an LF that follows belongs to the same end of line.
    follows_cr: bool,
    /// Whether the current event has a field.
    has_field: bool,
}

impl Default for EventScanner {
    fn default() -> Self {
        Self {
            position: LinePosition::Mark(0),
            follows_cr: false,
            has_field: false,
        }
    }
}

impl EventScanner {
    /// Reads the next bytes of the stream.
    pub fn read(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.read_byte(*byte);
        }
    }

    /// Returns whether the stream may end here: all events and lines that began have ended.
    pub fn is_between_events(&self) -> bool {
        let is_at_start = match self.position {
            LinePosition::Mark(length) => length == 0 || length == BYTE_ORDER_MARK.len(),
            LinePosition::Start => true,
            LinePosition::Field | LinePosition::Comment => false,
        };
        is_at_start && !self.has_field
    }

    fn read_byte(&mut self, byte: u8) {
        let follows_cr = std::mem::replace(&mut self.follows_cr, byte == b'\r');
        match byte {
            b'\n' if follows_cr => {}
            b'\n' | b'\r' => self.end_line(),
            _ => self.read_text(byte),
        }
    }

    fn end_line(&mut self) {
        match self.position {
            // The bytes of an incomplete mark are a field's name.
            LinePosition::Mark(1 | 2) | LinePosition::Field => self.has_field = true,
            LinePosition::Mark(_) | LinePosition::Start => self.has_field = false,
            LinePosition::Comment => {}
        }
        self.position = LinePosition::Start;
    }

    fn read_text(&mut self, byte: u8) {
        self.position = match self.position {
            LinePosition::Mark(length) if BYTE_ORDER_MARK.get(length) == Some(&byte) => {
                LinePosition::Mark(length + 1)
            }
            LinePosition::Mark(1 | 2) => LinePosition::Field,
            LinePosition::Mark(_) | LinePosition::Start if byte == b':' => LinePosition::Comment,
            LinePosition::Mark(_) | LinePosition::Start => LinePosition::Field,
            position => position,
        };
    }
}
