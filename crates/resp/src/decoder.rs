//! Incremental decoding of messages: arrays of bulk strings.

use std::ops::Range;

/// Type byte of an array.
pub(crate) const ARRAY_TYPE: u8 = b'*';
/// Type byte of a bulk string.
pub(crate) const BULK_STRING_TYPE: u8 = b'$';
/// Terminator of a header and of a bulk string.
pub(crate) const LINE_END: &[u8; 2] = b"\r\n";
/// Maximum number of digits of a length.
const MAX_LENGTH_DIGITS: usize = 9;
/// Encoded length of an empty bulk string, `$0\r\n\r\n`.
const MIN_BULK_STRING_BYTES: usize = 6;

/// Maximum size of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum length of an encoded message in bytes, framing included.
    pub message_bytes: usize,
    /// Maximum number of strings in a message.
    pub strings: usize,
}

/// Why bytes cannot be decoded. The start of the next message cannot be found after an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// A message does not start with the type byte of an array.
    #[error("message starts with byte {0:#04x}, expected `*`")]
    NotAnArray(u8),
    /// A string does not start with the type byte of a bulk string.
    #[error("string starts with byte {0:#04x}, expected `$`")]
    NotAString(u8),
    /// A length is not a decimal number, or has too many digits.
    #[error("length is not a decimal number of at most 9 digits")]
    InvalidLength,
    /// An array declares more strings than the limit.
    #[error("array of {count} strings exceeds the limit of {max}")]
    TooManyStrings {
        /// The declared number of strings.
        count: usize,
        /// The maximum number of strings.
        max: usize,
    },
    /// A message whose declared lengths exceed the limit.
    #[error("message exceeds the limit of {max} bytes")]
    MessageTooLong {
        /// The maximum length in bytes.
        max: usize,
    },
    /// A header or a string is not terminated by CR LF.
    #[error("header or string is not terminated by CR LF")]
    MissingLineEnd,
}

/// The element to which the next byte belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    ArrayHeader,
    StringHeader,
    /// A string that ends before this position, and its terminator.
    String {
        end: usize,
    },
}

/// Decodes messages from the bytes that are fed in.
#[derive(Debug)]
pub struct Decoder {
    limits: Limits,
    bytes: Vec<u8>,
    /// Start of the current message in `bytes`.
    message_start: usize,
    /// End of the decoded part of the current message in `bytes`.
    position: usize,
    /// Position up to which the end of a header has been searched for.
    searched: usize,
    state: State,
    /// Number of strings of the current message that are not decoded yet.
    remaining_strings: usize,
    strings: Vec<Range<usize>>,
    error: Option<DecodeError>,
}

impl Decoder {
    /// Creates a decoder that expects the start of a message.
    pub fn new(limits: Limits) -> Decoder {
        Decoder {
            limits,
            bytes: Vec::new(),
            message_start: 0,
            position: 0,
            searched: 0,
            state: State::ArrayHeader,
            remaining_strings: 0,
            strings: Vec::new(),
            error: None,
        }
    }

