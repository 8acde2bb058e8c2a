//! What a controller finds when it starts: versions, which proxy is pointed at which, and unfinished files of a
//! predecessor that was killed, which are removed.

use crate::read::{read_tables, ReadError};
use crate::root::{parse_version_name, TableRoot, DRAFT_PREFIX};
use std::fs;
use std::io;
use std::path::Path;
use wheelspread_controller_core::controller_core::RecoveredState;
use wheelspread_controller_core::Deployment;
use wheelspread_xds::tables;

/// What a controller finds when it starts.
#[derive(Debug, Default)]
pub struct ScanResult {
    /// Versions, and the tables of each proxy.
    pub recovered: RecoveredState,
    /// Tables that could not be read; they stay where they are.
    pub unreadable: Vec<UnreadableTables>,
    /// Unfinished files that were removed.
    pub removed_draft_count: usize,
}

/// A proxy's tables that could not be read.
#[derive(Debug, thiserror::Error)]
#[error("tables of `{proxy}`: {error}")]
pub struct UnreadableTables {
    /// The proxy.
    pub proxy: String,
    /// Why not.
    pub error: ReadError,
}

/// Looks through a root that is prepared, and removes unfinished files.
pub fn scan(root: &TableRoot, deployment: &Deployment) -> io::Result<ScanResult> {
    let mut result = ScanResult::default();
    scan_versions(root, &mut result)?;
    for proxy in sorted_names(&root.proxies())? {
        scan_proxy(root, proxy, deployment, &mut result)?;
    }
    Ok(result)
}

fn scan_versions(root: &TableRoot, result: &mut ScanResult) -> io::Result<()> {
    for name in sorted_names(&root.versions())? {
        if name.starts_with(DRAFT_PREFIX) {
            fs::remove_dir_all(root.versions().join(name))?;
            result.removed_draft_count += 1;
        } else if let Some(version) = parse_version_name(&name) {
            result.recovered.versions.insert(version);
        }
    }
    Ok(())
}

fn scan_proxy(
    root: &TableRoot,
    proxy: String,
    deployment: &Deployment,
    result: &mut ScanResult,
) -> io::Result<()> {
    let directory = root.proxy(&proxy);
    // A file in the place of a directory has no names; reading the tables says so.
    let names = sorted_names(&directory).unwrap_or_default();
    for draft in names.iter().filter(|name| name.starts_with(DRAFT_PREFIX)) {
        fs::remove_file(directory.join(draft))?;
        result.removed_draft_count += 1;
    }
    match read_tables(&directory) {
        Ok(Some(loaded)) => {
            let tables = tables::recover(loaded.tables, deployment);
            result.recovered.tables.insert(proxy, tables);
        }
        Ok(None) => {}
        Err(error) => result.unreadable.push(UnreadableTables { proxy, error }),
    }
    Ok(())
}

fn sorted_names(directory: &Path) -> io::Result<Vec<String>> {
    let mut names = Vec::new();
    for entry in fs::read_dir(directory)? {
        names.extend(entry?.file_name().into_string());
    }
    names.sort();
    Ok(names)
}
