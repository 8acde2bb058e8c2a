//! The operators' API: HTTP/1.1 with JSON, one request per connection, on nonblocking sockets so that no client
//! delays the event loop. Requests are queries, which only read, and orders, which change something. `admin.sock`
//! serves queries and orders of the controller's own user; `read.sock` serves queries of every user of the machine; a
//! loopback port under mutual TLS serves queries, and orders of callers whose certificate name is listed.

mod api_error;
mod changes;
mod connection;
mod context;
mod drains;
mod listeners;
mod request;
mod routes;
mod status;
mod tables;

pub use context::{AdminContext, Identity};

use crate::drains::DrainAnswerError;
use crate::file::AdministrationSettings;
use api_error::ApiError;
use connection::{AccessRights, AdminConnection, AdminSocket};
use listeners::Listeners;
use request::AdminRequest;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::sync::Arc;
use tracing::info;
use wheelspread::time::{Moment, Span};
use wheelspread_config_rollout::Answer;
use wheelspread_config_transaction::ChangeError;
use wheelspread_controller_core::rollback::{RollbackError, RollbackResult};
use wheelspread_drain::Drain;
use wheelspread_grpc::ServerConfig;
use wheelspread_reactor::{Interest, Poll, Token};

/// Maximum length of a request in bytes, and of its body. The connection of a longer request is closed; a longer
/// body is rejected if its length is stated.
const REQUEST_LIMIT_BYTES: usize = 64 << 10;
/// Maximum count of open connections. At the limit, a connection that has sent no complete request gives way.
const CONNECTION_LIMIT: usize = 64;
/// Minimum age of a connection that gives way: a caller needs some time to send its request.
const EVICTION_GRACE: Span = Span::from_seconds(0.1);
/// Maximum time from accepting a connection until its answer has been sent; then it is closed.
const CONNECTION_TIMEOUT: Span = Span::from_seconds(10.0);
/// Longest part of a request's body that is written to the audit log, in characters.
const AUDIT_BODY_CHARS: usize = 400;

/// The operators' listeners and connections.
pub struct AdminServer {
    listeners: Listeners,
    /// Certificate names whose callers on the port may send orders.
    writer_names: Vec<String>,
    connections: BTreeMap<Token, AdminConnection>,
    next_token: u64,
    last_order: u64,
}

impl AdminServer {
    /// Opens the sockets under `root` and, if `port` is given, the loopback port. Listeners get the tokens from
    /// `first_listener` on, connections those from `first_connection` on.
    pub fn start(
        root: &Path,
        port: Option<(&AdministrationSettings, Arc<ServerConfig>)>,
        poll: &Poll,
        first_listener: Token,
        first_connection: Token,
    ) -> io::Result<AdminServer> {
        let writer_names = port
            .as_ref()
            .map(|(settings, _)| settings.writers.clone())
            .unwrap_or_default();
        Ok(AdminServer {
            listeners: Listeners::open(root, port, poll, first_listener)?,
            writer_names,
            connections: BTreeMap::new(),
            next_token: first_connection.0,
            last_order: 0,
        })
    }

    /// Whether a token belongs to a listener.
    pub fn is_listener(&self, token: Token) -> bool {
        self.listeners.contains(token)
    }

    /// Sets the keys for new connections; open connections keep theirs.
    pub fn set_tls(&mut self, tls: Arc<ServerConfig>) {
        self.listeners.set_tls(tls);
    }

    /// Accepts a batch of the pending connections of a listener.
    pub fn accept(&mut self, poll: &Poll, now: Moment, listener: Token) {
        for (socket, rights) in self.listeners.accept(listener) {
            self.add_connection(poll, now, socket, rights);
        }
    }

    fn add_connection(
        &mut self,
        poll: &Poll,
        now: Moment,
        socket: AdminSocket,
        rights: AccessRights,
    ) {
        let token = Token(self.next_token);
        self.next_token += 1;
        if self.connections.len() >= CONNECTION_LIMIT && !self.evict_one(now) {
            return;
        }
        if poll.add(socket.as_fd(), token, Interest::Edges).is_ok() {
            let connection = AdminConnection::new(socket, rights, now);
            self.connections.insert(token, connection);
        }
    }

