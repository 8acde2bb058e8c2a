//! Writes a version and points a proxy at it, one step at a time: a controller may be killed between any two of them
//! and no reader notices.

use crate::io_text::describe;
use crate::replace::write;
use crate::root::{version_name, TableRoot, CURRENT, DRAFT_PREFIX, EDS, RDS};
use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use wheelspread_controller_core::publication::Version;
use wheelspread_faults::failpoint;
use wheelspread_xds::tables::Documents;

/// The steps of a swap. Their names are those of failpoints (`files.MakeDraft`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SwapStep {
    /// Creates an empty directory under a draft name.
    MakeDraft,
    /// Writes the endpoints into it.
    WriteEndpoints,
    /// Writes the routes into it.
    WriteRoutes,
    /// Waits until both documents and their directory are on the disk.
    SyncDraft,
    /// Gives the directory the version's name.
    NameVersion,
    /// Waits until the name is on the disk.
    SyncVersions,
    /// Creates a link to the version under a draft name.
    MakeLink,
    /// Renames the link over the one in use.
    SwapLink,
}

/// All steps in order. The order is what makes a swap safe: data before names, names before links.
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

/// A step that failed.
#[derive(Debug, thiserror::Error)]
#[error("{step:?} at {path}: {reason}", path = .path.display(), reason = describe(.source))]
pub struct SwapError {
    /// The step.
    pub step: SwapStep,
    /// The file that it was at.
    pub path: PathBuf,
    /// What the system says.
    pub source: io::Error,
}

/// Waits until files are on the disk, or as long as the caller wants to.
pub(crate) type SyncFiles<'a> = dyn FnMut(Vec<File>) -> io::Result<()> + 'a;

/// Writes one version and points one proxy at it.
pub struct Swap<'a> {
    root: &'a TableRoot,
    version: Version,
    documents: &'a Documents,
    proxy: &'a str,
}

impl<'a> Swap<'a> {
    /// A swap that has not begun.
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

    /// Carries out all steps that are still to be done: a version that is there already is only pointed at.
    pub fn run(&self) -> Result<(), SwapError> {
        self.run_with_sync(&mut sync_all)
    }

    /// The same, with `sync` to decide when enough is on the disk.
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

    /// Carries out one step.
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
    // An earlier attempt that failed may have left one.
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
