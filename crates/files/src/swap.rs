//! Writes a version and points a proxy at it, in steps. If the controller is killed between any two steps, readers still
//! find complete tables.

use crate::io_text::describe;
use crate::replace::write;
use crate::root::{version_name, TableRoot, CURRENT, DRAFT_PREFIX, EDS, RDS};
use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use wheelspread_controller_core::publication::Version;
use wheelspread_faults::failpoint;
use wheelspread_xds::tables::Documents;

/// The steps of a swap. The variant names are part of failpoint names (`files.MakeDraft`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SwapStep {
    /// Creates an empty directory under a draft name.
    MakeDraft,
    /// Writes the endpoint document into the draft directory.
    WriteEndpoints,
    /// Writes the route document into the draft directory.
    WriteRoutes,
    /// Syncs both documents and the draft directory to the disk.
    SyncDraft,
    /// Renames the draft directory to the version's name.
    NameVersion,
    /// Syncs the directory of versions, so that the rename is on the disk.
    SyncVersions,
    /// Creates a symbolic link to the version under a draft name.
    MakeLink,
    /// Renames the new link over the current one.
    SwapLink,
}

/// All steps in order. A swap is safe because data is synced before it is named, and the name before it is linked.
pub const STEPS: &[SwapStep] = &[
    SwapStep::MakeDraft,
    SwapStep::WriteEndpoints,
    SwapStep::WriteRoutes,
    SwapStep::SyncDraft,
    SwapStep::NameVersion,
    SwapStep::SyncVersions,
    SwapStep::MakeLink,
    SwapStep::SwapLink,
];

/// The error of a failed step.
#[derive(Debug, thiserror::Error)]
#[error("{step:?} at {path}: {reason}", path = .path.display(), reason = describe(.source))]
pub struct SwapError {
    /// The failed step.
    pub step: SwapStep,
    /// The path on which the step operated.
    pub path: PathBuf,
    /// The error of the operating system.
    pub source: io::Error,
}

/// Syncs files to the disk, or waits for that up to a time limit of the implementation.
pub(crate) type SyncFiles<'a> = dyn FnMut(Vec<File>) -> io::Result<()> + 'a;

/// Writes one version and points one proxy at it.
pub struct Swap<'a> {
    root: &'a TableRoot,
    version: Version,
    documents: &'a Documents,
    proxy: &'a str,
}

impl<'a> Swap<'a> {
    /// Creates a swap; no step is carried out.
    pub fn new(
        root: &'a TableRoot,
        version: Version,
        documents: &'a Documents,
        proxy: &'a str,
    ) -> Swap<'a> {
        Swap {
            root,
            version,
            documents,
            proxy,
        }
    }

    /// Carries out the required steps: all of them, or only the link steps if the version exists already.
    pub fn run(&self) -> Result<(), SwapError> {
        self.run_with_sync(&mut sync_all)
    }

    /// As [`Swap::run`], with files synced by `sync`.
    pub(crate) fn run_with_sync(&self, sync: &mut SyncFiles) -> Result<(), SwapError> {
        let version_exists = self.root.version(self.version).is_dir();
        let is_required = |step: &&SwapStep| {
            !version_exists || matches!(step, SwapStep::MakeLink | SwapStep::SwapLink)
        };
        for step in STEPS.iter().filter(is_required) {
            self.check_failpoint(&format!("files.{step:?}"), *step)?;
            self.step_with_sync(*step, sync)?;
        }
        self.check_failpoint("files.pointed", SwapStep::SwapLink)
    }

    /// Carries out one step, without its failpoint.
    pub fn step(&self, step: SwapStep) -> Result<(), SwapError> {
        self.step_with_sync(step, &mut sync_all)
    }

    fn step_with_sync(&self, step: SwapStep, sync: &mut SyncFiles) -> Result<(), SwapError> {
        let draft = self.draft();
        let (eds, rds) = (draft.join(EDS), draft.join(RDS));
        let versions = self.root.versions();
        let proxy_directory = self.root.proxy(self.proxy);
        let current = proxy_directory.join(CURRENT);
        let next_link = proxy_directory.join(format!("{DRAFT_PREFIX}{CURRENT}"));
        let (result, path) = match step {
            SwapStep::MakeDraft => (make_draft(&draft), draft),
            SwapStep::WriteEndpoints => (write(&eds, &self.documents.eds), eds),
            SwapStep::WriteRoutes => (write(&rds, &self.documents.rds), rds),
            SwapStep::SyncDraft => (sync_paths(&[&eds, &rds, &draft], sync), eds),
            SwapStep::NameVersion => {
                let named = self.root.version(self.version);
                (fs::rename(&draft, &named), named)
            }
            SwapStep::SyncVersions => (sync_paths(&[&versions], sync), versions),
            SwapStep::MakeLink => (
                make_link(&proxy_directory, &next_link, self.version),
                next_link,
            ),
            SwapStep::SwapLink => (fs::rename(&next_link, &current), current),
        };
        result.map_err(|source| SwapError { step, path, source })
    }

    fn check_failpoint(&self, name: &str, step: SwapStep) -> Result<(), SwapError> {
        failpoint(name).map_err(|source| SwapError {
            step,
            path: self.draft(),
            source,
        })
    }

    fn draft(&self) -> PathBuf {
        let name = version_name(self.version);
        self.root.versions().join(format!("{DRAFT_PREFIX}{name}"))
    }
}

fn sync_all(files: Vec<File>) -> io::Result<()> {
    files.iter().try_for_each(File::sync_all)
}

fn sync_paths(paths: &[&Path], sync: &mut SyncFiles) -> io::Result<()> {
    let files: io::Result<Vec<File>> = paths.iter().map(File::open).collect();
    sync(files?)
}

fn make_draft(draft: &Path) -> io::Result<()> {
    // A failed earlier attempt may have left a draft.
    ignore_missing(fs::remove_dir_all(draft))?;
    fs::create_dir(draft)
}

fn make_link(proxy_directory: &Path, link: &Path, version: Version) -> io::Result<()> {
    ignore_missing(fs::remove_file(link))?;
    fs::create_dir_all(proxy_directory)?;
    let target = Path::new("../../versions").join(version_name(version));
    std::os::unix::fs::symlink(target, link)
}

fn ignore_missing(result: io::Result<()>) -> io::Result<()> {
    match result {
        Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
        _ => Ok(()),
    }
}
