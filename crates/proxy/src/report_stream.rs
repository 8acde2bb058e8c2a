//! The load report stream. It is redialed when it closes, and goes to the next controller after repeated failures. The
//! proxy is joined to the controller that accepted the stream.

use crate::config::ProxyConfig;
use crate::tls::{self, TlsConfig};
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

/// Maximum time between two polls of an open stream, which sends its keepalive pings when it is polled.
const KEEPALIVE_INTERVAL: Span = Span::from_seconds(0.5);
/// Minimum delay between a late report and the next one, as a ratio of the report period.
const MIN_REPORT_DELAY_RATIO: f64 = 0.5;

enum State {
    Waiting,
    Dialing(Box<ClientConnection>),
    Joined(JoinedStream),
}

/// A stream that a controller accepted.
struct JoinedStream {
    connection: Box<ClientConnection>,
    /// The report period that the controller requested.
    period: Span,
    next_report_at: Moment,
}

/// The load report stream of a proxy.
pub struct ReportStream {
    identity: ProxyIdentity,
    addresses: Vec<SocketAddrV4>,
    source: Option<Ipv4Addr>,
    state: State,
    dialer: ControllerDialer,
    token: Token,
    dialed_at: SystemTime,
    tls: Option<TlsConfig>,
}

/// A change of the stream's state.
pub enum ReportStreamEvent {
    /// A controller accepted the stream.
    Joined {
        /// Index of the controller in the configuration.
        controller: usize,
    },
    /// The stream closed after a controller had accepted it.
    Left {
        /// Why the stream closed.
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
    #[error("the controller requested a report period that is not above 0")]
    ZeroPeriod,
    #[error("load report not sent: the send queue of the stream is full")]
    ReportNotTaken,
    #[error(transparent)]
    Dial(#[from] io::Error),
}

impl ReportStream {
    /// Creates a stream that is dialed at the first poll.
    pub fn new(now: Moment, config: &ProxyConfig, token: Token) -> ReportStream {
        let addresses = config.controller_addresses();
        let delay = config.timeouts.reconnect_delay;
        ReportStream {
            identity: config.identity(),
            dialer: ControllerDialer::new(now, addresses.len(), delay, config.seed),
            addresses,
            source: config.source,
            state: State::Waiting,
            token,
            dialed_at: SystemTime::now(),
            tls: config.tls.clone(),
        }
    }

    /// When the stream was last dialed, on the system clock so that it can be compared with file times.
    pub fn dialed_at(&self) -> SystemTime {
        self.dialed_at
    }

    /// Whether a controller has accepted the stream.
    pub fn is_joined(&self) -> bool {
        self.dialer.is_joined()
    }

    /// Dials, reads and writes what is due. Calls `take_report` when a load report is due.
    pub fn poll(
        &mut self,
        poll: &Poll,
        now: Moment,
        take_report: impl FnOnce() -> Option<LoadReport>,
    ) -> Vec<ReportStreamEvent> {
        if let Some(controller) = self.dialer.start_dial_if_due(now) {
            self.dial(poll, now, controller);
        }
        let mut stream_events = Vec::new();
        let (events, closed) = match &mut self.state {
            State::Waiting => return stream_events,
            State::Dialing(connection) => connection.turn(now),
            State::Joined(stream) => stream.connection.turn(now),
        };
        let mut error = closed.map(StreamError::Connection);
        for event in events {
            match event {
                ClientEvent::Opened => error = error.or(self.introduce(now)),
                ClientEvent::Message { bytes } => {
                    if let Err(message_error) = self.on_message(now, &bytes, &mut stream_events) {
                        error = Some(message_error);
                    }
                }
            }
        }
        if error.is_none() {
            error = self.send_report_if_due(now, take_report);
        }
        if let Some(error) = error {
            stream_events.extend(self.close(now, &error));
        }
        stream_events
    }

    /// Sends the identity of the proxy on a newly opened stream.
    fn introduce(&mut self, now: Moment) -> Option<StreamError> {
        let State::Dialing(connection) = &mut self.state else {
            return None;
        };
        let identity_request = loads::identity_request(&self.identity).encode_to_vec();
        connection.send(&identity_request);
        connection.advance(now).map(StreamError::Connection)
    }

    /// Handles a message of the controller, which sets the report period. The first message accepts the stream.
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
                self.state = State::Joined(JoinedStream {
                    connection,
                    period,
                    next_report_at: now + period,
                });
                let controller = self.dialer.controller();
                let is_joined = self.dialer.on_accepted();
                is_joined.then_some(ReportStreamEvent::Joined { controller })
            }
            State::Joined(stream) => {
                self.state = State::Joined(JoinedStream { period, ..stream });
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
        if now < stream.next_report_at {
            return None;
        }
        let earliest = now + stream.period * MIN_REPORT_DELAY_RATIO;
        stream.next_report_at = (stream.next_report_at + stream.period).max(earliest);
        let report = take_report()?;
        let zone = |_: &NodeReport| self.identity.zone.clone();
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
            // The stream was not joined, so there is no event to return.
            Err(error) => drop(self.close(now, &error.into())),
        }
    }

    fn connect(&self, poll: &Poll, now: Moment, controller: usize) -> io::Result<ClientConnection> {
        let address = self.addresses[controller];
        let socket = reactor::connect_from(self.source, address.ip().octets(), address.port())?;
        poll.add(&socket, self.token, Interest::Edges)?;
        tls::connect(now, socket, loads::METHOD, self.tls.as_ref())
    }

    /// When [`poll`](Self::poll) has to be called at the latest.
    pub fn next_wakeup(&self, now: Moment) -> Moment {
        let keepalive = now + KEEPALIVE_INTERVAL;
        match &self.state {
            State::Waiting => self.dialer.next_dial_at().unwrap_or(now),
            State::Dialing(_) => keepalive,
            State::Joined(stream) => stream.next_report_at.min(keepalive),
        }
    }
}
