//! Writing, one step at a time: a conductor may be killed between any two of them and no reader notices.

use crate::{name, Root, CURRENT, DRAFT, EDS, RDS};
use rustix::io::Errno;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use wheelspread_controller_core::publication::Version;
use wheelspread_faults::failpoint;
use wheelspread_xds::tables::Documents;

/// What is done, in this order. The order is what makes it safe: data before names, names before links.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    MakeDraft,
    WriteEndpoints,
    WriteRoutes,
    SyncDraft,
    NameVersion,
    SyncVersions,
    MakeLink,
    SwapLink,
}

pub const STEPS: &[Step] = &[
    Step::MakeDraft,
    Step::WriteEndpoints,
    Step::WriteRoutes,
    Step::SyncDraft,
    Step::NameVersion,
    Step::SyncVersions,
    Step::MakeLink,
    Step::SwapLink,
];

/// A step that failed, with what it was at.
#[derive(Debug, thiserror::Error)]
#[error("{step:?} at {path}: {text}", path = .path.display())]
pub struct Failed {
    pub step: Step,
    pub path: PathBuf,
    pub text: String,
}

/// Writes one version and points one proxy at it.
pub struct Swap<'a> {
    root: &'a Root,
    version: Version,
    documents: &'a Documents,
    proxy: &'a str,
}

impl<'a> Swap<'a> {
    pub fn new(
        root: &'a Root,
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

    fn draft(&self) -> PathBuf {
        self.root
            .versions()
            .join(format!("{DRAFT}{}", name(self.version)))
    }

    pub fn step(&self, step: Step) -> Result<(), Failed> {
        let draft = self.draft();
        let gateway = self.root.gateway(self.proxy);
        let link = gateway.join(format!("{DRAFT}{CURRENT}"));
        let (path, result) = match step {
            Step::MakeDraft => (draft.clone(), make_draft(&draft)),
            Step::WriteEndpoints => (
                draft.join(EDS),
                write(&draft.join(EDS), &self.documents.eds),
            ),
            Step::WriteRoutes => (
                draft.join(RDS),
                write(&draft.join(RDS), &self.documents.rds),
            ),
            Step::SyncDraft => (
                draft.clone(),
                sync(&draft.join(EDS))
                    .and(sync(&draft.join(RDS)))
                    .and(sync(&draft)),
            ),
            Step::NameVersion => {
                let named = self.root.version(self.version);
                (named.clone(), fs::rename(&draft, &named))
            }
            Step::SyncVersions => (self.root.versions(), sync(&self.root.versions())),
            Step::MakeLink => (link.clone(), make_link(&gateway, &link, self.version)),
            Step::SwapLink => (
                gateway.join(CURRENT),
                fs::rename(&link, gateway.join(CURRENT)),
            ),
        };
        result.map_err(|error| Failed {
            step,
            path,
            text: plain(&error),
        })
    }

    /// All that is still to be done: a version that lies there already is only pointed at.
    pub fn run(&self) -> Result<(), Failed> {
        self.run_with(&mut |files| files.iter().try_for_each(File::sync_all))
    }

    /// The same, with `sync` to say when enough is on the disk.
    pub fn run_with(
        &self,
        sync: &mut dyn FnMut(Vec<File>) -> io::Result<()>,
    ) -> Result<(), Failed> {
        let written = self.root.version(self.version).is_dir();
        let skip = |step: &&Step| !written || matches!(step, Step::MakeLink | Step::SwapLink);
        for step in STEPS.iter().filter(skip) {
            let faulty = |error: io::Error| Failed {
                step: *step,
                path: self.draft(),
                text: plain(&error),
            };
            failpoint(&format!("files.{step:?}")).map_err(faulty)?;
            let paths = match step {
                Step::SyncDraft => {
                    vec![self.draft().join(EDS), self.draft().join(RDS), self.draft()]
                }
                Step::SyncVersions => vec![self.root.versions()],
                step => {
                    self.step(*step)?;
                    continue;
                }
            };
            let files: io::Result<Vec<File>> = paths.iter().map(File::open).collect();
            let path = paths[0].clone();
            files.and_then(&mut *sync).map_err(|error| Failed {
                step: *step,
                path,
                text: plain(&error),
            })?;
        }
        let pointed = |error: io::Error| Failed {
            step: Step::SwapLink,
            path: self.draft(),
            text: plain(&error),
        };
        failpoint("files.pointed").map_err(pointed)
    }
}

fn make_draft(draft: &Path) -> io::Result<()> {
    // Of an attempt that came to nothing.
    match fs::remove_dir_all(draft) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
        _ => {}
    }
    fs::create_dir(draft)
}

fn write(path: &Path, text: &str) -> io::Result<()> {
    File::create(path)?.write_all(text.as_bytes())
}

fn sync(path: &Path) -> io::Result<()> {
    File::open(path)?.sync_all()
}

fn make_link(gateway: &Path, link: &Path, version: Version) -> io::Result<()> {
    match fs::remove_file(link) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
        _ => {}
    }
    fs::create_dir_all(gateway)?;
    std::os::unix::fs::symlink(Path::new("../../versions").join(name(version)), link)
}

/// Swaps a single file in, as an operator does with a list.
pub fn replace(path: &Path, text: &str) -> io::Result<()> {
    let draft = draft_of(path)?;
    write(&draft, text)?;
    sync(&draft)?;
    fs::rename(&draft, path)
}

/// The same for what need not outlive the machine, as a proxy's status: it does not wait for the disk.
pub fn place(path: &Path, text: &str) -> io::Result<()> {
    let draft = draft_of(path)?;
    fs::write(&draft, text)?;
    fs::rename(&draft, path)
}

fn draft_of(path: &Path) -> io::Result<PathBuf> {
    match (path.parent(), path.file_name()) {
        (Some(directory), Some(file)) => {
            Ok(directory.join(format!("{DRAFT}{}", file.to_string_lossy())))
        }
        _ => Err(io::Error::new(
            io::ErrorKind::InvalidInput,
            "a file in a directory is expected",
        )),
    }
}

/// What an operator can act on.
fn plain(error: &io::Error) -> String {
    match error.raw_os_error().map(Errno::from_raw_os_error) {
        Some(Errno::NOSPC) => "the disk is full".to_string(),
        Some(Errno::DQUOT) => "the quota on this disk is used up".to_string(),
        Some(Errno::ROFS) => "the file system is read-only".to_string(),
        Some(Errno::ACCESS | Errno::PERM) => "this user may not write there".to_string(),
        Some(Errno::NOENT) => "the directory is not there".to_string(),
        _ => error.to_string(),
    }
}
