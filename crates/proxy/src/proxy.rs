//! One proxy: what its core decides is carried out on sockets, what happens on sockets is told to it.

use crate::client::{
    Client, ConnectionState, PendingRequest, Stage, MAX_UNSENT_RESPONSE_BYTES, READ_AHEAD_BYTES,
};
use crate::config::{ProxyConfig, TableSource};
use crate::http::{self, LocalResponse};
use crate::observer::{RequestObserver, RequestOutcome};
use crate::report_stream::{ReportStream, ReportStreamEvent};
use crate::table_files::{TableFiles, TableUpdate};
use crate::table_stream::Stream;
use crate::upstream::{Attempt, UpstreamConnection, UpstreamResponse};
use slab::Slab;
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::SystemTime;
use wheelspread::ids::NodeId;
use wheelspread::time::{Moment, Span};
use wheelspread_files::Held;
use wheelspread_http1::{request, response, BadMessage, Body, Framing, Limits, Request};
use wheelspread_proxy_core::core::OperationTable;
use wheelspread_proxy_core::{
    Action, AttemptOutcome, ClientResponse, Decision, Failure, ProxyCore, RequestHandle,
};
use wheelspread_reactor::{self as reactor, Interest, Poll, Readiness, Token};
use wheelspread_xds::orca;

/// What a token of this proxy stands for, in the upper bits of its lower half.
const KIND: u64 = 1 << 29;
const LISTENER: u64 = 0;
const REPORTS: u64 = 1;
const TABLES: u64 = 2;
const STREAM: u64 = 3;
const CLIENT: u64 = KIND;
const NODE: u64 = 2 * KIND;

/// Between two looks at what has waited for too long.
const SWEEP: f64 = 0.25;
/// Of a node's answer, held while the client does not take it.
const HELD: usize = 64 << 10;
/// Weights are published in thousandths.
const THOUSANDTHS: f64 = 1000.0;
const SCRATCH: usize = 32 << 10;
const NO_OWNER: usize = usize::MAX;

pub struct Proxy<W> {
    plan: ProxyConfig,
    base: u64,
    core: ProxyCore,
    listener: TcpListener,
    clients: Slab<Client>,
    nodes: Slab<UpstreamConnection>,
    /// By node, connections that carry nothing.
    idle: BTreeMap<NodeId, Vec<usize>>,
    open: BTreeMap<NodeId, usize>,
    owners: Vec<usize>,
    tables: TableFiles,
    stream: Option<Stream>,
    reports: ReportStream,
    next_sweep: Moment,
    limits: Limits,
    /// Clients for whom something changed; looked after before the loop sleeps.
    stirred: Vec<usize>,
    /// What is read in one go, before it is kept.
    scratch: Vec<u8>,
    pub observer: W,
}

impl<W: RequestObserver> Proxy<W> {
    /// `instance`: tells the proxies of one loop apart, by the upper half of their tokens.
    pub fn start(
        poll: &Poll,
        now: Moment,
        instance: u32,
        plan: ProxyConfig,
        observer: W,
    ) -> io::Result<Proxy<W>> {
        let base = u64::from(instance) << 32;
        let listener = reactor::listen(plan.listen)?;
        poll.add(&listener, Token(base + LISTENER), Interest::Readable)?;
        let roots = plan
            .conductors
            .iter()
            .map(|side| side.tables.clone())
            .collect();
        let tables = TableFiles::new(
            poll,
            Token(base + TABLES),
            &plan.name,
            roots,
            plan.publishes_status,
        )?;
        let stream =
            (plan.reads == TableSource::Stream).then(|| Stream::new(&plan, Token(base + STREAM)));
        let reports = ReportStream::new(now, &plan, Token(base + REPORTS));
        let mut proxy = Proxy {
            core: ProxyCore::new(now, plan.seed, plan.core.clone()),
            base,
            listener,
            clients: Slab::new(),
            nodes: Slab::new(),
            idle: BTreeMap::new(),
            open: BTreeMap::new(),
            owners: Vec::new(),
            tables,
            stream,
            reports,
            next_sweep: now,
            limits: Limits {
                head: plan.head,
                ..Limits::default()
            },
            stirred: Vec::new(),
            scratch: vec![0; SCRATCH],
            observer,
            plan,
        };
        if proxy.plan.follows_unjoined {
            proxy
                .tables
                .follow(poll, Token(base + TABLES), 0, SystemTime::now())?;
        }
        if proxy.stream.is_none() {
            let looked = proxy.tables.start();
            proxy.looked(poll, now, looked);
        }
        Ok(proxy)
    }

    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    pub fn joined(&self) -> bool {
        self.reports.joined()
    }

