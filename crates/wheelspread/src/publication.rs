//! Publishes decisions: the entries and admission ratios by which they differ from what stands, bindings of proxies
//! that join, and the marker after each message round.

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

/// To an entry's weight: smaller changes are not sent.
const MIN_WEIGHT_CHANGE_RATIO: f64 = 0.06;
/// To an admission limit: smaller changes are not sent.
const MIN_LIMIT_CHANGE_RATIO: f64 = 0.04;
/// Of what a table's target gives ready nodes: with less it is taken whole.
const MIN_REMAINING_RATIO: f64 = 0.35;

/// How many entries of each table go out in this round, admission limits included.
pub(crate) type ChangedEntries = BTreeMap<TableId, usize>;

/// Entries as they stand at the proxies.
pub(crate) fn published_weights(fleet: &Fleet) -> TableWeights {
    let tables = fleet.tables.iter();
    tables
        .map(|(id, table)| (*id, table.entries().clone()))
        .collect()
}

/// Draining and gone nodes leave at once. A table whose ready entries are then meant to carry only a small part of
/// its traffic takes its whole target at once: the few entries left would be
/// overloaded, and warming nodes among them pushed over.
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

/// Sends the entries by which `draft` differs from what stands, a weight only when it moved enough. Where the queue
/// lacks headroom, entries that lose weight wait, lest a table run empty, but for what the rules demand.
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

/// Drops changes that the queue has no headroom for; takes the others off the headroom.
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

/// Sends the admission limits and retry policies that changed enough.
pub(crate) fn publish_admission(
    fleet: &mut Fleet,
    admission: &Admission,
    changed: &mut ChangedEntries,
    out: &mut Vec<Action>,
) {
    let tables = fleet.tables.iter();
    let all: Vec<(TableId, OperationId)> = tables
        .flat_map(|(id, table)| table.operations().iter().map(|operation| (*id, *operation)))
        .collect();
    for (id, operation) in all {
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

/// Proxies that are bound in this round, and the entries that they are sent.
pub(crate) struct Bindings {
    pub proxies: BTreeSet<ProxyId>,
    pub entries: f64,
}

/// Binds proxies that have joined, at once; only a queue near its limit makes some wait.
pub(crate) fn bind_joined_proxies(
    fleet: &mut Fleet,
    pacing: &Pacing,
    changed: &ChangedEntries,
    out: &mut Vec<Action>,
) -> Bindings {
    let limit = Pacing::join_limit(&fleet.config) - receivers(fleet, changed).1;
    let queued = pacing.queued_entries_for_joins(&fleet.config, fleet.now);
    let (mut sum, mut proxies) = (queued, BTreeSet::new());
    for id in fleet.members.unbound() {
        let Some(proxy) = fleet.members.proxies().get(id) else {
            continue;
        };
        let serves = |table: &&Table| table.serves(*id, proxy.zone());
        let own = || fleet.tables.values().filter(serves);
        // A table without entries is bound beside others: to hear of nodes that come, and hold none that went.
        let is_empty = own().all(|table| table.entries().is_empty());
        let count = own().map(Table::message_entries).sum();
        let entries = fleet.config.message_entries(count);
        if is_empty || sum + entries > limit {
            continue;
        }
        for (table_id, table) in fleet.tables.iter().filter(|(_, table)| serves(table)) {
            out.push(Action::BindTable {
                proxy: *id,
                table: *table_id,
                operations: table.operations().to_vec(),
            });
        }
        sum += entries;
        proxies.insert(*id);
    }
    fleet.members.on_bound(&proxies);
    Bindings {
        proxies,
        entries: sum - queued,
    }
}

/// Who gets a message by the entries changed in tables, and how many entries that makes, heads included.
fn receivers(fleet: &Fleet, changed: &ChangedEntries) -> (BTreeSet<ProxyId>, f64) {
    let (mut recipients, mut sum) = (BTreeSet::new(), 0.0);
    let proxies = fleet.members.proxies().iter();
    for (id, proxy) in proxies.filter(|(_, proxy)| proxy.is_bound()) {
        let tables = fleet.tables.iter();
        let own = tables.filter(|(_, table)| table.serves(*id, proxy.zone()));
        let count: usize = own.filter_map(|(id, _)| changed.get(id)).sum();
        if count > 0 {
            sum += fleet.config.message_entries(count);
            recipients.insert(*id);
        }
    }
    (recipients, sum)
}

/// Notes this round's messages and asks for their acknowledgement.
pub(crate) fn send_marker(
    fleet: &mut Fleet,
    pacing: &mut Pacing,
    changed: &ChangedEntries,
    bindings: &Bindings,
    is_step: bool,
    out: &mut Vec<Action>,
) {
    let (mut recipients, entries) = receivers(fleet, changed);
    recipients.extend(&bindings.proxies);
    fleet.members.on_message_sent(&recipients, fleet.now);
    if !recipients.is_empty() {
        let marker = pacing.on_sent(fleet.now, recipients, entries + bindings.entries, is_step);
        out.push(Action::SendMarker {
            marker,
            to_all: false,
        });
    }
}
