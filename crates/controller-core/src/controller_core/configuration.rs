//! Changes of configuration: putting one in force, moving nodes between pools, and how far proxies have come.

use super::{zone_of, ConfigUpdate, ControllerCore};
use crate::membership::Member;
use crate::publication::{TableSet, Version};
use crate::LogEvent;
use std::collections::BTreeSet;
use std::sync::Arc;
use wheelspread::ids::NodeId;
use wheelspread::time::Moment;

/// The configuration in force.
pub(super) struct ConfigurationInForce {
    pub(super) version: u64,
    /// Tables above this version were made under it.
    pub(super) tables_above: Version,
}

/// How far a configuration has come.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RolloutProgress {
    /// The configuration's version.
    pub configuration: u64,
    /// Joined proxies that still hold tables of an older one.
    pub outdated: Vec<String>,
    /// Known proxies that are not joined: they take the newest tables when they come back.
    pub disconnected: usize,
    /// Nodes that migrate between two pools.
    pub migrating: usize,
}

/// A joined proxy's tables, as a migration depends on them.
struct TableReader<'a> {
    applied: Option<Version>,
    newest: &'a Arc<TableSet>,
}

impl TableReader<'_> {
    /// Whether the proxy may send requests to the node.
    fn may_name(&self, node: NodeId) -> bool {
        self.applied < Some(self.newest.version) || self.newest.names(node)
    }
}

impl ControllerCore {
    /// Puts a configuration in force: the balancer takes its settings and where nodes serve, all at once, and
    /// every table that is made from now on says that it was made under it.
    pub(super) fn apply_configuration(&mut self, now: Moment, update: ConfigUpdate) {
        let ConfigUpdate {
            version,
            plan,
            values,
        } = update;
        if let Err(error) = self
            .balancer
            .reconfigure(plan.to_settings(self.number, None))
        {
            return self.log(LogEvent::ConfigRejected {
                configuration: version,
                reason: error.to_string(),
            });
        }
        self.queue.reconfigure(&plan.update_queue);
        self.plan = plan;
        let (plan, endpoints) = (&self.plan, &mut self.endpoints);
        let changed = self.overrides.set(
            values,
            |zone| zone_of(plan, zone),
            |cell| endpoints.cell_id(cell),
        );
        self.configuration = ConfigurationInForce {
            version,
            tables_above: self.publication.last_version(),
        };
        self.publication.set_configuration(version);
        let changed: BTreeSet<NodeId> = changed.into_iter().collect();
        self.relist(now, |entry| changed.contains(&entry.node));
        self.log(LogEvent::ConfigApplied {
            configuration: version,
            nodes: changed.len(),
        });
    }

    /// Nodes that no proxy of their old pool names any more are listed in the new one.
    pub(super) fn finish_migrations(&mut self, now: Moment) {
        if self.overrides.migration_count() == 0 {
            return;
        }
        let (publication, acknowledgements) = (&self.publication, &self.acknowledgements);
        let readers: Vec<TableReader> = self
            .joined_members()
            .filter_map(|(_, member)| {
                Some(TableReader {
                    applied: acknowledgements
                        .applied(member.id)
                        .map(|applied| applied.version),
                    newest: publication.newest_for(member.id)?,
                })
            })
            .collect();
        let grace = self.plan.rules.drain_grace;
        // Soon after a start any proxy may still come and hold what an earlier run gave it.
        let may_be_unknown = now - self.started_at < grace;
        let may_be_named =
            |node: NodeId| may_be_unknown || readers.iter().any(|reader| reader.may_name(node));
        let arrived: BTreeSet<NodeId> = self
            .overrides
            .complete_migrations(now, grace, may_be_named)
            .into_iter()
            .collect();
        if !arrived.is_empty() {
            self.relist(now, |entry| arrived.contains(&entry.node));
        }
    }

    /// How far the configuration in force has come.
    pub fn rollout_progress(&self) -> RolloutProgress {
        let is_outdated = |member: &Member| {
            self.publication.bundle_of(member.id).is_some()
                && self.applied_version(member) <= Some(self.configuration.tables_above)
        };
        let outdated = self
            .joined_members()
            .filter(|(_, member)| is_outdated(member))
            .map(|(name, _)| name.to_string())
            .collect();
        let absent = self
            .members
            .members()
            .filter(|(_, m)| !m.is_joined())
            .count();
        RolloutProgress {
            configuration: self.configuration.version,
            outdated,
            disconnected: self.unclaimed.len() + absent,
            migrating: self.overrides.migration_count(),
        }
    }

    /// Joined proxies whose newest tables lack an entry for some operation.
    pub fn proxies_without_entries(&self) -> Vec<String> {
        let lacks_entries = |member: &Member| {
            self.publication.newest_for(member.id).is_some_and(|set| {
                set.operations
                    .iter()
                    .any(|operation| operation.entries.is_empty())
            })
        };
        self.joined_members()
            .filter(|(_, member)| lacks_entries(member))
            .map(|(name, _)| name.to_string())
            .collect()
    }
}
