//! Logging to standard error. Events of the core and of the rollout are written as structured log lines.

use crate::file::{LogFormat, LogSettings};
use tracing::{debug, info, warn};
use tracing_subscriber::EnvFilter;
use wheelspread_config_rollout::RolloutEvent;
use wheelspread_controller_core::endpoint_list::format_node;
use wheelspread_controller_core::LogEvent;

/// Installs the log subscriber. Only the first call in a process has an effect; an invalid level counts as `info`.
pub fn start(settings: &LogSettings) {
    let filter = EnvFilter::try_new(&settings.level).unwrap_or_else(|_| EnvFilter::new("info"));
    let lines = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    let _ = match settings.form {
        LogFormat::Lines => lines.with_target(false).try_init(),
        LogFormat::Json => lines.json().flatten_event(true).try_init(),
    };
}

/// Logs an event of the rollout of configurations.
pub(crate) fn rollout_event(event: &RolloutEvent) {
    match event {
        RolloutEvent::StateChanged {
            id,
            state,
            reason: why,
        } => {
            let (change, state) = (&id.0, state.as_str());
            info!(change, state, why, "configuration change state changed");
        }
        RolloutEvent::WriteFailed { reason, retry_in } => {
            let again_in_s = retry_in.seconds();
            warn!(
                reason,
                again_in_s, "configuration change waits for the disk"
            );
        }
        RolloutEvent::ValueIgnored { field, text } => {
            warn!(
                field,
                text, "value of an earlier configuration change is no longer valid, ignored"
            );
        }
    }
}

/// Logs an event of the core.
pub(crate) fn core_event(event: &LogEvent) {
    match event {
        LogEvent::EndpointListAccepted {
            version,
            ready,
            changes,
        } => info!(version, ready, changes, "endpoint list accepted"),
        LogEvent::EndpointListRejected { reason } => warn!(reason, "endpoint list rejected"),
        LogEvent::ProxyJoined { proxy, zone } => info!(proxy, zone, "proxy joined"),
        LogEvent::ProxyLeft { proxy } => info!(proxy, "proxy left"),
        LogEvent::ProxySubscribed { proxy, stream } => {
            info!(
                proxy,
                stream = stream.0,
                "proxy subscribed to a discovery stream"
            );
        }
        LogEvent::ProxyUnsubscribed { proxy } => {
            info!(proxy, "proxy unsubscribed from its discovery stream");
        }
        LogEvent::UpdatesPaused { bundle, wait } => {
            let wait_s = wait.seconds();
            warn!(
                table = bundle.0,
                wait_s, "table rejected by most proxies, its ordinary updates pause"
            );
        }
        LogEvent::RolledBack {
            version,
            entries: lines,
            excluded: left_out,
        } => {
            let left_out = left_out
                .iter()
                .map(|(node, why)| format!("{} ({why})", format_node(*node)));
            let left_out = left_out.collect::<Vec<_>>().join(" ");
            warn!(
                version = version.0,
                lines, left_out, "table rolled back to an older version"
            );
        }
        LogEvent::RollbackEnded { nodes } => info!(nodes, "rollback ended"),
        LogEvent::StreamRejected { stream, reason } => {
            warn!(stream = stream.0, reason, "stream rejected");
        }
        LogEvent::ProxyForgotten { proxy } => info!(proxy, "proxy forgotten"),
        LogEvent::VersionPublished {
            bundle,
            version,
            configuration,
            proxies,
            entries: lines,
        } => {
            debug!(
                bundle = bundle.0,
                version = version.0,
                configuration,
                proxies,
                lines,
                "table version published"
            );
        }
        LogEvent::TablesWritten { proxy, version } => {
            debug!(proxy, version = version.0, "tables written");
        }
        LogEvent::TableWriteFailed {
            proxy,
            version,
            reason,
            retry_in,
        } => {
            let again_in_s = retry_in.seconds();
            warn!(
                proxy,
                version = version.0,
                reason,
                again_in_s,
                "tables not written"
            );
        }
        LogEvent::TablesRejected {
            proxy,
            version,
            reason,
        } => {
            warn!(
                proxy,
                version = version.0,
                reason,
                "tables rejected by proxy"
            );
        }
        LogEvent::LoadReportRejected { proxy, reason } => {
            warn!(proxy, reason, "load report rejected");
        }
        LogEvent::UnknownNodes { count } => {
            warn!(count, "load reports name nodes that are not listed");
        }
        LogEvent::UpdateQueueFull { entries: lines } => {
            warn!(lines, "update queue longer than allowed");
        }
        LogEvent::StaleEntriesPruned { proxy, nodes } => {
            let nodes = nodes.join(" ");
            warn!(
                proxy,
                nodes, "stale nodes removed from the files of a proxy that has not come back"
            );
        }
        LogEvent::WeightsSolved { nodes } => debug!(nodes, "solved weights applied"),
        LogEvent::SolverFailed { reason } => warn!(
            reason,
            "weight solver failed, the last weights stay in force"
        ),
        LogEvent::ConfigApplied {
            configuration,
            nodes,
        } => info!(configuration, nodes, "configuration in force"),
        LogEvent::ConfigRejected {
            configuration,
            reason,
        } => {
            warn!(
                configuration,
                reason, "configuration rejected, the one before stays in force"
            );
        }
        LogEvent::EndpointListRestored { version, nodes } => {
            warn!(
                version,
                nodes, "no endpoint list readable, the last accepted one stays in force"
            );
        }
        LogEvent::BalancerMessage { text } => info!(text, "balancer message"),
        LogEvent::EventIgnored { reason } => debug!(reason, "event ignored"),
    }
}
