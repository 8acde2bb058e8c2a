//! How each proxy gets its tables: by files, or by a discovery stream that it opened.
//!
//! Files are not written for a proxy that once came by a stream; while it is disconnected nothing is sent to it,
//! and when it comes back it gets the newest tables alone. Where most proxies reject a table, its ordinary
//! updates wait here.

use crate::membership::StreamId;
use crate::publication::{BundleId, Version};
use std::collections::{BTreeMap, BTreeSet};
use wheelspread::ids::ProxyId;
use wheelspread::time::Moment;

/// How a proxy gets its tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transport {
    /// It reads files that are swapped in.
    Files,
    /// It reads this stream.
    Stream(StreamId),
    /// It reads a stream and has none now.
    Disconnected,
}

/// The transport of every proxy, and the updates that wait.
#[derive(Clone, Debug, Default)]
pub struct Transports {
    /// No files are written: a proxy without a stream waits for one.
    streams_only: bool,
    subscribers: BTreeMap<ProxyId, Option<StreamId>>,
    proxies_by_stream: BTreeMap<StreamId, ProxyId>,
    /// Until when ordinary updates of a bundle wait.
    paused_until: BTreeMap<BundleId, Moment>,
    postponed: BTreeSet<(BundleId, ProxyId)>,
    /// What a proxy said it held when it subscribed.
    initial_versions: BTreeMap<ProxyId, Version>,
}

impl Transports {
    /// `files`: proxies that never opened a stream get files.
    pub fn new(files: bool) -> Transports {
        Transports {
            streams_only: !files,
            ..Transports::default()
        }
    }

    /// How a proxy gets its tables now.
    pub fn transport(&self, proxy: ProxyId) -> Transport {
        match self.subscribers.get(&proxy) {
            None if self.streams_only => Transport::Disconnected,
            None => Transport::Files,
            Some(Some(stream)) => Transport::Stream(*stream),
            Some(None) => Transport::Disconnected,
        }
    }

    /// A proxy opened a stream; returns the one that it replaces.
    pub fn open(
        &mut self,
        proxy: ProxyId,
        stream: StreamId,
        initial_version: Option<Version>,
    ) -> Option<StreamId> {
        let replaced = self.subscribers.insert(proxy, Some(stream)).flatten();
        if let Some(old) = replaced {
            self.proxies_by_stream.remove(&old);
        }
        self.proxies_by_stream.insert(stream, proxy);
        match initial_version {
            Some(version) => self.initial_versions.insert(proxy, version),
            None => self.initial_versions.remove(&proxy),
        };
        replaced
    }

    /// A stream ended; returns the proxy that read it.
    pub fn close(&mut self, stream: StreamId) -> Option<ProxyId> {
        let proxy = self.proxies_by_stream.remove(&stream)?;
        self.subscribers.insert(proxy, None);
        Some(proxy)
    }

    /// Whether tables are read from this stream.
    pub fn is_table_stream(&self, stream: StreamId) -> bool {
        self.proxies_by_stream.contains_key(&stream)
    }

    /// Whether the proxy held tables when it subscribed: it can wait longer than one that holds nothing.
    pub fn has_initial_version(&self, proxy: ProxyId) -> bool {
        self.initial_versions.contains_key(&proxy)
    }

    /// Nothing is known of the proxy any more.
    pub fn forget(&mut self, proxy: ProxyId) {
        if let Some(stream) = self.subscribers.remove(&proxy).flatten() {
            self.proxies_by_stream.remove(&stream);
        }
        self.initial_versions.remove(&proxy);
        self.postponed.retain(|(_, other)| *other != proxy);
    }

    /// Ordinary updates of a bundle wait until then.
    pub fn pause_updates(&mut self, bundle: BundleId, until: Moment) {
        let paused_until = self.paused_until.entry(bundle).or_insert(until);
        *paused_until = until.max(*paused_until);
    }

    /// Whether an update has to wait; if so, [`Transports::take_resumed`] names the proxy when it may go.
    pub fn postpone(&mut self, now: Moment, bundle: BundleId, proxy: ProxyId) -> bool {
        let is_paused = self
            .paused_until
            .get(&bundle)
            .is_some_and(|until| *until > now);
        if is_paused {
            self.postponed.insert((bundle, proxy));
        }
        is_paused
    }

    /// Proxies whose postponed updates may go now.
    pub fn take_resumed(&mut self, now: Moment) -> Vec<ProxyId> {
        self.paused_until.retain(|_, until| *until > now);
        let paused = &self.paused_until;
        let (waiting, resumed): (BTreeSet<_>, BTreeSet<_>) = std::mem::take(&mut self.postponed)
            .into_iter()
            .partition(|(bundle, _)| paused.contains_key(bundle));
        self.postponed = waiting;
        resumed.into_iter().map(|(_, proxy)| proxy).collect()
    }

    /// When the next pause ends.
    pub fn wake_at(&self) -> Option<Moment> {
        self.paused_until.values().min().copied()
    }
}
