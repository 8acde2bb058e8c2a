//! Reasons for closing a connection of a proxy or a collector, and the close obligations of each reason
//! (docs/connection-closing.md).

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The peer closed or reset the connection, and everything it sent was read.
    PeerClosed,
    /// A write failed; messages that the peer had sent before must still be read.
    WriteFailed,
    /// The received bytes are not a message.
    Unreadable,
    /// The peer does not read, and the output waiting for it exceeds the limit.
    UnreadOutput,
    /// The core rejected a message, which is invalid or not allowed on this connection.
    Rejected,
    /// A newer connection has replaced this one, or its stream is silent.
    Replaced,
    /// The peer did not identify itself in time.
    IdentificationTimeout,
    /// The descriptor limit is reached, and the peer has not identified itself.
    Evicted,
    /// The buffers of all connections exceed their limit, and those of this connection are the largest.
    BuffersFull,
    /// The peer keeps sending pings and does not read the answers.
    PingFlood,
}

/// Whether a connection is read a last time before it is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalRead {
    /// No final read: everything was read, or unread messages are to be ignored.
    Skip,
    /// Unread messages are processed, then the connection is closed. Reasons detected by a read must not use this,
    /// since closing would then read again without end.
    Process,
    /// Unread messages are processed, and the connection stays open if one of them identifies the peer: it had
    /// arrived in time and was only not read yet.
    KeepIfIdentified,
}

/// The steps that closing a connection requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CloseObligations {
    /// Whether the connection is read a last time first.
    pub final_read: FinalRead,
    /// Close with a reset, so that the peer does not wait for the rest of a truncated message.
    pub reset: bool,
}

impl CloseReason {
    /// The steps that closing for this reason requires.
    pub fn obligations(self) -> CloseObligations {
        CloseObligations {
            final_read: self.final_read(),
            reset: self.needs_reset(),
        }
    }

    fn final_read(self) -> FinalRead {
        match self {
            CloseReason::WriteFailed | CloseReason::UnreadOutput | CloseReason::BuffersFull => {
                FinalRead::Process
            }
            CloseReason::IdentificationTimeout | CloseReason::Evicted => {
                FinalRead::KeepIfIdentified
            }
            CloseReason::PeerClosed
            | CloseReason::Unreadable
            | CloseReason::Rejected
            | CloseReason::Replaced
            | CloseReason::PingFlood => FinalRead::Skip,
        }
    }

    fn needs_reset(self) -> bool {
        match self {
            CloseReason::UnreadOutput | CloseReason::BuffersFull | CloseReason::PingFlood => true,
            CloseReason::PeerClosed
            | CloseReason::WriteFailed
            | CloseReason::Unreadable
            | CloseReason::Rejected
            | CloseReason::Replaced
            | CloseReason::IdentificationTimeout
            | CloseReason::Evicted => false,
        }
    }
}
