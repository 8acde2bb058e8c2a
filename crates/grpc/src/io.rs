//! A socket that never blocks, in the shape that HTTP/2 wants to read and write.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

pub struct Socket(pub TcpStream);

/// `WouldBlock` is pending: the loop polls again when the socket is ready.
fn pending<T>(result: std::io::Result<T>) -> Poll<std::io::Result<T>> {
    match result {
        Err(error) if error.kind() == ErrorKind::WouldBlock => Poll::Pending,
        other => Poll::Ready(other),
    }
}

fn again<T>(mut call: impl FnMut() -> std::io::Result<T>) -> std::io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            other => return other,
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(self: Pin<&mut Self>, _: &mut Context, buf: &mut ReadBuf) -> Poll<std::io::Result<()>> {
        let room = buf.initialize_unfilled();
        pending(again(|| (&self.0).read(room))).map_ok(|count| buf.advance(count))
    }
}

impl AsyncWrite for Socket {
    fn poll_write(self: Pin<&mut Self>, _: &mut Context, bytes: &[u8]) -> Poll<std::io::Result<usize>> {
        pending(again(|| (&self.0).write(bytes)))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<std::io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<std::io::Result<()>> {
        match self.0.shutdown(std::net::Shutdown::Write) {
            Err(error) if error.kind() != ErrorKind::NotConnected => Poll::Ready(Err(error)),
            _ => Poll::Ready(Ok(())),
        }
    }
}
