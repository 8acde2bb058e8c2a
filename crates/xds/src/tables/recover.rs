//! Recovers a table set from the documents that a controller finds when it restarts.

use super::{ProxyTable, ProxyTables, MILLION};
use wheelspread::ids::{OperationId, TableId};
use wheelspread_controller_core::deployment::{AdmissionForm, Deployment};
use wheelspread_controller_core::publication::{BundleId, OperationTable, TableSet};

/// Converts tables to a table set that can be written again. Operations that are missing from the deployment are left
/// out.
pub fn recover(tables: ProxyTables, deployment: &Deployment) -> TableSet {
    let operations = tables.operations.into_iter();
    TableSet {
        // A running controller assigns this id to none of its table sets.
        bundle: BundleId(u32::MAX),
        version: tables.version,
        configuration: 0,
        operations: operations
            .filter_map(|table| recover_table(table, deployment))
            .collect(),
    }
}

fn recover_table(table: ProxyTable, deployment: &Deployment) -> Option<OperationTable> {
    let index = deployment
        .operations
        .iter()
        .position(|operation| operation.name == table.operation)?;
    let admission_ratio = 1.0 - f64::from(table.dropped_of_million) / MILLION;
    let admission_limit = match deployment.admission {
        AdmissionForm::Share => Some(admission_ratio).filter(|ratio| *ratio < 1.0),
        AdmissionForm::Rate => table.rate_limit,
        AdmissionForm::None => None,
    };
    Some(OperationTable {
        operation: OperationId(index as u8),
        // Counted down from the maximum, so that the ids differ from those that a running controller assigns.
        table: TableId(u16::MAX - index as u16),
        entries: table.entries,
        admission_limit,
        retry: table.retry,
    })
}