    // ---- what the loop calls ----

    /// Whether a token is of a connection to a node: those are looked after first, so that one that was
    /// closed is not used for what comes with the same news.
    pub fn of_node(token: u64) -> bool {
        token & NODE != 0
    }

    /// `token`: the lower half of the token that became ready.
    pub fn ready(
        &mut self,
        poll: &Poll,
        now: Moment,
        token: u64,
        ready: Readiness,
    ) -> io::Result<()> {
        match token {
            LISTENER => self.accept(poll, now),
            REPORTS => self.turn_reports(poll, now),
            TABLES => {
                let looked = self.tables.moved()?;
                self.looked(poll, now, looked);
            }
            STREAM => self.turn_stream(poll, now),
            token if token & NODE != 0 => {
                self.node_ready(poll, now, (token & (KIND - 1)) as usize, ready.readable)
            }
            token => self.client_ready(poll, now, (token & (KIND - 1)) as usize, ready.readable),
        }
        self.settle(poll, now);
        Ok(())
    }

    /// What is due though nothing is ready.
    pub fn turn(&mut self, poll: &Poll, now: Moment) {
        for decision in self.core.expire_timers(now) {
            self.act(poll, now, decision);
        }
        if now >= self.reports.wake_at(now) {
            self.turn_reports(poll, now);
        }
        if self
            .stream
            .as_ref()
            .is_some_and(|stream| now >= stream.wake_at(now))
        {
            self.turn_stream(poll, now);
        }
        if now >= self.next_sweep {
            self.next_sweep = now + Span::from_seconds(SWEEP);
            self.turn_reports(poll, now);
            self.turn_stream(poll, now);
            self.sweep(poll, now);
        }
        self.settle(poll, now);
    }

    fn settle(&mut self, poll: &Poll, now: Moment) {
        while let Some(slot) = self.stirred.pop() {
            self.client_ready(poll, now, slot, false);
        }
    }

    pub fn wake_at(&self, now: Moment) -> Moment {
        let at = self.next_sweep.min(self.reports.wake_at(now));
        let at = self
            .stream
            .as_ref()
            .map_or(at, |stream| at.min(stream.wake_at(now)));
        self.core.next_timer().map_or(at, |due| at.min(due))
    }

    // ---- tables and sums ----

    fn turn_reports(&mut self, poll: &Poll, now: Moment) {
        let Proxy { reports, core, .. } = self;
        for told in reports.turn(poll, now, || core.take_load_report(now)) {
            match told {
                ReportStreamEvent::Joined { conductor } => {
                    self.observer
                        .controller_joined(now, conductor, self.plan.conductors.len());
                    if let Some(stream) = &mut self.stream {
                        stream.follow(now, conductor);
                        continue;
                    }
                    let (token, dialled) = (Token(self.base + TABLES), self.reports.dialled());
                    match self.tables.follow(poll, token, conductor, dialled) {
                        Ok(looked) => self.looked(poll, now, looked),
                        Err(error) => {
                            self.observer.tables_rejected(
                                now,
                                &format!("its directory can't be watched: {error}"),
                            );
                        }
                    }
                }
                ReportStreamEvent::Left { reason } => self.observer.controller_left(now, &reason),
            }
        }
    }

    fn turn_stream(&mut self, poll: &Poll, now: Moment) {
        let looked = self.stream.as_mut().map(|stream| stream.turn(poll, now));
        looked
            .into_iter()
            .flatten()
            .for_each(|looked| self.looked(poll, now, looked));
    }

    fn looked(&mut self, poll: &Poll, now: Moment, looked: TableUpdate) {
        match looked {
            TableUpdate::Unchanged => {}
            TableUpdate::Rejected(reason) => self.observer.tables_rejected(now, &reason),
            TableUpdate::New(held) => {
                self.observer.tables_applied(now, &held);
                self.take(poll, now, &held);
            }
        }
    }

