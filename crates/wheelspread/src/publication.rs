//! Publishes decisions: changed entries and admission limits, bindings of joining proxies, and the version marker
//! after each round of messages.

use crate::admission::Admission;
use crate::fleet::Fleet;
use crate::ids::{NodeId, OperationId, ProxyId, TableId};
use crate::lifecycle::Node;
use crate::pacing::Pacing;
use crate::shares::{NodeWeights, TableWeights};
use crate::tables::Table;
use crate::update_plan::{INITIAL_WEIGHT_SUM, SMALL_ENTRY_RATIO};
use crate::Action;
use std::collections::{BTreeMap, BTreeSet};

/// Minimum change of an entry's weight that is sent, as a ratio of the larger weight.
const MIN_WEIGHT_CHANGE_RATIO: f64 = 0.06;
/// Minimum change of an admission limit that is sent, as a ratio of the larger limit.
const MIN_LIMIT_CHANGE_RATIO: f64 = 0.04;
/// If the ready nodes that still have an entry get less than this ratio of the target share of all ready nodes,
/// the table takes its complete target at once.
const MIN_REMAINING_RATIO: f64 = 0.35;

/// Number of entries and admission limits per table that are sent in this round.
pub(crate) type ChangedEntries = BTreeMap<TableId, usize>;

/// The published weights of all tables.
pub(crate) fn published_weights(fleet: &Fleet) -> TableWeights {
    let tables = fleet.tables.iter();
    tables
        .map(|(id, table)| (*id, table.entries().clone()))
        .collect()
}

/// Removes draining and gone nodes at once. A table without entries, or whose remaining entries of ready nodes have
/// less than `MIN_REMAINING_RATIO` of the ready nodes' target share, takes its complete target at once: otherwise the
/// few remaining entries would be overloaded, and with them the warming nodes.
pub(crate) fn apply_urgent_changes(
    fleet: &Fleet,
    targets: &TableWeights,
    draft: &mut TableWeights,
) {
    for (id, entries) in draft {
        let target = &targets[id];
        entries.retain(|node, _| fleet.nodes.is_open(node));
        let is_ready = |node: &&NodeId| fleet.nodes.get(node).is_some_and(Node::is_ready);
        let share = |node: &NodeId| target.get(node).copied().unwrap_or(0.0);
        let ready_share: f64 = target.keys().filter(is_ready).map(share).sum();
        let remaining_share =
            |entries: &NodeWeights| -> f64 { entries.keys().filter(is_ready).map(share).sum() };
        if entries.is_empty() || remaining_share(entries) < ready_share * MIN_REMAINING_RATIO {
            let weights = target
                .iter()
                .map(|(node, share)| (*node, share * INITIAL_WEIGHT_SUM));
            *entries = weights.collect();
        }
    }
}

/// A change of one entry.
struct EntryChange {
    node: NodeId,
    old: f64,
    new: f64,
}

/// Sends the entries by which `draft` differs from the published weights. A weight is sent only if it changed
/// enough; without `may_adjust_weights`, only added and removed entries are sent. If the queue lacks headroom,
/// entries that lose weight wait, so that no table runs empty. Removals of nodes that are no longer open and
/// lowered weights of warming nodes never wait: the rules for drains and warming nodes come first.
pub(crate) fn publish_weights(
    fleet: &mut Fleet,
    pacing: &Pacing,
    draft: &TableWeights,
    may_adjust_weights: bool,
    out: &mut Vec<Action>,
) -> ChangedEntries {
    let mut headroom = pacing.publication_headroom(fleet);
    let mut changed = ChangedEntries::new();
    for (id, goal) in draft {
        let Some(table) = fleet.tables.get(id) else {
            continue;
        };
        let mut changes = entry_changes(table, goal, may_adjust_weights);
        if changes.is_empty() {
            continue;
        }
        retain_changes_within_headroom(fleet, table, &mut changes, &mut headroom);
        let Some(table) = fleet.tables.get_mut(id) else {
            continue;
        };
        for change in changes {
            table.set_weight(change.node, change.new);
            out.push(Action::SetWeight {
                table: *id,
                node: change.node,
                weight: change.new,
            });
            *changed.entry(*id).or_default() += 1;
        }
    }
    changed
}

fn entry_changes(table: &Table, goal: &NodeWeights, may_adjust_weights: bool) -> Vec<EntryChange> {
    let mean = goal.values().sum::<f64>() / goal.len().max(1) as f64;
    let nodes: BTreeSet<NodeId> = table.entries().keys().chain(goal.keys()).copied().collect();
    let change = |node: NodeId| {
        let old = table.entries().get(&node).copied().unwrap_or(0.0);
        let new = goal
            .get(&node)
            .map_or(0.0, |weight| f64::from(*weight as f32));
        let min_change = MIN_WEIGHT_CHANGE_RATIO * new.max(old).max(SMALL_ENTRY_RATIO * mean);
        let is_large_enough = (new - old).abs() > min_change;
        let is_due =
            new != old && (new == 0.0 || (is_large_enough && (may_adjust_weights || old == 0.0)));
        is_due.then_some(EntryChange { node, old, new })
    };
    nodes.into_iter().filter_map(change).collect()
}

