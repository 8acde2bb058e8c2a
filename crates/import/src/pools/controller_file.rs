//! Formats a pool as a controller's configuration file.

use super::{sanitized_name, Pool};
use wheelspread_controller_core::deployment::RetryClass;
use wheelspread_controller_core::span_format;

/// The latency objective as a ratio of the timeout. nginx has no latency objectives, so the value is marked for review.
const OBJECTIVE_TIMEOUT_RATIO: f64 = 0.25;

impl Pool {
    /// The controller's configuration file. All nodes are in `zone`, because nginx has no zones.
    pub fn file(&self, zone: &str, listen: &str) -> String {
        let mut text = format!(
            "# Made from upstream `{}`. Figures marked `look` are not in nginx's file: look at them.\n\
             conductor: {{name: {}, listen: \"{listen}\", tables: tables, list: nodes.json}}\n\
             deployment:\n  zones: [{zone}]\n  operations:\n",
            self.name,
            sanitized_name(&self.name)
        );
        for operation in &self.operations {
            let timeout = operation.integration_timeout;
            let objective = timeout * OBJECTIVE_TIMEOUT_RATIO;
            let repeat = match operation.retry_class {
                RetryClass::Idempotent => "idempotent",
                _ => "side-effecting",
            };
            text.push_str(&format!(
                "    - name: {}  # location {}\n      latency_objective: {}  # look\n      integration_timeout: {}\n      \
                 billed_value: 1  # look\n      repeat: {repeat}  # look\n",
                operation.name,
                operation.location.replace(['\n', '\r'], " "),
                span_format::write(objective),
                span_format::write(timeout),
            ));
        }
        let idle = self.idle_timeout.map_or(String::new(), |idle| {
            format!(", connection_idle: {}", span_format::write(idle))
        });
        text.push_str(&format!(
            "  proxies: {{count: 4, errors_until_avoided: {}{idle}, usual_rate: 10}}  # look\n  \
             rules: {{without_node_at_most: 2s, drain_grace: 2s, cold_start_share: 0.2, warm_after: 18s,\n          \
             cold_overload_factor: 4, cold_overload_span: 3s}}  # look\n  \
             channel: {{lines_waiting_at_most: 9000, head_lines: 6, lines_per_second: 9000, delay_at_most: 500ms}}  # look\n",
            self.errors_until_ejected
        ));
        text
    }
}
