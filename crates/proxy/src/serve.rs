//! An event loop with a single proxy.

use crate::token::is_upstream_token;
use crate::{Proxy, ProxyConfig, RequestObserver};
use std::io;
use tracing::info;
use wheelspread_reactor::{self as reactor, Poll, Signals, Token};

/// Token of the signal events. It is greater than all tokens of the proxy with instance number 0.
const SIGNALS: Token = Token(1 << 60);

/// Runs one proxy until the process receives SIGTERM or SIGINT.
///
/// # Errors
/// The proxy can't start or accept an event, or the event loop failed.
pub fn serve<W: RequestObserver>(config: ProxyConfig, observer: W) -> io::Result<()> {
    let mut poll = Poll::new()?;
    let signals = Signals::new(&poll, SIGNALS, &[reactor::TERMINATE, reactor::INTERRUPT])?;
    let name = config.name.clone();
    let mut proxy = Proxy::start(&poll, reactor::now(), 0, config, observer)?;
    info!(name, address = %proxy.address()?, "proxy listens");
    let mut events = Vec::new();
    loop {
        let now = reactor::now();
        proxy.run_due_work(&poll, now);
        let timeout = proxy.next_wakeup(now) - now;
        poll.wait(timeout, &mut events)?;
        let now = reactor::now();
        events.sort_by_key(|event| !is_upstream_token(event.token));
        for event in events.drain(..) {
            if event.token != SIGNALS {
                proxy.on_ready(&poll, now, event)?;
            } else if !signals.received().is_empty() {
                info!(name, "proxy stopped");
                return Ok(());
            }
        }
    }
}