    fn take(&mut self, poll: &Poll, now: Moment, held: &Held) {
        let mut orders = Vec::new();
        for told in &held.orders.operations {
            let Some(operation) = self.core.operation_id(&told.operation) else {
                continue;
            };
            let line = |line: &wheelspread_controller_core::TableEntry| {
                (line.node, (line.weight * THOUSANDTHS).round() as u32)
            };
            let order = OperationTable {
                lines: told.lines.iter().map(line).collect(),
                dropped_of_million: told.dropped_of_million,
                rate: told.rate,
                retry: told.retry,
                per_try_timeout: told.per_try_timeout,
                timeout: told.timeout,
            };
            orders.push((operation, order));
        }
        for decision in self.core.apply_tables(now, &orders) {
            self.act(poll, now, decision);
        }
        // Idle connections to nodes that no table names are closed.
        let published = self.core.published_nodes();
        let gone: Vec<usize> = self
            .idle
            .iter()
            .filter(|(node, _)| !published.contains(node))
            .flat_map(|(_, slots)| slots.iter().copied())
            .collect();
        gone.into_iter().for_each(|slot| self.drop_node(slot));
    }

    // ---- clients ----

    fn accept(&mut self, poll: &Poll, now: Moment) {
        let (accepted, _) = reactor::accept(&self.listener);
        for socket in accepted {
            if self.clients.len() >= self.plan.connections {
                continue; // closed at once: the client sees that it is not served
            }
            let entry = self.clients.vacant_entry();
            let token = Token(self.base + CLIENT + entry.key() as u64);
            if poll.add(&socket, token, Interest::Edges).is_ok() {
                let slot = entry.key();
                entry.insert(Client::new(now, socket));
                self.client_ready(poll, now, slot, true);
            }
        }
    }

    fn client_ready(&mut self, poll: &Poll, now: Moment, slot: usize, readable: bool) {
        let most = self.plan.head + self.plan.body + READ_AHEAD_BYTES;
        loop {
            let Some(client) = self.clients.get_mut(slot) else {
                return;
            };
            let limit = if client.pending.is_some() {
                READ_AHEAD_BYTES
            } else {
                most
            };
            if client.read(now, limit, readable, &mut self.scratch) == ConnectionState::Closed
                || client.write(now) == ConnectionState::Closed
            {
                return self.client_lost(poll, now, slot);
            }
            if !self.advance(poll, now, slot) {
                break;
            }
        }
        let Some(client) = self.clients.get_mut(slot) else {
            return;
        };
        if client.write(now) == ConnectionState::Closed {
            return self.client_lost(poll, now, slot);
        }
        let idle_end =
            client.ended && matches!(client.stage, Stage::Head) && client.pending.is_none();
        if client.unsent() == 0 && (matches!(client.stage, Stage::Ending) || idle_end) {
            return self.client_lost(poll, now, slot);
        }
        // A node that was held back while this client took nothing goes on.
        let node = client
            .pending
            .as_ref()
            .and_then(|pending| pending.node)
            .filter(|_| client.unsent() < MAX_UNSENT_RESPONSE_BYTES);
        if let Some(node) = node {
            if self.nodes.get(node).is_some_and(|line| line.held_back()) {
                self.node_ready(poll, now, node, false);
            }
        }
    }

    /// One step through what a client sent; `false` if there is nothing to do for now.
    fn advance(&mut self, poll: &Poll, now: Moment, slot: usize) -> bool {
        let limits = self.limits;
        let Some(client) = self.clients.get_mut(slot) else {
            return false;
        };
        match &mut client.stage {
            Stage::Head => {
                if client.input.is_empty() {
                    return false;
                }
                match request(&client.input, limits) {
                    Ok(None) => false,
                    Err(BadMessage::HeadTooLong(_) | BadMessage::TooManyHeaders(_)) => self.refuse(
                        now,
                        slot,
                        LocalResponse::HeadTooLarge,
                        "the head is too long",
                    ),
                    Err(error) => {
                        self.refuse(now, slot, LocalResponse::BadRequest, &error.to_string())
                    }
                    Ok(Some(head)) => self.begin_body(now, slot, head),
                }
            }
            Stage::Body { head, body, taken } => {
                let start = head.length + *taken;
                let came = &client.input[start.min(client.input.len())..];
                match body.take(came) {
                    Err(error) => {
                        self.refuse(now, slot, LocalResponse::BadRequest, &error.to_string())
                    }
                    Ok(count) => {
                        *taken += count;
                        if *taken > self.plan.body {
                            return self.refuse(
                                now,
                                slot,
                                LocalResponse::TooLarge,
                                "the body is too long",
                            );
                        }
                        if !body.done() {
                            return false;
                        }
                        let (head, taken) = (head.clone(), *taken);
                        self.begin(poll, now, slot, &head, taken);
                        true
                    }
                }
            }
            Stage::Waiting | Stage::Ending => false,
        }
    }

