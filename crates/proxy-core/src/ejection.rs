//! Keeping away from a node after a run of failures of the proxy's own tries there, and coming back to it
//! by a trial: one invocation at a time until one succeeds.

use wheelspread::time::{Moment, Span};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionState {
    Available,
    Ejected,
    /// The time is over; the next try decides.
    Probation,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Met {
    Success,
    /// One failure fewer than it takes.
    Failure,
    LastFailure,
    TimeOver,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Effect {
    Nothing,
    ClearRun,
    CountRun,
    Shun,
    ShunLonger,
    Admit,
}

// A failure that comes back while the node is shunned already, of a try from before, changes nothing.
const STANDING: &[(EjectionState, Met, EjectionState, Effect)] = &[
    (
        EjectionState::Available,
        Met::Success,
        EjectionState::Available,
        Effect::ClearRun,
    ),
    (
        EjectionState::Available,
        Met::Failure,
        EjectionState::Available,
        Effect::CountRun,
    ),
    (
        EjectionState::Available,
        Met::LastFailure,
        EjectionState::Ejected,
        Effect::Shun,
    ),
    (
        EjectionState::Ejected,
        Met::TimeOver,
        EjectionState::Probation,
        Effect::Nothing,
    ),
    (
        EjectionState::Ejected,
        Met::Success,
        EjectionState::Probation,
        Effect::Nothing,
    ),
    (
        EjectionState::Probation,
        Met::Success,
        EjectionState::Available,
        Effect::Admit,
    ),
    (
        EjectionState::Probation,
        Met::Failure,
        EjectionState::Ejected,
        Effect::ShunLonger,
    ),
    (
        EjectionState::Probation,
        Met::LastFailure,
        EjectionState::Ejected,
        Effect::ShunLonger,
    ),
];

/// How many times the first span a node is shunned at most, when its trials fail one after the other.
const LONGEST: i32 = 4;

#[derive(Clone, Debug)]
pub struct PassiveHealth {
    standing: EjectionState,
    run: u32,
    until: Moment,
    times: i32,
    /// A trial is under way.
    trying: bool,
}

impl Default for PassiveHealth {
    fn default() -> Self {
        let until = Moment::from_seconds(0.0);
        PassiveHealth {
            standing: EjectionState::Available,
            run: 0,
            until,
            times: 0,
            trying: false,
        }
    }
}

impl PassiveHealth {
    pub fn standing(&self) -> EjectionState {
        self.standing
    }

    /// Whether an invocation may go there now, for a line that is published.
    pub fn open(&self) -> bool {
        match self.standing {
            EjectionState::Available => true,
            EjectionState::Ejected => false,
            EjectionState::Probation => !self.trying,
        }
    }

    /// An invocation goes there.
    pub fn sent(&mut self) {
        self.trying |= self.standing == EjectionState::Probation;
    }

    pub fn until(&self) -> Option<Moment> {
        (self.standing == EjectionState::Ejected).then_some(self.until)
    }

    /// `after`: failures in a row that it takes; 0: no node is ever shunned.
    pub fn met(&mut self, now: Moment, success: bool, after: u32, span: Span) {
        let met = match success {
            true => Met::Success,
            false if after > 0 && self.run + 1 >= after => Met::LastFailure,
            false => Met::Failure,
        };
        self.trying = false;
        self.turn(now, met, span);
    }

    /// A try that told nothing of the node, as when the client went away.
    pub fn untold(&mut self) {
        self.trying = false;
    }

    /// `true` if its time is over now.
    pub fn pass(&mut self, now: Moment, span: Span) -> bool {
        let over = self.standing == EjectionState::Ejected && now >= self.until;
        if over {
            self.turn(now, Met::TimeOver, span);
        }
        over
    }

    fn turn(&mut self, now: Moment, met: Met, span: Span) {
        let Some(row) = STANDING
            .iter()
            .find(|row| (row.0, row.1) == (self.standing, met))
        else {
            return;
        };
        self.standing = row.2;
        match row.3 {
            Effect::Nothing => {}
            Effect::ClearRun => self.run = 0,
            Effect::CountRun => self.run += 1,
            Effect::Shun => (self.until, self.times, self.run) = (now + span, 1, 0),
            Effect::ShunLonger => {
                self.times = (self.times * 2).min(LONGEST);
                self.until = now + span * f64::from(self.times);
            }
            Effect::Admit => (self.run, self.times) = (0, 0),
        }
    }
}

#[cfg(test)]
mod tests;
