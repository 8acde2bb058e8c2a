//! Discovery messages of arbitrary or corrupt bytes are decoded or rejected without a panic.

use super::*;
use proptest::prelude::*;
use wheelspread::time::{Moment, Span};
use wheelspread_controller_core::membership::ProxyIdentity;
use wheelspread_controller_core::publication::Version;
use wheelspread_discovery::{Request, RequestBody, Stream};

proptest! {
    #[test]
    fn arbitrary_bytes_are_decoded_or_rejected_without_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = decode_state_of_the_world_request(&bytes);
        let _ = decode_delta_request(&bytes);
        let _ = decode_delta_response(&bytes);
    }

    // A faulty client or a corrupted connection may change any byte of a request.
    #[test]
    fn a_request_with_a_corrupt_byte_is_handled_or_rejected_without_a_panic(at in 0usize..120, to in any::<u8>()) {
        let body = RequestBody::Delta {
            subscribe: vec!["quote".into()], unsubscribe: vec!["old".into()],
            initial_versions: [("quote".to_string(), "1".to_string())].into(),
        };
        let identity = ProxyIdentity { name: "g1".into(), zone: "north".into(), usual_rate: Some(3.0) };
        let mut bytes = encode_delta_request(Some(&identity), Some(Version(7)), &Request { resource_type: ResourceType::Entries, nonce: "4".into(), error: None, body });
        let at = at % bytes.len();
        bytes[at] = to;
        if let Ok(request) = decode_delta_request(&bytes) {
            let mut stream = Stream::new(5, Span::from_seconds(1.0));
            stream.handle_request(Moment::from_seconds(1.0), &request.request);
        }
    }
}