    /// Answers a request that is not taken, and takes nothing more: where it ends is not known.
    fn refuse(&mut self, now: Moment, slot: usize, answer: LocalResponse, said: &str) -> bool {
        if let Some(client) = self.clients.get_mut(slot) {
            let bytes = http::own(answer, said, None, false, true);
            client.queue(&bytes);
            client.stage = Stage::Ending;
            client.since = now;
        }
        true
    }

    fn begin_body(&mut self, now: Moment, slot: usize, head: Request) -> bool {
        let long =
            matches!(head.framing, Framing::Length(length) if length > self.plan.body as u64);
        let Some(client) = self.clients.get_mut(slot) else {
            return false;
        };
        let target = std::str::from_utf8(&client.input[head.target.clone()]).unwrap_or("");
        if self.core.operation_id(http::operation(target)).is_none() {
            return self.refuse(
                now,
                slot,
                LocalResponse::NoOperation,
                "no operation of that name",
            );
        }
        if long {
            return self.refuse(now, slot, LocalResponse::TooLarge, "the body is too long");
        }
        if head.expects_continue {
            client.queue(b"HTTP/1.1 100 Continue\r\n\r\n");
        }
        let body = Body::new(head.framing);
        client.stage = Stage::Body {
            head,
            body,
            taken: 0,
        };
        true
    }

    /// The request is here as a whole.
    fn begin(&mut self, poll: &Poll, now: Moment, slot: usize, head: &Request, taken: usize) {
        let Some(client) = self.clients.get_mut(slot) else {
            return;
        };
        let target = std::str::from_utf8(&client.input[head.target.clone()]).unwrap_or("");
        let name = http::operation(target).to_string();
        let Some(operation) = self.core.operation_id(&name) else {
            return;
        };
        let id = http::header(&client.input, &head.headers, "x-request-id")
            .unwrap_or("")
            .to_string();
        let end = head.length + taken;
        let request = Rc::new(http::forward_request(
            &client.input,
            head,
            &client.input[head.length..end],
        ));
        client.consume(end);
        client.stage = Stage::Waiting;
        self.observer.request_received(now, &id, &name);
        let decision = self.core.start_request(now, operation);
        let pending = PendingRequest {
            handle: decision.request,
            id,
            operation: name,
            request,
            node: None,
            is_head: head.is_head,
            keep_alive: head.keep_alive,
            began: false,
        };
        if let Some(client) = self.clients.get_mut(slot) {
            client.pending = Some(pending);
        }
        self.own(decision.request, slot);
        self.act(poll, now, decision);
    }

    fn own(&mut self, invocation: RequestHandle, slot: usize) {
        let at = invocation.0 as usize;
        if self.owners.len() <= at {
            self.owners.resize(at + 1, NO_OWNER);
        }
        self.owners[at] = slot;
    }

    /// The client whose invocation it is.
    fn owner(&self, invocation: RequestHandle) -> Option<usize> {
        let slot = *self.owners.get(invocation.0 as usize)?;
        let pending = self.clients.get(slot)?.pending.as_ref()?;
        (pending.handle == invocation).then_some(slot)
    }

    fn client_lost(&mut self, poll: &Poll, now: Moment, slot: usize) {
        let Some(client) = self.clients.try_remove(slot) else {
            return;
        };
        let _ = poll.remove(&client.socket);
        if let Some(pending) = client.pending {
            self.observer
                .request_finished(now, &pending.id, RequestOutcome::ClientGone);
            self.core.cancel_request(now, pending.handle);
            pending
                .node
                .into_iter()
                .for_each(|node| self.drop_node(node));
        }
    }

