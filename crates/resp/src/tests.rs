//! Decoding of valid and invalid messages in pieces of any size.

use super::*;
use proptest::prelude::*;
use test_case::test_case;

const LIMITS: Limits = Limits {
    message_bytes: 200,
    strings: 8,
};

fn decode_all(decoder: &mut Decoder) -> Result<Vec<Vec<Vec<u8>>>, DecodeError> {
    let mut messages = Vec::new();
    while let Some(message) = decoder.next_message()? {
        messages.push(message.into_iter().map(<[u8]>::to_vec).collect());
    }
    Ok(messages)
}

#[test_case("GET / HTTP/1.1\r\n", DecodeError::NotAnArray(b'G'); "another protocol")]
#[test_case("*1\r\n:5\r\n", DecodeError::NotAString(b':'); "a number instead of a string")]
#[test_case("*-1\r\n", DecodeError::InvalidLength; "a nil array")]
#[test_case("*1\r\n$-1\r\n", DecodeError::InvalidLength; "a nil string")]
#[test_case("*1\r\n$9999999999", DecodeError::InvalidLength; "a length with too many digits")]
#[test_case("*9\r\n", DecodeError::TooManyStrings { count: 9, max: 8 }; "too many strings")]
#[test_case("*1\r\n$200\r\n", DecodeError::MessageTooLong { max: 200 }; "a string above the length limit")]
#[test_case("*8\r\n$150\r\n", DecodeError::MessageTooLong { max: 200 }; "strings that together exceed the length limit")]
#[test_case("*1\n$4\nping\n", DecodeError::InvalidLength; "bare line feeds")]
#[test_case("*1\r\n$4\r\npings!", DecodeError::MissingLineEnd; "a string longer than its declared length")]
fn invalid_bytes_are_rejected_for_any_read_size(text: &str, expected: DecodeError) {
    for piece_bytes in [1, 3, text.len()] {
        let mut decoder = Decoder::new(LIMITS);
        let results = text.as_bytes().chunks(piece_bytes).map(|piece| {
            decoder.feed(piece);
            decode_all(&mut decoder)
        });
        assert_eq!(
            results.last().expect("at least one piece"),
            Err(expected),
            "pieces of {piece_bytes} bytes"
        );
    }
}

#[test]
fn memory_is_released_between_messages_and_never_reserved_for_a_declared_length() {
    let mut decoder = Decoder::new(Limits {
        message_bytes: 1 << 20,
        strings: 8,
    });
    decoder.feed(b"*1\r\n$900000\r\nabc");
    assert_eq!(decoder.next_message(), Ok(None));
    assert!(decoder.pending_bytes() == 16 && decoder.buffer_bytes() < 1000);
    let mut decoder = Decoder::new(LIMITS);
    decoder.feed(b"*1\r\n$4\r\nping\r\n");
    assert_eq!(decoder.next_message(), Ok(Some(vec![&b"ping"[..]])));
    decoder.release_memory();
    assert_eq!(decoder.buffer_bytes(), 0);
    decoder.feed(b"*1\r\n$4\r\npong\r\n");
    assert_eq!(decoder.next_message(), Ok(Some(vec![&b"pong"[..]])));
}

proptest! {
    #[test]
    fn encoded_messages_are_decoded_unchanged_for_any_piece_size(
        messages in prop::collection::vec(prop::collection::vec("[a-z\r\n*$]{0,9}", 0..6), 1..6),
        piece_bytes in 1usize..40,
    ) {
        let mut bytes = Vec::new();
        messages.iter().for_each(|strings| encode(strings, &mut bytes));
        let (mut decoder, mut read) = (Decoder::new(LIMITS), Vec::new());
        for piece in bytes.chunks(piece_bytes) {
            decoder.feed(piece);
            read.extend(decode_all(&mut decoder).expect("valid messages"));
        }
        let texts: Vec<Vec<Vec<u8>>> =
            messages.into_iter().map(|m| m.into_iter().map(String::into_bytes).collect()).collect();
        prop_assert_eq!((read, decoder.pending_bytes()), (texts, 0));
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..300), piece_bytes in 1usize..30) {
        let mut decoder = Decoder::new(LIMITS);
        for piece in bytes.chunks(piece_bytes) {
            decoder.feed(piece);
            let _ = decode_all(&mut decoder);
        }
    }
}
