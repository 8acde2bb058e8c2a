//! The module's tables, and what each stream was told of them. What is ordered at one moment becomes one
//! message for each proxy that it concerns: whole tables where it was bound, changes otherwise.

use crate::membership::Membership;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt::Write;
use std::rc::Rc;
use wheelspread::ids::{MarkerId, NodeId, OperationId, ProxyId, TableId};
use wheelspread::time::Moment;
use wheelspread::{Action, RetryPolicy};

#[derive(Clone, Copy, Debug, PartialEq)]
struct Level {
    quota: f64,
    retry: RetryPolicy,
}

impl Level {
    /// Levels for all and of a table: the lower one holds, and the table's own way of trying again.
    fn with(own: Option<Level>, all: Option<Level>) -> Option<Level> {
        match (own, all) {
            (Some(own), Some(all)) => Some(Level {
                quota: own.quota.min(all.quota),
                retry: own.retry,
            }),
            (own, all) => own.or(all),
        }
    }

    fn again(&self) -> u8 {
        match self.retry {
            RetryPolicy::Never => 0,
            RetryPolicy::IfUnprocessed => 1,
            RetryPolicy::OnceOnAnyFailure => 2,
            RetryPolicy::TwiceOnAnyFailure => 3,
        }
    }
}

#[derive(Clone, Debug, Default)]
struct Table {
    lines: BTreeMap<NodeId, f64>,
    levels: BTreeMap<OperationId, Level>,
}

/// What one stream was told.
#[derive(Clone, Debug, Default)]
struct Told {
    bound: BTreeMap<OperationId, TableId>,
    out: BTreeSet<NodeId>,
    /// Marks that it has not answered, in the order they were sent.
    marks: VecDeque<(MarkerId, Moment)>,
}

/// What was ordered since the last messages.
#[derive(Clone, Debug, Default)]
struct News {
    lines: BTreeMap<TableId, BTreeSet<NodeId>>,
    levels: BTreeSet<(Option<TableId>, OperationId)>,
    cleared: BTreeSet<TableId>,
    bound: BTreeMap<ProxyId, BTreeSet<TableId>>,
    mark: Option<(MarkerId, bool)>,
    /// Whether anything was ordered at all: if not, no stream is looked at.
    any: bool,
}

#[derive(Clone, Debug, Default)]
pub struct TableStore {
    operations: Vec<String>,
    tables: BTreeMap<TableId, Table>,
    everywhere: BTreeMap<OperationId, Level>,
    withdrawn: BTreeSet<NodeId>,
    /// Withdrawn once and let back: proxies keep withdrawals over a change of streams.
    let_back: BTreeSet<NodeId>,
    streams: BTreeMap<ProxyId, Told>,
    news: News,
}

/// Proxies that get the same message share it.
type Key = (
    BTreeMap<OperationId, TableId>,
    BTreeSet<TableId>,
    Vec<NodeId>,
    Vec<NodeId>,
);

/// Tells apart what an order names from what there is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kept {
    Kept,
    NotMine,
}

impl TableStore {
    pub fn new(operations: &[String]) -> TableStore {
        TableStore {
            operations: operations.to_vec(),
            ..TableStore::default()
        }
    }

    pub fn join(&mut self, proxy: ProxyId) {
        self.streams.insert(proxy, Told::default());
    }

    pub fn leave(&mut self, proxy: ProxyId) {
        self.streams.remove(&proxy);
        self.news.bound.remove(&proxy);
    }

    /// All marks that an answer covers, the named one last; none where it was never sent.
    pub fn acked(&mut self, proxy: ProxyId, mark: MarkerId) -> Vec<MarkerId> {
        let Some(told) = self.streams.get_mut(&proxy) else {
            return Vec::new();
        };
        let Some(place) = told.marks.iter().position(|sent| sent.0 == mark) else {
            return Vec::new();
        };
        told.marks.drain(..=place).map(|sent| sent.0).collect()
    }

    /// When the oldest mark went out that a proxy has not answered.
    pub fn unacked(&self, proxy: ProxyId) -> Option<Moment> {
        self.streams.get(&proxy)?.marks.front().map(|sent| sent.1)
    }

    pub fn names(&self, node: NodeId) -> bool {
        // Who was told to shut it out can only be told by its name to let it back.
        self.withdrawn.contains(&node)
            || self
                .tables
                .values()
                .any(|table| table.lines.contains_key(&node))
            || self.streams.values().any(|told| told.out.contains(&node))
    }

    /// The operations that an order names; none named is all of them.
    fn named(&self, operations: &[OperationId]) -> Vec<OperationId> {
        match operations {
            [] => (0..self.operations.len())
                .map(|at| OperationId(at as u8))
                .collect(),
            named => named.to_vec(),
        }
    }

