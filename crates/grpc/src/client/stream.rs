//! The stream of a client's connection.

use super::ClientEvent;
use crate::error::ConnectionError;
use crate::frame::Deframer;
use crate::send_queue::SendQueue;
use bytes::Bytes;
use h2::client::ResponseFuture;
use h2::{RecvStream, SendStream};
use http::HeaderMap;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};

pub(super) struct Stream {
    send: SendStream<Bytes>,
    /// Set until the response head arrives.
    response: Option<ResponseFuture>,
    /// The response body; set once the response head has arrived.
    receive: Option<RecvStream>,
    deframer: Deframer,
}

impl Stream {
    /// Creates a stream whose response head has not arrived yet.
    pub fn new(
        send: SendStream<Bytes>,
        response: ResponseFuture,
        max_message_bytes: usize,
    ) -> Stream {
        Stream {
            send,
            response: Some(response),
            receive: None,
            deframer: Deframer::new(max_message_bytes),
        }
    }

    /// Reads the response head or data. Returns whether anything was read.
    pub fn read(
        &mut self,
        events: &mut Vec<ClientEvent>,
        context: &mut Context,
    ) -> Result<bool, ConnectionError> {
        if let Some(response) = &mut self.response {
            let Poll::Ready(response) = Pin::new(response).poll(context) else {
                return Ok(false);
            };
            let response = response?;
            if response.status() != http::StatusCode::OK {
                return Err(ConnectionError::ResponseStatus(response.status()));
            }
            self.response = None;
            self.receive = Some(response.into_body());
            return Ok(true);
        }
        let Some(receive) = &mut self.receive else {
            return Ok(false);
        };
        match receive.poll_data(context) {
            Poll::Ready(Some(piece)) => {
                let piece = piece?;
                self.deframer.push(&piece);
                let _ = receive.flow_control().release_capacity(piece.len());
                while let Some(bytes) = self.deframer.take_message()? {
                    events.push(ClientEvent::Message { bytes });
                }
                Ok(true)
            }
            Poll::Ready(None) => Err(match receive.poll_trailers(context) {
                Poll::Ready(Ok(Some(trailers))) => stream_ended(&trailers),
                _ => ConnectionError::StreamEndedWithoutStatus,
            }),
            Poll::Pending => Ok(false),
        }
    }

    /// Sends queued frames as flow control allows. Returns whether anything was sent.
    pub fn write(
        &mut self,
        queue: &mut SendQueue,
        context: &mut Context,
    ) -> Result<bool, ConnectionError> {
        let mut has_written = false;
        while let Some(length) = queue.next_length() {
            self.send.reserve_capacity(length);
            if self.send.capacity() == 0 {
                match self.send.poll_capacity(context) {
                    Poll::Ready(Some(Err(error))) => return Err(error.into()),
                    Poll::Ready(None) => return Err(ConnectionError::StreamNotWritable),
                    _ if self.send.capacity() == 0 => break,
                    _ => {}
                }
            }
            let Some(piece) = queue.take(self.send.capacity()) else {
                break;
            };
            self.send.send_data(piece, false)?;
            has_written = true;
        }
        Ok(has_written)
    }
}

fn stream_ended(trailers: &HeaderMap) -> ConnectionError {
    let text = |name: &str| {
        let value = trailers.get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_string()
    };
    ConnectionError::StreamEnded {
        status: text("grpc-status"),
        message: text("grpc-message"),
    }
}
