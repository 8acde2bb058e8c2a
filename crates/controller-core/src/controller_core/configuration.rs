//! Configuration changes: applying them, completing migrations between pools, and the progress of a rollout.

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
    /// Highest version made before this configuration; table versions above it were made under this configuration.
    pub(super) last_version_before: Version,
}

/// Progress of the rollout of a configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RolloutProgress {
    /// The configuration's version.
    pub configuration: u64,
    /// Joined proxies that hold tables of an older configuration, or of which the held version is unknown.
    pub outdated_proxies: Vec<String>,
    /// Number of known proxies that are not joined; they get the newest tables when they reconnect.
    pub disconnected_count: usize,
    /// Number of nodes that are migrating between two pools.
    pub migrating_count: usize,
}

/// The version that a joined proxy holds and the newest one, which decide when a migration can complete.
struct HeldTables<'a> {
    applied: Option<Version>,
    newest: &'a Arc<TableSet>,
}

impl HeldTables<'_> {
    /// Whether the proxy's tables may contain the node: the proxy does not hold the newest version yet, or the
    /// newest version contains the node.
    fn may_contain(&self, node: NodeId) -> bool {
        self.applied < Some(self.newest.version) || self.newest.has_entry_for(node)
    }
}

impl ControllerCore {
    /// Applies a configuration: the balancer gets its settings and the pools of nodes in one step, and every
    /// table version made from now on carries the configuration's version.
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
        self.queue.reconfigure(&deployment.update_queue);
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

    /// Lists migrating nodes in their new pool once no joined proxy's tables may contain them, at the latest after
    /// one drain grace.
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
        // Within one drain grace after the start, a proxy that has not connected yet may hold tables of an
        // earlier run.
        let is_starting_up = now - self.started_at < grace;
        let may_have_entry =
            |node: NodeId| is_starting_up || held_tables.iter().any(|held| held.may_contain(node));
        let migrated: BTreeSet<NodeId> = self
            .overrides
            .complete_migrations(now, grace, may_have_entry)
            .into_iter()
            .collect();
        if !migrated.is_empty() {
            self.relist(now, |entry| migrated.contains(&entry.node));
        }
    }

    /// Progress of the rollout of the configuration in force.
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
            .filter(|(_, member)| !member.is_joined())
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
