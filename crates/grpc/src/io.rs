//! A non-blocking socket, plain or TLS, with the I/O traits that the HTTP/2 library needs.

use rustls::pki_types::CertificateDer;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::os::fd::{AsFd, BorrowedFd};
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The peer's certificate; set once the TLS handshake is complete.
pub type PeerCertificate = Arc<OnceLock<CertificateDer<'static>>>;

/// The number of bytes that may still be read from a socket until its owner resets it. The HTTP/2 library reads until
/// its socket would block, so without a budget a fast peer keeps it reading.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReadBudget(Arc<AtomicUsize>);

impl ReadBudget {
    /// Allows this many bytes from now on.
    pub fn reset(&self, bytes: usize) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    /// Whether no further byte may be read.
    pub fn is_exhausted(&self) -> bool {
        self.remaining() == 0
    }

    fn remaining(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    fn take(&self, bytes: usize) {
        self.reset(self.remaining().saturating_sub(bytes));
    }
}

/// A non-blocking TCP socket, with or without TLS.
pub struct Socket {
    tcp: TcpStream,
    tls: Option<Box<rustls::Connection>>,
    peer_certificate: PeerCertificate,
    /// Bounds what the HTTP/2 library reads; `None`: no bound.
    read_budget: Option<ReadBudget>,
}

/// Maps `WouldBlock` to `Poll::Pending`: the event loop polls again when the socket is ready.
fn would_block_is_pending<T>(result: std::io::Result<T>) -> Poll<std::io::Result<T>> {
    match result {
        Err(error) if error.kind() == ErrorKind::WouldBlock => Poll::Pending,
        other => Poll::Ready(other),
    }
}

/// Repeats a system call that was interrupted by a signal.
fn retry_interrupted<T>(mut call: impl FnMut() -> std::io::Result<T>) -> std::io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            other => return other,
        }
    }
}

impl Socket {
    /// Creates a socket without TLS.
    pub fn plain(tcp: TcpStream) -> Socket {
        Socket {
            tcp,
            tls: None,
            peer_certificate: PeerCertificate::default(),
            read_budget: None,
        }
    }

    /// Creates a socket with TLS. The handshake takes place during the first reads and writes.
    pub fn tls(tcp: TcpStream, tls: impl Into<rustls::Connection>) -> Socket {
        Socket {
            tcp,
            tls: Some(Box::new(tls.into())),
            peer_certificate: PeerCertificate::default(),
            read_budget: None,
        }
    }

    /// Bounds what the HTTP/2 library reads.
    pub(crate) fn with_read_budget(self, budget: ReadBudget) -> Socket {
        Socket {
            read_budget: Some(budget),
            ..self
        }
    }

    /// The cell in which the peer's certificate is stored after the TLS handshake.
    pub fn peer_certificate(&self) -> PeerCertificate {
        self.peer_certificate.clone()
    }

    /// Sends buffered encrypted bytes. On an error of kind `WouldBlock` the rest stays buffered.
    pub fn flush(&mut self) -> std::io::Result<()> {
        let Some(tls) = &mut self.tls else {
            return Ok(());
        };
        while tls.wants_write() {
            retry_interrupted(|| tls.write_tls(&mut self.tcp))?;
        }
        Ok(())
    }

    /// Reads and decrypts bytes; 0 means the end of the connection.
    pub fn read(&mut self, into: &mut [u8]) -> std::io::Result<usize> {
        loop {
            let Some(tls) = &mut self.tls else {
                return retry_interrupted(|| self.tcp.read(into));
            };
            match tls.reader().read(into) {
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                // A peer that closes the connection without a TLS close_notify alert counts as closed too.
                Err(error) if error.kind() == ErrorKind::UnexpectedEof => return Ok(0),
                other => return other,
            }
            match retry_interrupted(|| tls.read_tls(&mut self.tcp)) {
                Ok(0) => return Ok(0),
                Ok(_) => {}
                Err(error) => return Err(self.flush_error().unwrap_or(error)),
            }
            if let Err(error) = tls.process_new_packets() {
                // The alert gives the peer the reason; it is lost if the socket cannot take it at once.
                let _ = tls.write_tls(&mut self.tcp);
                return Err(std::io::Error::new(ErrorKind::InvalidData, error));
            }
            self.record_peer_certificate();
            if let Some(error) = self.flush_error() {
                return Err(error);
            }
        }
    }

    /// Sends buffered encrypted bytes and returns an error other than `WouldBlock`.
    fn flush_error(&mut self) -> Option<std::io::Error> {
        let flushed = self.flush();
        flushed
            .err()
            .filter(|error| error.kind() != ErrorKind::WouldBlock)
    }

    fn record_peer_certificate(&self) {
        let Some(tls) = self.tls.as_ref().filter(|tls| !tls.is_handshaking()) else {
            return;
        };
        if let Some(certificate) = tls.peer_certificates().and_then(<[_]>::first) {
            self.peer_certificate
                .get_or_init(|| certificate.clone().into_owned());
        }
    }

    /// Encrypts and sends bytes; returns how many of `bytes` were accepted.
    pub fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let Some(tls) = &mut self.tls else {
            return retry_interrupted(|| self.tcp.write(bytes));
        };
        // The TLS library bounds its buffer; encrypted bytes that cannot be sent now are sent by the next call.
        let taken = tls.writer().write(bytes)?;
        match self.flush() {
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
        let socket = self.get_mut();
        let Some(budget) = socket.read_budget.clone() else {
            let unfilled = buf.initialize_unfilled();
            return would_block_is_pending(socket.read(unfilled))
                .map_ok(|count| buf.advance(count));
        };
        if budget.is_exhausted() {
            return Poll::Pending;
        }
        let unfilled = buf.initialize_unfilled_to(buf.remaining().min(budget.remaining()));
        would_block_is_pending(socket.read(unfilled)).map_ok(|count| {
            budget.take(count);
            buf.advance(count);
        })
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        _: &mut Context,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        would_block_is_pending(self.get_mut().write(bytes))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<std::io::Result<()>> {
        would_block_is_pending(self.get_mut().flush())
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<std::io::Result<()>> {
        let socket = self.get_mut();
        if let Some(tls) = &mut socket.tls {
            tls.send_close_notify();
        }
        if would_block_is_pending(socket.flush()).is_pending() {
            return Poll::Pending;
        }
        match socket.tcp.shutdown(std::net::Shutdown::Write) {
            Err(error) if error.kind() != ErrorKind::NotConnected => Poll::Ready(Err(error)),
            _ => Poll::Ready(Ok(())),
        }
    }
}
