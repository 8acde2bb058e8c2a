//! What follows when clients reject a version.
//!
//! Rejections are counted for each table set and version. A client that rejects keeps what it held and is not waited
//! for. One of many is likely wrong itself: the others go on without it. Where most reject, the table set is likely
//! wrong: ordinary changes are paused, and when versions go on being rejected, the last one that most acknowledged is
//! rolled back to. What takes a node away is always sent: a drain does not wait until clients agree with a table.

mod state;
mod votes;

use state::{Effect, RejectionState, Tally};
use std::collections::BTreeMap;
use votes::Votes;
use wheelspread::ids::ProxyId;
use wheelspread::time::{Moment, Span};
use wheelspread_controller_core::publication::{BundleId, Version};

/// What a controller does after a rejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionResponse {
    /// Nothing.
    Continue,
    /// This client goes on alone: its stream is closed, so that it starts again with everything.
    RestartStream(ProxyId),
    /// Only what removes entries is sent for a while.
    PauseChanges,
    /// The table set goes back to the last version that most acknowledged.
    RollBack(Version),
}

/// After so many versions in a row that most rejected, a table set is rolled back.
const REJECTED_VERSIONS_UNTIL_ROLLBACK: u32 = 3;
/// After so many rejections in a row of which it is a minority, a client's stream is closed.
const MINORITY_REJECTIONS_UNTIL_RESTART: u32 = 5;
/// Versions of a table set whose votes are kept.
const VERSIONS_WITH_VOTES: usize = 16;
/// The pause doubles so many times at most.
const MAX_PAUSE_DOUBLINGS: u32 = 6;

#[derive(Debug)]
struct TableSetRecord {
    state: RejectionState,
    votes: BTreeMap<Version, Votes>,
    /// Versions in a row that most rejected.
    rejected_in_a_row: u32,
    /// The last version that counted into `rejected_in_a_row`.
    last_rejected: Version,
    paused_until: Option<Moment>,
    last_acknowledged: Option<Version>,
}

impl Default for TableSetRecord {
    fn default() -> TableSetRecord {
        TableSetRecord {
            state: RejectionState::Normal,
            votes: BTreeMap::new(),
            rejected_in_a_row: 0,
            last_rejected: Version(0),
            paused_until: None,
            last_acknowledged: None,
        }
    }
}

impl TableSetRecord {
    /// The votes on a version; `None` if newer versions have pushed it out.
    fn votes(&mut self, version: Version) -> Option<&mut Votes> {
        self.votes.entry(version).or_default();
        while self.votes.len() > VERSIONS_WITH_VOTES {
            self.votes.pop_first();
        }
        self.votes.get_mut(&version)
    }

    fn count_rejected(&mut self, version: Version) -> Tally {
        if version > self.last_rejected {
            self.rejected_in_a_row += 1;
            self.last_rejected = version;
        }
        if self.rejected_in_a_row >= REJECTED_VERSIONS_UNTIL_ROLLBACK {
            Tally::MajorityRejectsRepeatedly
        } else {
            Tally::MajorityRejects
        }
    }

    fn apply(&mut self, now: Moment, tally: Tally, pause: Span) -> RejectionResponse {
        let (next, effect) = self.state.on_tally(tally);
        self.state = next;
        match effect {
            Effect::None => RejectionResponse::Continue,
            Effect::Resume => {
                self.paused_until = None;
                RejectionResponse::Continue
            }
            Effect::Pause => {
                self.pause(now, pause);
                RejectionResponse::PauseChanges
            }
            Effect::RollBack => {
                self.pause(now, pause);
                self.last_acknowledged
                    .map_or(RejectionResponse::PauseChanges, RejectionResponse::RollBack)
            }
        }
    }

    fn pause(&mut self, now: Moment, pause: Span) {
        let doublings = self.rejected_in_a_row.saturating_sub(1);
        let factor = 2u32.pow(doublings.min(MAX_PAUSE_DOUBLINGS));
        self.paused_until = Some(now + pause * f64::from(factor));
    }
}

/// Counts which clients acknowledged and rejected which versions.
#[derive(Debug)]
pub struct RejectionTracker {
    table_sets: BTreeMap<BundleId, TableSetRecord>,
    /// Rejections in a row with which a client was in the minority.
    minority_rejections: BTreeMap<ProxyId, u32>,
    pause: Span,
}

impl RejectionTracker {
    /// `pause`: how long ordinary changes wait after most rejected one; twice as long after each further one.
    pub fn new(pause: Span) -> RejectionTracker {
        RejectionTracker {
            table_sets: BTreeMap::new(),
            minority_rejections: BTreeMap::new(),
            pause,
        }
    }

    /// A client acknowledged a version.
    pub fn on_ack(
        &mut self,
        now: Moment,
        bundle: BundleId,
        version: Version,
        proxy: ProxyId,
    ) -> RejectionResponse {
        self.minority_rejections.remove(&proxy);
        let table_set = self.table_sets.entry(bundle).or_default();
        let Some(votes) = table_set.votes(version) else {
            return RejectionResponse::Continue;
        };
        votes.acknowledge(proxy);
        if !votes.majority_acknowledges() {
            return RejectionResponse::Continue;
        }
        table_set.last_acknowledged = table_set.last_acknowledged.max(Some(version));
        if version >= table_set.last_rejected {
            table_set.rejected_in_a_row = 0;
        }
        table_set.apply(now, Tally::MajorityAcknowledges, self.pause)
    }

    /// A client rejected a version.
    pub fn on_nack(
        &mut self,
        now: Moment,
        bundle: BundleId,
        version: Version,
        proxy: ProxyId,
    ) -> RejectionResponse {
        let table_set = self.table_sets.entry(bundle).or_default();
        let Some(votes) = table_set.votes(version) else {
            return RejectionResponse::Continue;
        };
        votes.reject(proxy);
        if votes.majority_rejects() {
            let tally = table_set.count_rejected(version);
            return table_set.apply(now, tally, self.pause);
        }
        let rejections = self.minority_rejections.entry(proxy).or_insert(0);
        *rejections += 1;
        if *rejections >= MINORITY_REJECTIONS_UNTIL_RESTART {
            *rejections = 0;
            return RejectionResponse::RestartStream(proxy);
        }
        table_set.apply(now, Tally::MinorityRejects, self.pause)
    }

    /// Until when ordinary changes of a table set are paused, if they are.
    pub fn changes_paused_until(&self, bundle: BundleId) -> Option<Moment> {
        self.table_sets.get(&bundle)?.paused_until
    }

    /// A client's stream closed.
    pub fn remove_proxy(&mut self, proxy: ProxyId) {
        self.minority_rejections.remove(&proxy);
    }
}
