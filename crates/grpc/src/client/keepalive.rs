//! Keep-alive pings of a client. A server process that hangs keeps its connection open, so only an acknowledged ping
//! shows that the server still responds.

use crate::error::ConnectionError;
use crate::KeepAlive;
use h2::{Ping, PingPong};
use std::task::{Context, Poll};
use wheelspread::time::Moment;

pub(super) struct KeepAliveState {
    pings: Option<PingPong>,
    ping_sent_at: Option<Moment>,
    last_pong_at: Moment,
}

impl KeepAliveState {
    /// `pings`: the ping handle of the connection, which h2 hands out only once.
    pub fn new(now: Moment, pings: Option<PingPong>) -> KeepAliveState {
        KeepAliveState {
            pings,
            ping_sent_at: None,
            last_pong_at: now,
        }
    }

    /// Sends a ping or reads its acknowledgement. Returns whether there was progress.
    pub fn step(
        &mut self,
        now: Moment,
        limits: KeepAlive,
        context: &mut Context,
    ) -> Result<bool, ConnectionError> {
        let Some(pings) = &mut self.pings else {
            return Ok(false);
        };
        if let Some(sent_at) = self.ping_sent_at {
            return match pings.poll_pong(context) {
                Poll::Ready(Ok(_)) => {
                    self.ping_sent_at = None;
                    self.last_pong_at = now;
                    Ok(true)
                }
                Poll::Ready(Err(error)) => Err(error.into()),
                Poll::Pending if now - sent_at > limits.timeout => {
                    let timeout = limits.timeout;
                    Err(ConnectionError::ServerPingTimeout { timeout })
                }
                Poll::Pending => Ok(false),
            };
        }
        if now - self.last_pong_at < limits.interval {
            return Ok(false);
        }
        pings.send_ping(Ping::opaque())?;
        self.ping_sent_at = Some(now);
        Ok(true)
    }
}