    /// Closes the oldest connection that has sent no complete request, a reader's before one that may send orders: any
    /// user of the machine can open readers' connections. Returns `false` if none is old enough.
    fn evict_one(&mut self, now: Moment) -> bool {
        let may_give_way = |connection: &AdminConnection| {
            connection.awaits_request() && now - connection.opened_at() >= EVICTION_GRACE
        };
        let evicted = self
            .connections
            .iter()
            .filter(|(_, connection)| may_give_way(connection))
            .min_by_key(|(token, connection)| (!connection.is_reader(), **token))
            .map(|(token, _)| *token);
        evicted
            .and_then(|token| self.connections.remove(&token))
            .is_some()
    }

    /// Reads and writes a connection that is ready, and serves its request once the request is complete.
    pub fn handle_ready(&mut self, now: Moment, token: Token, context: &mut AdminContext) {
        let Some(connection) = self.connections.get_mut(&token) else {
            return;
        };
        let is_open = connection.receive();
        if connection.awaits_request() {
            match connection.parse_request() {
                Ok(None) if is_open => {}
                Ok(None) => {
                    self.connections.remove(&token);
                    return;
                }
                Ok(Some(request)) => {
                    self.last_order += 1;
                    let order = self.last_order;
                    serve(
                        now,
                        connection,
                        &request,
                        order,
                        &self.writer_names,
                        context,
                    );
                }
                Err(error) => connection.respond_error(&error),
            }
        }
        let is_finished = connection.send() || !is_open && !connection.is_pending();
        if is_finished {
            self.connections.remove(&token);
        }
    }

    /// Answers an order to roll a table back or to end the rollback.
    pub fn finish_rollback(&mut self, order: u64, result: &Result<RollbackResult, RollbackError>) {
        let result = match result {
            Ok(rollback) => Ok(tables::rollback_body(rollback)),
            Err(error) => Err(ApiError::RollbackRefused(*error)),
        };
        self.finish_order(order, result);
    }

    /// Answers an order about a change of configuration.
    pub fn finish_change(&mut self, order: u64, result: &Result<Answer, ChangeError>) {
        let result = match result {
            Ok(answer) => Ok(json!(answer)),
            Err(refused) => Err(ApiError::ChangeRefused(refused.clone())),
        };
        self.finish_order(order, result);
    }

    /// Answers an order to drain a node.
    pub fn finish_drain(&mut self, order: u64, result: &Result<Drain, DrainAnswerError>) {
        let result = match result {
            Ok(drain) => Ok(json!(drain)),
            Err(error) => Err(ApiError::DrainNotPersisted(error.clone())),
        };
        self.finish_order(order, result);
    }

    fn finish_order(&mut self, order: u64, result: Result<Value, ApiError>) {
        match &result {
            Ok(_) => info!(audit = true, order, "operator order accepted"),
            Err(error) => {
                let reason = error.to_string();
                info!(audit = true, order, reason, "operator order rejected");
            }
        }
        let waiting = self
            .connections
            .iter_mut()
            .find(|(_, connection)| connection.pending_order() == Some(order));
        let Some((token, connection)) = waiting else {
            return;
        };
        match result {
            Ok(body) => connection.respond(&body),
            Err(error) => connection.respond_error(&error),
        }
        let token = *token;
        if connection.send() {
            self.connections.remove(&token);
        }
    }

    /// Closes connections that have been open for longer than the timeout.
    pub fn close_slow_connections(&mut self, now: Moment) {
        self.connections
            .retain(|_, connection| now - connection.opened_at() < CONNECTION_TIMEOUT);
    }
}

/// Serves one request; an order is written to the audit log before it is carried out.
fn serve(
    now: Moment,
    connection: &mut AdminConnection,
    request: &AdminRequest,
    order: u64,
    writer_names: &[String],
    context: &mut AdminContext,
) {
    let is_order = request.is_order();
    let is_allowed = !is_order || connection.may_order(writer_names);
    if is_order {
        let body: String = String::from_utf8_lossy(&request.body)
            .chars()
            .take(AUDIT_BODY_CHARS)
            .collect();
        info!(
            audit = true,
            order,
            who = connection.entry_point(),
            target = request.target,
            body,
            allowed = is_allowed,
            "operator order received"
        );
    }
    let result = if is_allowed {
        routes::handle(now, request, order, context)
    } else {
        Err(ApiError::ReadOnly)
    };
    match result {
        Ok(Some(body)) => connection.respond(&body),
        Ok(None) => connection.wait_for(order),
        Err(error) => {
            if is_order {
                let (status, reason) = (error.status().code(), error.to_string());
                info!(
                    audit = true,
                    order, status, reason, "operator order rejected"
                );
            }
            connection.respond_error(&error);
        }
    }
}

#[cfg(test)]
mod tests;
