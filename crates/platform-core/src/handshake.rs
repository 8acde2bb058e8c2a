//! What a connection may say by what it has said before.

use crate::message::Message;
use wheelspread::ids::{ProxyId, ZoneId};

/// Who is at the other end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Party {
    Stranger,
    Collector(ZoneId),
    Proxy(ProxyId),
    /// It is to be ended from this side. What it still says counts for nothing: taken for a stranger, it
    /// could join again by bytes that were on their way.
    Ended,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stands {
    Stranger,
    Collector,
    Proxy,
    Ended,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Says {
    Ping,
    Collects,
    Joins,
    /// Of itself, where it is a proxy.
    Answers,
    Met,
    Offered,
    /// Of somebody else.
    Foreign,
    Unreadable,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Pong,
    Collect,
    Join,
    Hear,
    /// Left out; what comes after it is good.
    Skip,
    Close,
}

/// What is not named here is left out.
const HANDSHAKE: &[(Stands, Says, Effect)] = &[
    (Stands::Stranger, Says::Ping, Effect::Pong),
    (Stands::Stranger, Says::Collects, Effect::Collect),
    (Stands::Stranger, Says::Joins, Effect::Join),
    // Who begins with anything else is nobody's proxy and nobody's collector.
    (Stands::Stranger, Says::Answers, Effect::Close),
    (Stands::Stranger, Says::Met, Effect::Close),
    (Stands::Stranger, Says::Offered, Effect::Close),
    (Stands::Stranger, Says::Foreign, Effect::Close),
    (Stands::Stranger, Says::Unreadable, Effect::Close),
    (Stands::Collector, Says::Ping, Effect::Pong),
    (Stands::Collector, Says::Met, Effect::Hear),
    (Stands::Collector, Says::Offered, Effect::Hear),
    (Stands::Collector, Says::Joins, Effect::Close),
    (Stands::Proxy, Says::Ping, Effect::Pong),
    (Stands::Proxy, Says::Answers, Effect::Hear),
    (Stands::Proxy, Says::Offered, Effect::Hear),
    (Stands::Proxy, Says::Collects, Effect::Close),
];

pub fn effect(party: Party, said: Option<&Message>) -> Effect {
    let stands = match party {
        Party::Stranger => Stands::Stranger,
        Party::Collector(_) => Stands::Collector,
        Party::Proxy(_) => Stands::Proxy,
        Party::Ended => Stands::Ended,
    };
    let of = |proxy: &ProxyId, says| match party {
        Party::Proxy(own) if own != *proxy => Says::Foreign,
        _ => says,
    };
    let says = match said {
        None => Says::Unreadable,
        Some(Message::Ping) => Says::Ping,
        Some(Message::Collector { .. }) => Says::Collects,
        Some(Message::Joined { .. }) => Says::Joins,
        Some(Message::Met { .. }) => Says::Met,
        Some(Message::Applied { proxy, .. }) => of(proxy, Says::Answers),
        Some(Message::Offered { proxy, .. }) => of(proxy, Says::Offered),
    };
    let row = HANDSHAKE
        .iter()
        .find(|row| (row.0, row.1) == (stands, says));
    row.map_or(Effect::Skip, |row| row.2)
}