/// Keeps the changes that fit into the headroom of the queue, and reduces the headroom by them. Changes that must
/// not wait are always kept.
fn retain_changes_within_headroom(
    fleet: &Fleet,
    table: &Table,
    changes: &mut Vec<EntryChange>,
    headroom: &mut f64,
) {
    let proxy_count = fleet
        .proxies_of(table)
        .filter(|(_, proxy)| proxy.is_bound())
        .count() as f64;
    let has_ready = table
        .entries()
        .keys()
        .any(|node| fleet.nodes.get(node).is_some_and(Node::is_ready));
    *headroom -= proxy_count * fleet.config.message_entries(0);
    let lacks_headroom = *headroom < proxy_count * changes.len() as f64 && has_ready;
    changes.retain(|change| {
        let raises_weight = change.new > change.old;
        let lowers_warming = fleet.nodes.is_warming(&change.node) && change.new < change.old;
        let is_sent = !lacks_headroom
            || !fleet.nodes.is_open(&change.node)
            || lowers_warming
            || (raises_weight && *headroom >= proxy_count);
        *headroom -= if is_sent { proxy_count } else { 0.0 };
        is_sent
    });
}

/// Sends the admission limits that changed enough and the retry policies that changed.
pub(crate) fn publish_admission(
    fleet: &mut Fleet,
    admission: &Admission,
    changed: &mut ChangedEntries,
    out: &mut Vec<Action>,
) {
    let tables = fleet.tables.iter();
    let table_operations: Vec<(TableId, OperationId)> = tables
        .flat_map(|(id, table)| table.operations().iter().map(|operation| (*id, *operation)))
        .collect();
    for (id, operation) in table_operations {
        let policy = admission.policy(fleet, id, operation);
        let Some(table) = fleet.tables.get_mut(&id) else {
            continue;
        };
        let is_small_change =
            |old: f64| (old - policy.limit).abs() <= MIN_LIMIT_CHANGE_RATIO * old.max(policy.limit);
        let published = table.admission(operation);
        if published.is_some_and(|old| is_small_change(old.limit) && old.retry == policy.retry) {
            continue;
        }
        table.set_admission(operation, policy);
        out.push(Action::SetAdmission {
            table: Some(id),
            operations: vec![operation],
            limit: policy.limit,
            retry: policy.retry,
        });
        *changed.entry(id).or_default() += 1;
    }
}

/// Proxies that are bound in this round, and the number of entries that they are sent.
pub(crate) struct Bindings {
    pub proxies: BTreeSet<ProxyId>,
    pub entries: f64,
}

/// Binds joined proxies without waiting for an update step. A proxy waits only while none of its tables has an entry,
/// or while its tables would exceed the part of the update queue that joins may fill.
pub(crate) fn bind_joined_proxies(
    fleet: &mut Fleet,
    pacing: &Pacing,
    changed: &ChangedEntries,
    out: &mut Vec<Action>,
) -> Bindings {
    let limit = Pacing::join_limit(&fleet.config) - message_receivers(fleet, changed).1;
    let queued = pacing.queued_entries_for_joins(&fleet.config, fleet.now);
    let (mut queued_after, mut proxies) = (queued, BTreeSet::new());
    for id in fleet.members.unbound() {
        let Some(proxy) = fleet.members.proxies().get(id) else {
            continue;
        };
        let serves = |table: &&Table| table.serves(*id, proxy.zone());
        let own_tables = || fleet.tables.values().filter(serves);
        // A table without entries is bound too if another table of the proxy has entries, so that the proxy gets
        // nodes that come later and drops entries of nodes that are gone.
        let has_no_entries = own_tables().all(|table| table.entries().is_empty());
        let count = own_tables().map(Table::message_entries).sum();
        let entries = fleet.config.message_entries(count);
        if has_no_entries || queued_after + entries > limit {
            continue;
        }
        for (table_id, table) in fleet.tables.iter().filter(|(_, table)| serves(table)) {
            out.push(Action::BindTable {
                proxy: *id,
                table: *table_id,
                operations: table.operations().to_vec(),
            });
        }
        queued_after += entries;
        proxies.insert(*id);
    }
    fleet.members.on_bound(&proxies);
    Bindings {
        proxies,
        entries: queued_after - queued,
    }
}

/// The proxies that get a message because of the changed tables, and the number of entries in these messages,
/// including the overhead of each message.
fn message_receivers(fleet: &Fleet, changed: &ChangedEntries) -> (BTreeSet<ProxyId>, f64) {
    let (mut receivers, mut entry_sum) = (BTreeSet::new(), 0.0);
    let proxies = fleet.members.proxies().iter();
    for (id, proxy) in proxies.filter(|(_, proxy)| proxy.is_bound()) {
        let tables = fleet.tables.iter();
        let own_tables = tables.filter(|(_, table)| table.serves(*id, proxy.zone()));
        let count: usize = own_tables.filter_map(|(id, _)| changed.get(id)).sum();
        if count > 0 {
            entry_sum += fleet.config.message_entries(count);
            receivers.insert(*id);
        }
    }
    (receivers, entry_sum)
}

/// Records the messages of this round and asks their receivers for an acknowledgement.
pub(crate) fn send_marker(
    fleet: &mut Fleet,
    pacing: &mut Pacing,
    changed: &ChangedEntries,
    bindings: &Bindings,
    is_step: bool,
    out: &mut Vec<Action>,
) {
    let (mut receivers, entries) = message_receivers(fleet, changed);
    receivers.extend(&bindings.proxies);
    fleet.members.on_message_sent(&receivers, fleet.now);
    if !receivers.is_empty() {
        let marker = pacing.on_sent(fleet.now, receivers, entries + bindings.entries, is_step);
        out.push(Action::SendMarker {
            marker,
            to_all: false,
        });
    }
}
