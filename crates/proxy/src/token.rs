//! Tokens of a proxy's sockets. The upper half of a token is the proxy's instance number on its event loop. The lower
//! half identifies a socket of that proxy.

use wheelspread_reactor::Token;

const INSTANCE_BITS: u32 = 32;
/// Set in the lower half for a client connection; the bits below are the slot.
const CLIENT_FLAG: u64 = 1 << 29;
/// Set in the lower half for an upstream connection; the bits below `CLIENT_FLAG` are the slot.
const UPSTREAM_FLAG: u64 = 1 << 30;
const SLOT_MASK: u64 = CLIENT_FLAG - 1;

const LISTENER: u64 = 0;
const REPORT_STREAM: u64 = 1;
const TABLE_FILES: u64 = 2;
const TABLE_STREAM: u64 = 3;

/// The event source that a token identifies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    /// The listening socket for clients.
    Listener,
    /// The load report stream to a controller.
    ReportStream,
    /// The watch of the table files.
    TableFiles,
    /// The discovery stream from a controller.
    TableStream,
    /// A client connection, by its slot.
    Client(usize),
    /// A connection to a node, by its slot in the pool.
    Upstream(usize),
}

/// Creates the tokens of one proxy.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenSpace {
    base: u64,
}

impl TokenSpace {
    pub(crate) fn new(instance: u32) -> TokenSpace {
        TokenSpace {
            base: u64::from(instance) << INSTANCE_BITS,
        }
    }

    pub(crate) fn token(self, source: Source) -> Token {
        let local = match source {
            Source::Listener => LISTENER,
            Source::ReportStream => REPORT_STREAM,
            Source::TableFiles => TABLE_FILES,
            Source::TableStream => TABLE_STREAM,
            Source::Client(slot) => CLIENT_FLAG + slot as u64,
            Source::Upstream(slot) => UPSTREAM_FLAG + slot as u64,
        };
        Token(self.base + local)
    }

    /// The event source that a token identifies within its proxy, whichever proxy that is.
    pub(crate) fn source(token: Token) -> Source {
        let local = token.0 & u64::from(u32::MAX);
        let slot = (local & SLOT_MASK) as usize;
        match local {
            LISTENER => Source::Listener,
            REPORT_STREAM => Source::ReportStream,
            TABLE_FILES => Source::TableFiles,
            TABLE_STREAM => Source::TableStream,
            local if local & UPSTREAM_FLAG != 0 => Source::Upstream(slot),
            _ => Source::Client(slot),
        }
    }
}

/// Whether a token belongs to a connection to a node. Events of these connections are handled first, so that a
/// connection that the node closed is not used for a request that arrives in the same batch of events.
pub(crate) fn is_upstream_token(token: Token) -> bool {
    token.0 & UPSTREAM_FLAG != 0
}

#[cfg(test)]
mod tests;
