//! The stand-in nodes of a drill and the endpoint list that names them.

use super::{named, Drill, DrillError, Step};
use crate::even_publisher::ListedNode;
use crate::records::{Listed, Record};
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
    pub(super) gone: bool,
    pub(super) silent: bool,
    pub(super) started: Moment,
}

impl Drill<'_> {
    pub(super) fn add_node(&mut self, spec: NodeSpec) {
        let now = reactor::now();
        let Some((key, address)) = self.nodes.add(spec.clone()) else {
            return;
        };
        let long_ago = now - self.script.deployment.rules.warm_after * 10.0;
        let started = if spec.cold { now } else { long_ago };
        let node = FleetNode {
            key,
            spec,
            address,
            draining: false,
            gone: false,
            silent: false,
            started,
        };
        self.fleet.push(node);
    }

    pub(super) fn first_nodes(&mut self) {
        let plan = self.script.nodes.clone();
        let mut zone = 0;
        for (kind, of) in plan.kinds.iter().enumerate() {
            for _ in 0..of.count {
                let spec = NodeSpec {
                    zone: zone % self.script.deployment.zones.len(),
                    kind,
                    kind_name: of.name.clone(),
                    cores: of.cores,
                    speed: of.speed * (1.0 + of.speed_spread * (2.0 * self.chance.unit() - 1.0)),
                    cold: false,
                    queue: plan.queue,
                    connections: plan.connections,
                };
                self.add_node(spec);
                zone += 1;
            }
        }
    }

    pub(super) fn list(&mut self) -> (EndpointSnapshot, Vec<ListedNode>) {
        self.list_version += 1;
        let (now, wall) = (reactor::now(), reactor::unix_seconds());
        let listed: Vec<&FleetNode> = self.fleet.iter().filter(|node| !node.gone).collect();
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
        let plain = listed.iter().map(|node| ListedNode {
            address: node.address,
            zone: node.spec.zone,
            draining: node.draining,
            cold: now - node.started < warm,
        });
        (list, plain.collect())
    }

    /// The list as it is now, to be seen by controllers after its delay.
    pub(super) fn list_changes(&mut self) {
        let (list, plain) = self.list();
        self.at(
            reactor::now() + self.list_delay,
            Step::PublishList(list, plain),
        );
    }

    pub(super) fn publish(
        &mut self,
        list: &EndpointSnapshot,
        plain: &[ListedNode],
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
            let seen = Listed {
                zone: zones
                    .iter()
                    .position(|zone| *zone == record.zone)
                    .unwrap_or(0),
                draining: record.draining,
                started: self.recorder.at(now) - (wall - started),
            };
            (
                wheelspread_controller_core::endpoint_list::format_node(record.node),
                seen,
            )
        };
        let nodes: BTreeMap<String, Listed> = list.records.iter().map(listed).collect();
        for (controller, process) in self.controllers.iter().enumerate() {
            replace_file(&process.directory.join("nodes.json"), &text)
                .map_err(named("the list of nodes"))?;
            let version = list.version.parse().unwrap_or(0);
            self.recorder.note(
                reactor::now(),
                Record::Listed {
                    controller,
                    version,
                    nodes: nodes.clone(),
                },
            );
        }
        if let Some(even) = &mut self.even {
            even.publish(&self.script, plain, &self.zones)?;
        }
        Ok(())
    }
}
