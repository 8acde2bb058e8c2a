//! Membership: the proxies that are joined by an open stream. A stream may break unnoticed, and a proxy may reconnect
//! while its old stream is still open here, so the newest stream of a name supersedes older ones.

use crate::deployment::{is_valid_name, Deployment};
use std::collections::BTreeMap;
use wheelspread::ids::{ProxyId, ZoneId};
use wheelspread::time::Moment;
use wheelspread::Event;

const MAX_PROXIES: usize = 60_000;
/// Maximum length of a text that an error quotes, in characters.
const MAX_QUOTED_CHARS: usize = 100;
/// Time after which a disconnected proxy is forgotten, as a multiple of the time after which a node counts as warm.
/// The balancer uses the same retention.
const FORGET_AFTER_WARM_UPS: f64 = 10.0;

/// Identifies a stream. The caller, which owns the sockets, assigns each id once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamId(pub u64);

/// The identity that a proxy sends on its stream.
#[derive(Clone, Debug, PartialEq)]
pub struct ProxyIdentity {
    /// The proxy's node id.
    pub name: String,
    /// Name of the proxy's zone.
    pub zone: String,
    /// Requests per second that the proxy usually receives, if it states a rate.
    pub usual_rate: Option<f64>,
}

/// Why the identity on a stream was rejected.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum IdentificationError {
    /// The name contains characters that are not allowed in paths and logs, or has the wrong length.
    #[error("the node id `{0}` should be 1 to 100 letters, digits, - and _")]
    InvalidName(String),
    /// The deployment has no zone of this name.
    #[error("zone `{0}` is not one of this deployment")]
    UnknownZone(String),
    /// The maximum number of proxies is known already.
    #[error("{0} proxies are known already, which is the maximum")]
    TooManyProxies(usize),
    /// The proxy opened a newer stream.
    #[error("`{0}` opened another stream")]
    Superseded(String),
}

/// A known proxy, joined or disconnected.
#[derive(Clone, Debug)]
pub struct Member {
    /// The proxy's id, which is kept until the proxy is forgotten.
    pub id: ProxyId,
    /// The zone in the proxy's last identity.
    pub zone: ZoneId,
    /// The proxy's open stream. A proxy without one is disconnected and keeps using the tables that it holds.
    stream: Option<StreamId>,
    /// When the proxy last joined or left.
    pub since: Moment,
}

impl Member {
    /// Whether the proxy has an open stream.
    pub fn is_joined(&self) -> bool {
        self.stream.is_some()
    }

    /// The proxy's open stream.
    pub fn stream(&self) -> Option<StreamId> {
        self.stream
    }
}

/// All known proxies, by name, stream and id.
#[derive(Clone, Debug, Default)]
pub struct Membership {
    members: BTreeMap<String, Member>,
    streams: BTreeMap<StreamId, String>,
    names: BTreeMap<ProxyId, String>,
    next_id: u16,
}

/// The results of opening a stream.
#[derive(Clone, Debug, PartialEq)]
pub struct OpenedStream {
    /// The events to pass to the balancer.
    pub events: Vec<Event>,
    /// The open stream that the new one supersedes.
    pub superseded: Option<StreamId>,
}

impl Membership {
    /// The proxy of this name.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// The proxy that has this stream open.
    pub fn by_stream(&self, stream: StreamId) -> Option<(&str, &Member)> {
        let name = self.streams.get(&stream)?;
        Some((name.as_str(), self.members.get(name)?))
    }

    /// The name of the proxy with this id.
    pub fn name(&self, id: ProxyId) -> Option<&str> {
        self.names.get(&id).map(String::as_str)
    }

    /// The proxy with this id.
    pub fn by_id(&self, id: ProxyId) -> Option<&Member> {
        self.members.get(self.names.get(&id)?)
    }

    /// All known proxies with their names, joined or disconnected.
    pub fn members(&self) -> impl Iterator<Item = (&str, &Member)> {
        self.members
            .iter()
            .map(|(name, member)| (name.as_str(), member))
    }

