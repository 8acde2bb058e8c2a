//! By which front each proxy reads: files that it finds swapped, or a discovery stream that it opened. Who
//! came by a stream once is not written files for; while it is away nothing is sent to it, and when it comes
//! back it gets the newest alone. Where most refuse a table, its ordinary changes wait here.

use crate::membership::StreamId;
use crate::publication::{BundleId, Version};
use std::collections::{BTreeMap, BTreeSet};
use wheelspread::ids::ProxyId;
use wheelspread::time::Moment;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transport {
    Files,
    Stream(StreamId),
    /// It reads a stream and has none now.
    Away,
}

#[derive(Clone, Debug, Default)]
pub struct Transports {
    /// No files are written: who has no stream waits for one.
    streams_only: bool,
    readers: BTreeMap<ProxyId, Option<StreamId>>,
    of: BTreeMap<StreamId, ProxyId>,
    held_back: BTreeMap<BundleId, Moment>,
    postponed: BTreeSet<(BundleId, ProxyId)>,
    /// What a proxy said it held when it came.
    brought: BTreeMap<ProxyId, Version>,
}

impl Transports {
    pub fn new(files: bool) -> Transports {
        Transports {
            streams_only: !files,
            ..Transports::default()
        }
    }

    pub fn front(&self, proxy: ProxyId) -> Transport {
        match self.readers.get(&proxy) {
            None if self.streams_only => Transport::Away,
            None => Transport::Files,
            Some(Some(stream)) => Transport::Stream(*stream),
            Some(None) => Transport::Away,
        }
    }

    /// A proxy opened a stream; returns the one that it takes the place of.
    pub fn open(
        &mut self,
        proxy: ProxyId,
        stream: StreamId,
        brings: Option<Version>,
    ) -> Option<StreamId> {
        let old = self.readers.insert(proxy, Some(stream)).flatten();
        old.map(|old| self.of.remove(&old));
        self.of.insert(stream, proxy);
        match brings {
            Some(version) => self.brought.insert(proxy, version),
            None => self.brought.remove(&proxy),
        };
        old
    }

    pub fn close(&mut self, stream: StreamId) -> Option<ProxyId> {
        let proxy = self.of.remove(&stream)?;
        self.readers.insert(proxy, None);
        Some(proxy)
    }

    pub fn reads(&self, stream: StreamId) -> bool {
        self.of.contains_key(&stream)
    }

    /// It came and holds something already: it can wait longer than one that holds nothing.
    pub fn brought(&self, proxy: ProxyId) -> bool {
        self.brought.contains_key(&proxy)
    }

    pub fn forget(&mut self, proxy: ProxyId) {
        if let Some(stream) = self.readers.remove(&proxy).flatten() {
            self.of.remove(&stream);
        }
        self.brought.remove(&proxy);
        self.postponed.retain(|(_, other)| *other != proxy);
    }

    /// Ordinary changes of a table wait until then.
    pub fn hold(&mut self, bundle: BundleId, until: Moment) {
        let known = self.held_back.entry(bundle).or_insert(until);
        *known = until.max(*known);
    }

    /// Whether a change waits; if it does, `resumed` names the proxy when it may go.
    pub fn postpone(&mut self, now: Moment, bundle: BundleId, proxy: ProxyId) -> bool {
        let held = self
            .held_back
            .get(&bundle)
            .is_some_and(|until| *until > now);
        if held {
            self.postponed.insert((bundle, proxy));
        }
        held
    }

    pub fn resumed(&mut self, now: Moment) -> Vec<ProxyId> {
        self.held_back.retain(|_, until| *until > now);
        let held = &self.held_back;
        let (wait, go): (BTreeSet<_>, BTreeSet<_>) = std::mem::take(&mut self.postponed)
            .into_iter()
            .partition(|(bundle, _)| held.contains_key(bundle));
        self.postponed = wait;
        go.into_iter().map(|(_, proxy)| proxy).collect()
    }

    pub fn wake_at(&self) -> Option<Moment> {
        self.held_back.values().min().copied()
    }
}
