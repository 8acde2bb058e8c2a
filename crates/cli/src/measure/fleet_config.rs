//! The configuration, endpoint lists and proxy identities of the measured fleet.

use std::collections::BTreeSet;
use wheelspread::ids::NodeId;
use wheelspread_controller_core::endpoint_list::{EndpointRecord, EndpointSnapshot};
use wheelspread_controller_core::membership::ProxyIdentity;
use wheelspread_drill::proxy_name;

/// The zones of the measured fleet; nodes and proxies are assigned to them in turn.
pub const ZONES: [&str; 3] = ["a", "b", "c"];

/// The text of the controller's configuration file.
pub fn controller_file(listen: &str, proxies: usize) -> String {
    format!(
        "conductor: {{name: measured, listen: \"{listen}\", tables: tables, list: nodes.json}}
log: {{level: warn}}
deployment:
  zones: [a, b, c]
  operations:
    - {{name: quote, latency_objective: 1s, integration_timeout: 3s, billed_value: 2, repeat: idempotent}}
    - {{name: plan, latency_objective: 1s, integration_timeout: 3s, billed_value: 1, repeat: idempotent,
       stays_in_zone: true}}
  proxies: {{count: {proxies}, errors_until_avoided: 3, usual_rate: 3}}
  rules: {{without_node_at_most: 3s, drain_grace: 3s, cold_start_share: 0.2, warm_after: 10s,
          cold_overload_factor: 4, cold_overload_span: 2s}}
  channel: {{lines_waiting_at_most: 2000000, lines_per_second: 1000000, head_lines: 6, delay_at_most: 500ms}}
  sums: {{period: 1s, loads: [utilization]}}
"
    )
}

/// An endpoint list of `nodes` nodes, in which the nodes with the indices in `draining` drain.
pub fn endpoint_list(version: u64, nodes: usize, draining: &BTreeSet<usize>) -> EndpointSnapshot {
    let record = |index: usize| EndpointRecord {
        node: NodeId {
            address: [127, 0, 1 + (index / 200) as u8, 1 + (index % 200) as u8],
            port: 9000,
        },
        zone: ZONES[index % ZONES.len()].to_string(),
        kind: String::new(),
        cell: String::new(),
        draining: draining.contains(&index),
        weight: 1.0,
        started: None,
    };
    EndpointSnapshot {
        version: version.to_string(),
        records: (0..nodes).map(record).collect(),
    }
}

/// The indices of the nodes that drain in a round: one node starts to drain and that of the previous round becomes
/// ready again, so that entries of every table change.
pub fn draining_in_round(round: u32, nodes: usize) -> BTreeSet<usize> {
    BTreeSet::from([(round as usize * 7) % nodes])
}

/// The zone of a proxy, as an index into [`ZONES`].
pub fn zone_of(proxy: usize) -> usize {
    proxy % ZONES.len()
}

/// The identity that a proxy sends to the controller.
pub fn proxy_identity(proxy: usize) -> ProxyIdentity {
    ProxyIdentity {
        name: proxy_name(proxy),
        zone: ZONES[zone_of(proxy)].to_string(),
        usual_rate: None,
    }
}
