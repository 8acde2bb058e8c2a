//! Execution of the writer's jobs.

use super::sync_thread::SyncThread;
use super::{PublishError, WriteJob, WriteResult};
use crate::root::TableRoot;
use crate::swap::Swap;
use std::collections::BTreeMap;
use std::io;
use wheelspread_controller_core::publication::{TableSet, Version};
use wheelspread_controller_core::Deployment;
use wheelspread_xds::tables::{self, Documents};

/// The maximum count of versions whose documents are cached, so that a version for many proxies is encoded once. At the
/// limit the oldest version is evicted.
const CACHED_DOCUMENTS_LIMIT: usize = 64;

/// Executes the writer's jobs.
pub(super) struct Publisher {
    pub(super) root: TableRoot,
    deployment: Deployment,
    documents: BTreeMap<Version, Documents>,
    pub(super) sync: SyncThread,
}

impl Publisher {
    pub(super) fn new(root: TableRoot, deployment: Deployment, sync: SyncThread) -> Publisher {
        Publisher {
            root,
            deployment,
            documents: BTreeMap::new(),
            sync,
        }
    }

    pub(super) fn execute(&mut self, job: WriteJob) -> Vec<WriteResult> {
        match job {
            WriteJob::Publish { proxy, set } => self.publish_and_report(proxy, &set),
            WriteJob::Remove { version } => self.remove(version).into_iter().collect(),
            WriteJob::Reconfigure(deployment) => {
                self.deployment = *deployment;
                Vec::new()
            }
        }
    }

    fn publish_and_report(&mut self, proxy: String, set: &TableSet) -> Vec<WriteResult> {
        let version = set.version;
        let result = self.publish(&proxy, set);
        let mut results = Vec::new();
        if self.sync.take_unsynced() {
            results.push(WriteResult::PublishedUnsynced { version });
        }
        results.push(WriteResult::Published {
            proxy,
            version,
            result,
        });
        results
    }

    pub(super) fn publish(&mut self, proxy: &str, set: &TableSet) -> Result<(), PublishError> {
        if !self.documents.contains_key(&set.version) {
            let documents = tables::write(set, &self.deployment)?;
            if self.documents.len() >= CACHED_DOCUMENTS_LIMIT {
                self.documents.pop_first();
            }
            self.documents.insert(set.version, documents);
        }
        let documents = &self.documents[&set.version];
        let swap = Swap::new(&self.root, set.version, documents, proxy);
        swap.run_with_sync(&mut |files| self.sync.sync(files))?;
        Ok(())
    }

    fn remove(&mut self, version: Version) -> Option<WriteResult> {
        let result = std::fs::remove_dir_all(self.root.version(version));
        self.documents.remove(&version);
        match result {
            Err(error) if error.kind() != io::ErrorKind::NotFound => {
                Some(WriteResult::RemovalFailed { version, error })
            }
            _ => None,
        }
    }
}
