//! What a loop needs of the machine: readiness by epoll, a monotonic clock, wake-ups from other threads,
//! signals, and directories that are watched for what is moved into them. There is no runtime: whoever
//! owns the loop calls `Poll::wait` and acts on what it returns.

mod watch;

pub use watch::{Moved, Watcher};

use rustix::event::epoll;
use rustix::event::{eventfd, EventfdFlags, Timespec};
use rustix::fd::{AsFd, OwnedFd};
use rustix::io::Errno;
use std::io;
use std::mem::MaybeUninit;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use wheelspread::time::{Moment, Span};

/// What the owner of the loop calls a registered thing by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(pub u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Readiness {
    pub token: Token,
    pub readable: bool,
    pub writable: bool,
    /// The peer is gone or the socket failed; reading tells which.
    pub closed: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Interest {
    /// Told again and again while there is something to read.
    Readable,
    /// Told once for each change in either direction; the owner reads and writes until it would block.
    Edges,
}

pub struct Poll {
    epoll: OwnedFd,
}

/// Taken from the kernel in one go.
const EVENTS: usize = 512;

impl Poll {
    pub fn new() -> io::Result<Poll> {
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        Ok(Poll { epoll })
    }

    pub fn add(&self, what: impl AsFd, token: Token, interest: Interest) -> io::Result<()> {
        let flags = match interest {
            Interest::Readable => epoll::EventFlags::IN | epoll::EventFlags::RDHUP,
            Interest::Edges => {
                epoll::EventFlags::IN
                    | epoll::EventFlags::OUT
                    | epoll::EventFlags::RDHUP
                    | epoll::EventFlags::ET
            }
        };
        Ok(epoll::add(
            &self.epoll,
            what,
            epoll::EventData::new_u64(token.0),
            flags,
        )?)
    }

    pub fn remove(&self, what: impl AsFd) -> io::Result<()> {
        Ok(epoll::delete(&self.epoll, what)?)
    }

    /// Waits until something is ready or the time is over. A signal that interrupts it is no error.
    pub fn wait(&mut self, at_most: Span, ready: &mut Vec<Readiness>) -> io::Result<()> {
        ready.clear();
        let micros = at_most.micros().max(0);
        let timeout = Timespec {
            tv_sec: micros / 1_000_000,
            tv_nsec: (micros % 1_000_000) * 1000,
        };
        let mut room = [MaybeUninit::<epoll::Event>::uninit(); EVENTS];
        let events = match epoll::wait(&self.epoll, &mut room, Some(&timeout)) {
            Ok((events, _)) => events,
            Err(Errno::INTR) => return Ok(()),
            Err(error) => return Err(error.into()),
        };
        let broken = epoll::EventFlags::HUP | epoll::EventFlags::ERR;
        ready.extend(events.iter().map(|event| {
            let (flags, data) = (event.flags, event.data);
            Readiness {
                token: Token(data.u64()),
                readable: flags
                    .intersects(epoll::EventFlags::IN | epoll::EventFlags::RDHUP | broken),
                writable: flags.intersects(epoll::EventFlags::OUT | broken),
                closed: flags.intersects(broken),
            }
        }));
        Ok(())
    }
}

/// The monotonic clock of the machine: the same for all its processes, and no setting of the time moves it.
pub fn now() -> Moment {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    Moment::from_seconds(time.tv_sec as f64 + time.tv_nsec as f64 / 1e9)
}

/// Seconds since 1970, for what people and other programs date.
pub fn wall() -> f64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Realtime);
    time.tv_sec as f64 + time.tv_nsec as f64 / 1e9
}

/// Wakes a loop from another thread.
#[derive(Clone, Debug)]
pub struct Waker(Arc<OwnedFd>);

impl Waker {
    pub fn new(poll: &Poll, token: Token) -> io::Result<Waker> {
        let fd = eventfd(0, EventfdFlags::CLOEXEC | EventfdFlags::NONBLOCK)?;
        poll.add(&fd, token, Interest::Readable)?;
        Ok(Waker(Arc::new(fd)))
    }

    pub fn wake(&self) {
        // A counter that is full wakes too; nothing else can go wrong with it.
        let _ = rustix::io::write(&*self.0, &1u64.to_ne_bytes());
    }

    /// The loop has seen it.
    pub fn rest(&self) {
        let _ = rustix::io::read(&*self.0, &mut [0u8; 8]);
    }
}

/// Signals as something to read.
#[derive(Debug)]
pub struct Signals {
    pipes: Vec<(i32, UnixStream)>,
}

pub const TERMINATE: i32 = 15;
pub const INTERRUPT: i32 = 2;
pub const RELOAD: i32 = 1;

impl Signals {
    pub fn new(poll: &Poll, token: Token, signals: &[i32]) -> io::Result<Signals> {
        let mut pipes = Vec::new();
        for signal in signals {
            let (ours, theirs) = UnixStream::pair()?;
            ours.set_nonblocking(true)?;
            signal_hook::low_level::pipe::register(*signal, theirs)?;
            poll.add(&ours, token, Interest::Readable)?;
            pipes.push((*signal, ours));
        }
        Ok(Signals { pipes })
    }

    /// Those that came since the last call.
    pub fn received(&self) -> Vec<i32> {
        let read = |pipe: &UnixStream| matches!(io::Read::read(&mut &*pipe, &mut [0u8; 64]), Ok(count) if count > 0);
        self.pipes
            .iter()
            .filter(|(_, pipe)| read(pipe))
            .map(|(signal, _)| *signal)
            .collect()
    }
}

/// Connections that may wait to be accepted: all proxies of a large fleet may come at once.
const BACKLOG: i32 = 4096;

/// A listener that never blocks.
pub fn listen(address: SocketAddrV4) -> io::Result<TcpListener> {
    use rustix::net::{AddressFamily, SocketFlags, SocketType};
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    let socket = rustix::net::socket_with(AddressFamily::INET, SocketType::STREAM, flags, None)?;
    rustix::net::sockopt::set_socket_reuseaddr(&socket, true)?;
    rustix::net::bind(&socket, &address)?;
    rustix::net::listen(&socket, BACKLOG)?;
    Ok(TcpListener::from(socket))
}

/// All connections that wait; an accept that fails for want of descriptors is told.
pub fn accept(listener: &TcpListener) -> (Vec<TcpStream>, Option<io::Error>) {
    accept_at_most(listener, usize::MAX)
}

/// The same, so many at most: for who has few descriptors and decides between those who come.
pub fn accept_at_most(listener: &TcpListener, most: usize) -> (Vec<TcpStream>, Option<io::Error>) {
    let mut accepted = Vec::new();
    while accepted.len() < most {
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

/// Begins to connect; the socket becomes writable when it is through, or closed when it failed.
pub fn connect(address: [u8; 4], port: u16) -> io::Result<TcpStream> {
    connect_from(None, address, port)
}

/// The same from an address of one's own.
pub fn connect_from(
    source: Option<Ipv4Addr>,
    address: [u8; 4],
    port: u16,
) -> io::Result<TcpStream> {
    use rustix::net::{AddressFamily, SocketFlags, SocketType};
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    let socket = rustix::net::socket_with(AddressFamily::INET, SocketType::STREAM, flags, None)?;
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

/// Closes with a reset, so that the peer sees a failure and not an end.
pub fn reset(stream: TcpStream) {
    let _ = rustix::net::sockopt::set_socket_linger(&stream, Some(std::time::Duration::ZERO));
}

#[cfg(test)]
mod tests;
