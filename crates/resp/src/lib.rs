//! RESP2 as bytes, as far as arrays of bulk strings go: incremental decoding within limits, and encoding.
//!
//! Input may come in any pieces. Each byte is looked at once, and no length that a peer declares is believed
//! before it is within the limits. There are no sockets here.

mod decoder;
mod encoder;
#[cfg(test)]
mod tests;

pub use decoder::{DecodeError, Decoder, Limits};
pub use encoder::encode;
