//! What an operator asks of a running conductor: HTTP/1.1 and JSON, one request a connection, nobody makes the
//! loop wait. `admin.sock` may order, for the user that the conductor runs as; `read.sock` may only ask, for
//! all on the machine; a loopback port under mutual TLS may ask, and order for the names that are listed.

pub mod routes;

use crate::admin::routes::{carry_out, orders, Desk};
use crate::file::AdministrationPlan;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpListener;
use std::os::fd::AsFd;
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use tracing::{info, warn};
use wheelspread::time::{Moment, Span};
use wheelspread_config_rollout::Answer;
use wheelspread_config_transaction::Refused;
use wheelspread_controller_core::endpoint_list::show;
use wheelspread_controller_core::rollback::{ExclusionReason, RollbackResult};
use wheelspread_drain::Drain;
use wheelspread_grpc::tls::speaks_for;
use wheelspread_grpc::{ServerConfig, Socket, TlsServer};
use wheelspread_http1::{request, Framing, Limits};
use wheelspread_reactor::{self as reactor, Interest, Poll, Token};

/// Open at once; more are closed.
const MOST: usize = 64;
const LONGEST: usize = 64 << 10;
/// For a request to come and an answer to be taken.
const PATIENCE: f64 = 10.0;
/// Who may open the sockets: the conductor's user; everybody.
const ORDERING: u32 = 0o600;
const ASKING: u32 = 0o666;

/// The ways in, by their tokens after the first.
const WAYS: u64 = 3;

enum Line {
    Unix(UnixStream),
    Tls(Box<Socket>),
}

impl Line {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        match self {
            Line::Unix(stream) => stream.read(into),
            Line::Tls(socket) => socket.read(into),
        }
    }

    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        match self {
            Line::Unix(stream) => stream.write(bytes),
            Line::Tls(socket) => socket.write(bytes),
        }
    }

    /// Sends what was sealed and is not out yet.
    fn flush(&mut self) -> io::Result<()> {
        match self {
            Line::Unix(_) => Ok(()),
            Line::Tls(socket) => socket.push(),
        }
    }
}

/// What a caller may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rights {
    Ask,
    Order,
    /// As its certificate says.
    ByName,
}

struct Caller {
    line: Line,
    rights: Rights,
    input: Vec<u8>,
    output: Vec<u8>,
    since: Moment,
    /// It waits for what comes of its order.
    order: Option<u64>,
    answered: bool,
}

pub struct Admin {
    paths: [PathBuf; 2],
    unix: [UnixListener; 2],
    port: Option<(TcpListener, Arc<ServerConfig>)>,
    writers: Vec<String>,
    callers: BTreeMap<Token, Caller>,
    listeners: Token,
    first: Token,
    next: u64,
    orders: u64,
}

