//! Which proxies are joined, by their streams of sums. A stream may break unseen, a proxy may come
//! twice, return, or find its old stream still open here: the newest stream of a name is the proxy.

use crate::deployment::Deployment;
use std::collections::BTreeMap;
use wheelspread::ids::{ProxyId, ZoneId};
use wheelspread::time::Moment;
use wheelspread::Event;

/// A stream, by the number that the side with the sockets gave it. Never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamId(pub u64);

/// How a proxy introduces itself on its stream.
#[derive(Clone, Debug, PartialEq)]
pub struct Introduction {
    pub name: String,
    pub zone: String,
    /// Invocations a second that usually come to it, where it says so.
    pub usual_rate: Option<f64>,
}

#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum IdentificationError {
    #[error("the node id `{0}` should be 1 to 100 letters, digits, - and _")]
    Unnamed(String),
    #[error("zone `{0}` is not one of this deployment")]
    UnknownZone(String),
    #[error("{0} proxies are known, no more are possible")]
    Full(usize),
    #[error("`{0}` opened another stream")]
    Superseded(String),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Unknown,
    Joined,
    /// Its stream broke; it goes on with what it holds.
    Away,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Input {
    Opened,
    Closed,
    ClosedOther,
    LongAway,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Effect {
    Nothing,
    Join,
    /// The break of the old stream was not seen yet.
    LeaveAndJoin,
    Leave,
    Forget,
}

const PROXY: &[(State, Input, State, Effect)] = &[
    (State::Unknown, Input::Opened, State::Joined, Effect::Join),
    (State::Away, Input::Opened, State::Joined, Effect::Join),
    (
        State::Joined,
        Input::Opened,
        State::Joined,
        Effect::LeaveAndJoin,
    ),
    (State::Joined, Input::Closed, State::Away, Effect::Leave),
    (
        State::Joined,
        Input::ClosedOther,
        State::Joined,
        Effect::Nothing,
    ),
    (State::Away, Input::LongAway, State::Unknown, Effect::Forget),
];

const MOST_PROXIES: usize = 60_000;
/// Times the span after which a node is warm: a proxy away for longer is forgotten, as in the module.
const FORGOTTEN: f64 = 10.0;

#[derive(Clone, Debug)]
pub struct Member {
    pub id: ProxyId,
    pub zone: ZoneId,
    state: State,
    stream: Option<StreamId>,
    pub since: Moment,
}

impl Member {
    pub fn is_joined(&self) -> bool {
        self.state == State::Joined
    }

    pub fn stream(&self) -> Option<StreamId> {
        self.stream
    }
}

#[derive(Clone, Debug, Default)]
pub struct Membership {
    members: BTreeMap<String, Member>,
    streams: BTreeMap<StreamId, String>,
    names: BTreeMap<ProxyId, String>,
    next: u16,
}

/// What an opened stream leads to.
#[derive(Clone, Debug, PartialEq)]
pub struct OpenedStream {
    pub events: Vec<Event>,
    /// The stream that the new one takes the place of.
    pub superseded: Option<StreamId>,
}

impl Membership {
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    pub fn by_stream(&self, stream: StreamId) -> Option<(&str, &Member)> {
        let name = self.streams.get(&stream)?;
        Some((name.as_str(), self.members.get(name)?))
    }

    pub fn name(&self, id: ProxyId) -> Option<&str> {
        self.names.get(&id).map(String::as_str)
    }

    pub fn by_id(&self, id: ProxyId) -> Option<&Member> {
        self.members.get(self.names.get(&id)?)
    }

    pub fn members(&self) -> impl Iterator<Item = (&str, &Member)> {
        self.members
            .iter()
            .map(|(name, member)| (name.as_str(), member))
    }

    pub fn joined_in(&self, zone: ZoneId) -> usize {
        self.members
            .values()
            .filter(|member| member.is_joined() && member.zone == zone)
            .count()
    }

    pub fn open(
        &mut self,
        now: Moment,
        stream: StreamId,
        who: &Introduction,
        plan: &Deployment,
    ) -> Result<OpenedStream, IdentificationError> {
        let fine = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
        if who.name.is_empty() || who.name.len() > 100 || !who.name.chars().all(fine) {
            return Err(IdentificationError::Unnamed(
                who.name.chars().take(100).collect(),
            ));
        }
        let zone = plan.zones.iter().position(|zone| *zone == who.zone);
        let zone =
            ZoneId(zone.ok_or_else(|| {
                IdentificationError::UnknownZone(who.zone.chars().take(100).collect())
            })? as u16);
        if !self.members.contains_key(&who.name) && self.members.len() >= MOST_PROXIES {
            return Err(IdentificationError::Full(MOST_PROXIES));
        }
        let fresh = !self.members.contains_key(&who.name);
        let known = self.members.get(&who.name).map(|member| member.id);
        let id = known.unwrap_or_else(|| self.free_id());
        let member = self.members.entry(who.name.clone()).or_insert(Member {
            id,
            zone,
            state: State::Unknown,
            stream: None,
            since: now,
        });
        let superseded = member.stream.replace(stream);
        let effect = turn(&mut member.state, Input::Opened);
        (member.zone, member.since) = (zone, now);
        self.names.insert(id, who.name.clone());
        self.streams.insert(stream, who.name.clone());
        if let Some(old) = superseded {
            self.streams.remove(&old);
        }
        let usual_rate = who
            .usual_rate
            .filter(|rate| rate.is_finite() && *rate >= 0.0);
        let usual_rate = usual_rate.unwrap_or(plan.proxies.usual_rate);
        let joined = Event::ProxyJoined {
            proxy: id,
            zone,
            usual_rate,
            fresh,
        };
        let events = match effect {
            Effect::LeaveAndJoin => vec![Event::ProxyLeft { proxy: id }, joined],
            _ => vec![joined],
        };
        Ok(OpenedStream { events, superseded })
    }

    pub fn close(&mut self, now: Moment, stream: StreamId) -> Option<Event> {
        let name = self.streams.remove(&stream)?;
        let member = self.members.get_mut(&name)?;
        let input = if member.stream == Some(stream) {
            Input::Closed
        } else {
            Input::ClosedOther
        };
        if turn(&mut member.state, input) != Effect::Leave {
            return None;
        }
        (member.stream, member.since) = (None, now);
        Some(Event::ProxyLeft { proxy: member.id })
    }

    /// Lets go of proxies that have been away for long; returns their names.
    pub fn forget(&mut self, now: Moment, plan: &Deployment) -> Vec<String> {
        let long = plan.rules.warm_after * FORGOTTEN;
        let mut forgotten = Vec::new();
        for (name, member) in &mut self.members {
            if now - member.since >= long
                && turn(&mut member.state, Input::LongAway) == Effect::Forget
            {
                self.names.remove(&member.id);
                forgotten.push(name.clone());
            }
        }
        for name in &forgotten {
            self.members.remove(name);
        }
        forgotten
    }

    /// Numbers go round, so that one in use lately is not given to another proxy.
    fn free_id(&mut self) -> ProxyId {
        loop {
            let id = ProxyId(self.next);
            self.next = self.next.wrapping_add(1);
            if !self.names.contains_key(&id) {
                return id;
            }
        }
    }
}

fn turn(state: &mut State, input: Input) -> Effect {
    match PROXY.iter().find(|row| (row.0, row.1) == (*state, input)) {
        Some(row) => {
            *state = row.2;
            row.3
        }
        None => Effect::Nothing,
    }
}

#[cfg(test)]
mod tests;