    // ---- what the core decides ----

    fn act(&mut self, poll: &Poll, now: Moment, decision: Decision) {
        let mut next = Some(decision);
        while let Some(decision) = next.take() {
            let Some(slot) = self.owner(decision.request) else {
                return;
            };
            next = match decision.action {
                Action::Continue => None,
                Action::Send(send) => self.send(poll, now, slot, send),
                Action::AbandonAndSend(send) => {
                    self.abandon(now, slot, Some(Failure::TimedOut));
                    self.send(poll, now, slot, send)
                }
                Action::Respond(answer) => {
                    self.answer(now, slot, answer);
                    None
                }
                Action::AbandonAndRespond(answer) => {
                    let failure = if let ClientResponse::Failed(failure) = answer {
                        Some(failure)
                    } else {
                        None
                    };
                    self.abandon(now, slot, failure);
                    self.answer(now, slot, answer);
                    None
                }
            };
            if next.is_none() {
                self.stirred.push(slot);
            }
        }
    }

    /// Sends a try; the decision that follows if it fails at once.
    fn send(
        &mut self,
        poll: &Poll,
        now: Moment,
        slot: usize,
        send: wheelspread_proxy_core::AttemptOrder,
    ) -> Option<Decision> {
        let pending = self.clients.get(slot)?.pending.as_ref()?;
        let (invocation, request) = (pending.handle, pending.request.clone());
        self.observer
            .attempt_sent(now, &pending.id, &pending.operation, send.node, send.number);
        let Some(line) = self.line_to(poll, now, send.node) else {
            return Some(self.tried(now, slot, send.node, send.number, Failure::Connect));
        };
        let attempt = Attempt {
            client: slot,
            handle: invocation,
            number: send.number,
        };
        self.nodes[line].carry(now, attempt, request);
        if let Some(pending) = self
            .clients
            .get_mut(slot)
            .and_then(|client| client.pending.as_mut())
        {
            pending.node = Some(line);
        }
        match self.nodes[line].write() {
            ConnectionState::Open => None,
            ConnectionState::Closed => {
                let failure = self.nodes[line].failure();
                self.drop_node(line);
                Some(self.tried(now, slot, send.node, send.number, failure))
            }
        }
    }

    /// A try failed: told to the core.
    fn tried(
        &mut self,
        now: Moment,
        slot: usize,
        node: NodeId,
        number: u32,
        failure: Failure,
    ) -> Decision {
        let Some(pending) = self
            .clients
            .get_mut(slot)
            .and_then(|client| client.pending.as_mut())
        else {
            return Decision {
                request: RequestHandle(u32::MAX, 0),
                action: Action::Continue,
            };
        };
        pending.node = None;
        self.observer
            .attempt_ended(now, &pending.id, node, number, Some(failure));
        let end = if pending.began {
            AttemptOutcome::FailedMidResponse(failure)
        } else {
            AttemptOutcome::Failed(failure)
        };
        self.core.finish_attempt(now, pending.handle, number, end)
    }

    /// An idle connection, the one used last, or a new one; `None` if there can be no more.
    fn line_to(&mut self, poll: &Poll, now: Moment, node: NodeId) -> Option<usize> {
        while let Some(slot) = self.idle.get_mut(&node).and_then(Vec::pop) {
            // One that the node closed meanwhile is seen here, before anything is written on it: a look costs
            // less than a try that may have run.
            let line = &mut self.nodes[slot];
            if line.read(1, true, &mut self.scratch) == ConnectionState::Open
                && !line.ended
                && line.input.is_empty()
            {
                return Some(slot);
            }
            self.drop_node(slot);
        }
        if self
            .open
            .get(&node)
            .is_some_and(|open| *open >= self.plan.connections_per_node)
        {
            return None;
        }
        let socket: TcpStream =
            reactor::connect_from(self.plan.source, node.address, node.port).ok()?;
        let entry = self.nodes.vacant_entry();
        let slot = entry.key();
        poll.add(
            &socket,
            Token(self.base + NODE + slot as u64),
            Interest::Edges,
        )
        .ok()?;
        entry.insert(UpstreamConnection::new(now, socket, node));
        *self.open.entry(node).or_insert(0) += 1;
        Some(slot)
    }

