use super::*;
use proptest::prelude::*;

proptest! {
    #[test]
    fn messages_come_out_as_they_went_in(
        messages in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..200), 0..10),
        cut in 1usize..50,
    ) {
        let bytes: Vec<u8> = messages.iter().flat_map(|message| frame(message).to_vec()).collect();
        let (mut deframer, mut out) = (Deframer::new(200), Vec::new());
        for piece in bytes.chunks(cut) {
            deframer.push(piece);
            while let Some(message) = deframer.take_message().expect("they are fine") {
                out.push(message.to_vec());
            }
        }
        prop_assert_eq!(out, messages);
        prop_assert!(!deframer.has_partial_message());
    }

    #[test]
    fn no_bytes_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let mut deframer = Deframer::new(100);
        deframer.push(&bytes);
        while let Ok(Some(message)) = deframer.take_message() {
            prop_assert!(message.len() <= 100);
        }
    }
}

#[test]
fn a_message_that_is_too_long_is_refused_before_it_is_buffered() {
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
