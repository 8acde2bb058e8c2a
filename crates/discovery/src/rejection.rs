//! The reaction of the controller to rejected versions.
//!
//! ACKs and NACKs are counted for each table set and version. A client that rejects a version keeps the version it
//! held, and the controller does not wait for it. If only a minority rejects, those clients are likely faulty, and the
//! others get further versions. If the majority rejects, the table set is likely faulty: ordinary changes are paused,
//! and after several rejected versions in a row the table set is rolled back to the last version that a majority
//! acknowledged. Changes that remove a node are always sent, because a drain must not depend on clients accepting a
//! table.

mod state;
mod votes;

use state::{Effect, RejectionState, Tally};
use std::collections::BTreeMap;
use votes::Votes;
use wheelspread::ids::ProxyId;
use wheelspread::time::{Moment, Span};
use wheelspread_controller_core::publication::{BundleId, Version};

/// How a controller reacts to an ACK or NACK.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionResponse {
    /// No reaction.
    Continue,
    /// The stream of this client is closed, so that it requests all resources on a new stream.
    RestartStream(ProxyId),
    /// For a pause, only changes that remove entries are sent.
    PauseChanges,
    /// The table set is rolled back to this version, the last one that a majority acknowledged.
    RollBack(Version),
}

/// The number of versions in a row, rejected by a majority, after which a table set is rolled back.
const REJECTED_VERSIONS_UNTIL_ROLLBACK: u32 = 3;
/// The number of rejections in a row, each by a minority, after which the stream of a client is closed.
const MINORITY_REJECTIONS_UNTIL_RESTART: u32 = 5;
/// The number of versions of a table set whose votes are kept.
const VERSIONS_WITH_VOTES: usize = 16;
/// The maximum number of times that the pause is doubled.
const MAX_PAUSE_DOUBLINGS: u32 = 6;

#[derive(Debug)]
struct TableSetRecord {
    state: RejectionState,
    votes: BTreeMap<Version, Votes>,
    /// The number of versions in a row that a majority rejected.
    rejected_in_a_row: u32,
    /// The last version counted in `rejected_in_a_row`.
    last_rejected: Version,
    paused_until: Option<Moment>,
    /// The newest version that a majority acknowledged: the target of a rollback.
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
    /// The votes on a version; `None` if the version is older than the last [`VERSIONS_WITH_VOTES`].
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

/// Records which clients acknowledged and rejected which versions, and decides on the reaction.
#[derive(Debug)]
pub struct RejectionTracker {
    table_sets: BTreeMap<BundleId, TableSetRecord>,
    /// The number of rejections in a row with which a client was in the minority.
    minority_rejections: BTreeMap<ProxyId, u32>,
    pause: Span,
}

impl RejectionTracker {
    /// `pause`: how long ordinary changes are paused after a majority rejected a version. It doubles with each further
    /// rejected version, up to `MAX_PAUSE_DOUBLINGS` times.
    pub fn new(pause: Span) -> RejectionTracker {
        RejectionTracker {
            table_sets: BTreeMap::new(),
            minority_rejections: BTreeMap::new(),
            pause,
        }
    }

    /// Records that a client acknowledged a version.
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

    /// Records that a client rejected a version.
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

    /// The time until which ordinary changes of a table set are paused; `None` if they are not.
    pub fn changes_paused_until(&self, bundle: BundleId) -> Option<Moment> {
        self.table_sets.get(&bundle)?.paused_until
    }

    /// Forgets the rejections of a client whose stream closed.
    pub fn remove_proxy(&mut self, proxy: ProxyId) {
        self.minority_rejections.remove(&proxy);
    }
}
