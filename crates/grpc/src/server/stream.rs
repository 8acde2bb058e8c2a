//! One stream of a server's connection.

use crate::frame::{frame, Deframer};
use crate::send_queue::SendQueue;
use crate::Status;
use bytes::Bytes;
use h2::{RecvStream, SendStream};
use http::{HeaderMap, HeaderValue};
use std::task::{Context, Poll};
use wheelspread::time::{Moment, Span};

/// The longest reason sent to a peer, in characters.
const MAX_REASON_CHARS: usize = 200;

pub(super) struct Stream {
    receive: RecvStream,
    send: SendStream<Bytes>,
    deframer: Deframer,
    /// Since when a message has begun that is not complete.
    partial_since: Option<Moment>,
    queue: SendQueue,
    /// The peer has ended its side.
    has_ended: bool,
}

/// How a stream is to be closed.
pub(super) struct StreamEnd {
    pub status: Status,
    pub reason: String,
}

/// What reading from a stream brought.
#[derive(Default)]
pub(super) struct ReadResult {
    /// Data arrived.
    pub has_received: bool,
    /// Data or the stream's end arrived.
    pub has_progressed: bool,
    pub end: Option<StreamEnd>,
}

impl Stream {
    /// A stream that was just accepted.
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

    /// Reads all that has arrived.
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
        // The window opens by what was taken in, so no more than one message waits here.
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
            "the peer ended it within a message"
        } else {
            "the peer ended it"
        };
        StreamEnd {
            status: Status::Ok,
            reason: reason.to_string(),
        }
    }

    /// The end of a stream whose peer began a message and did not complete it in time.
    pub fn end_if_stalled(&self, now: Moment, timeout: Span) -> Option<StreamEnd> {
        let since = self.partial_since?;
        (now - since > timeout).then(|| StreamEnd {
            status: Status::DeadlineExceeded,
            reason: format!(
                "the rest of a message did not come, {} bytes had",
                self.deframer.buffered_bytes()
            ),
        })
    }

    /// Since when a message has begun that is not complete.
    pub fn partial_since(&self) -> Option<Moment> {
        self.partial_since
    }

    /// Queues a message if the queue stays within `limit` bytes.
    pub fn send(&mut self, message: &[u8], limit: usize) -> bool {
        if self.queue.bytes() + message.len() > limit {
            return false;
        }
        self.queue.push(frame(message));
        true
    }

    /// Bytes that wait to be sent.
    pub fn queued_bytes(&self) -> usize {
        self.queue.bytes()
    }

    /// Whether anything was written.
    pub fn write(&mut self, context: &mut Context) -> bool {
        let mut has_written = false;
        while let Some(length) = self.queue.next_length() {
            self.send.reserve_capacity(length);
            if self.send.capacity() == 0 {
                // Polled so that more capacity is reported; what is queued goes out with the next turn.
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

    /// Sends the status. Dropping the stream then resets what the peer still sends.
    pub fn finish(mut self, status: Status, reason: &str) {
        let mut trailers = HeaderMap::new();
        trailers.insert("grpc-status", HeaderValue::from(status.code()));
        // Printable ASCII without the escape character needs no percent-encoding.
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