    /// Number of joined proxies in a zone.
    pub fn joined_in(&self, zone: ZoneId) -> usize {
        self.members
            .values()
            .filter(|member| member.is_joined() && member.zone == zone)
            .count()
    }

    /// Opens a stream for the proxy that identified itself on it.
    pub fn open(
        &mut self,
        now: Moment,
        stream: StreamId,
        identity: &ProxyIdentity,
        deployment: &Deployment,
    ) -> Result<OpenedStream, IdentificationError> {
        let zone = check_identity(identity, deployment)?;
        let known_id = self.members.get(&identity.name).map(|member| member.id);
        if known_id.is_none() && self.members.len() >= MAX_PROXIES {
            return Err(IdentificationError::TooManyProxies(MAX_PROXIES));
        }
        let id = known_id.unwrap_or_else(|| self.allocate_id());
        let superseded = self.attach(now, stream, &identity.name, id, zone);
        let joined = Event::ProxyJoined {
            proxy: id,
            zone,
            usual_rate: usual_rate(identity, deployment),
            holds_no_table: known_id.is_none(),
        };
        let events = match superseded {
            // The old stream is still open here, so the balancer has to see the proxy leave first.
            Some(_) => vec![Event::ProxyLeft { proxy: id }, joined],
            None => vec![joined],
        };
        Ok(OpenedStream { events, superseded })
    }

    /// Assigns a stream to a proxy; returns the open stream that it supersedes.
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
        let previous = self.members.insert(name.to_string(), member);
        self.names.insert(id, name.to_string());
        self.streams.insert(stream, name.to_string());
        let superseded = previous.and_then(|previous| previous.stream);
        if let Some(old) = superseded {
            self.streams.remove(&old);
        }
        superseded
    }

    /// Closes a stream. Returns the event for the balancer if it was the proxy's newest stream.
    pub fn close(&mut self, now: Moment, stream: StreamId) -> Option<Event> {
        let name = self.streams.remove(&stream)?;
        let member = self.members.get_mut(&name)?;
        if member.stream != Some(stream) {
            return None;
        }
        (member.stream, member.since) = (None, now);
        Some(Event::ProxyLeft { proxy: member.id })
    }

    /// Forgets proxies that have been disconnected for the retention time, and returns their names.
    pub fn forget(&mut self, now: Moment, deployment: &Deployment) -> Vec<String> {
        let retention = deployment.rules.warm_after * FORGET_AFTER_WARM_UPS;
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

    /// Allocates ids in a cycle, so that an id used recently is not given to another proxy.
    fn allocate_id(&mut self) -> ProxyId {
        loop {
            let id = ProxyId(self.next_id);
            self.next_id = self.next_id.wrapping_add(1);
            if !self.names.contains_key(&id) {
                return id;
            }
        }
    }
}

/// Checks the name and the zone of an identity, and returns the zone's id.
fn check_identity(
    identity: &ProxyIdentity,
    deployment: &Deployment,
) -> Result<ZoneId, IdentificationError> {
    let quote = |text: &str| text.chars().take(MAX_QUOTED_CHARS).collect();
    if !is_valid_name(&identity.name) {
        return Err(IdentificationError::InvalidName(quote(&identity.name)));
    }
    let zone_index = deployment
        .zones
        .iter()
        .position(|zone| *zone == identity.zone);
    let zone_index =
        zone_index.ok_or_else(|| IdentificationError::UnknownZone(quote(&identity.zone)))?;
    Ok(ZoneId(zone_index as u16))
}

/// The usual rate that the proxy states, if it is valid, or else the rate in the settings.
fn usual_rate(identity: &ProxyIdentity, deployment: &Deployment) -> f64 {
    identity
        .usual_rate
        .filter(|rate| rate.is_finite() && *rate >= 0.0)
        .unwrap_or(deployment.proxies.usual_rate)
}

#[cfg(test)]
mod tests;
