//! The subset of RESP2 that consists of arrays of bulk strings: incremental decoding within limits, and encoding.
//!
//! Input may arrive in pieces of any size. Each byte is scanned once, and a length that a peer declares is checked
//! against the limits before it is used. This crate has no sockets.

mod decoder;
mod encoder;
#[cfg(test)]
mod tests;

pub use decoder::{DecodeError, Decoder, Limits};
pub use encoder::encode;
