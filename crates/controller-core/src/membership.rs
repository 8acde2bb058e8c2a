//! Which proxies are joined, by their report streams. A stream may break unseen, a proxy may come twice,
//! return, or find its old stream still open here: the newest stream of a name is the proxy.

use crate::deployment::{is_valid_name, Deployment};
use std::collections::BTreeMap;
use wheelspread::ids::{ProxyId, ZoneId};
use wheelspread::time::Moment;
use wheelspread::Event;

const MAX_PROXIES: usize = 60_000;
/// Of a text that an error repeats.
const MAX_QUOTED_LENGTH: usize = 100;
/// Times the span after which a node has warmed up: a proxy away for longer is forgotten, as in the
/// balancer.
const AWAY_RETENTION_FACTOR: f64 = 10.0;

/// A stream, by the number that the side with the sockets gave it. Never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamId(pub u64);

/// How a proxy identifies itself on its stream.
#[derive(Clone, Debug, PartialEq)]
pub struct Introduction {
    /// Its node id.
    pub name: String,
    /// Name of its zone.
    pub zone: String,
    /// Requests a second that usually come to it, where it says so.
    pub usual_rate: Option<f64>,
}

/// Why a stream is not taken for a proxy's.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum IdentificationError {
    /// The name can't stand in paths and logs.
    #[error("the node id `{0}` should be 1 to 100 letters, digits, - and _")]
    Unnamed(String),
    /// The deployment does not have the zone.
    #[error("zone `{0}` is not one of this deployment")]
    UnknownZone(String),
    /// Every proxy id is in use.
    #[error("{0} proxies are known, no more are possible")]
    Full(usize),
    /// The proxy has a newer stream.
    #[error("`{0}` opened another stream")]
    Superseded(String),
}

/// One proxy, joined or away.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its number; kept while it is away, until it is forgotten.
    pub id: ProxyId,
    /// The zone that it last named.
    pub zone: ZoneId,
    /// Its open stream; without one it is away and goes on with the tables that it holds.
    stream: Option<StreamId>,
    /// When it joined, or left.
    pub since: Moment,
}

impl Member {
    /// Whether it has an open stream.
    pub fn is_joined(&self) -> bool {
        self.stream.is_some()
    }

    /// Its open stream.
    pub fn stream(&self) -> Option<StreamId> {
        self.stream
    }
}

/// All known proxies, by name, stream and number.
#[derive(Clone, Debug, Default)]
pub struct Membership {
    members: BTreeMap<String, Member>,
    streams: BTreeMap<StreamId, String>,
    names: BTreeMap<ProxyId, String>,
    next_id: u16,
}

/// What an opened stream leads to.
#[derive(Clone, Debug, PartialEq)]
pub struct OpenedStream {
    /// For the balancer.
    pub events: Vec<Event>,
    /// The stream that the new one takes the place of.
    pub superseded: Option<StreamId>,
}

impl Membership {
    /// The proxy of this name.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// The proxy whose open stream this is.
    pub fn by_stream(&self, stream: StreamId) -> Option<(&str, &Member)> {
        let name = self.streams.get(&stream)?;
        Some((name.as_str(), self.members.get(name)?))
    }

    /// The name of the proxy with this number.
    pub fn name(&self, id: ProxyId) -> Option<&str> {
        self.names.get(&id).map(String::as_str)
    }

    /// The proxy with this number.
    pub fn by_id(&self, id: ProxyId) -> Option<&Member> {
        self.members.get(self.names.get(&id)?)
    }

    /// All proxies by name, joined or away.
    pub fn members(&self) -> impl Iterator<Item = (&str, &Member)> {
        self.members
            .iter()
            .map(|(name, member)| (name.as_str(), member))
    }

    /// How many proxies are joined in a zone.
    pub fn joined_in(&self, zone: ZoneId) -> usize {
        self.members
            .values()
            .filter(|member| member.is_joined() && member.zone == zone)
            .count()
    }

    /// A stream was opened, and its proxy identified itself.
    pub fn open(
        &mut self,
        now: Moment,
        stream: StreamId,
        who: &Introduction,
        plan: &Deployment,
    ) -> Result<OpenedStream, IdentificationError> {
        let zone = check_identity(who, plan)?;
        let known = self.members.get(&who.name).map(|member| member.id);
        if known.is_none() && self.members.len() >= MAX_PROXIES {
            return Err(IdentificationError::Full(MAX_PROXIES));
        }
        let id = known.unwrap_or_else(|| self.free_id());
        let superseded = self.attach(now, stream, &who.name, id, zone);
        let joined = Event::ProxyJoined {
            proxy: id,
            zone,
            usual_rate: usual_rate(who, plan),
            holds_no_table: known.is_none(),
        };
        let events = match superseded {
            // The break of the old stream was not seen yet.
            Some(_) => vec![Event::ProxyLeft { proxy: id }, joined],
            None => vec![joined],
        };
        Ok(OpenedStream { events, superseded })
    }

    /// Makes a stream that of a proxy; returns the open one that it supersedes.
    fn attach(
        &mut self,
        now: Moment,
        stream: StreamId,
        name: &str,
        id: ProxyId,
        zone: ZoneId,
    ) -> Option<StreamId> {
        let member = Member {
            id,
            zone,
            stream: Some(stream),
            since: now,
        };
        let before = self.members.insert(name.to_string(), member);
        self.names.insert(id, name.to_string());
        self.streams.insert(stream, name.to_string());
        let superseded = before.and_then(|before| before.stream);
        if let Some(old) = superseded {
            self.streams.remove(&old);
        }
        superseded
    }

    /// A stream was closed; the event says so if it was the newest of its proxy.
    pub fn close(&mut self, now: Moment, stream: StreamId) -> Option<Event> {
        let name = self.streams.remove(&stream)?;
        let member = self.members.get_mut(&name)?;
        if member.stream != Some(stream) {
            return None;
        }
        (member.stream, member.since) = (None, now);
        Some(Event::ProxyLeft { proxy: member.id })
    }

    /// Forgets proxies that have been away for long; returns their names.
    pub fn forget(&mut self, now: Moment, plan: &Deployment) -> Vec<String> {
        let retention = plan.rules.warm_after * AWAY_RETENTION_FACTOR;
        let mut forgotten = Vec::new();
        for (name, member) in &self.members {
            if !member.is_joined() && now - member.since >= retention {
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
            let id = ProxyId(self.next_id);
            self.next_id = self.next_id.wrapping_add(1);
            if !self.names.contains_key(&id) {
                return id;
            }
        }
    }
}

/// Checks a name and a zone, and looks the zone up.
fn check_identity(who: &Introduction, plan: &Deployment) -> Result<ZoneId, IdentificationError> {
    let quote = |text: &str| text.chars().take(MAX_QUOTED_LENGTH).collect();
    if !is_valid_name(&who.name) {
        return Err(IdentificationError::Unnamed(quote(&who.name)));
    }
    let position = plan.zones.iter().position(|zone| *zone == who.zone);
    let position = position.ok_or_else(|| IdentificationError::UnknownZone(quote(&who.zone)))?;
    Ok(ZoneId(position as u16))
}

/// What the proxy says of itself, where that can be, or what the settings say of all.
fn usual_rate(who: &Introduction, plan: &Deployment) -> f64 {
    who.usual_rate
        .filter(|rate| rate.is_finite() && *rate >= 0.0)
        .unwrap_or(plan.proxies.usual_rate)
}

#[cfg(test)]
mod tests;
