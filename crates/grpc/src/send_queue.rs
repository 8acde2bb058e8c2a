//! Frames that wait until the peer's flow-control window opens.

use bytes::Bytes;
use std::collections::VecDeque;

#[derive(Debug, Default)]
pub(crate) struct SendQueue {
    frames: VecDeque<Bytes>,
    bytes: usize,
}

impl SendQueue {
    /// Bytes that wait.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Appends a frame.
    pub fn push(&mut self, frame: Bytes) {
        self.bytes += frame.len();
        self.frames.push_back(frame);
    }

    /// The length of the next frame, or of what is left of it.
    pub fn next_length(&self) -> Option<usize> {
        self.frames.front().map(Bytes::len)
    }

    /// The next piece, of `capacity` bytes at most.
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
