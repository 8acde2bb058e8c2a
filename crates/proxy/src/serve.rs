//! The loop of one proxy.

use crate::{Proxy, ProxyConfig, RequestObserver};
use std::io;
use tracing::info;
use wheelspread_reactor::{self as reactor, Poll, Signals, Token};

const SIGNALS: Token = Token(1 << 60);

/// Until a signal tells it to stop.
pub fn serve<W: RequestObserver>(plan: ProxyConfig, observer: W) -> io::Result<()> {
    let mut poll = Poll::new()?;
    let signals = Signals::new(&poll, SIGNALS, &[reactor::TERMINATE, reactor::INTERRUPT])?;
    let name = plan.name.clone();
    let mut proxy = Proxy::start(&poll, reactor::now(), 0, plan, observer)?;
    info!(name, address = %proxy.address()?, "proxy listens");
    let mut ready = Vec::new();
    loop {
        let now = reactor::now();
        proxy.turn(&poll, now);
        let wait = proxy.wake_at(now) - now;
        poll.wait(wait, &mut ready)?;
        let now = reactor::now();
        ready.sort_by_key(|ready| !Proxy::<W>::of_node(ready.token.0 & u64::from(u32::MAX)));
        for ready in ready.drain(..) {
            if ready.token == SIGNALS {
                if !signals.came().is_empty() {
                    info!(name, "proxy stopped");
                    return Ok(());
                }
            } else {
                proxy.ready(&poll, now, ready.token.0 & u64::from(u32::MAX), ready)?;
            }
        }
    }
}
