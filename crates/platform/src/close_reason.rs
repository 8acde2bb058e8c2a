//! Every way in which a connection at the conductor's address ends, and what is still owed to it or by it in
//! that instant (docs/endings.md).

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The peer ended or reset it, and was read to the end.
    Ended,
    /// Writing failed: what the peer had said before is still to be read.
    WriteFailed,
    /// What it says can't be read.
    Unreadable,
    /// It leaves unread what it is sent.
    Unread,
    /// It said what its handshake does not allow.
    Refused,
    /// A newer stream of its proxy has come, or it fell silent.
    Replaced,
    /// It has not said who it is.
    Late,
    /// Descriptors are short.
    Evicted,
    /// Buffers hold too much.
    Crowded,
    /// It asks and asks, and does not read the answers.
    Flooded,
}

/// A last look at what has come and was not read yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LastLook {
    /// All was read, or nothing it says counts.
    None,
    /// What it said counts, and it ends. No ending that a reading itself finds may ask for this.
    Counts,
    /// It stays if it has said who it is now: it was only not read in time.
    Spares,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Owed {
    pub look: LastLook,
    /// By a reset, so that the peer does not wait for what was cut off.
    pub reset: bool,
}

const fn owed(look: LastLook, reset: bool) -> Owed {
    Owed { look, reset }
}

const ENDINGS: &[(Ending, Owed)] = &[
    (Ending::Ended, owed(LastLook::None, false)),
    (Ending::WriteFailed, owed(LastLook::Counts, false)),
    (Ending::Unreadable, owed(LastLook::None, false)),
    (Ending::Unread, owed(LastLook::Counts, true)),
    (Ending::Refused, owed(LastLook::None, false)),
    (Ending::Replaced, owed(LastLook::None, false)),
    (Ending::Late, owed(LastLook::Spares, false)),
    (Ending::Evicted, owed(LastLook::Spares, false)),
    (Ending::Crowded, owed(LastLook::Counts, true)),
    (Ending::Flooded, owed(LastLook::None, true)),
];

impl Ending {
    pub fn owed(self) -> Owed {
        let row = ENDINGS.iter().find(|row| row.0 == self);
        row.map_or(owed(LastLook::None, false), |row| row.1)
    }
}
