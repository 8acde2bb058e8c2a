//! The proxy: carries out the core's decisions on sockets and reports socket events to the core.
//!
//! `Proxy` owns all connections of one proxy. Its handlers are divided by concern: [`client_side`] reads requests,
//! [`buffers`] limits their memory, [`attempts`] carries out the core's decisions, [`upstream_side`] forwards responses, [`tables`] handles tables and
//! events of the load report stream, [`maintenance`] closes connections that timed out.

mod attempts;
mod buffers;
mod client_side;
mod maintenance;
mod tables;
mod upstream_side;

use crate::client::Client;
use crate::config::{ProxyConfig, TableSource};
use crate::observer::RequestObserver;
use crate::report_stream::ReportStream;
use crate::table_files::TableFiles;
use crate::table_stream::TableStream;
use crate::token::{Source, TokenSpace};
use crate::upstream_pool::{PoolConfig, UpstreamPool};
use buffers::ClientBuffers;
use slab::Slab;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::time::SystemTime;
use wheelspread::time::Moment;
use wheelspread_http1::Limits;
use wheelspread_proxy_core::ProxyCore;
use wheelspread_reactor::{self as reactor, Interest, Poll, Readiness};

/// Size of the buffer for one read. The bytes read are copied to the input buffer of the connection.
const READ_BUFFER_BYTES: usize = 32 << 10;

/// A proxy that is driven by an event loop of its owner.
///
/// The owner calls [`on_ready`](Proxy::on_ready) for each event and [`run_due_work`](Proxy::run_due_work) in each
/// iteration, and sleeps no longer than until [`next_wakeup`](Proxy::next_wakeup).
pub struct Proxy<W> {
    config: ProxyConfig,
    tokens: TokenSpace,
    core: ProxyCore,
    listener: TcpListener,
    clients: Slab<Client>,
    buffers: ClientBuffers,
    upstreams: UpstreamPool,
    /// The client slot of each request, indexed by the slot of the request handle.
    request_owners: Vec<Option<usize>>,
    table_files: TableFiles,
    table_stream: Option<TableStream>,
    report_stream: ReportStream,
    next_maintenance: Moment,
    limits: Limits,
    /// Slots of clients with new output or a new stage. They are served before the event loop sleeps.
    changed_clients: Vec<usize>,
    /// Slots of clients whose last turn ended at its limits. They are served in the next iteration of the event loop.
    deferred_clients: Vec<usize>,
    read_buffer: Vec<u8>,
    observer: W,
}

impl<W: RequestObserver> Proxy<W> {
    /// Opens the listening socket and loads existing table files.
    ///
    /// `instance` distinguishes the proxies of one event loop. It is the upper half of their tokens.
    pub fn start(
        poll: &Poll,
        now: Moment,
        instance: u32,
        config: ProxyConfig,
        observer: W,
    ) -> io::Result<Proxy<W>> {
        let tokens = TokenSpace::new(instance);
        let listener = reactor::listen(config.listen)?;
        poll.add(
            &listener,
            tokens.token(Source::Listener),
            Interest::Readable,
        )?;
        let table_files = TableFiles::new(
            poll,
            tokens.token(Source::TableFiles),
            &config.name,
            config.table_roots(),
            config.publishes_status,
        )?;
        let table_stream = (config.table_source == TableSource::Stream)
            .then(|| TableStream::new(&config, tokens.token(Source::TableStream)));
        let mut proxy = Proxy {
            core: ProxyCore::new(now, config.seed, config.core.clone()),
            listener,
            clients: Slab::new(),
            buffers: ClientBuffers::new(config.max_buffer_bytes),
            upstreams: UpstreamPool::new(PoolConfig {
                tokens,
                source: config.source,
                max_connections_per_node: config.max_connections_per_node,
            }),
            request_owners: Vec::new(),
            table_files,
            table_stream,
            report_stream: ReportStream::new(now, &config, tokens.token(Source::ReportStream)),
            next_maintenance: now,
            limits: Limits {
                max_head_bytes: config.max_head_bytes,
                ..Limits::default()
            },
            changed_clients: Vec::new(),
            deferred_clients: Vec::new(),
            read_buffer: vec![0; READ_BUFFER_BYTES],
            observer,
            tokens,
            config,
        };
        proxy.load_initial_tables(poll, now)?;
        Ok(proxy)
    }

    fn load_initial_tables(&mut self, poll: &Poll, now: Moment) -> io::Result<()> {
        if self.config.follows_unjoined {
            let token = self.tokens.token(Source::TableFiles);
            self.table_files.follow(poll, token, 0, SystemTime::now())?;
        }
        if self.table_stream.is_none() {
            let update = self.table_files.load_existing();
            self.apply_table_update(poll, now, update);
        }
        Ok(())
    }

    /// The address at which the proxy listens.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Whether the proxy is joined to a controller, that is, a controller has accepted the load report stream.
    pub fn is_joined(&self) -> bool {
        self.report_stream.is_joined()
    }

    /// Handles one event of the event loop.
    ///
    /// # Errors
    /// The watch of the table files failed.
    pub fn on_ready(&mut self, poll: &Poll, now: Moment, ready: Readiness) -> io::Result<()> {
        match TokenSpace::source(ready.token) {
            Source::Listener => self.accept_clients(poll, now),
            Source::ReportStream => self.poll_report_stream(poll, now),
            Source::TableFiles => {
                let update = self.table_files.on_watch_event()?;
                self.apply_table_update(poll, now, update);
            }
            Source::TableStream => self.poll_table_stream(poll, now),
            Source::Upstream(slot) => self.serve_upstream(poll, now, slot, ready.readable),
            Source::Client(slot) => {
                if let Some(client) = self.clients.get_mut(slot) {
                    client.has_left |= ready.peer_closed;
                }
                self.serve_client(poll, now, slot, ready.readable);
            }
        }
        self.serve_changed_clients(poll, now);
        Ok(())
    }

    /// Does the work that is due at `now`, independent of socket events.
    pub fn run_due_work(&mut self, poll: &Poll, now: Moment) {
        self.expire_attempts(poll, now);
        self.serve_deferred_clients(poll, now);
        if now >= self.report_stream.next_wakeup(now) {
            self.poll_report_stream(poll, now);
        }
        let is_stream_due = |stream: &TableStream| now >= stream.next_wakeup(now);
        if self.table_stream.as_ref().is_some_and(is_stream_due) {
            self.poll_table_stream(poll, now);
        }
        if now >= self.next_maintenance {
            self.run_maintenance(poll, now);
        }
        self.serve_changed_clients(poll, now);
    }

    /// When [`run_due_work`](Proxy::run_due_work) has to be called at the latest.
    pub fn next_wakeup(&self, now: Moment) -> Moment {
        if !self.deferred_clients.is_empty() {
            return now;
        }
        let mut next = self
            .next_maintenance
            .min(self.report_stream.next_wakeup(now));
        if let Some(stream) = &self.table_stream {
            next = next.min(stream.next_wakeup(now));
        }
        self.core.next_timer().map_or(next, |timer| next.min(timer))
    }

    fn serve_changed_clients(&mut self, poll: &Poll, now: Moment) {
        while let Some(slot) = self.changed_clients.pop() {
            let client = self.clients.get(slot);
            if client.is_some_and(|client| !client.is_deferred) {
                self.serve_client(poll, now, slot, false);
            }
        }
    }
}
