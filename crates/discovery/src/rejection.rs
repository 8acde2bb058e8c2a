//! What follows when clients refuse a version. Refusals are counted for each table and version; a client
//! that refuses keeps what it held and is not waited for. One of many is likely wrong itself: the others go
//! on without it. Where most refuse, the table is likely wrong: ordinary changes are held back, and when
//! versions go on being refused, the last one that most took is gone back to. What takes a node away is
//! always sent: a drain does not wait for a table to please.

use std::collections::{BTreeMap, BTreeSet};
use wheelspread::ids::ProxyId;
use wheelspread::time::{Moment, Span};
use wheelspread_controller_core::publication::{BundleId, Version};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionResponse {
    Continue,
    /// Without this client, whose stream is ended so that it starts anew with the whole.
    RestartStream(ProxyId),
    /// Only what takes lines away is sent for a while.
    HoldChanges,
    /// To the last version that most took.
    RollBack(Version),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Fine,
    Holding,
    SteppedBack,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Input {
    FewRefuse,
    MostRefuse,
    /// For as many versions in a row as are borne.
    MostRefuseAgain,
    MostTake,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Effect {
    Nothing,
    Hold,
    StepBack,
    Release,
}

const TABLE: &[(State, Input, State, Effect)] = &[
    (State::Fine, Input::FewRefuse, State::Fine, Effect::Nothing),
    (State::Fine, Input::MostTake, State::Fine, Effect::Nothing),
    (State::Fine, Input::MostRefuse, State::Holding, Effect::Hold),
    (
        State::Fine,
        Input::MostRefuseAgain,
        State::SteppedBack,
        Effect::StepBack,
    ),
    (
        State::Holding,
        Input::FewRefuse,
        State::Holding,
        Effect::Nothing,
    ),
    (
        State::Holding,
        Input::MostTake,
        State::Fine,
        Effect::Release,
    ),
    (
        State::Holding,
        Input::MostRefuse,
        State::Holding,
        Effect::Hold,
    ),
    (
        State::Holding,
        Input::MostRefuseAgain,
        State::SteppedBack,
        Effect::StepBack,
    ),
    // What was gone back to is refused as well: there is nothing better.
    (
        State::SteppedBack,
        Input::MostRefuse,
        State::SteppedBack,
        Effect::Hold,
    ),
    (
        State::SteppedBack,
        Input::MostRefuseAgain,
        State::SteppedBack,
        Effect::Hold,
    ),
    (
        State::SteppedBack,
        Input::FewRefuse,
        State::SteppedBack,
        Effect::Nothing,
    ),
    (
        State::SteppedBack,
        Input::MostTake,
        State::Fine,
        Effect::Release,
    ),
];

/// Of those that answered: with more of them refusing, the table is at fault.
const MOST: f64 = 0.5;
/// Refused by most so many versions in a row, a table is stepped back.
const BORNE: u32 = 3;
/// A client that alone refuses so many versions in a row is told to start anew.
const ALONE: u32 = 5;
/// Versions whose answers are remembered for each table.
const VERSIONS: usize = 16;

#[derive(Debug, Default)]
struct Votes {
    took: BTreeSet<ProxyId>,
    refused: BTreeSet<ProxyId>,
}

impl Votes {
    fn most_refuse(&self) -> bool {
        let (took, refused) = (self.took.len() as f64, self.refused.len() as f64);
        refused >= 2.0 && refused > MOST * (took + refused)
    }

    fn most_take(&self) -> bool {
        !self.took.is_empty() && self.took.len() > self.refused.len()
    }
}

#[derive(Debug)]
struct Of {
    state: State,
    votes: BTreeMap<Version, Votes>,
    /// Versions in a row that most refused.
    in_a_row: u32,
    counted: Version,
    held_until: Option<Moment>,
    last_good: Option<Version>,
}

impl Default for Of {
    fn default() -> Of {
        Of {
            state: State::Fine,
            votes: BTreeMap::new(),
            in_a_row: 0,
            counted: Version(0),
            held_until: None,
            last_good: None,
        }
    }
}

#[derive(Debug)]
pub struct RejectionTracker {
    tables: BTreeMap<BundleId, Of>,
    alone: BTreeMap<ProxyId, u32>,
    hold: Span,
}

impl RejectionTracker {
    /// `hold`: how long ordinary changes wait after most refused one; twice as long after each more.
    pub fn new(hold: Span) -> RejectionTracker {
        RejectionTracker {
            tables: BTreeMap::new(),
            alone: BTreeMap::new(),
            hold,
        }
    }

    fn votes(&mut self, bundle: BundleId, version: Version) -> &mut Of {
        let of = self.tables.entry(bundle).or_default();
        of.votes.entry(version).or_default();
        while of.votes.len() > VERSIONS {
            of.votes.pop_first();
        }
        of
    }

    pub fn took(
        &mut self,
        now: Moment,
        bundle: BundleId,
        version: Version,
        proxy: ProxyId,
    ) -> RejectionResponse {
        self.alone.remove(&proxy);
        let of = self.votes(bundle, version);
        let Some(votes) = of.votes.get_mut(&version) else {
            return RejectionResponse::Continue;
        };
        votes.took.insert(proxy);
        votes.refused.remove(&proxy);
        if !votes.most_take() {
            return RejectionResponse::Continue;
        }
        of.last_good = of.last_good.max(Some(version));
        if version >= of.counted {
            of.in_a_row = 0;
        }
        self.turn(now, bundle, Input::MostTake)
    }

    pub fn refused(
        &mut self,
        now: Moment,
        bundle: BundleId,
        version: Version,
        proxy: ProxyId,
    ) -> RejectionResponse {
        let of = self.votes(bundle, version);
        let Some(votes) = of.votes.get_mut(&version) else {
            return RejectionResponse::Continue;
        };
        votes.refused.insert(proxy);
        votes.took.remove(&proxy);
        if votes.most_refuse() {
            if version > of.counted {
                (of.in_a_row, of.counted) = (of.in_a_row + 1, version);
            }
            let input = if of.in_a_row >= BORNE {
                Input::MostRefuseAgain
            } else {
                Input::MostRefuse
            };
            return self.turn(now, bundle, input);
        }
        let alone = self.alone.entry(proxy).or_insert(0);
        *alone += 1;
        if *alone >= ALONE {
            *alone = 0;
            return RejectionResponse::RestartStream(proxy);
        }
        self.turn(now, bundle, Input::FewRefuse)
    }

    fn turn(&mut self, now: Moment, bundle: BundleId, input: Input) -> RejectionResponse {
        let hold = self.hold;
        let Some(of) = self.tables.get_mut(&bundle) else {
            return RejectionResponse::Continue;
        };
        let row = TABLE.iter().find(|row| (row.0, row.1) == (of.state, input));
        let Some((_, _, next, effect)) = row else {
            return RejectionResponse::Continue;
        };
        of.state = *next;
        match effect {
            Effect::Nothing => RejectionResponse::Continue,
            Effect::Release => {
                of.held_until = None;
                RejectionResponse::Continue
            }
            Effect::Hold | Effect::StepBack => {
                let doubled = 2u32.pow(of.in_a_row.saturating_sub(1).min(6));
                of.held_until = Some(now + hold * f64::from(doubled));
                match (effect, of.last_good) {
                    (Effect::StepBack, Some(good)) => RejectionResponse::RollBack(good),
                    _ => RejectionResponse::HoldChanges,
                }
            }
        }
    }

    /// Whether ordinary changes of a table wait, and until when.
    pub fn held_until(&self, bundle: BundleId) -> Option<Moment> {
        self.tables.get(&bundle)?.held_until
    }

    pub fn forget(&mut self, proxy: ProxyId) {
        self.alone.remove(&proxy);
    }
}
