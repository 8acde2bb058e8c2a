//! Frames queued until the peer's flow-control window has room.

use bytes::Bytes;
use std::collections::VecDeque;

#[derive(Debug, Default)]
pub(crate) struct SendQueue {
    frames: VecDeque<Bytes>,
    bytes: usize,
}

impl SendQueue {
    /// Number of queued bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Appends a frame.
    pub fn push(&mut self, frame: Bytes) {
        self.bytes += frame.len();
        self.frames.push_back(frame);
    }

    /// The length of the unsent part of the first frame.
    pub fn next_length(&self) -> Option<usize> {
        self.frames.front().map(Bytes::len)
    }

    /// Takes up to `capacity` bytes of the first frame.
    pub fn take(&mut self, capacity: usize) -> Option<Bytes> {
        let mut frame = self.frames.pop_front()?;
        let piece = frame.split_to(capacity.min(frame.len()));
        self.bytes -= piece.len();
        if !frame.is_empty() {
            self.frames.push_front(frame);
        }
        Some(piece)
    }

    /// Drops all frames.
    pub fn clear(&mut self) {
        self.frames.clear();
        self.bytes = 0;
    }
}