fn unix(path: &Path, mode: u32) -> io::Result<UnixListener> {
    // The socket is made anew: one that a killed conductor left is nobody's.
    match std::fs::remove_file(path) {
        Err(error) if error.kind() != ErrorKind::NotFound => return Err(error),
        _ => {}
    }
    let socket = UnixListener::bind(path)?;
    std::fs::set_permissions(path, PermissionsExt::from_mode(mode))?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

impl Admin {
    /// Tokens of listeners are `listeners` and those after it, callers begin at `first`.
    pub fn start(
        root: &Path,
        plan: Option<(&AdministrationPlan, Arc<ServerConfig>)>,
        poll: &Poll,
        listeners: Token,
        first: Token,
    ) -> io::Result<Admin> {
        let (port, writers) = match plan {
            None => (None, Vec::new()),
            Some((plan, tls)) => {
                let listener = reactor::listen(plan.listen)?;
                poll.add(&listener, Token(listeners.0 + WAYS - 1), Interest::Readable)?;
                (Some((listener, tls)), plan.writers.clone())
            }
        };
        // The one that may order comes last: where it is, all are.
        let paths = [root.join("admin.sock"), root.join("read.sock")];
        let asking = unix(&paths[1], ASKING)?;
        let unix = [unix(&paths[0], ORDERING)?, asking];
        for (at, socket) in unix.iter().enumerate() {
            poll.add(socket, Token(listeners.0 + at as u64), Interest::Readable)?;
        }
        let callers = BTreeMap::new();
        Ok(Admin {
            paths,
            unix,
            port,
            writers,
            callers,
            listeners,
            first,
            next: 0,
            orders: 0,
        })
    }

    /// Whether a token is one of the ways in.
    pub fn is_way(&self, token: Token) -> bool {
        (self.listeners.0..self.listeners.0 + WAYS).contains(&token.0)
    }

    /// Keys for callers from now on.
    pub fn secure(&mut self, tls: Arc<ServerConfig>) {
        if let Some(port) = &mut self.port {
            port.1 = tls;
        }
    }

    pub fn accept(&mut self, poll: &Poll, now: Moment, way: Token) {
        let at = (way.0 - self.listeners.0) as usize;
        let mut come = Vec::new();
        match (self.unix.get(at), &self.port) {
            (Some(listener), _) => {
                let rights = if at == 0 { Rights::Order } else { Rights::Ask };
                while let Ok((stream, _)) = listener.accept() {
                    if stream.set_nonblocking(true).is_ok() {
                        come.push((Line::Unix(stream), rights));
                    }
                }
            }
            (None, Some((listener, tls))) => {
                for stream in reactor::accept(listener).0 {
                    match TlsServer::new(tls.clone()) {
                        Ok(secured) => {
                            come.push((
                                Line::Tls(Box::new(Socket::tls(stream, secured))),
                                Rights::ByName,
                            ));
                        }
                        Err(error) => warn!(%error, "a caller is turned away"),
                    }
                }
            }
            (None, None) => {}
        }
        for (line, rights) in come {
            let token = Token(self.first.0 + self.next);
            self.next += 1;
            let fd = match &line {
                Line::Unix(stream) => stream.as_fd(),
                Line::Tls(socket) => socket.as_fd(),
            };
            if self.callers.len() < MOST && poll.add(fd, token, Interest::Edges).is_ok() {
                let (input, output) = (Vec::new(), Vec::new());
                let caller = Caller {
                    line,
                    rights,
                    input,
                    output,
                    since: now,
                    order: None,
                    answered: false,
                };
                self.callers.insert(token, caller);
            }
        }
    }

    /// A caller can be read or written; what it orders is observed by the session.
    pub fn turn(&mut self, now: Moment, token: Token, desk: &mut Desk) {
        let Some(caller) = self.callers.get_mut(&token) else {
            return;
        };
        let open = caller.read();
        if !caller.answered && caller.order.is_none() {
            match ask(&caller.input) {
                Ok(None) if open => {}
                Ok(None) => {
                    self.callers.remove(&token);
                    return;
                }
                Ok(Some(asked)) => {
                    self.orders += 1;
                    let order = self.orders;
                    let may = match (orders(&asked), caller.rights) {
                        (false, _) | (true, Rights::Order) => true,
                        (true, Rights::Ask) => false,
                        (true, Rights::ByName) => caller.is_one_of(&self.writers),
                    };
                    if orders(&asked) {
                        let who = caller.who();
                        let body: String = String::from_utf8_lossy(&asked.body)
                            .chars()
                            .take(400)
                            .collect();
                        info!(
                            audit = true,
                            order,
                            who,
                            target = asked.target,
                            body,
                            may,
                            "order"
                        );
                    }
                    let come = if may {
                        carry_out(now, &asked, order, desk)
                    } else {
                        Err((403, "this way in may ask and not order".to_string()))
                    };
                    match come {
                        Ok(Some(told)) => caller.answer(200, &told),
                        Ok(None) => caller.order = Some(order),
                        Err((status, reason)) => {
                            if orders(&asked) {
                                info!(audit = true, order, status, reason, "order refused");
                            }
                            caller.answer(status, &json!({ "error": reason }));
                        }
                    }
                }
                Err(reason) => caller.answer(400, &json!({ "error": reason })),
            }
        }
        if self
            .callers
            .get_mut(&token)
            .is_some_and(|caller| caller.write() || !open && !caller.waits())
        {
            self.callers.remove(&token);
        }
    }

    /// What came of an order to step back.
    pub fn answered(&mut self, order: u64, result: &Result<RollbackResult, String>) {
        let out =
            |(node, why): &(_, ExclusionReason)| json!({ "node": show(*node), "why": why.word() });
        let body = result.as_ref().map(|stepped| {
            let left_out: Vec<Value> = stepped.left_out.iter().map(out).collect();
            json!({ "version": stepped.version.0, "lines": stepped.lines, "left_out": left_out })
        });
        self.end(order, body.map_err(String::clone));
    }

    /// What came of an order about a change.
    pub fn told(&mut self, order: u64, result: &Result<Answer, Refused>) {
        self.end(
            order,
            result
                .as_ref()
                .map(|answer| json!(answer))
                .map_err(Refused::to_string),
        );
    }

    /// What came of an order about a node.
    pub fn drained(&mut self, order: u64, result: &Result<Drain, String>) {
        self.end(
            order,
            result
                .as_ref()
                .map(|drain| json!(drain))
                .map_err(String::clone),
        );
    }

    fn end(&mut self, order: u64, result: Result<Value, String>) {
        match &result {
            Ok(_) => info!(audit = true, order, "order taken"),
            Err(reason) => info!(audit = true, order, reason, "order refused"),
        }
        let Some((token, caller)) = self
            .callers
            .iter_mut()
            .find(|(_, c)| c.order == Some(order))
        else {
            return;
        };
        match result {
            Ok(body) => caller.answer(200, &body),
            Err(reason) => caller.answer(409, &json!({ "error": reason })),
        }
        let token = *token;
        if caller.write() {
            self.callers.remove(&token);
        }
    }

    /// Lets go of callers that take too long.
    pub fn look(&mut self, now: Moment) {
        self.callers
            .retain(|_, caller| now - caller.since < Span::from_seconds(PATIENCE));
    }
}

impl Drop for Admin {
    fn drop(&mut self) {
        for path in &self.paths {
            let _ = std::fs::remove_file(path);
        }
    }
}

impl Caller {
    fn waits(&self) -> bool {
        self.order.is_some() || !self.output.is_empty()
    }

    /// Whether its certificate is one for any of these names.
    fn is_one_of(&self, names: &[String]) -> bool {
        let Line::Tls(socket) = &self.line else {
            return false;
        };
        let peer = socket.peer();
        peer.get()
            .is_some_and(|certificate| names.iter().any(|name| speaks_for(certificate, name)))
    }

    /// Where it came in, for the audit.
    fn who(&self) -> &'static str {
        match self.rights {
            Rights::Order => "admin.sock",
            Rights::Ask => "read.sock",
            Rights::ByName => "tls",
        }
    }

    /// `false`: nothing more will come.
    fn read(&mut self) -> bool {
        let mut piece = [0; 4096];
        loop {
            match self.line.read(&mut piece) {
                Ok(0) => return false,
                Ok(count) if self.input.len() + count <= LONGEST => {
                    self.input.extend_from_slice(&piece[..count]);
                }
                Ok(_) => return false,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return error.kind() == ErrorKind::WouldBlock,
            }
        }
    }

    fn answer(&mut self, status: u16, body: &Value) {
        let reason = match status {
            200 => "OK",
            400 => "Bad Request",
            403 => "Forbidden",
            404 => "Not Found",
            _ => "Conflict",
        };
        let body = format!("{body}\n");
        self.output = format!(
            "HTTP/1.1 {status} {reason}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\
             connection: close\r\n\r\n{body}",
            body.len()
        )
        .into_bytes();
        (self.answered, self.order) = (true, None);
    }

    /// `true`: all of an answer is out, or never will be.
    fn write(&mut self) -> bool {
        while !self.output.is_empty() {
            match self.line.write(&self.output) {
                Ok(count) => drop(self.output.drain(..count)),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return error.kind() != ErrorKind::WouldBlock,
            }
        }
        match self.line.flush() {
            Ok(()) => self.answered,
            Err(error) => error.kind() != ErrorKind::WouldBlock,
        }
    }
}

pub struct Asked {
    pub method: String,
    pub target: String,
    pub body: Vec<u8>,
}

fn ask(input: &[u8]) -> Result<Option<Asked>, String> {
    let Some(head) = request(input, Limits::default()).map_err(|error| error.to_string())? else {
        return Ok(None);
    };
    let length = match head.framing {
        Framing::None => 0,
        Framing::Length(length) if length <= LONGEST as u64 => length as usize,
        _ => {
            return Err(format!(
                "a body of a stated length, {LONGEST} bytes at most, is expected"
            ))
        }
    };
    let Some(body) = input.get(head.length..head.length + length) else {
        return Ok(None);
    };
    let text = |range: &std::ops::Range<usize>| {
        String::from_utf8_lossy(&input[range.clone()]).into_owned()
    };
    Ok(Some(Asked {
        method: text(&head.method),
        target: text(&head.target),
        body: body.to_vec(),
    }))
}
