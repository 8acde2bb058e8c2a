//! One stream. Of each kind at most one answer is on its way; what changes meanwhile is not queued, the
//! newest version is worked out against what the client then holds. A kind that waits for its
//! acknowledgement holds back those that refer to it, never those before it.

use crate::content::{Checksum, Content, Kind, Name, Resource, Wanted, ORDER};
use crate::history::{Difference, History, Shared};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use wheelspread::rolling_window::RollingWindow;
use wheelspread::time::{Moment, Span};
use wheelspread_controller_core::publication::Version;

/// A request, as far as it matters here.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
    pub kind: Kind,
    /// Empty in the first one of a kind.
    pub nonce: String,
    /// Why the answer with that nonce was not taken.
    pub error: Option<String>,
    pub mode: Mode,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Mode {
    Whole {
        names: Vec<String>,
        version: String,
    },
    Delta {
        subscribe: Vec<String>,
        unsubscribe: Vec<String>,
        holds: BTreeMap<String, String>,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    pub kind: Kind,
    pub nonce: u64,
    pub version: Version,
    pub delta: bool,
    pub changed: Vec<(Name, Resource)>,
    pub removed: Vec<Name>,
    /// Of what the client holds of this kind afterwards; left out while something stands that will go.
    pub comes_to: Option<Checksum>,
    /// Where any other client that holds the same and asked for the same gets the same.
    pub shared: Option<Shared>,
}

/// What a request meant.
#[derive(Clone, Debug, PartialEq)]
pub enum Heard {
    /// Only what it subscribes to, or nothing.
    Noted,
    Acknowledged,
    Refused {
        version: Version,
        reason: String,
    },
    /// It speaks of an answer that was overtaken.
    Stale,
    /// It speaks of what was never sent.
    Strange(String),
}

/// What a client holds of a kind.
#[derive(Clone, Debug)]
enum Held {
    Nothing,
    /// By its own word, from another stream: names and versions.
    Told(BTreeMap<String, String>),
    Version(Arc<Content>),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// All that was sent was answered.
    Settled,
    /// One answer is on its way.
    Waiting,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Input {
    FirstWord,
    LastNonce,
    LastNonceWithError,
    OlderNonce,
    UnknownNonce,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Effect {
    Note,
    Acknowledge,
    Refuse,
    Ignore,
    Wonder,
}

const WATCH: &[(State, Input, State, Effect)] = &[
    (
        State::Settled,
        Input::FirstWord,
        State::Settled,
        Effect::Note,
    ),
    // It asks for more before it has taken what is on its way.
    (
        State::Waiting,
        Input::FirstWord,
        State::Waiting,
        Effect::Note,
    ),
    (
        State::Waiting,
        Input::LastNonce,
        State::Settled,
        Effect::Acknowledge,
    ),
    (
        State::Waiting,
        Input::LastNonceWithError,
        State::Settled,
        Effect::Refuse,
    ),
    // With the nonce of an answer that it took, a client changes what it subscribes to.
    (
        State::Settled,
        Input::LastNonce,
        State::Settled,
        Effect::Note,
    ),
    (
        State::Settled,
        Input::LastNonceWithError,
        State::Settled,
        Effect::Wonder,
    ),
    (
        State::Settled,
        Input::OlderNonce,
        State::Settled,
        Effect::Ignore,
    ),
    (
        State::Waiting,
        Input::OlderNonce,
        State::Waiting,
        Effect::Ignore,
    ),
    (
        State::Settled,
        Input::UnknownNonce,
        State::Settled,
        Effect::Wonder,
    ),
    (
        State::Waiting,
        Input::UnknownNonce,
        State::Waiting,
        Effect::Wonder,
    ),
];

#[derive(Debug)]
struct Watch {
    state: State,
    delta: bool,
    wanted: Wanted,
    /// Of what is wanted.
    name: Checksum,
    /// Asked for since the last answer: sent though they were sent before.
    fresh: BTreeSet<String>,
    last_nonce: u64,
    /// Sent and not answered.
    sent: Option<Arc<Content>>,
    held: Held,
    refused: Option<Version>,
    /// Gone from the newest version and left standing until nothing refers to them.
    standing: BTreeMap<Name, Option<Resource>>,
}

/// Where a kind stands beside the newest version.
enum Stands {
    There,
    OnItsWay,
    /// An older one is on its way: those that come after it in order have to wait.
    Overtaken,
    Refused,
    Behind,
}

impl Watch {
    fn wants(&self) -> bool {
        !self.wanted.nothing()
    }

    fn stands(&self, newest: &Content) -> Stands {
        let sent = self
            .sent
            .as_ref()
            .is_some_and(|sent| sent.version == newest.version);
        let there = matches!(&self.held, Held::Version(held) if held.version == newest.version);
        match (self.state, self.fresh.is_empty()) {
            (State::Waiting, true) if sent => Stands::OnItsWay,
            (State::Waiting, _) => Stands::Overtaken,
            _ if self.refused == Some(newest.version) => Stands::Refused,
            (State::Settled, true) if there => Stands::There,
            _ => Stands::Behind,
        }
    }
}

#[derive(Debug)]
pub struct Stream {
    watches: BTreeMap<Kind, Watch>,
    newest: Option<Arc<Content>>,
    last_nonce: u64,
    /// Answers to changed subscriptions, which no version of a table limits.
    asked: RollingWindow<f64>,
    asked_most: f64,
    pub strange: u32,
    /// An answer waits for the pace that is allowed.
    limited: bool,
}

const BUCKETS: usize = 20;
/// A client asks for so many names at most, of all kinds.
pub const MOST_NAMES: usize = 2000;

impl Stream {
    /// Subscriptions may change so often within the window.
    pub fn new(changes_at_most: u32, window: Span) -> Stream {
        let bucket = Span::from_seconds(window.seconds() / BUCKETS as f64);
        Stream {
            watches: BTreeMap::new(),
            newest: None,
            last_nonce: 0,
            asked: RollingWindow::new(bucket, BUCKETS + 2),
            asked_most: f64::from(changes_at_most.max(1)),
            strange: 0,
            limited: false,
        }
    }

    /// From now on this is the newest version; what was offered before and not sent never will be.
    pub fn offer(&mut self, content: Arc<Content>) {
        self.newest = Some(content);
    }

    pub fn newest(&self) -> Option<&Arc<Content>> {
        self.newest.as_ref()
    }

    pub fn names(&self) -> usize {
        self.watches
            .values()
            .map(|watch| watch.wanted.names.len())
            .sum()
    }

    /// The version that the client holds of every kind that it watches.
    pub fn holds(&self) -> Option<Version> {
        let mut all = None;
        for watch in self
            .watches
            .values()
            .filter(|watch| !watch.wanted.nothing())
        {
            match (&watch.held, all) {
                (Held::Version(content), None) if watch.state == State::Settled => {
                    all = Some(content.version)
                }
                (Held::Version(content), Some(version)) if version == content.version => {}
                _ => return None,
            }
        }
        all
    }

    /// An answer is on its way that the client has not spoken to.
    pub fn waits(&self) -> bool {
        self.watches
            .values()
            .any(|watch| watch.state == State::Waiting)
    }

    pub fn ask(&mut self, now: Moment, ask: &Ask) -> Heard {
        let last_of_stream = self.last_nonce;
        let first = !self.watches.contains_key(&ask.kind);
        let watch = self.watches.entry(ask.kind).or_insert_with(|| Watch {
            state: State::Settled,
            delta: matches!(ask.mode, Mode::Delta { .. }),
            wanted: Wanted::default(),
            name: Wanted::default().name(),
            fresh: BTreeSet::new(),
            last_nonce: 0,
            sent: None,
            held: Held::Nothing,
            refused: None,
            standing: BTreeMap::new(),
        });
        let nonce = ask.nonce.parse::<u64>().ok();
        let input = match (ask.nonce.is_empty(), nonce) {
            (true, _) => Input::FirstWord,
            (_, Some(nonce)) if nonce == watch.last_nonce && nonce > 0 => match ask.error {
                None => Input::LastNonce,
                Some(_) => Input::LastNonceWithError,
            },
            (_, Some(nonce)) if nonce > 0 && nonce <= last_of_stream => Input::OlderNonce,
            _ => Input::UnknownNonce,
        };
        let row = WATCH
            .iter()
            .find(|row| (row.0, row.1) == (watch.state, input));
        let (next, mut effect) = row.map_or((watch.state, Effect::Ignore), |row| (row.2, row.3));
        let sent = watch.sent.as_ref().map(|content| content.version);
        // To acknowledge is to name the version that was sent.
        if let (Effect::Acknowledge, Mode::Whole { version, .. }, Some(sent)) =
            (effect, &ask.mode, sent)
        {
            if *version != sent.0.to_string() {
                effect = Effect::Refuse;
            }
        }
        // An overtaken request of the whole form is to be ignored, subscriptions and all.
        if effect != Effect::Ignore || watch.delta {
            let changed = subscribe(watch, ask, first);
            if changed && !first {
                self.asked.add(now, 1.0);
            }
        }
        watch.state = next;
        match effect {
            Effect::Note => Heard::Noted,
            Effect::Ignore => Heard::Stale,
            Effect::Wonder => {
                self.strange += 1;
                let nonce: String = ask.nonce.chars().take(40).collect();
                Heard::Strange(format!(
                    "it speaks of answer `{nonce}`, which it was not sent"
                ))
            }
            Effect::Acknowledge => {
                let Some(content) = watch.sent.take() else {
                    return Heard::Noted;
                };
                watch.held = Held::Version(content);
                Heard::Acknowledged
            }
            Effect::Refuse => {
                // What it held before it holds still.
                let version = watch
                    .sent
                    .take()
                    .map_or(Version(0), |content| content.version);
                watch.refused = Some(version);
                let reason = ask.error.clone();
                let reason = reason
                    .unwrap_or_else(|| "it names another version than it was sent".to_string());
                Heard::Refused { version, reason }
            }
        }
    }

    /// The next answer, if one is due. It counts as sent.
    pub fn next(&mut self, now: Moment, history: &mut History) -> Option<Answer> {
        let newest = self.newest.clone()?;
        self.limited = self.asked.total(now) > self.asked_most;
        if self.limited {
            return None;
        }
        let last = ORDER
            .iter()
            .rfind(|kind| self.watches.get(kind).is_some_and(Watch::wants))
            .copied()?;
        for kind in ORDER {
            let Some(watch) = self.watches.get_mut(&kind).filter(|watch| watch.wants()) else {
                continue;
            };
            match watch.stands(&newest) {
                Stands::There | Stands::OnItsWay | Stands::Refused => continue,
                Stands::Overtaken => return None,
                Stands::Behind => {}
            }
            let (difference, shared) = difference(watch, kind, &newest, history);
            // The last kind of a delta client is answered for every version: it says that this is all of it.
            let must = (watch.delta && kind == last)
                || (matches!(watch.held, Held::Nothing) && (kind.complete() || watch.delta));
            if difference.nothing() && watch.fresh.is_empty() && !must {
                watch.held = Held::Version(newest.clone());
                continue;
            }
            self.last_nonce += 1;
            return Some(answer(
                watch,
                kind,
                &newest,
                &difference,
                shared,
                self.last_nonce,
            ));
        }
        self.removal(&newest)
    }

    /// What others referred to goes when nothing does any more.
    fn removal(&mut self, newest: &Arc<Content>) -> Option<Answer> {
        if self
            .watches
            .values()
            .any(|watch| watch.wants() && watch.state == State::Waiting)
        {
            return None;
        }
        let leaves = |(_, watch): &(&Kind, &mut Watch)| !watch.standing.is_empty();
        let (kind, watch) = self.watches.iter_mut().find(leaves)?;
        let standing = std::mem::take(&mut watch.standing);
        let to = newest.of(*kind);
        let comes_to = newest.checksum(*kind, |name| watch.wanted.wants(name));
        let nothing = Difference {
            changed: Vec::new(),
            removed: Vec::new(),
            comes_to,
        };
        self.last_nonce += 1;
        let mut answer = answer(watch, *kind, newest, &nothing, None, self.last_nonce);
        if answer.delta {
            answer.removed = standing
                .into_keys()
                .filter(|name| !to.contains_key(name))
                .collect();
        }
        Some(answer)
    }

    pub fn limited(&self) -> bool {
        self.limited
    }
}

/// Notes what is asked for; `true` if that is something else than before.
fn subscribe(watch: &mut Watch, ask: &Ask, first: bool) -> bool {
    let before = watch.wanted.clone();
    match &ask.mode {
        Mode::Whole { names, .. } => {
            // Nothing named ever is everything, of the kinds that know it; once something was named, no more.
            let implied = ask.kind.complete() && names.is_empty() && (first || watch.wanted.all);
            let all = implied || names.iter().any(|name| name == "*");
            let names: BTreeSet<String> =
                names.iter().filter(|name| *name != "*").cloned().collect();
            let known = std::mem::replace(&mut watch.wanted, Wanted { all, names });
            let fresh = watch
                .wanted
                .names
                .difference(&known.names)
                .filter(|name| !known.wants(name));
            watch.fresh.extend(fresh.cloned().collect::<Vec<_>>());
            if all && !known.all && !first {
                watch.fresh.insert("*".to_string());
            }
        }
        Mode::Delta {
            subscribe,
            unsubscribe,
            holds,
        } => {
            if first {
                watch.wanted.all = ask.kind.complete() && subscribe.is_empty();
                if !holds.is_empty() {
                    watch.held = Held::Told(holds.clone());
                }
            }
            for name in subscribe {
                let many = name == "*" || name.ends_with("/*");
                if name == "*" {
                    watch.wanted.all = true;
                } else {
                    watch.wanted.names.insert(name.clone());
                }
                // What a stream begins with is worked out against what is held.
                let begins = many && first;
                if !begins && !holds.contains_key(name) {
                    watch.fresh.insert(name.clone());
                }
            }
            for name in unsubscribe {
                if name == "*" {
                    watch.wanted.all = false;
                }
                watch.wanted.names.remove(name);
                watch.fresh.remove(name);
            }
        }
    }
    let changed = before != watch.wanted;
    if changed {
        watch.name = watch.wanted.name();
    }
    changed
}

fn difference(
    watch: &Watch,
    kind: Kind,
    newest: &Arc<Content>,
    history: &mut History,
) -> (Arc<Difference>, Option<Shared>) {
    let held = match &watch.held {
        Held::Nothing => None,
        Held::Version(held) => Some(&**held),
        Held::Told(told) => return (Arc::new(from_told(watch, kind, newest, told)), None),
    };
    let (difference, shared) = history.difference(kind, held, newest, &watch.wanted, watch.name);
    (difference, Some(shared))
}

/// What a client lacks of a version, or has beyond it, by its own word.
fn from_told(
    watch: &Watch,
    kind: Kind,
    newest: &Content,
    told: &BTreeMap<String, String>,
) -> Difference {
    let to = newest.of(kind);
    let known = |name: &str, resource: &Resource| {
        told.get(name)
            .is_some_and(|version| *version == resource.checksum.to_string())
    };
    let changed = to
        .iter()
        .filter(|(name, resource)| watch.wanted.wants(name) && !known(name, resource));
    let removed = told.keys().filter(|name| !to.contains_key(name.as_str()));
    Difference {
        changed: changed
            .map(|(name, resource)| (name.clone(), resource.clone()))
            .collect(),
        removed: removed.map(|name| Arc::from(name.as_str())).collect(),
        comes_to: newest.checksum(kind, |name| watch.wanted.wants(name)),
    }
}

fn answer(
    watch: &mut Watch,
    kind: Kind,
    newest: &Arc<Content>,
    difference: &Difference,
    mut shared: Option<Shared>,
    nonce: u64,
) -> Answer {
    let to = newest.of(kind);
    let (mut changed, mut removed) = (difference.changed.clone(), difference.removed.clone());
    let fresh = std::mem::take(&mut watch.fresh);
    if !fresh.is_empty() {
        let listed: BTreeSet<Name> = changed.iter().map(|(name, _)| name.clone()).collect();
        let asked = Wanted {
            all: fresh.contains("*"),
            names: fresh,
        };
        let more = to
            .iter()
            .filter(|(name, _)| asked.wants(name) && !listed.contains(*name));
        let before = changed.len() + removed.len();
        changed.extend(more.map(|(name, resource)| (name.clone(), resource.clone())));
        // In deltas a name that there is nothing for is told as gone, so that the client need not wait.
        let plain = asked
            .names
            .iter()
            .filter(|name| *name != "*" && !name.ends_with("/*"));
        let none = plain.filter(|name| watch.delta && !to.contains_key(name.as_str()));
        removed.extend(none.map(|name| Name::from(name.as_str())));
        shared = shared.filter(|_| changed.len() + removed.len() == before);
    }
    if kind.complete() {
        let held = match &watch.held {
            Held::Version(held) => Some(held.of(kind)),
            _ => None,
        };
        for name in std::mem::take(&mut removed) {
            let resource = held.and_then(|held| held.get(&name)).cloned();
            watch.standing.insert(name, resource);
        }
    }
    if !watch.delta {
        if kind.complete() {
            let all = to.iter().filter(|(name, _)| watch.wanted.wants(name));
            changed = all
                .map(|(name, resource)| (name.clone(), resource.clone()))
                .collect();
            let stand = watch
                .standing
                .iter()
                .filter(|(name, _)| !to.contains_key(*name));
            let stand =
                stand.filter_map(|(name, resource)| Some((name.clone(), resource.clone()?)));
            changed.extend(stand);
        }
        removed.clear();
    }
    (watch.state, watch.last_nonce, watch.sent) = (State::Waiting, nonce, Some(newest.clone()));
    // What still stands is this client's own.
    let whole = watch.standing.is_empty();
    Answer {
        kind,
        nonce,
        version: newest.version,
        delta: watch.delta,
        changed,
        removed,
        comes_to: whole.then_some(difference.comes_to),
        shared: shared.filter(|_| whole),
    }
}