    /// Gives up the try that is pending way: its connection is closed, whatever may still come on it.
    fn abandon(&mut self, now: Moment, slot: usize, failure: Option<Failure>) {
        let Some(pending) = self
            .clients
            .get_mut(slot)
            .and_then(|client| client.pending.as_mut())
        else {
            return;
        };
        let Some(line) = pending.node.take() else {
            return;
        };
        if let (Some(failure), Some(attempt)) = (failure, &self.nodes[line].attempt) {
            self.observer.attempt_ended(
                now,
                &pending.id,
                self.nodes[line].node,
                attempt.number,
                Some(failure),
            );
        }
        self.drop_node(line);
    }

    /// The invocation is over for the core; the client is told.
    fn answer(&mut self, now: Moment, slot: usize, answer: ClientResponse) {
        let Some(client) = self.clients.get_mut(slot) else {
            return;
        };
        let Some(pending) = client.pending.take() else {
            return;
        };
        let close = !pending.keep_alive || client.ended;
        let (own, said, retry_after) = match answer {
            ClientResponse::Upstream | ClientResponse::ClientGone => (None, "", None),
            ClientResponse::RateLimited { retry_after } => (
                Some(LocalResponse::RateLimited),
                "turned away",
                Some(retry_after),
            ),
            ClientResponse::NoNode => (Some(LocalResponse::NoNode), "no node to send to", None),
            ClientResponse::Failed(Failure::TimedOut) => {
                (Some(LocalResponse::NodeTimeout), "no answer in time", None)
            }
            ClientResponse::Failed(_) => (Some(LocalResponse::BadNode), "the node failed", None),
        };
        let outcome = match answer {
            ClientResponse::RateLimited { .. } => RequestOutcome::RateLimited,
            ClientResponse::NoNode => RequestOutcome::NoNode,
            ClientResponse::Failed(failure) => RequestOutcome::Failed(failure),
            ClientResponse::Upstream | ClientResponse::ClientGone => RequestOutcome::ClientGone,
        };
        self.observer.request_finished(now, &pending.id, outcome);
        match own {
            // Half an answer can't be taken back: the end of the connection tells the client.
            Some(_) if pending.began => client.stage = Stage::Ending,
            Some(own) => {
                let bytes = http::own(own, said, retry_after, pending.is_head, close);
                client.queue(&bytes);
                client.stage = if close { Stage::Ending } else { Stage::Head };
            }
            None => client.stage = Stage::Ending,
        }
        client.since = now;
    }

    // ---- nodes ----

    fn drop_node(&mut self, slot: usize) {
        let Some(line) = self.nodes.try_remove(slot) else {
            return;
        };
        if let Some(open) = self.open.get_mut(&line.node) {
            *open -= 1;
            if *open == 0 {
                self.open.remove(&line.node);
            }
        }
        if let Some(idle) = self.idle.get_mut(&line.node) {
            idle.retain(|other| *other != slot);
            if idle.is_empty() {
                self.idle.remove(&line.node);
            }
        }
        if line.attempt.is_some() {
            // The node sees that nobody waits any more.
            reactor::reset(line.socket);
        }
    }

    fn node_ready(&mut self, poll: &Poll, now: Moment, slot: usize, readable: bool) {
        let Some(line) = self.nodes.get_mut(slot) else {
            return;
        };
        let client = line.attempt.as_ref().map(|attempt| attempt.client);
        let lost = line.write() == ConnectionState::Closed;
        let behind = client
            .and_then(|client| self.clients.get(client))
            .map_or(0, Client::unsent);
        let Some(line) = self.nodes.get_mut(slot) else {
            return;
        };
        let most = if behind >= MAX_UNSENT_RESPONSE_BYTES {
            0
        } else {
            HELD + self.limits.head
        };
        // What was answered before the connection broke still counts.
        let lost = line.read(most, readable, &mut self.scratch) == ConnectionState::Closed || lost;
        let Some(client) = client else {
            if lost || line.ended || !line.input.is_empty() {
                self.drop_node(slot);
            }
            return;
        };
        let decision = self.replied(now, slot, client, lost);
        if let Some(decision) = decision {
            self.act(poll, now, decision);
        }
        self.stirred.push(client);
    }

