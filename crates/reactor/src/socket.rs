//! Non-blocking TCP sockets.

use rustix::fd::OwnedFd;
use rustix::io::Errno;
use rustix::net::{AddressFamily, SocketFlags, SocketType};
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};

/// Maximum number of connections that wait to be accepted. All proxies of a large fleet may connect at once.
const LISTEN_BACKLOG: i32 = 4096;

/// Creates a non-blocking listener.
pub fn listen(address: SocketAddrV4) -> io::Result<TcpListener> {
    let socket = tcp_socket()?;
    rustix::net::sockopt::set_socket_reuseaddr(&socket, true)?;
    rustix::net::bind(&socket, &address)?;
    rustix::net::listen(&socket, LISTEN_BACKLOG)?;
    Ok(TcpListener::from(socket))
}

/// Maximum number of connections accepted by one call of [`accept`]. Peers that connect without pause would otherwise
/// keep the event loop accepting.
const ACCEPT_BATCH: usize = 64;

/// Accepts waiting connections, up to `ACCEPT_BATCH`; a listener that is registered for [`Interest::Readable`] is then
/// reported again. If accepting ended early, also returns the error, such as a lack of file descriptors.
///
/// [`Interest::Readable`]: crate::Interest::Readable
pub fn accept(listener: &TcpListener) -> (Vec<TcpStream>, Option<io::Error>) {
    accept_up_to(listener, ACCEPT_BATCH)
}

/// As [`accept`], but accepts at most `limit` connections, for a caller that has few file descriptors and decides for
/// each peer whether to keep it.
pub fn accept_up_to(listener: &TcpListener, limit: usize) -> (Vec<TcpStream>, Option<io::Error>) {
    let mut accepted = Vec::new();
    while accepted.len() < limit {
        match listener.accept() {
            Ok((stream, _)) => {
                if stream.set_nonblocking(true).is_ok() {
                    let _ = stream.set_nodelay(true);
                    accepted.push(stream);
                }
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return (accepted, None),
            Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
            Err(error) => return (accepted, Some(error)),
        }
    }
    (accepted, None)
}

/// Starts to connect. The socket is reported as writable once connected, and as closed if connecting failed.
pub fn connect(address: [u8; 4], port: u16) -> io::Result<TcpStream> {
    connect_from(None, address, port)
}

/// As [`connect`], with an optional source address.
pub fn connect_from(
    source: Option<Ipv4Addr>,
    address: [u8; 4],
    port: u16,
) -> io::Result<TcpStream> {
    let socket = tcp_socket()?;
    if let Some(source) = source {
        rustix::net::bind(&socket, &SocketAddrV4::new(source, 0))?;
    }
    match rustix::net::connect(&socket, &SocketAddrV4::new(Ipv4Addr::from(address), port)) {
        Ok(()) | Err(Errno::INPROGRESS) => {}
        Err(error) => return Err(error.into()),
    }
    let stream = TcpStream::from(socket);
    let _ = stream.set_nodelay(true);
    Ok(stream)
}

/// Closes a connection with a TCP reset, so that the peer sees a failure and not an orderly close.
pub fn reset(stream: TcpStream) {
    let _ = rustix::net::sockopt::set_socket_linger(&stream, Some(std::time::Duration::ZERO));
}

fn tcp_socket() -> io::Result<OwnedFd> {
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    let socket = rustix::net::socket_with(AddressFamily::INET, SocketType::STREAM, flags, None)?;
    Ok(socket)
}
