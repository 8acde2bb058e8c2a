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
pub(super) struct ActiveConfiguration {
    pub(super) version: u64,
    /// Tables above this version were made under it.
    pub(super) last_version_before: Version,
}

/// How far a configuration has come.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RolloutProgress {
    /// The configuration's version.
    pub configuration: u64,
    /// Joined proxies that still hold tables of an older one.
    pub outdated_proxies: Vec<String>,
    /// Known proxies that are not joined: they take the newest tables when they come back.
    pub disconnected_count: usize,
    /// Nodes that migrate between two pools.
    pub migrating_count: usize,
}

/// A joined proxy's tables, as a migration depends on them.
struct HeldTables<'a> {
    applied: Option<Version>,
    newest: &'a Arc<TableSet>,
}

impl HeldTables<'_> {
    /// Whether the proxy may send requests to the node.
    fn may_have_entry_for(&self, node: NodeId) -> bool {
        self.applied < Some(self.newest.version) || self.newest.has_entry_for(node)
    }
}

impl ControllerCore {
    /// Puts a configuration in force: the balancer takes its settings and where nodes serve, all at once, and
    /// every table that is made from now on says that it was made under it.
    pub(super) fn apply_configuration(&mut self, now: Moment, update: ConfigUpdate) {
        let ConfigUpdate {
            version,
            deployment,
            node_values,
        } = update;
        if let Err(error) = self
            .balancer
            .reconfigure(deployment.to_settings(self.controller_index, None))
        {
            return self.log(LogEvent::ConfigRejected {
                configuration: version,
                reason: error.to_string(),
            });
        }
        self.queue.reconfigure(&deployment.channel);
        self.deployment = deployment;
        let (deployment, endpoints) = (&self.deployment, &mut self.endpoints);
        let changed = self.overrides.set(
            node_values,
            |zone| zone_of(deployment, zone),
            |cell| endpoints.cell_id(cell),
        );
        self.configuration = ActiveConfiguration {
            version,
            last_version_before: self.publication.last_version(),
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
        let held_tables: Vec<HeldTables> = self
            .joined_members()
            .filter_map(|(_, member)| {
                Some(HeldTables {
                    applied: acknowledgements
                        .applied(member.id)
                        .map(|applied| applied.version),
                    newest: publication.newest_for(member.id)?,
                })
            })
            .collect();
        let grace = self.deployment.rules.drain_grace;
        // Soon after a start any proxy may still come and hold what an earlier run gave it.
        let is_startup_grace = now - self.started_at < grace;
        let may_have_entry = |node: NodeId| {
            is_startup_grace || held_tables.iter().any(|held| held.may_have_entry_for(node))
        };
        let migrated: BTreeSet<NodeId> = self
            .overrides
            .complete_migrations(now, grace, may_have_entry)
            .into_iter()
            .collect();
        if !migrated.is_empty() {
            self.relist(now, |entry| migrated.contains(&entry.node));
        }
    }

    /// How far the configuration in force has come.
    pub fn rollout_progress(&self) -> RolloutProgress {
        let is_outdated = |member: &Member| {
            self.publication.bundle_of(member.id).is_some()
                && self.applied_version(member) <= Some(self.configuration.last_version_before)
        };
        let outdated_proxies = self
            .joined_members()
            .filter(|(_, member)| is_outdated(member))
            .map(|(name, _)| name.to_string())
            .collect();
        let disconnected_members = self
            .members
            .members()
            .filter(|(_, m)| !m.is_joined())
            .count();
        RolloutProgress {
            configuration: self.configuration.version,
            outdated_proxies,
            disconnected_count: self.recovered_tables.proxy_count() + disconnected_members,
            migrating_count: self.overrides.migration_count(),
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