    /// TableSource a node's answer as far as it has come, and passes it on.
    fn replied(&mut self, now: Moment, slot: usize, client: usize, lost: bool) -> Option<Decision> {
        if self.nodes.get(slot)?.response.is_none() {
            if let Some(decision) = self.reply_head(now, slot, client, lost)? {
                return Some(decision);
            }
        }
        let line = self.nodes.get_mut(slot)?;
        let response = line.response.as_mut()?;
        let over = lost || line.ended;
        let taken = match response.body.take(&line.input) {
            Ok(taken) => taken,
            Err(_) => return self.reply_fails(now, slot, client, Failure::Garbled),
        };
        let holder = self.clients.get_mut(client)?;
        holder.output().extend_from_slice(&line.input[..taken]);
        line.input.drain(..taken);
        if response.body.done() || (over && response.body.ends_with_connection()) {
            return self.reply_done(now, slot, client);
        }
        if over {
            return self.reply_fails(now, slot, client, Failure::Reset);
        }
        None
    }

    /// `Some(None)`: the head is there and passed on. `None`: it is not there yet.
    fn reply_head(
        &mut self,
        now: Moment,
        slot: usize,
        client: usize,
        lost: bool,
    ) -> Option<Option<Decision>> {
        let limits = self.limits;
        loop {
            let line = self.nodes.get_mut(slot)?;
            let pending = self.clients.get(client)?.pending.as_ref()?;
            match response(&line.input, pending.is_head, limits) {
                Ok(Some(head)) if head.status / 100 == 1 && head.status != 101 => {
                    line.input.drain(..head.length);
                }
                Ok(Some(head)) if head.status >= 200 => {
                    return Some(self.take_head(now, slot, client, head))
                }
                Ok(None) if !lost && !line.ended => return None,
                Ok(None) => {
                    let failure = if line.input.is_empty() {
                        line.failure()
                    } else {
                        Failure::Reset
                    };
                    return Some(self.reply_fails(now, slot, client, failure));
                }
                Ok(Some(_)) | Err(_) => {
                    return Some(self.reply_fails(now, slot, client, Failure::Garbled))
                }
            }
        }
    }

    fn take_head(
        &mut self,
        now: Moment,
        slot: usize,
        client: usize,
        head: wheelspread_http1::Response,
    ) -> Option<Decision> {
        let line = self.nodes.get_mut(slot)?;
        let loads = http::header(&line.input, &head.headers, orca::HEADER)
            .map(orca::read)
            .unwrap_or_default();
        let failure = match head.status {
            // The form in which a node says that it takes no more and has begun nothing.
            429 | 503 => Some(Failure::Refused),
            500.. => Some(Failure::Errored),
            _ => None,
        };
        let (node, attempt) = (line.node, line.attempt.as_ref()?);
        let (invocation, number) = (attempt.handle, attempt.number);
        line.response = Some(UpstreamResponse {
            body: Body::new(head.framing),
            loads: loads.into_iter().collect(),
            told: failure.is_some(),
            head,
        });
        match failure {
            None => self.core.start_response(invocation, number),
            Some(failure) => {
                let holder = self.clients.get_mut(client)?;
                let pending = holder.pending.as_mut()?;
                self.observer
                    .attempt_ended(now, &pending.id, node, number, Some(failure));
                let decision = self.core.finish_attempt(
                    now,
                    invocation,
                    number,
                    AttemptOutcome::Failed(failure),
                );
                if matches!(decision.action, Action::Send(_) | Action::AbandonAndSend(_)) {
                    // Another node is asked; this one's answer is let go, its connection with it.
                    pending.node = None;
                    self.drop_node(slot);
                    return Some(decision);
                }
                // It is the answer: what the node said is passed on.
            }
        }
        let line = self.nodes.get_mut(slot)?;
        let response = line.response.as_ref()?;
        let holder = self.clients.get_mut(client)?;
        let close = !holder.pending.as_ref()?.keep_alive
            || holder.ended
            || response.head.framing == Framing::UntilClose;
        let length = response.head.length;
        http::forward_response(&line.input, &response.head, close, holder.output());
        line.input.drain(..length);
        let pending = holder.pending.as_mut()?;
        pending.began = true;
        pending.keep_alive = !close;
        None
    }

