//! Why a connection at the controller's address is closed, and what closing it still has to do
//! (docs/connection-closing.md).

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The peer closed or reset it, and everything it sent was read.
    PeerClosed,
    /// A write failed: what the peer had sent before is still to be read.
    WriteFailed,
    /// The peer sends what is no message.
    Unreadable,
    /// The peer leaves unread what it is sent.
    UnreadOutput,
    /// The peer sent what the handshake does not allow.
    Rejected,
    /// A newer connection has taken its place, or its stream fell silent.
    Replaced,
    /// The peer did not identify itself in time.
    IdentificationTimeout,
    /// Descriptors are short.
    Evicted,
    /// All buffers together hold too much, and this one the most.
    BuffersFull,
    /// The peer sends pings without end and does not read the answers.
    PingFlood,
}

/// Whether a connection is read once more before it is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalRead {
    /// Everything was read, or nothing it sent counts.
    Skip,
    /// What it sent counts, and it is closed. A reason that reading itself finds must not ask for this.
    Process,
    /// It stays open if it has identified itself by now: it was only not read in time.
    KeepIfIdentified,
}

/// What closing a connection has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CloseObligations {
    /// Whether it is read once more first.
    pub final_read: FinalRead,
    /// Close by a reset, so that the peer does not wait for the rest of a message that was cut.
    pub reset: bool,
}

impl CloseReason {
    /// What closing for this reason has to do.
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
