//! Many connections that send as much as a process takes.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Connections, each with the number of bytes that it has sent.
pub struct Senders(Vec<(TcpStream, usize)>);

impl Senders {
    pub fn connect(to: SocketAddr, count: usize) -> Senders {
        let connect = |_| {
            let stream = TcpStream::connect(to).expect("the process listens");
            stream.set_nonblocking(true).expect("set");
            (stream, 0)
        };
        Senders((0..count).map(connect).collect())
    }

    /// Sends `once` on each connection and then `repeated` again and again, as far as the process takes them.
    pub fn send_for(&mut self, duration: Duration, once: &[u8], repeated: &[u8]) {
        let end = Instant::now() + duration;
        while Instant::now() < end {
            for (stream, sent) in &mut self.0 {
                let rest = match sent.checked_sub(once.len()) {
                    None => &once[*sent..],
                    Some(_) if repeated.is_empty() => continue,
                    Some(beyond) => &repeated[beyond % repeated.len()..],
                };
                *sent += stream.write(rest).unwrap_or(0);
            }
        }
    }
}
