//! RESP2 as bytes, as far as arrays of bulk strings go. Bytes may come in any pieces: each is looked at
//! once, and no length that a peer names is believed before it is within the limits.

use std::ops::Range;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a whole message, framing included.
    pub message: usize,
    /// Strings in one message.
    pub strings: usize,
}

/// Why bytes are no message; nothing after them can be told apart any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadMessage {
    #[error("a message begins with {0:#04x} and not with `*`")]
    NoArray(u8),
    #[error("a string begins with {0:#04x} and not with `$`")]
    NoString(u8),
    #[error("a length that is no number")]
    NoNumber,
    #[error("an array of {0} strings: {1} at most are read")]
    TooMany(usize, usize),
    #[error("a message of more than {0} bytes")]
    TooLong(usize),
    #[error("a line or a string does not end where it says")]
    NoEnd,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Expects {
    Array,
    /// The head of a string.
    Head,
    /// The string itself, up to this place, and the end of its line.
    Body(usize),
}

/// Reads messages out of bytes that are fed in.
#[derive(Debug)]
pub struct Reader {
    limits: Limits,
    bytes: Vec<u8>,
    /// Where the message begins and how far it has been read.
    start: usize,
    at: usize,
    /// How far a line's end has been looked for.
    looked: usize,
    expects: Expects,
    missing: usize,
    strings: Vec<Range<usize>>,
    broken: Option<BadMessage>,
}

/// `*` or `$`, a number of so many digits at most, and the line's end.
const DIGITS: usize = 9;

impl Reader {
    pub fn new(limits: Limits) -> Reader {
        Reader {
            limits,
            bytes: Vec::new(),
            start: 0,
            at: 0,
            looked: 0,
            expects: Expects::Array,
            missing: 0,
            strings: Vec::new(),
            broken: None,
        }
    }

    /// From now on these limits hold, also for the message that is being read.
    pub fn limit(&mut self, limits: Limits) {
        self.limits = limits;
    }

    pub fn feed(&mut self, bytes: &[u8]) {
        // What was read is let go of here, once for each feeding, so no byte is moved for every message.
        if self.start == self.bytes.len() {
            self.bytes.clear();
        } else if self.start > 0 {
            self.bytes.drain(..self.start);
        }
        let start = std::mem::take(&mut self.start);
        (self.at, self.looked) = (self.at - start, self.looked.saturating_sub(start));
        self.strings
            .iter_mut()
            .for_each(|range| *range = range.start - start..range.end - start);
        if let Expects::Body(end) = &mut self.expects {
            *end -= start;
        }
        if self.broken.is_none() {
            self.bytes.extend_from_slice(bytes);
        }
    }

    /// Bytes of a message that has not ended.
    pub fn pending(&self) -> usize {
        self.bytes.len() - self.start
    }

    /// What it holds in memory.
    pub fn held(&self) -> usize {
        self.bytes.capacity()
    }

    /// Gives back memory that a burst took.
    pub fn rest(&mut self) {
        if self.start == self.bytes.len() && self.expects == Expects::Array {
            (self.bytes, self.start, self.at, self.looked) = (Vec::new(), 0, 0, 0);
            self.strings = Vec::new();
        }
    }

    /// The next whole message; `None` until more bytes come. After an error there is none any more.
    pub fn message(&mut self) -> Result<Option<Vec<&[u8]>>, BadMessage> {
        if let Some(error) = self.broken {
            return Err(error);
        }
        match self.advance() {
            Ok(true) => {
                let strings = std::mem::take(&mut self.strings);
                (self.start, self.looked, self.expects) = (self.at, self.at, Expects::Array);
                Ok(Some(
                    strings
                        .into_iter()
                        .map(|range| &self.bytes[range])
                        .collect(),
                ))
            }
            Ok(false) => Ok(None),
            Err(error) => {
                self.broken = Some(error);
                (self.bytes, self.strings, self.start, self.at) = (Vec::new(), Vec::new(), 0, 0);
                Err(error)
            }
        }
    }

    /// Whether a message is whole now.
    fn advance(&mut self) -> Result<bool, BadMessage> {
        loop {
            match self.expects {
                Expects::Array => {
                    let Some(count) = self.line(b'*', BadMessage::NoArray)? else {
                        return Ok(false);
                    };
                    if count > self.limits.strings {
                        return Err(BadMessage::TooMany(count, self.limits.strings));
                    }
                    self.missing = count;
                    self.expects = Expects::Head;
                }
                Expects::Head if self.missing == 0 => return Ok(true),
                Expects::Head => {
                    let Some(length) = self.line(b'$', BadMessage::NoString)? else {
                        return Ok(false);
                    };
                    // Strings that are still to come take six bytes each at least.
                    let least = self.at - self.start + length + 2 + (self.missing - 1) * 6;
                    if least > self.limits.message {
                        return Err(BadMessage::TooLong(self.limits.message));
                    }
                    self.expects = Expects::Body(self.at + length);
                }
                Expects::Body(end) => {
                    if self.bytes.len() < end + 2 {
                        return Ok(false);
                    }
                    if &self.bytes[end..end + 2] != b"\r\n" {
                        return Err(BadMessage::NoEnd);
                    }
                    self.strings.push(self.at..end);
                    (self.at, self.looked, self.missing) = (end + 2, end + 2, self.missing - 1);
                    self.expects = Expects::Head;
                }
            }
        }
    }