    /// Takes an order down; what is no order to proxies is not kept here.
    pub fn order(&mut self, action: &Action) -> Kept {
        match action {
            Action::SetWeight {
                table,
                node,
                weight,
            } => {
                let lines = &mut self.tables.entry(*table).or_default().lines;
                // As exact as it is said; what then says nothing is no line.
                match f64::from(*weight as f32) {
                    weight if weight > 0.0 => drop(lines.insert(*node, weight)),
                    _ => drop(lines.remove(node)),
                }
                self.news.lines.entry(*table).or_default().insert(*node);
            }
            Action::ClearTable { table } => {
                self.tables.remove(table);
                self.news.cleared.insert(*table);
            }
            Action::BindTable {
                proxy,
                table,
                operations,
            } => {
                let named = self.named(operations);
                if let Some(told) = self.streams.get_mut(proxy) {
                    told.bound
                        .extend(named.into_iter().map(|operation| (operation, *table)));
                    self.news.bound.entry(*proxy).or_default().insert(*table);
                }
            }
            Action::SetAdmission {
                table,
                operations,
                limit: quota,
                retry,
            } => {
                let level = Level {
                    quota: *quota,
                    retry: *retry,
                };
                let named = self.named(operations);
                let levels = match table {
                    Some(table) => &mut self.tables.entry(*table).or_default().levels,
                    None => &mut self.everywhere,
                };
                levels.extend(named.iter().map(|operation| (*operation, level)));
                self.news
                    .levels
                    .extend(named.iter().map(|operation| (*table, *operation)));
            }
            Action::EjectNode { node, ejected: out } => {
                let (into, from) = match out {
                    true => (&mut self.withdrawn, &mut self.let_back),
                    false => (&mut self.let_back, &mut self.withdrawn),
                };
                from.remove(node);
                into.insert(*node);
            }
            Action::SendMarker {
                marker: mark,
                to_all: everyone,
            } => self.news.mark = Some((*mark, *everyone)),
            _ => return Kept::NotMine,
        }
        self.news.any = true;
        Kept::Kept
    }

    /// The messages that what was ordered makes, as bytes to write.
    pub fn messages(&mut self, now: Moment, membership: &Membership) -> Vec<(ProxyId, Rc<[u8]>)> {
        let news = std::mem::take(&mut self.news);
        if !news.any {
            return Vec::new();
        }
        let mut made: BTreeMap<Key, Option<Rc<[u8]>>> = BTreeMap::new();
        let mut messages = Vec::new();
        for proxy in self.streams.keys().copied().collect::<Vec<_>>() {
            let fresh = news.bound.get(&proxy).cloned().unwrap_or_default();
            let (drop, undrop) = self.withdrawals(proxy, !fresh.is_empty());
            let Some(told) = self.streams.get_mut(&proxy) else {
                continue;
            };
            told.out.extend(&drop);
            undrop.iter().for_each(|node| _ = told.out.remove(node));
            let key = (told.bound.clone(), fresh, drop, undrop);
            let message = match made.get(&key) {
                Some(message) => message.clone(),
                None => {
                    let message = self.message(&news, &key, membership);
                    made.insert(key, message.clone());
                    message
                }
            };
            let Some(message) = message else { continue };
            if let (Some((mark, _)), Some(told)) = (news.mark, self.streams.get_mut(&proxy)) {
                told.marks.push_back((mark, now));
            }
            messages.push((proxy, message));
        }
        messages
    }

    /// Nodes that a proxy is to shut out, and to let back, beside what it was told.
    fn withdrawals(&self, proxy: ProxyId, fresh: bool) -> (Vec<NodeId>, Vec<NodeId>) {
        let Some(told) = self
            .streams
            .get(&proxy)
            .filter(|told| !told.bound.is_empty())
        else {
            return Default::default();
        };
        let tables = |node: &NodeId| {
            let mut own = told
                .bound
                .values()
                .filter_map(|table| self.tables.get(table));
            own.any(|table| table.lines.contains_key(node))
        };
        let out = |node: &&NodeId| !told.out.contains(node) && tables(node);
        let back = |node: &&NodeId| told.out.contains(node) || fresh;
        (
            self.withdrawn.iter().filter(out).copied().collect(),
            self.let_back.iter().filter(back).copied().collect(),
        )
    }

