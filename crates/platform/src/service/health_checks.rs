//! Health checks of nodes, requested by the balancer.

use super::exchanges::{OpenExchange, Purpose};
use super::Service;
use std::net::SocketAddrV4;
use wheelspread::ids::NodeId;
use wheelspread::time::{Moment, Span};
use wheelspread_platform_core::{parse_load_metrics, HealthCheckResult};

/// The node answers with success if it serves requests.
const PING_PATH: &str = "/ping";
/// Like [`PING_PATH`], with the node's load metrics in the response body.
const LOAD_PATH: &str = "/_load";

impl Service {
    pub(super) fn start_health_check(&mut self, now: Moment, node: NodeId, address: SocketAddrV4) {
        let has_load_reports = !self.config.names.metrics.is_empty();
        let target = if has_load_reports {
            LOAD_PATH
        } else {
            PING_PATH
        };
        if !self.open_exchange(now, address, target, Purpose::HealthCheck(node)) {
            self.fail_health_check(now, node, Span::ZERO);
        }
    }

    pub(super) fn complete_health_check(&mut self, now: Moment, node: NodeId, open: &OpenExchange) {
        let text = String::from_utf8_lossy(&open.exchange.body);
        let result = HealthCheckResult {
            node,
            succeeded: open.is_successful(),
            latency: now - open.opened_at,
            metrics: parse_load_metrics(&text, '=', self.core.names()).unwrap_or_default(),
        };
        self.core.handle_health_check(now, result);
    }

    pub(super) fn fail_health_check(&mut self, now: Moment, node: NodeId, latency: Span) {
        let result = HealthCheckResult {
            node,
            succeeded: false,
            latency,
            metrics: Vec::new(),
        };
        self.core.handle_health_check(now, result);
    }
}
