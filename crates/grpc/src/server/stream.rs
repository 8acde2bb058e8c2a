//! One stream of a server connection.

use crate::frame::{frame, Deframer};
use crate::send_queue::SendQueue;
use crate::Status;
use bytes::Bytes;
use h2::{RecvStream, SendStream};
use http::{HeaderMap, HeaderValue};
use std::task::{Context, Poll};
use wheelspread::time::{Moment, Span};

/// Maximum length of a reason sent to a peer; the rest is cut off.
const MAX_REASON_CHARS: usize = 200;

pub(super) struct Stream {
    receive: RecvStream,
    send: SendStream<Bytes>,
    deframer: Deframer,
    /// When the first bytes of the incomplete message arrived.
    partial_since: Option<Moment>,
    queue: SendQueue,
    /// The peer has ended its direction of the stream.
    has_ended: bool,
}

/// The status and reason with which a stream is to be closed.
pub(super) struct StreamEnd {
    pub status: Status,
    pub reason: String,
}

/// The result of reading from a stream.
#[derive(Default)]
pub(super) struct ReadResult {
    /// Data arrived.
    pub has_received: bool,
    /// Data or the stream's end arrived.
    pub has_progressed: bool,
    pub end: Option<StreamEnd>,
}

impl Stream {
    /// Creates a newly accepted stream.
    pub fn new(receive: RecvStream, send: SendStream<Bytes>, max_message_bytes: usize) -> Stream {
        Stream {
            receive,
            send,
            deframer: Deframer::new(max_message_bytes),
            partial_since: None,
            queue: SendQueue::default(),
            has_ended: false,
        }
    }

    /// Reads all data that has arrived.
    pub fn read(
        &mut self,
        now: Moment,
        context: &mut Context,
        mut on_message: impl FnMut(Bytes),
    ) -> ReadResult {
        let mut result = ReadResult::default();
        while !self.has_ended && result.end.is_none() {
            match self.receive.poll_data(context) {
                Poll::Ready(Some(Ok(piece))) => {
                    result.has_received = true;
                    result.has_progressed = true;
                    result.end = self.receive_piece(now, &piece, &mut on_message);
                }
                Poll::Ready(Some(Err(error))) => {
                    result.end = Some(StreamEnd {
                        status: Status::Ok,
                        reason: error.to_string(),
                    });
                }
                Poll::Ready(None) => {
                    self.has_ended = true;
                    result.has_progressed = true;
                    result.end = Some(self.end_by_peer());
                }
                Poll::Pending => break,
            }
        }
        result
    }

    fn receive_piece(
        &mut self,
        now: Moment,
        piece: &Bytes,
        on_message: &mut impl FnMut(Bytes),
    ) -> Option<StreamEnd> {
        self.deframer.push(piece);
        // The flow-control window reopens as data is read; complete messages are handed on below, so at most one
        // incomplete message stays buffered.
        let _ = self.receive.flow_control().release_capacity(piece.len());
        let error = loop {
            match self.deframer.take_message() {
                Ok(Some(bytes)) => on_message(bytes),
                Ok(None) => break None,
                Err(error) => break Some(error),
            }
        };
        let is_partial = self.deframer.has_partial_message();
        self.partial_since = is_partial.then(|| self.partial_since.unwrap_or(now));
        error.map(|error| StreamEnd {
            status: Status::ResourceExhausted,
            reason: error.to_string(),
        })
    }

    fn end_by_peer(&self) -> StreamEnd {
        let reason = if self.deframer.has_partial_message() {
            "stream ended by peer within a message"
        } else {
            "stream ended by peer"
        };
        StreamEnd {
            status: Status::Ok,
            reason: reason.to_string(),
        }
    }

    /// The end with `DEADLINE_EXCEEDED` if a message has been incomplete for more than `timeout`.
    pub fn end_if_stalled(&self, now: Moment, timeout: Span) -> Option<StreamEnd> {
        let since = self.partial_since?;
        (now - since > timeout).then(|| StreamEnd {
            status: Status::DeadlineExceeded,
            reason: format!(
                "message timed out while incomplete, {} bytes received",
                self.deframer.buffered_bytes()
            ),
        })
    }

    /// When the first bytes of the incomplete message arrived.
    pub fn partial_since(&self) -> Option<Moment> {
        self.partial_since
    }

    /// Bytes of memory taken by data that was not read yet, an incomplete message, and messages to send.
    pub fn buffer_bytes(&mut self) -> usize {
        let unread_bytes = self.receive.flow_control().used_capacity();
        unread_bytes + self.deframer.reserved_bytes() + self.queue.bytes()
    }

    /// Queues a message if the queue would not exceed `limit` bytes; returns whether it was queued.
    pub fn send(&mut self, message: &[u8], limit: usize) -> bool {
        if self.queue.bytes() + message.len() > limit {
            return false;
        }
        self.queue.push(frame(message));
        true
    }

    /// Number of bytes queued for sending.
    pub fn queued_bytes(&self) -> usize {
        self.queue.bytes()
    }

    /// Sends queued frames as flow control allows. Returns whether anything was sent.
    pub fn write(&mut self, context: &mut Context) -> bool {
        let mut has_written = false;
        while let Some(length) = self.queue.next_length() {
            self.send.reserve_capacity(length);
            if self.send.capacity() == 0 {
                // Polled to request capacity; without capacity the queued frames are sent in a later turn.
                let _ = self.send.poll_capacity(context);
                if self.send.capacity() == 0 {
                    break;
                }
                continue;
            }
            let Some(piece) = self.queue.take(self.send.capacity()) else {
                break;
            };
            has_written = true;
            if self.send.send_data(piece, false).is_err() {
                self.queue.clear();
            }
        }
        has_written
    }

    /// Ends the stream with a status and a reason. Dropping the stream then resets the peer's direction.
    pub fn finish(mut self, status: Status, reason: &str) {
        let mut trailers = HeaderMap::new();
        trailers.insert("grpc-status", HeaderValue::from(status.code()));
        // `grpc-message` is percent-encoded; printable ASCII without `%` needs no encoding, and all else is dropped.
        let printable: String = reason
            .chars()
            .filter(|c| (' '..='~').contains(c) && *c != '%')
            .take(MAX_REASON_CHARS)
            .collect();
        if let Ok(text) = HeaderValue::from_str(&printable) {
            trailers.insert("grpc-message", text);
        }
        let _ = self.send.send_trailers(trailers);
    }
}
