//! Encoding of messages: arrays of bulk strings.

use crate::decoder::{ARRAY_TYPE, BULK_STRING_TYPE, LINE_END};

/// Appends one message to `output`.
pub fn encode<S: AsRef<[u8]>>(strings: &[S], output: &mut Vec<u8>) {
    encode_header(ARRAY_TYPE, strings.len(), output);
    for string in strings {
        let bytes = string.as_ref();
        encode_header(BULK_STRING_TYPE, bytes.len(), output);
        output.extend_from_slice(bytes);
        output.extend_from_slice(LINE_END);
    }
}

fn encode_header(type_byte: u8, length: usize, output: &mut Vec<u8>) {
    output.push(type_byte);
    output.extend_from_slice(length.to_string().as_bytes());
    output.extend_from_slice(LINE_END);
}