    /// Changes the limits, also for the message that is being decoded.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Appends the next bytes of the input. After an error they are discarded.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.discard_decoded();
        if self.error.is_none() {
            self.bytes.extend_from_slice(bytes);
        }
    }

    /// Removes the messages that were returned. It is done once per call of `feed`, so that the remaining bytes are not
    /// moved once per message.
    fn discard_decoded(&mut self) {
        if self.message_start == self.bytes.len() {
            self.bytes.clear();
        } else if self.message_start > 0 {
            self.bytes.drain(..self.message_start);
        }
        let discarded = std::mem::take(&mut self.message_start);
        self.position -= discarded;
        self.searched = self.searched.saturating_sub(discarded);
        for range in &mut self.strings {
            *range = range.start - discarded..range.end - discarded;
        }
        if let State::String { end } = &mut self.state {
            *end -= discarded;
        }
    }

    /// Number of buffered bytes that belong to no returned message.
    pub fn pending_bytes(&self) -> usize {
        self.bytes.len() - self.message_start
    }

    /// Capacity of the buffer in bytes.
    pub fn buffer_bytes(&self) -> usize {
        self.bytes.capacity()
    }

    /// Frees the memory of the buffer, which may have grown in a burst, if no message is pending.
    pub fn release_memory(&mut self) {
        if self.message_start == self.bytes.len() && self.state == State::ArrayHeader {
            self.bytes = Vec::new();
            self.strings = Vec::new();
            (self.message_start, self.position, self.searched) = (0, 0, 0);
        }
    }

    /// Returns the next complete message, or `None` if more bytes are needed. After an error, every call returns the same
    /// error.
    pub fn next_message(&mut self) -> Result<Option<Vec<&[u8]>>, DecodeError> {
        if let Some(error) = self.error {
            return Err(error);
        }
        match self.advance() {
            Ok(true) => Ok(Some(self.take_message())),
            Ok(false) => Ok(None),
            Err(error) => {
                self.error = Some(error);
                (self.bytes, self.strings) = (Vec::new(), Vec::new());
                (self.message_start, self.position) = (0, 0);
                Err(error)
            }
        }
    }

    fn take_message(&mut self) -> Vec<&[u8]> {
        let strings = std::mem::take(&mut self.strings);
        (self.message_start, self.searched) = (self.position, self.position);
        self.state = State::ArrayHeader;
        strings
            .into_iter()
            .map(|range| &self.bytes[range])
            .collect()
    }

    /// Decodes the buffered bytes up to the end of a message. Returns whether a message is complete.
    fn advance(&mut self) -> Result<bool, DecodeError> {
        loop {
            let has_advanced = match self.state {
                State::ArrayHeader => self.decode_array_header()?,
                State::StringHeader if self.remaining_strings == 0 => return Ok(true),
                State::StringHeader => self.decode_string_header()?,
                State::String { end } => self.decode_string(end)?,
            };
            if !has_advanced {
                return Ok(false);
            }
        }
    }

    fn decode_array_header(&mut self) -> Result<bool, DecodeError> {
        let Some(count) = self.decode_header(ARRAY_TYPE, DecodeError::NotAnArray)? else {
            return Ok(false);
        };
        if count > self.limits.strings {
            return Err(DecodeError::TooManyStrings {
                count,
                max: self.limits.strings,
            });
        }
        self.remaining_strings = count;
        self.state = State::StringHeader;
        Ok(true)
    }

    fn decode_string_header(&mut self) -> Result<bool, DecodeError> {
        let Some(length) = self.decode_header(BULK_STRING_TYPE, DecodeError::NotAString)? else {
            return Ok(false);
        };
        let decoded = self.position - self.message_start;
        let min_rest_bytes = (self.remaining_strings - 1) * MIN_BULK_STRING_BYTES;
        if decoded + length + LINE_END.len() + min_rest_bytes > self.limits.message_bytes {
            return Err(DecodeError::MessageTooLong {
                max: self.limits.message_bytes,
            });
        }
        self.state = State::String {
            end: self.position + length,
        };
        Ok(true)
    }

    fn decode_string(&mut self, end: usize) -> Result<bool, DecodeError> {
        let line_end = end + LINE_END.len();
        if self.bytes.len() < line_end {
            return Ok(false);
        }
        if &self.bytes[end..line_end] != LINE_END {
            return Err(DecodeError::MissingLineEnd);
        }
        self.strings.push(self.position..end);
        (self.position, self.searched) = (line_end, line_end);
        self.remaining_strings -= 1;
        self.state = State::StringHeader;
        Ok(true)
    }

    /// Decodes a type byte and a length, or returns `None` if the header is incomplete.
    fn decode_header(
        &mut self,
        type_byte: u8,
        wrong_type: impl Fn(u8) -> DecodeError,
    ) -> Result<Option<usize>, DecodeError> {
        match self.bytes.get(self.position) {
            None => return Ok(None),
            Some(byte) if *byte != type_byte => return Err(wrong_type(*byte)),
            Some(_) => {}
        }
        let Some(digits_end) = self.find_header_end()? else {
            return Ok(None);
        };
        let length = parse_length(&self.bytes[self.position + 1..digits_end])?;
        match self.bytes.get(digits_end + 1) {
            None => {
                self.searched = digits_end;
                Ok(None)
            }
            Some(b'\n') => {
                let header_end = digits_end + LINE_END.len();
                (self.position, self.searched) = (header_end, header_end);
                Ok(Some(length))
            }
            Some(_) => Err(DecodeError::MissingLineEnd),
        }
    }

    /// Returns the position of the CR that ends the header, or `None` if it has not arrived.
    fn find_header_end(&mut self) -> Result<Option<usize>, DecodeError> {
        let unsearched = self.searched.max(self.position + 1);
        let found = self.bytes[unsearched..]
            .iter()
            .position(|byte| *byte == LINE_END[0]);
        if let Some(offset) = found {
            return Ok(Some(unsearched + offset));
        }
        self.searched = self.bytes.len();
        if self.bytes.len() - self.position > MAX_LENGTH_DIGITS + 1 {
            return Err(DecodeError::InvalidLength);
        }
        Ok(None)
    }
}

fn parse_length(digits: &[u8]) -> Result<usize, DecodeError> {
    let is_number = !digits.is_empty()
        && digits.len() <= MAX_LENGTH_DIGITS
        && digits.iter().all(u8::is_ascii_digit);
    if !is_number {
        return Err(DecodeError::InvalidLength);
    }
    Ok(digits
        .iter()
        .fold(0, |sum, digit| sum * 10 + usize::from(digit - b'0')))
}