    fn reply_fails(
        &mut self,
        now: Moment,
        slot: usize,
        client: usize,
        failure: Failure,
    ) -> Option<Decision> {
        let line = self.nodes.get(slot)?;
        let (node, number) = (line.node, line.attempt.as_ref()?.number);
        let told = line.response.as_ref().is_some_and(|response| response.told);
        self.drop_node(slot);
        if told {
            // Already told to the core; half of the node's refusal reached the client.
            let holder = self.clients.get_mut(client)?;
            let pending = holder.pending.take()?;
            holder.stage = Stage::Ending;
            self.observer
                .request_finished(now, &pending.id, RequestOutcome::Failed(failure));
            return None;
        }
        Some(self.tried(now, client, node, number, failure))
    }

    fn reply_done(&mut self, now: Moment, slot: usize, client: usize) -> Option<Decision> {
        let line = self.nodes.get_mut(slot)?;
        let (node, reusable) = (line.node, line.reusable());
        let (response, attempt) = (line.response.take()?, line.attempt.take()?);
        if reusable {
            line.rest(now);
            self.idle.entry(node).or_default().push(slot);
        } else {
            self.drop_node(slot);
        }
        let holder = self.clients.get_mut(client)?;
        let pending = holder.pending.take()?;
        if !response.told {
            self.observer
                .attempt_ended(now, &pending.id, node, attempt.number, None);
            self.core.finish_attempt(
                now,
                attempt.handle,
                attempt.number,
                AttemptOutcome::Succeeded {
                    loads: response.loads,
                },
            );
        }
        self.observer.request_finished(
            now,
            &pending.id,
            RequestOutcome::Upstream(response.head.status),
        );
        holder.stage = if pending.keep_alive {
            Stage::Head
        } else {
            Stage::Ending
        };
        holder.since = now;
        None
    }

    // ---- what waits for too long ----

    fn sweep(&mut self, poll: &Poll, now: Moment) {
        let waits = &self.plan.waits;
        let (connect, node_idle, request, idle) = (
            waits.connect,
            waits.node_idle,
            waits.request,
            waits.client_idle,
        );
        let nodes: Vec<(usize, bool)> = self
            .nodes
            .iter()
            .filter(|(_, line)| match &line.attempt {
                Some(_) => !line.stood && now - line.since > connect,
                None => now - line.since > node_idle,
            })
            .map(|(slot, line)| (slot, line.attempt.is_some()))
            .collect();
        for (slot, carries) in nodes {
            let client = self
                .nodes
                .get(slot)
                .and_then(|line| line.attempt.as_ref())
                .map(|attempt| attempt.client);
            match client.filter(|_| carries) {
                Some(client) => {
                    let decision = self.reply_fails(now, slot, client, Failure::Connect);
                    decision
                        .into_iter()
                        .for_each(|decision| self.act(poll, now, decision));
                }
                None => self.drop_node(slot),
            }
        }
        let late = |client: &Client| {
            let quiet = now - client.since;
            match client.stage {
                Stage::Head if client.input.is_empty() && client.unsent() == 0 => quiet > idle,
                Stage::Head | Stage::Body { .. } | Stage::Ending => quiet > request,
                Stage::Waiting => client.unsent() > 0 && quiet > request,
            }
        };
        let late: Vec<usize> = self
            .clients
            .iter()
            .filter(|(_, client)| late(client))
            .map(|(slot, _)| slot)
            .collect();
        for slot in late {
            let Some(client) = self.clients.get_mut(slot) else {
                continue;
            };
            let begun = matches!(client.stage, Stage::Body { .. }) || !client.input.is_empty();
            if begun
                && client.unsent() == 0
                && client.pending.is_none()
                && !matches!(client.stage, Stage::Ending)
            {
                self.refuse(
                    now,
                    slot,
                    LocalResponse::RequestTimeout,
                    "the rest of the request did not come",
                );
                self.stirred.push(slot);
            } else {
                self.client_lost(poll, now, slot);
            }
        }
    }
}
