//! What a conductor finds when it starts: versions, who is pointed at which, and leftovers of a
//! predecessor that was killed, which are taken away.

use crate::{read_tables, version_of, Root, DRAFT};
use std::fs;
use std::io;
use std::path::Path;
use wheelspread_controller_core::controller_core::RecoveredState;
use wheelspread_controller_core::Deployment;
use wheelspread_xds::tables;

#[derive(Debug, Default)]
pub struct Scan {
    pub found: RecoveredState,
    /// What could not be read, named; it is left where it is.
    pub unreadable: Vec<String>,
    pub leftovers: usize,
}

fn names(directory: &Path) -> io::Result<Vec<String>> {
    let mut names = Vec::new();
    for entry in fs::read_dir(directory)? {
        names.extend(entry?.file_name().into_string());
    }
    names.sort();
    Ok(names)
}

pub fn scan(root: &Root, plan: &Deployment) -> io::Result<Scan> {
    let mut scan = Scan::default();
    for name in names(&root.versions())? {
        if name.starts_with(DRAFT) {
            fs::remove_dir_all(root.versions().join(name))?;
            scan.leftovers += 1;
        } else if let Some(version) = version_of(&name) {
            scan.found.versions.insert(version);
        }
    }
    for proxy in names(&root.gateways())? {
        let directory = root.gateway(&proxy);
        let drafts = names(&directory).unwrap_or_default();
        for draft in drafts.into_iter().filter(|name| name.starts_with(DRAFT)) {
            fs::remove_file(directory.join(draft))?;
            scan.leftovers += 1;
        }
        match read_tables(&directory) {
            Ok(Some(held)) => {
                scan.found
                    .tables
                    .insert(proxy, tables::recover(held.orders, plan));
            }
            Ok(None) => {}
            Err(error) => scan
                .unreadable
                .push(format!("tables of `{proxy}`: {error}")),
        }
    }
    Ok(scan)
}
