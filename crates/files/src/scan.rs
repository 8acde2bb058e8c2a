//! The scan at the start of a controller: finds the versions and the version at which each proxy is pointed, and removes
//! drafts of an earlier process that was killed.

use crate::read::{read_tables, ReadError};
use crate::root::{parse_version_name, TableRoot, DRAFT_PREFIX};
use std::fs;
use std::io;
use std::path::Path;
use wheelspread_controller_core::controller_core::RecoveredState;
use wheelspread_controller_core::Deployment;
use wheelspread_xds::tables;

/// The result of a scan.
#[derive(Debug, Default)]
pub struct ScanResult {
    /// The versions, and the tables of each proxy.
    pub recovered: RecoveredState,
    /// The tables that could not be read; their files are kept.
    pub unreadable: Vec<UnreadableTables>,
    /// The count of drafts that were removed.
    pub removed_draft_count: usize,
}

/// A proxy's tables that could not be read.
#[derive(Debug, thiserror::Error)]
#[error("tables of proxy `{proxy}` could not be read: {error}")]
pub struct UnreadableTables {
    /// The proxy.
    pub proxy: String,
    /// The error of reading the tables.
    pub error: ReadError,
}

/// Scans a root and removes drafts. [`TableRoot::prepare`] has to be called before.
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
    // If the path is not a directory, the error is reported by reading the tables.
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