    /// A line of a mark and a length, if it is all there.
    fn line(
        &mut self,
        mark: u8,
        other: impl Fn(u8) -> BadMessage,
    ) -> Result<Option<usize>, BadMessage> {
        match self.bytes.get(self.at) {
            None => return Ok(None),
            Some(byte) if *byte != mark => return Err(other(*byte)),
            Some(_) => {}
        }
        let from = self.looked.max(self.at + 1);
        let Some(end) = self.bytes[from..]
            .iter()
            .position(|byte| *byte == b'\r')
            .map(|place| from + place)
        else {
            self.looked = self.bytes.len();
            return if self.bytes.len() - self.at > DIGITS + 1 {
                Err(BadMessage::NoNumber)
            } else {
                Ok(None)
            };
        };
        let digits = &self.bytes[self.at + 1..end];
        if digits.is_empty() || digits.len() > DIGITS || !digits.iter().all(u8::is_ascii_digit) {
            return Err(BadMessage::NoNumber);
        }
        let length = digits
            .iter()
            .fold(0, |sum, digit| sum * 10 + usize::from(digit - b'0'));
        match self.bytes.get(end + 1) {
            None => {
                self.looked = end;
                Ok(None)
            }
            Some(b'\n') => {
                (self.at, self.looked) = (end + 2, end + 2);
                Ok(Some(length))
            }
            Some(_) => Err(BadMessage::NoEnd),
        }
    }
}

/// Appends one message.
pub fn write<S: AsRef<[u8]>>(strings: &[S], out: &mut Vec<u8>) {
    let head = |mark: u8, count: usize, out: &mut Vec<u8>| {
        out.push(mark);
        out.extend_from_slice(count.to_string().as_bytes());
        out.extend_from_slice(b"\r\n");
    };
    head(b'*', strings.len(), out);
    for string in strings {
        head(b'$', string.as_ref().len(), out);
        out.extend_from_slice(string.as_ref());
        out.extend_from_slice(b"\r\n");
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use test_case::test_case;

    const LIMITS: Limits = Limits {
        message: 200,
        strings: 8,
    };

    fn all(reader: &mut Reader) -> Result<Vec<Vec<Vec<u8>>>, BadMessage> {
        let mut messages = Vec::new();
        while let Some(message) = reader.message()? {
            messages.push(message.into_iter().map(<[u8]>::to_vec).collect());
        }
        Ok(messages)
    }

    #[test_case("GET / HTTP/1.1\r\n", BadMessage::NoArray(b'G'); "another protocol")]
    #[test_case("*1\r\n:5\r\n", BadMessage::NoString(b':'); "a number for a string")]
    #[test_case("*-1\r\n", BadMessage::NoNumber; "a nil array")]
    #[test_case("*1\r\n$-1\r\n", BadMessage::NoNumber; "a nil string")]
    #[test_case("*1\r\n$9999999999", BadMessage::NoNumber; "a length without end")]
    #[test_case("*9\r\n", BadMessage::TooMany(9, 8); "too many strings")]
    #[test_case("*1\r\n$200\r\n", BadMessage::TooLong(200); "a string that can't fit")]
    #[test_case("*8\r\n$150\r\n", BadMessage::TooLong(200); "strings that can't all fit")]
    #[test_case("*1\n$4\nping\n", BadMessage::NoNumber; "bare line feeds")]
    #[test_case("*1\r\n$4\r\npings!", BadMessage::NoEnd; "longer than it says")]
    fn what_can_t_be_read_is_refused_as_soon_as_it_shows(text: &str, why: BadMessage) {
        for cut in [1, 3, text.len()] {
            let mut reader = Reader::new(LIMITS);
            let results = text.as_bytes().chunks(cut).map(|some| {
                reader.feed(some);
                all(&mut reader)
            });
            assert_eq!(
                results.last().expect("some bytes"),
                Err(why),
                "cut by {cut}"
            );
        }
    }

    #[test]
    fn memory_is_given_back_between_messages_and_never_taken_for_a_named_length() {
        let mut reader = Reader::new(Limits {
            message: 1 << 20,
            strings: 8,
        });
        reader.feed(b"*1\r\n$900000\r\nabc");
        assert_eq!(reader.message(), Ok(None));
        assert!(reader.pending() == 16 && reader.held() < 1000);
        let mut reader = Reader::new(LIMITS);
        reader.feed(b"*1\r\n$4\r\nping\r\n");
        assert_eq!(reader.message(), Ok(Some(vec![&b"ping"[..]])));
        reader.rest();
        assert_eq!(reader.held(), 0);
        reader.feed(b"*1\r\n$4\r\npong\r\n");
        assert_eq!(reader.message(), Ok(Some(vec![&b"pong"[..]])));
    }

    proptest! {
        #[test]
        fn what_is_written_is_read_again_in_whatever_pieces_it_comes(
            messages in prop::collection::vec(prop::collection::vec("[a-z\r\n*$]{0,9}", 0..6), 1..6),
            cut in 1usize..40,
        ) {
            let mut bytes = Vec::new();
            messages.iter().for_each(|strings| write(strings, &mut bytes));
            let (mut reader, mut read) = (Reader::new(LIMITS), Vec::new());
            for some in bytes.chunks(cut) {
                reader.feed(some);
                read.extend(all(&mut reader).expect("fine"));
            }
            let texts: Vec<Vec<Vec<u8>>> =
                messages.into_iter().map(|m| m.into_iter().map(String::into_bytes).collect()).collect();
            prop_assert_eq!((read, reader.pending()), (texts, 0));
        }

        #[test]
        fn no_bytes_panic(bytes in prop::collection::vec(any::<u8>(), 0..300), cut in 1usize..30) {
            let mut reader = Reader::new(LIMITS);
            for some in bytes.chunks(cut) {
                reader.feed(some);
                let _ = all(&mut reader);
            }
        }
    }
}