    fn message(&self, news: &News, key: &Key, membership: &Membership) -> Option<Rc<[u8]>> {
        let (bound, fresh, drop, undrop) = key;
        let mut parts: Vec<Vec<(&str, String)>> = Vec::new();
        for table in bound.values().collect::<BTreeSet<_>>() {
            let own: Vec<OperationId> = bound
                .iter()
                .filter(|(_, bound)| *bound == table)
                .map(|(operation, _)| *operation)
                .collect();
            let whole = fresh.contains(table) || news.cleared.contains(table);
            self.table_parts(news, *table, &own, whole, membership, &mut parts);
        }
        // Levels for all reach operations without a table of ours too.
        let plain = |operation: &OperationId| !bound.contains_key(operation);
        let asked = news
            .levels
            .iter()
            .filter(|(table, _)| table.is_none())
            .map(|(_, operation)| *operation);
        self.level_parts(
            asked.filter(plain),
            &|operation| self.everywhere.get(&operation).copied(),
            &mut parts,
        );
        let mut last = Vec::new();
        for (word, nodes) in [("drop", drop), ("undrop", undrop)] {
            let names: Vec<&str> = nodes
                .iter()
                .filter_map(|node| membership.name(*node))
                .collect();
            if !names.is_empty() {
                last.push((word, names.join(",")));
            }
        }
        match news.mark {
            Some((mark, everyone)) if everyone || !parts.is_empty() || !last.is_empty() => {
                last.push(("stamp", mark.0.to_string()));
            }
            _ => {}
        }
        match parts.last_mut() {
            Some(part) => part.extend(last),
            None if last.is_empty() => return None,
            None => parts.push(last),
        }
        let (mut bytes, count) = (Vec::new(), parts.len());
        for (at, part) in parts.into_iter().enumerate() {
            let mut strings = vec!["update".to_string()];
            strings.extend(
                part.into_iter()
                    .flat_map(|(name, value)| [name.to_string(), value]),
            );
            if at + 1 < count {
                strings.extend(["part".to_string(), "1".to_string()]);
            }
            wheelspread_resp::write(&strings, &mut bytes);
        }
        Some(bytes.into())
    }

    fn table_parts(
        &self,
        news: &News,
        id: TableId,
        own: &[OperationId],
        whole: bool,
        membership: &Membership,
        parts: &mut Vec<Vec<(&'static str, String)>>,
    ) {
        let empty = Table::default();
        let table = self.tables.get(&id).unwrap_or(&empty);
        let changed = news.lines.get(&id).into_iter().flatten();
        let lines: Vec<(NodeId, f64)> = match whole {
            true => table
                .lines
                .iter()
                .map(|(node, weight)| (*node, *weight))
                .collect(),
            false => changed
                .map(|node| (*node, table.lines.get(node).copied().unwrap_or(0.0)))
                .collect(),
        };
        let level = |operation: OperationId| {
            let own = table.levels.get(&operation).copied();
            Level::with(own, self.everywhere.get(&operation).copied())
        };
        let told = |operation: &OperationId| {
            whole
                || [Some(id), None]
                    .iter()
                    .any(|table| news.levels.contains(&(*table, *operation)))
        };
        let first = parts.len();
        if whole || !lines.is_empty() {
            let mut part = self.meant(own);
            if whole {
                part.push(("replace", "1".to_string()));
            }
            let mut rows = String::new();
            for (node, weight) in lines {
                let Some(name) = membership.name(node) else {
                    continue;
                };
                let comma = if rows.is_empty() { "" } else { "," };
                let _ = write!(rows, "{comma}{name}:{}", weight as f32);
            }
            if !rows.is_empty() {
                part.push(("rows", rows));
            }
            parts.push(part);
        }
        self.level_parts(own.iter().copied().filter(told), &level, parts);
        // One level for all that the lines are meant for goes with the lines.
        if parts.len() == first + 2
            && parts[first + 1]
                .iter()
                .all(|field| field.0 != "for" || parts[first].contains(field))
        {
            let levels = parts.pop().unwrap_or_default();
            parts[first].extend(levels.into_iter().filter(|field| field.0 != "for"));
        }
    }

    /// One part for each level, with the operations that get it.
    fn level_parts(
        &self,
        operations: impl Iterator<Item = OperationId>,
        level: &dyn Fn(OperationId) -> Option<Level>,
        parts: &mut Vec<Vec<(&'static str, String)>>,
    ) {
        let mut groups: Vec<(Level, Vec<OperationId>)> = Vec::new();
        for operation in operations {
            let Some(level) = level(operation) else {
                continue;
            };
            match groups.iter_mut().find(|group| group.0 == level) {
                Some(group) => group.1.push(operation),
                None => groups.push((level, vec![operation])),
            }
        }
        for (level, operations) in groups {
            let mut part = self.meant(&operations);
            part.push(("gate", (level.quota as f32).to_string()));
            part.push(("again", level.again().to_string()));
            parts.push(part);
        }
    }

    /// The operations that a part is meant for; all, where it does not say.
    fn meant(&self, operations: &[OperationId]) -> Vec<(&'static str, String)> {
        if operations.len() == self.operations.len() {
            return Vec::new();
        }
        let names = operations
            .iter()
            .filter_map(|operation| self.operations.get(usize::from(operation.0)));
        vec![(
            "for",
            names.map(String::as_str).collect::<Vec<_>>().join("+"),
        )]
    }
}
