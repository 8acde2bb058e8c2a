//! Notices as structured log lines on standard error.

use crate::file::{LogForm, LogPlan};
use tracing::{debug, info, warn};
use tracing_subscriber::EnvFilter;
use wheelspread_config_rollout::RolloutEvent;
use wheelspread_controller_core::endpoint_list::show;
use wheelspread_controller_core::LogEvent;

/// Once for a program; a second call changes nothing.
pub fn start(plan: &LogPlan) {
    let filter = EnvFilter::try_new(&plan.level).unwrap_or_else(|_| EnvFilter::new("info"));
    let lines = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    let _ = match plan.form {
        LogForm::Lines => lines.with_target(false).try_init(),
        LogForm::Json => lines.json().flatten_event(true).try_init(),
    };
}

pub fn note(note: &RolloutEvent) {
    match note {
        RolloutEvent::StateChanged {
            id,
            state,
            reason: why,
        } => {
            let (change, state) = (&id.0, state.as_str());
            info!(change, state, why, "change");
        }
        RolloutEvent::WriteFailed { reason, retry_in } => {
            let again_in_s = retry_in.seconds();
            warn!(reason, again_in_s, "a change waits for the disk");
        }
        RolloutEvent::ValueIgnored { field, text } => {
            warn!(
                field,
                text, "a value of an earlier change does not fit, left out"
            )
        }
    }
}

pub fn notice(notice: &LogEvent) {
    match notice {
        LogEvent::EndpointListAccepted {
            version,
            ready,
            changes,
        } => info!(version, ready, changes, "list taken"),
        LogEvent::EndpointListRejected { reason } => warn!(reason, "list kept out"),
        LogEvent::ProxyJoined { proxy, zone } => info!(proxy, zone, "proxy joined"),
        LogEvent::ProxyLeft { proxy } => info!(proxy, "proxy left"),
        LogEvent::ProxySubscribed { proxy, stream } => {
            info!(proxy, stream = stream.0, "proxy reads a stream")
        }
        LogEvent::ProxyUnsubscribed { proxy } => info!(proxy, "proxy reads no stream any more"),
        LogEvent::UpdatesPaused { bundle, wait } => {
            let wait_s = wait.seconds();
            warn!(
                table = bundle.0,
                wait_s, "most refuse this table, its ordinary changes wait"
            );
        }
        LogEvent::RolledBack {
            version,
            entries: lines,
            excluded: left_out,
        } => {
            let left_out = left_out
                .iter()
                .map(|(node, why)| format!("{} ({why})", show(*node)));
            let left_out = left_out.collect::<Vec<_>>().join(" ");
            warn!(
                version = version.0,
                lines, left_out, "stepped back to an older version"
            );
        }
        LogEvent::RollbackEnded { nodes } => info!(nodes, "no version is stepped back to any more"),
        LogEvent::StreamRejected { stream, reason } => {
            warn!(stream = stream.0, reason, "stream turned away")
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
                "version made"
            );
        }
        LogEvent::TablesWritten { proxy, version } => {
            debug!(proxy, version = version.0, "proxy pointed at version")
        }
        LogEvent::TableWriteFailed {
            proxy,
            version,
            reason,
            retry_in: again_in,
        } => {
            let again_in_s = again_in.seconds();
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
            warn!(proxy, version = version.0, reason, "proxy refused tables");
        }
        LogEvent::LoadReportRejected { proxy, reason } => warn!(proxy, reason, "report refused"),
        LogEvent::UnknownNodes { count } => {
            warn!(count, "reports speak of nodes that are not listed")
        }
        LogEvent::UpdateQueueFull { entries: lines } => {
            warn!(lines, "more lines wait than are allowed")
        }
        LogEvent::StaleEntriesPruned { proxy, nodes } => {
            let nodes = nodes.join(" ");
            warn!(
                proxy,
                nodes, "taken out of the files of a proxy that has not come back"
            );
        }
        LogEvent::WeightsSolved { nodes } => debug!(nodes, "solved weights listed"),
        LogEvent::SolverFailed { reason } => {
            warn!(reason, "weights not solved, the last ones stand")
        }
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
                reason, "configuration not taken, the one before stands"
            );
        }
        LogEvent::EndpointListRestored { version, nodes } => {
            warn!(
                version,
                nodes, "no list can be read, the last one that was taken stands"
            );
        }
        LogEvent::BalancerMessage { text } => info!(text, "remark"),
        LogEvent::EventIgnored { reason } => debug!(reason, "event not used"),
    }
}
