//! The load report stream: dialed, and dialed again when it closed, at the next controller if one does not
//! accept it.

use crate::config::ProxyConfig;
use crate::tls::{self, TlsSide};
use prost::Message;
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::SystemTime;
use wheelspread::time::{Moment, Span};
use wheelspread_controller_core::load_report::{LoadReport, NodeReport};
use wheelspread_controller_core::membership::ProxyIdentity;
use wheelspread_grpc::{ClientConnection, ClientEvent};
use wheelspread_proxy_core::dialer::ControllerDialer;
use wheelspread_reactor::{self as reactor, Interest, Poll, Token};
use wheelspread_xds::loads;

/// Time between two polls of an open stream: its pings need them.
const KEEPALIVE_INTERVAL: Span = Span::from_seconds(0.5);
/// The next report comes this part of a period after a late one at the earliest.
const MIN_PART_OF_PERIOD: f64 = 0.5;

enum State {
    Waiting,
    Dialing(Box<ClientConnection>),
    Joined(Joined),
}

/// A stream that a controller accepted.
struct Joined {
    connection: Box<ClientConnection>,
    /// The report period that the controller asks for.
    period: Span,
    next_report: Moment,
}

/// The load report stream of a proxy.
pub struct ReportStream {
    introduction: ProxyIdentity,
    controllers: Vec<SocketAddrV4>,
    source: Option<Ipv4Addr>,
    state: State,
    dialer: ControllerDialer,
    token: Token,
    dialed_at: SystemTime,
    tls: Option<TlsSide>,
}

/// What came of the stream.
pub enum ReportStreamEvent {
    /// A controller accepted it.
    Joined {
        /// Its place in the configuration.
        controller: usize,
    },
    /// The stream that it had accepted closed.
    Left {
        /// Why.
        reason: String,
    },
}

/// Why a stream closed.
#[derive(Debug, thiserror::Error)]
enum StreamError {
    #[error("{0}")]
    Connection(String),
    #[error("{0}")]
    Message(String),
    #[error("report period of zero")]
    ZeroPeriod,
    #[error("load report not taken")]
    ReportNotTaken,
    #[error(transparent)]
    Dial(#[from] io::Error),
}

impl ReportStream {
    /// A stream that is dialed at the first poll.
    pub fn new(now: Moment, config: &ProxyConfig, token: Token) -> ReportStream {
        let controllers = config.controller_addresses();
        let delay = config.timeouts.reconnect_delay;
        ReportStream {
            introduction: config.introduction(),
            dialer: ControllerDialer::new(now, controllers.len(), delay, config.seed),
            controllers,
            source: config.source,
            state: State::Waiting,
            token,
            dialed_at: SystemTime::now(),
            tls: config.tls.clone(),
        }
    }

    /// When it was last dialed, by the clock that files are dated by.
    pub fn dialed_at(&self) -> SystemTime {
        self.dialed_at
    }

    /// Whether a controller has accepted it.
    pub fn is_joined(&self) -> bool {
        self.dialer.is_joined()
    }

    /// Dials, reads and writes. `take_report` is called when a report is due.
    pub fn poll(
        &mut self,
        poll: &Poll,
        now: Moment,
        take_report: impl FnOnce() -> Option<LoadReport>,
    ) -> Vec<ReportStreamEvent> {
        if let Some(controller) = self.dialer.start_dial_if_due(now) {
            self.dial(poll, now, controller);
        }
        let mut joined = Vec::new();
        let (events, closed) = match &mut self.state {
            State::Waiting => return joined,
            State::Dialing(connection) => connection.turn(now),
            State::Joined(stream) => stream.connection.turn(now),
        };
        let mut error = closed.map(StreamError::Connection);
        for event in events {
            match event {
                ClientEvent::Opened => error = error.or(self.introduce(now)),
                ClientEvent::Message { bytes } => {
                    if let Err(bad_message) = self.on_message(now, &bytes, &mut joined) {
                        error = Some(bad_message);
                    }
                }
            }
        }
        if error.is_none() {
            error = self.send_report_if_due(now, take_report);
        }
        if let Some(error) = error {
            joined.extend(self.close(now, &error));
        }
        joined
    }

