//! A socket that never blocks, plain or under TLS, in the shape that HTTP/2 wants to read and write.

use rustls::pki_types::CertificateDer;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::os::fd::{AsFd, BorrowedFd};
use std::pin::Pin;
use std::sync::{Arc, OnceLock};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The certificate by which the peer named itself, once the handshake is through.
pub type Peer = Arc<OnceLock<CertificateDer<'static>>>;

pub struct Socket {
    tcp: TcpStream,
    tls: Option<Box<rustls::Connection>>,
    peer: Peer,
}

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

impl Socket {
    pub fn plain(tcp: TcpStream) -> Socket {
        Socket {
            tcp,
            tls: None,
            peer: Peer::default(),
        }
    }

    pub fn tls(tcp: TcpStream, tls: impl Into<rustls::Connection>) -> Socket {
        Socket {
            tcp,
            tls: Some(Box::new(tls.into())),
            peer: Peer::default(),
        }
    }

    pub fn peer(&self) -> Peer {
        self.peer.clone()
    }

    /// Sends what is sealed; an error of kind `WouldBlock` leaves the rest for later.
    pub fn push(&mut self) -> std::io::Result<()> {
        let Some(tls) = &mut self.tls else {
            return Ok(());
        };
        while tls.wants_write() {
            again(|| tls.write_tls(&mut self.tcp))?;
        }
        Ok(())
    }

    pub fn read(&mut self, into: &mut [u8]) -> std::io::Result<usize> {
        loop {
            let Some(tls) = &mut self.tls else {
                return again(|| self.tcp.read(into));
            };
            match tls.reader().read(into) {
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                // A peer that ends without saying so has ended.
                Err(error) if error.kind() == ErrorKind::UnexpectedEof => return Ok(0),
                other => return other,
            }
            let came = again(|| tls.read_tls(&mut self.tcp));
            if let Ok(0) = came {
                return Ok(0);
            }
            match came {
                Ok(_) => {
                    let read = tls.process_new_packets();
                    read.map_err(|error| {
                        // The peer is told why, as far as that goes out at once.
                        let _ = tls.write_tls(&mut self.tcp);
                        std::io::Error::new(ErrorKind::InvalidData, error)
                    })?;
                }
                Err(error) => {
                    let pushed = self.push();
                    return Err(pushed
                        .err()
                        .filter(|e| e.kind() != ErrorKind::WouldBlock)
                        .unwrap_or(error));
                }
            }
            if let (false, Some(certificate)) = (
                tls.is_handshaking(),
                tls.peer_certificates().and_then(<[_]>::first),
            ) {
                self.peer.get_or_init(|| certificate.clone().into_owned());
            }
            match self.push() {
                Err(error) if error.kind() != ErrorKind::WouldBlock => return Err(error),
                _ => {}
            }
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let Some(tls) = &mut self.tls else {
            return again(|| self.tcp.write(bytes));
        };
        // What it takes is bounded by itself; sealed bytes that do not go out now go with the next call.
        let taken = tls.writer().write(bytes)?;
        match self.push() {
            Err(error) if error.kind() == ErrorKind::WouldBlock && taken > 0 => Ok(taken),
            Err(error) => Err(error),
            Ok(()) if taken == 0 && !bytes.is_empty() => Err(ErrorKind::WouldBlock.into()),
            Ok(()) => Ok(taken),
        }
    }
}

impl AsFd for Socket {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.tcp.as_fd()
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        _: &mut Context,
        buf: &mut ReadBuf,
    ) -> Poll<std::io::Result<()>> {
        let room = buf.initialize_unfilled();
        pending(self.get_mut().read(room)).map_ok(|count| buf.advance(count))
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        _: &mut Context,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        pending(self.get_mut().write(bytes))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<std::io::Result<()>> {
        pending(self.get_mut().push())
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<std::io::Result<()>> {
        let socket = self.get_mut();
        if let Some(tls) = &mut socket.tls {
            tls.send_close_notify();
        }
        if pending(socket.push()).is_pending() {
            return Poll::Pending;
        }
        match socket.tcp.shutdown(std::net::Shutdown::Write) {
            Err(error) if error.kind() != ErrorKind::NotConnected => Poll::Ready(Err(error)),
            _ => Poll::Ready(Ok(())),
        }
    }
}
