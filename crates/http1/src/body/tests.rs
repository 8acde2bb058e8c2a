use super::*;
use proptest::prelude::*;
use test_case::test_case;

#[test_case("5\r\nhello\r\n0\r\n\r\n", 5; "one chunk")]
#[test_case("5;name=value\r\nhello\r\n00\r\nX: y\r\nZ: 1\r\n\r\n", 5; "extensions and trailers")]
#[test_case("A\r\n0123456789\r\n1\r\nx\r\n0\r\n\r\n", 11; "hexadecimal")]
#[test_case("0\r\n\r\n", 0; "empty body")]
fn chunked_bodies_are_tracked_to_their_end_for_any_read_size(text: &str, content_bytes: u64) {
    for read_bytes in 1..=text.len() {
        let with_next = format!("{text}GET / HTTP/1.1");
        let (mut body, mut taken) = (Body::new(Framing::Chunked), 0);
        let (mut reader, mut content) = (body, Vec::new());
        while !body.is_complete() {
            let end = (taken + read_bytes).min(with_next.len());
            let piece = &with_next.as_bytes()[taken..end];
            taken += body.take(piece).expect("valid");
            reader.read(piece, &mut content).expect("valid");
        }
        assert_eq!(
            (taken, content.len() as u64),
            (text.len(), content_bytes),
            "reads of {read_bytes} bytes"
        );
    }
}

#[test_case("\r\n", MessageError::InvalidChunkSize; "no size")]
#[test_case("5\nhello", MessageError::InvalidChunkSize; "a bare line feed")]
#[test_case("-5\r\n", MessageError::InvalidChunkSize; "a sign")]
#[test_case("0x5\r\n", MessageError::InvalidChunkSize; "a prefix")]
#[test_case("1000000000000000\r\n", MessageError::InvalidChunkSize; "a size that overflows")]
#[test_case("5 \r\nhello", MessageError::InvalidChunkSize; "a space")]
#[test_case("5\r\nhello!\r\n", MessageError::MissingChunkEnd; "data longer than the chunk size")]
#[test_case("0\r\nX: y\n\r\n", MessageError::InvalidTrailer; "a bare line feed in the trailer")]
fn ambiguous_chunk_framing_is_rejected(text: &str, expected: MessageError) {
    assert_eq!(
        Body::new(Framing::Chunked).take(text.as_bytes()),
        Err(expected)
    );
}

#[test]
fn bodies_with_a_length_and_until_close_end_as_framed() {
    let mut body = Body::new(Framing::Length(3));
    assert_eq!(
        (
            body.take(b"ab"),
            body.is_complete(),
            body.ends_with_connection()
        ),
        (Ok(2), false, false)
    );
    assert_eq!((body.take(b"cde"), body.is_complete()), (Ok(1), true));
    let mut body = Body::new(Framing::UntilClose);
    assert_eq!(
        (
            body.take(b"anything"),
            body.is_complete(),
            body.ends_with_connection()
        ),
        (Ok(8), false, true)
    );
    assert!(Body::new(Framing::None).is_complete());
}

proptest! {
    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = Body::new(Framing::Chunked).take(&bytes);
    }
}
