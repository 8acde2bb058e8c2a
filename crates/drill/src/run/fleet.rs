//! The stand-in nodes of a drill and the endpoint list that contains them.

use super::{io_error, Drill, DrillError, Step};
use crate::even_publisher::ListedNode;
use crate::records::{ListedNodeState, Record};
use crate::stand_in_server::{NodeKey, NodeSpec};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use wheelspread::ids::NodeId;
use wheelspread::time::Moment;
use wheelspread_controller_core::endpoint_list::{EndpointRecord, EndpointSnapshot};
use wheelspread_files::replace_file;
use wheelspread_reactor as reactor;

pub(super) struct FleetNode {
    pub(super) key: NodeKey,
    pub(super) spec: NodeSpec,
    pub(super) address: SocketAddrV4,
    pub(super) draining: bool,
    pub(super) stopped: bool,
    pub(super) silent: bool,
    pub(super) started: Moment,
}

impl Drill<'_> {
    pub(super) fn add_node(&mut self, spec: NodeSpec) {
        let now = reactor::now();
        let Some((key, address)) = self.nodes.add(spec.clone()) else {
            return;
        };
        let already_warm = now - self.script.deployment.rules.warm_after * 10.0;
        let started = if spec.cold { now } else { already_warm };
        let node = FleetNode {
            key,
            spec,
            address,
            draining: false,
            stopped: false,
            silent: false,
            started,
        };
        self.fleet.push(node);
    }

    pub(super) fn add_initial_nodes(&mut self) {
        let plan = self.script.nodes.clone();
        let mut zone = 0;
        for (kind, of) in plan.kinds.iter().enumerate() {
            for _ in 0..of.count {
                let spec = NodeSpec {
                    zone: zone % self.script.deployment.zones.len(),
                    kind,
                    kind_name: of.name.clone(),
                    cores: of.cores,
                    speed: of.speed * (1.0 + of.speed_spread * (2.0 * self.rng.unit() - 1.0)),
                    cold: false,
                    queue: plan.queue,
                    connections: plan.connections,
                };
                self.add_node(spec);
                zone += 1;
            }
        }
    }

    pub(super) fn snapshot_nodes(&mut self) -> (EndpointSnapshot, Vec<ListedNode>) {
        self.list_version += 1;
        let (now, wall) = (reactor::now(), reactor::unix_seconds());
        let listed: Vec<&FleetNode> = self.fleet.iter().filter(|node| !node.stopped).collect();
        let record = |node: &&FleetNode| {
            let started = ((wall - (now - node.started).seconds()) * 1e3).round() / 1e3;
            EndpointRecord {
                node: NodeId {
                    address: node.address.ip().octets(),
                    port: node.address.port(),
                },
                zone: self.script.deployment.zones[node.spec.zone].clone(),
                kind: node.spec.kind_name.clone(),
                cell: String::new(),
                draining: node.draining,
                weight: 1.0,
                started: Some((format!("{started}"), now - node.started)),
            }
        };
        let list = EndpointSnapshot {
            version: self.list_version.to_string(),
            records: listed.iter().map(record).collect(),
        };
        let warm = self.script.deployment.rules.warm_after;
        let listed_nodes = listed.iter().map(|node| ListedNode {
            address: node.address,
            zone: node.spec.zone,
            draining: node.draining,
            cold: now - node.started < warm,
        });
        (list, listed_nodes.collect())
    }

    /// Schedules the publication of the current endpoint list after the list delay.
    pub(super) fn schedule_list_publication(&mut self) {
        let (list, listed_nodes) = self.snapshot_nodes();
        self.schedule(
            reactor::now() + self.list_delay,
            Step::PublishList(list, listed_nodes),
        );
    }

    pub(super) fn publish_list(
        &mut self,
        list: &EndpointSnapshot,
        listed_nodes: &[ListedNode],
    ) -> Result<(), DrillError> {
        let text = wheelspread_xds::nodes::write(list).map_err(DrillError::EndpointList)?;
        let now = reactor::now();
        let zones = &self.script.deployment.zones;
        let wall = reactor::unix_seconds();
        let listed = |record: &EndpointRecord| {
            let started: f64 = record
                .started
                .as_ref()
                .and_then(|(run, _)| run.parse().ok())
                .unwrap_or(0.0);
            let seen = ListedNodeState {
                zone: zones
                    .iter()
                    .position(|zone| *zone == record.zone)
                    .unwrap_or(0),
                draining: record.draining,
                started: self.recorder.seconds_at(now) - (wall - started),
            };
            (
                wheelspread_controller_core::endpoint_list::format_node(record.node),
                seen,
            )
        };
        let nodes: BTreeMap<String, ListedNodeState> = list.records.iter().map(listed).collect();
        for (controller, process) in self.controllers.iter().enumerate() {
            replace_file(&process.directory.join("nodes.json"), &text)
                .map_err(io_error("cannot write the endpoint list"))?;
            let version = list.version.parse().unwrap_or(0);
            self.recorder.record(
                reactor::now(),
                Record::ListPublished {
                    controller,
                    version,
                    nodes: nodes.clone(),
                },
            );
        }
        if let Some(even) = &mut self.even_publisher {
            even.publish(&self.script, listed_nodes, &self.zones)?;
        }
        Ok(())
    }
}
