//! The stream of sums: dialled, lost, dialled again, at the next conductor if one does not answer.

use crate::config::ProxyConfig;
use crate::tls::{self, TlsSide};
use prost::Message;
use std::net::{Ipv4Addr, SocketAddrV4, TcpStream};
use std::time::SystemTime;
use wheelspread::time::{Moment, Span};
use wheelspread_controller_core::load_report::{LoadReport, NodeReport};
use wheelspread_controller_core::membership::Introduction;
use wheelspread_grpc::{ClientConnection, ClientEvent};
use wheelspread_proxy_core::dialer::ControllerDialer;
use wheelspread_reactor::{self as reactor, Interest, Poll, Token};
use wheelspread_xds::loads;

enum State {
    Waiting,
    Dialling(Box<ClientConnection>),
    Joined {
        connection: Box<ClientConnection>,
        period: Span,
        next: Moment,
    },
}

pub struct ReportStream {
    who: Introduction,
    sides: Vec<SocketAddrV4>,
    source: Option<Ipv4Addr>,
    state: State,
    dial: ControllerDialer,
    token: Token,
    dialled: SystemTime,
    tls: Option<TlsSide>,
}

pub enum ReportStreamEvent {
    Joined { conductor: usize },
    Left { reason: String },
}

impl ReportStream {
    pub fn new(now: Moment, plan: &ProxyConfig, token: Token) -> ReportStream {
        let sides = plan.sides();
        let dial = ControllerDialer::new(now, sides.len(), plan.waits.redial, plan.seed);
        ReportStream {
            who: plan.introduction(),
            sides,
            source: plan.source,
            state: State::Waiting,
            dial,
            token,
            dialled: SystemTime::now(),
            tls: plan.tls.clone(),
        }
    }

    /// When it last began to dial.
    pub fn dialled(&self) -> SystemTime {
        self.dialled
    }

    pub fn joined(&self) -> bool {
        self.dial.joined()
    }

    /// TableSource, writes, dials. `report` is asked for sums when they are due.
    pub fn turn(
        &mut self,
        poll: &Poll,
        now: Moment,
        report: impl FnOnce() -> Option<LoadReport>,
    ) -> Vec<ReportStreamEvent> {
        if let Some(side) = self.dial.due(now) {
            self.dial(poll, now, side);
        }
        let mut told = Vec::new();
        let (events, mut over) = match &mut self.state {
            State::Waiting => return told,
            State::Dialling(connection) | State::Joined { connection, .. } => connection.turn(now),
        };
        for event in events {
            match event {
                ClientEvent::Opened => {
                    let hello = loads::introduce(&self.who).encode_to_vec();
                    if let State::Dialling(connection) = &mut self.state {
                        connection.send(&hello);
                        over = over.or(connection.push(now));
                    }
                }
                ClientEvent::Message { bytes } => match loads::decode_response(&bytes) {
                    Ok(period) if period > Span::ZERO => self.accepted(now, period, &mut told),
                    Ok(_) => over = Some("a period of nothing".to_string()),
                    Err(error) => over = Some(error.to_string()),
                },
            }
        }
        if let State::Joined {
            connection,
            period,
            next,
        } = &mut self.state
        {
            if now >= *next && over.is_none() {
                *next = (*next + *period).max(now + *period * 0.5);
                let request = report()
                    .map(|report| loads::request(&report, |_: &NodeReport| self.who.zone.clone()));
                if let Some(request) = request {
                    if !connection.send(&request.encode_to_vec()) {
                        over = Some("sums are not taken".to_string());
                    }
                    over = over.or(connection.push(now));
                }
            }
        }
        if let Some(reason) = over {
            self.lost(now, reason, &mut told);
        }
        told
    }

    fn accepted(&mut self, now: Moment, period: Span, told: &mut Vec<ReportStreamEvent>) {
        self.state = match std::mem::replace(&mut self.state, State::Waiting) {
            State::Dialling(connection) => {
                if self.dial.accepted(now) {
                    told.push(ReportStreamEvent::Joined {
                        conductor: self.dial.conductor(),
                    });
                }
                State::Joined {
                    connection,
                    period,
                    next: now + period,
                }
            }
            State::Joined {
                connection, next, ..
            } => State::Joined {
                connection,
                period,
                next,
            },
            waiting => waiting,
        };
    }

    /// Breaks the stream, as when the network does.
    pub fn lost(&mut self, now: Moment, reason: String, told: &mut Vec<ReportStreamEvent>) {
        if self.dial.lost(now) {
            told.push(ReportStreamEvent::Left { reason });
        }
        self.state = State::Waiting;
    }

    fn dial(&mut self, poll: &Poll, now: Moment, side: usize) {
        self.dialled = SystemTime::now();
        let side = self.sides[side];
        let socket = reactor::connect_from(self.source, side.ip().octets(), side.port());
        let dialled = socket.and_then(|socket: TcpStream| {
            poll.add(&socket, self.token, Interest::Edges)?;
            tls::connect(now, socket, loads::METHOD, self.tls.as_ref())
        });
        match dialled {
            Ok(connection) => self.state = State::Dialling(Box::new(connection)),
            Err(error) => self.lost(now, error.to_string(), &mut Vec::new()),
        }
    }

    pub fn wake_at(&self, now: Moment) -> Moment {
        match &self.state {
            State::Waiting => self.dial.until().unwrap_or(now),
            State::Dialling(_) => now + Span::from_seconds(0.5),
            // Pings are looked after as well.
            State::Joined { next, .. } => (*next).min(now + Span::from_seconds(0.5)),
        }
    }
}
