//! Which conductor a proxy's stream goes to, and when it dials: the usual one first, again after a wait that
//! differs by chance (so that those who lost their streams together don't all come back at once), the next
//! one when it does not answer.

use wheelspread::pcg::Pcg;
use wheelspread::time::{Moment, Span};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Waiting,
    Dialling,
    Joined,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Input {
    Due,
    Accepted,
    Lost,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Effect {
    ControllerDialer,
    Join,
    /// It did not come about: after some of these the next conductor is tried.
    CountAndWait,
    LeaveAndWait,
}

const DIAL: &[(State, Input, State, Effect)] = &[
    (
        State::Waiting,
        Input::Due,
        State::Dialling,
        Effect::ControllerDialer,
    ),
    (
        State::Dialling,
        Input::Accepted,
        State::Joined,
        Effect::Join,
    ),
    (
        State::Dialling,
        Input::Lost,
        State::Waiting,
        Effect::CountAndWait,
    ),
    (
        State::Joined,
        Input::Lost,
        State::Waiting,
        Effect::LeaveAndWait,
    ),
];

/// Attempts that came to nothing, a lost stream included, before the next conductor is tried.
const ATTEMPTS: u32 = 2;

#[derive(Clone, Debug)]
pub struct ControllerDialer {
    state: State,
    conductors: usize,
    at: usize,
    failures: u32,
    redial: Span,
    until: Moment,
    chance: Pcg,
}

impl ControllerDialer {
    pub fn new(now: Moment, conductors: usize, redial: Span, seed: u64) -> ControllerDialer {
        let chance = Pcg::new(seed);
        ControllerDialer {
            state: State::Waiting,
            conductors: conductors.max(1),
            at: 0,
            failures: 0,
            redial,
            until: now,
            chance,
        }
    }

    /// The conductor that is dialled or joined, by its place among the proxy's.
    pub fn conductor(&self) -> usize {
        self.at
    }

    pub fn joined(&self) -> bool {
        self.state == State::Joined
    }

    /// When it dials next; `None` while it dials or is joined.
    pub fn until(&self) -> Option<Moment> {
        (self.state == State::Waiting).then_some(self.until)
    }

    /// Which conductor to dial now.
    pub fn due(&mut self, now: Moment) -> Option<usize> {
        let due = self.until().is_some_and(|until| now >= until);
        (due && self.turn(now, Input::Due) == Some(Effect::ControllerDialer)).then_some(self.at)
    }

    /// `true`: joined by this.
    pub fn accepted(&mut self, now: Moment) -> bool {
        self.turn(now, Input::Accepted) == Some(Effect::Join)
    }

    /// `true`: it was joined until now.
    pub fn lost(&mut self, now: Moment) -> bool {
        self.turn(now, Input::Lost) == Some(Effect::LeaveAndWait)
    }

    fn turn(&mut self, now: Moment, input: Input) -> Option<Effect> {
        let row = DIAL
            .iter()
            .find(|row| (row.0, row.1) == (self.state, input))?;
        self.state = row.2;
        match row.3 {
            Effect::ControllerDialer => {}
            Effect::Join => self.failures = 0,
            Effect::CountAndWait | Effect::LeaveAndWait => {
                self.failures += 1;
                if self.failures >= ATTEMPTS {
                    (self.at, self.failures) = ((self.at + 1) % self.conductors, 0);
                }
                self.until = now + self.redial * (0.5 + self.chance.unit());
            }
        }
        Some(row.3)
    }
}

#[cfg(test)]
mod tests;
