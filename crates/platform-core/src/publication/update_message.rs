//! Composition of `update` messages. docs/platform.md describes their fields.

use super::{AdmissionSetting, MessageKey, PendingChanges, Publication, WeightTable};
use crate::membership::Membership;
use std::collections::BTreeSet;
use std::fmt::Write;
use std::rc::Rc;
use wheelspread::ids::{MarkerId, NodeId, OperationId, TableId};

/// One part of an `update` message. The fields are in their order on the wire.
#[derive(Debug, Default)]
struct UpdatePart {
    /// The operations to which the part applies; `None` stands for all.
    operations: Option<String>,
    /// The weights replace the whole table.
    replace: bool,
    /// `NODE:WEIGHT,..`
    weights: Option<String>,
    admission: Option<AdmissionSetting>,
    eject: Option<String>,
    readmit: Option<String>,
    marker: Option<MarkerId>,
}

impl UpdatePart {
    /// Whether this part applies to the operations of the other part, or to all operations.
    fn has_operations_of(&self, other: &UpdatePart) -> bool {
        self.operations.is_none() || self.operations == other.operations
    }

    fn into_strings(self, has_next: bool) -> Vec<String> {
        let (limit, retry) = match self.admission {
            Some(setting) => (
                Some((setting.limit as f32).to_string()),
                Some(setting.retry_code().to_string()),
            ),
            None => (None, None),
        };
        let flag = |is_set: bool| is_set.then(|| "1".to_string());
        let fields = [
            ("for", self.operations),
            ("replace", flag(self.replace)),
            ("rows", self.weights),
            ("gate", limit),
            ("again", retry),
            ("drop", self.eject),
            ("undrop", self.readmit),
            ("stamp", self.marker.map(|marker| marker.0.to_string())),
            ("part", flag(has_next)),
        ];
        let mut strings = vec!["update".to_string()];
        for (name, value) in fields {
            if let Some(value) = value {
                strings.extend([name.to_string(), value]);
            }
        }
        strings
    }
}

fn encode(parts: Vec<UpdatePart>) -> Rc<[u8]> {
    let (mut bytes, count) = (Vec::new(), parts.len());
    for (index, part) in parts.into_iter().enumerate() {
        let strings = part.into_strings(index + 1 < count);
        wheelspread_resp::encode(&strings, &mut bytes);
    }
    bytes.into()
}

fn joined_names(nodes: &[NodeId], membership: &Membership) -> Option<String> {
    let names: Vec<&str> = nodes
        .iter()
        .filter_map(|node| membership.name(*node))
        .collect();
    (!names.is_empty()).then(|| names.join(","))
}

impl Publication {
    /// The message for proxies with this key; `None` if no change affects them.
    pub(super) fn compose(
        &self,
        changes: &PendingChanges,
        key: &MessageKey,
        membership: &Membership,
    ) -> Option<Rc<[u8]>> {
        let mut parts = Vec::new();
        for table in key.bindings.values().collect::<BTreeSet<_>>() {
            self.push_table_parts(changes, key, *table, membership, &mut parts);
        }
        self.push_unbound_admission(changes, key, &mut parts);
        let eject = joined_names(&key.eject, membership);
        let readmit = joined_names(&key.readmit, membership);
        let has_content = !parts.is_empty() || eject.is_some() || readmit.is_some();
        let marker = changes
            .marker
            .filter(|pending| pending.to_all || has_content)
            .map(|pending| pending.marker);
        if !has_content && marker.is_none() {
            return None;
        }
        let mut last = parts.pop().unwrap_or_default();
        (last.eject, last.readmit, last.marker) = (eject, readmit, marker);
        parts.push(last);
        Some(encode(parts))
    }