    /// Says who calls, once the stream is open.
    fn introduce(&mut self, now: Moment) -> Option<StreamError> {
        let State::Dialing(connection) = &mut self.state else {
            return None;
        };
        let hello = loads::introduce(&self.introduction).encode_to_vec();
        connection.send(&hello);
        connection.advance(now).map(StreamError::Connection)
    }

    /// A controller says how often it wants reports; the first time it accepts the stream by that.
    fn on_message(
        &mut self,
        now: Moment,
        bytes: &[u8],
        events: &mut Vec<ReportStreamEvent>,
    ) -> Result<(), StreamError> {
        let period = loads::decode_response(bytes)
            .map_err(|error| StreamError::Message(error.to_string()))?;
        if period <= Span::ZERO {
            return Err(StreamError::ZeroPeriod);
        }
        events.extend(self.set_period(now, period));
        Ok(())
    }

    fn set_period(&mut self, now: Moment, period: Span) -> Option<ReportStreamEvent> {
        match std::mem::replace(&mut self.state, State::Waiting) {
            State::Dialing(connection) => {
                self.state = State::Joined(Joined {
                    connection,
                    period,
                    next_report: now + period,
                });
                let controller = self.dialer.controller();
                let is_joined = self.dialer.on_accepted();
                is_joined.then_some(ReportStreamEvent::Joined { controller })
            }
            State::Joined(stream) => {
                self.state = State::Joined(Joined { period, ..stream });
                None
            }
            State::Waiting => None,
        }
    }

    fn send_report_if_due(
        &mut self,
        now: Moment,
        take_report: impl FnOnce() -> Option<LoadReport>,
    ) -> Option<StreamError> {
        let State::Joined(stream) = &mut self.state else {
            return None;
        };
        if now < stream.next_report {
            return None;
        }
        let earliest = now + stream.period * MIN_PART_OF_PERIOD;
        stream.next_report = (stream.next_report + stream.period).max(earliest);
        let report = take_report()?;
        let zone = |_: &NodeReport| self.introduction.zone.clone();
        let request = loads::request(&report, zone).encode_to_vec();
        let is_queued = stream.connection.send(&request);
        let closed = stream.connection.advance(now);
        if !is_queued {
            return Some(StreamError::ReportNotTaken);
        }
        closed.map(StreamError::Connection)
    }

    fn close(&mut self, now: Moment, error: &StreamError) -> Option<ReportStreamEvent> {
        self.state = State::Waiting;
        let was_joined = self.dialer.on_closed(now);
        was_joined.then(|| ReportStreamEvent::Left {
            reason: error.to_string(),
        })
    }

    fn dial(&mut self, poll: &Poll, now: Moment, controller: usize) {
        self.dialed_at = SystemTime::now();
        match self.connect(poll, now, controller) {
            Ok(connection) => self.state = State::Dialing(Box::new(connection)),
            // The stream was not joined, so there is no event.
            Err(error) => drop(self.close(now, &error.into())),
        }
    }

    fn connect(&self, poll: &Poll, now: Moment, controller: usize) -> io::Result<ClientConnection> {
        let address = self.controllers[controller];
        let socket = reactor::connect_from(self.source, address.ip().octets(), address.port())?;
        poll.add(&socket, self.token, Interest::Edges)?;
        tls::connect(now, socket, loads::METHOD, self.tls.as_ref())
    }

    /// When it has to be polled at the latest.
    pub fn next_wakeup(&self, now: Moment) -> Moment {
        let keepalive = now + KEEPALIVE_INTERVAL;
        match &self.state {
            State::Waiting => self.dialer.next_dial_at().unwrap_or(now),
            State::Dialing(_) => keepalive,
            State::Joined(stream) => stream.next_report.min(keepalive),
        }
    }
}
