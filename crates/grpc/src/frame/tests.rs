use super::*;
use proptest::prelude::*;

proptest! {
    #[test]
    fn framed_messages_are_deframed_unchanged_for_any_chunk_size(
        messages in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..200), 0..10),
        chunk_bytes in 1usize..50,
    ) {
        let bytes: Vec<u8> = messages.iter().flat_map(|message| frame(message).to_vec()).collect();
        let (mut deframer, mut out) = (Deframer::new(200), Vec::new());
        for piece in bytes.chunks(chunk_bytes) {
            deframer.push(piece);
            while let Some(message) = deframer.take_message().expect("the frames are valid") {
                out.push(message.to_vec());
            }
        }
        prop_assert_eq!(out, messages);
        prop_assert!(!deframer.has_partial_message());
    }

    #[test]
    fn arbitrary_bytes_neither_panic_nor_exceed_the_length_limit(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let mut deframer = Deframer::new(100);
        deframer.push(&bytes);
        while let Ok(Some(message)) = deframer.take_message() {
            prop_assert!(message.len() <= 100);
        }
    }
}

#[test]
fn a_message_above_the_length_limit_is_rejected_once_its_header_is_read() {
    let mut deframer = Deframer::new(1000);
    deframer.push(&[0, 0x06, 0x40, 0, 0]);
    assert_eq!(
        deframer.take_message(),
        Err(FrameError::TooLong {
            length: 100 << 20,
            max: 1000
        })
    );
}