    /// Appends the parts of one table. A single admission setting for all its operations is sent in the same part
    /// as the weights.
    fn push_table_parts(
        &self,
        changes: &PendingChanges,
        key: &MessageKey,
        id: TableId,
        membership: &Membership,
        parts: &mut Vec<UpdatePart>,
    ) {
        let empty = WeightTable::default();
        let table = self.tables.get(&id).unwrap_or(&empty);
        let operations: Vec<OperationId> = key
            .bindings
            .iter()
            .filter(|(_, bound)| **bound == id)
            .map(|(operation, _)| *operation)
            .collect();
        let is_whole = key.newly_bound.contains(&id) || changes.cleared.contains(&id);
        let is_changed = |operation: &OperationId| {
            is_whole
                || changes.admission.contains(&(Some(id), *operation))
                || changes.admission.contains(&(None, *operation))
        };
        let setting = |operation: OperationId| {
            let table_setting = table.admission.get(&operation).copied();
            let global_setting = self.global_admission.get(&operation).copied();
            AdmissionSetting::combine(table_setting, global_setting)
        };
        let weights_index = parts.len();
        let weights = self.weight_part(changes, id, table, &operations, is_whole, membership);
        let has_weights = weights.is_some();
        parts.extend(weights);
        let changed = operations.iter().copied().filter(is_changed);
        self.push_admission_parts(changed, setting, parts);
        if let [weights, admission] = &mut parts[weights_index..] {
            if has_weights && admission.has_operations_of(weights) {
                weights.admission = admission.admission;
                parts.pop();
            }
        }
    }

    /// The part with the table's weights: all of them, or only the changed ones.
    fn weight_part(
        &self,
        changes: &PendingChanges,
        id: TableId,
        table: &WeightTable,
        operations: &[OperationId],
        is_whole: bool,
        membership: &Membership,
    ) -> Option<UpdatePart> {
        let weights = if is_whole {
            join_weights(
                table.weights.iter().map(|(node, weight)| (*node, *weight)),
                membership,
            )
        } else {
            let changed = changes.weights.get(&id)?;
            join_weights(
                changed
                    .iter()
                    .map(|node| (*node, table.weights.get(node).copied().unwrap_or(0.0))),
                membership,
            )
        };
        Some(UpdatePart {
            operations: self.operation_names(operations),
            replace: is_whole,
            weights,
            ..UpdatePart::default()
        })
    }

    /// Appends changes of the admission setting for all proxies, for operations that are bound to no table.
    fn push_unbound_admission(
        &self,
        changes: &PendingChanges,
        key: &MessageKey,
        parts: &mut Vec<UpdatePart>,
    ) {
        let unbound = changes
            .admission
            .iter()
            .filter(|(table, _)| table.is_none())
            .map(|(_, operation)| *operation)
            .filter(|operation| !key.bindings.contains_key(operation));
        let setting = |operation| self.global_admission.get(&operation).copied();
        self.push_admission_parts(unbound, setting, parts);
    }

    /// Appends one part for each distinct setting, with the operations that have it.
    fn push_admission_parts(
        &self,
        operations: impl Iterator<Item = OperationId>,
        setting: impl Fn(OperationId) -> Option<AdmissionSetting>,
        parts: &mut Vec<UpdatePart>,
    ) {
        let mut groups: Vec<(AdmissionSetting, Vec<OperationId>)> = Vec::new();
        for operation in operations {
            let Some(setting) = setting(operation) else {
                continue;
            };
            match groups.iter_mut().find(|(known, _)| *known == setting) {
                Some((_, members)) => members.push(operation),
                None => groups.push((setting, vec![operation])),
            }
        }
        parts.extend(groups.into_iter().map(|(setting, members)| UpdatePart {
            operations: self.operation_names(&members),
            admission: Some(setting),
            ..UpdatePart::default()
        }));
    }

    /// The operations' names in the wire format; `None` stands for all operations.
    fn operation_names(&self, operations: &[OperationId]) -> Option<String> {
        if operations.len() == self.operations.len() {
            return None;
        }
        let names: Vec<&str> = operations
            .iter()
            .filter_map(|operation| self.operations.get(usize::from(operation.0)))
            .map(String::as_str)
            .collect();
        Some(names.join("+"))
    }
}

/// The weights in the wire format, without nodes whose name is unknown; `None` if none remains.
fn join_weights(
    weights: impl Iterator<Item = (NodeId, f64)>,
    membership: &Membership,
) -> Option<String> {
    let mut text = String::new();
    for (node, weight) in weights {
        let Some(name) = membership.name(node) else {
            continue;
        };
        let comma = if text.is_empty() { "" } else { "," };
        // Writing to a `String` can't fail.
        let _ = write!(text, "{comma}{name}:{}", weight as f32);
    }
    (!text.is_empty()).then_some(text)
}
