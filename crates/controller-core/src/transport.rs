//! The transport of each proxy's tables: files, or a discovery stream that the proxy opened.
//!
//! No files are written for a proxy that once opened a stream. While it is disconnected nothing is sent to it, and
//! when it reconnects it gets only the newest tables. Ordinary updates of a table that most proxies reject are
//! postponed here.

use crate::membership::StreamId;
use crate::publication::{BundleId, Version};
use std::collections::{BTreeMap, BTreeSet};
use wheelspread::ids::ProxyId;
use wheelspread::time::Moment;

/// The way in which a proxy gets its tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transport {
    /// The proxy reads files, which are replaced atomically.
    Files,
    /// The proxy reads this stream.
    Stream(StreamId),
    /// The proxy reads its tables from streams and has none open.
    Disconnected,
}

/// The transport of every proxy, and the postponed updates.
#[derive(Clone, Debug, Default)]
pub struct Transports {
    /// Whether no files are written, so that a proxy without a stream gets no tables.
    streams_only: bool,
    subscribers: BTreeMap<ProxyId, Option<StreamId>>,
    proxies_by_stream: BTreeMap<StreamId, ProxyId>,
    /// When the pause of ordinary updates of a bundle ends.
    paused_until: BTreeMap<BundleId, Moment>,
    postponed: BTreeSet<(BundleId, ProxyId)>,
    /// The version that a proxy reported to hold when it subscribed.
    initial_versions: BTreeMap<ProxyId, Version>,
}

impl Transports {
    /// `files` is whether proxies that never opened a stream get files.
    pub fn new(files: bool) -> Transports {
        Transports {
            streams_only: !files,
            ..Transports::default()
        }
    }

    /// The current transport of a proxy.
    pub fn transport(&self, proxy: ProxyId) -> Transport {
        match self.subscribers.get(&proxy) {
            None if self.streams_only => Transport::Disconnected,
            None => Transport::Files,
            Some(Some(stream)) => Transport::Stream(*stream),
            Some(None) => Transport::Disconnected,
        }
    }

    /// Records that a proxy opened a stream; returns the open stream that it replaces.
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

    /// Records that a stream ended; returns the proxy that read it.
    pub fn close(&mut self, stream: StreamId) -> Option<ProxyId> {
        let proxy = self.proxies_by_stream.remove(&stream)?;
        self.subscribers.insert(proxy, None);
        Some(proxy)
    }

    /// Whether the stream is an open stream of tables.
    pub fn is_table_stream(&self, stream: StreamId) -> bool {
        self.proxies_by_stream.contains_key(&stream)
    }

    /// Whether the proxy reported a version when it subscribed. Its first update is then less urgent than that of a
    /// proxy without tables.
    pub fn has_initial_version(&self, proxy: ProxyId) -> bool {
        self.initial_versions.contains_key(&proxy)
    }

    /// Forgets a proxy.
    pub fn forget(&mut self, proxy: ProxyId) {
        if let Some(stream) = self.subscribers.remove(&proxy).flatten() {
            self.proxies_by_stream.remove(&stream);
        }
        self.initial_versions.remove(&proxy);
        self.postponed.retain(|(_, other)| *other != proxy);
    }

    /// Pauses ordinary updates of a bundle until `until`, or until the end of a longer pause in force.
    pub fn pause_updates(&mut self, bundle: BundleId, until: Moment) {
        let paused_until = self.paused_until.entry(bundle).or_insert(until);
        *paused_until = until.max(*paused_until);
    }

    /// Whether an ordinary update is postponed by a pause; if so, [`Transports::take_resumed`] returns the proxy when
    /// the pause ends.
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

    /// Removes and returns the proxies whose postponed updates may be sent now.
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
