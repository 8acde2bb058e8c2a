//! What a conductor keeps over crashes: the configuration in force, every change with its state, and facts by
//! name, as a log of commits. A commit is one frame, so what belongs together is there or not. What is torn or
//! flipped is found by its checksum, named, and everything before it is saved; a conductor never starts from
//! nothing without saying so.
//!
//! An embedded store was tried first (redb 2.6): it panics on a file that was cut short, and can't save a part.

use serde::Serialize;
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
pub use wheelspread_config_transaction::{Commit, PersistedState};
use wheelspread_faults::reached;
use xxhash_rust::xxh3::xxh3_64;

/// The first line of a file; the number is that of the form.
const HEAD: &str = "wheelspread-state ";
pub const FORMAT: u32 = 1;
/// Length (4 bytes, little-endian) and XXH3-64 (8 bytes) of what follows.
const FRAME: usize = 12;
/// A commit is no longer than this.
const LONGEST: usize = 64 << 20;

#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    #[error("{path}: {source}", path = .path.display())]
    Disk { path: PathBuf, source: io::Error },
    #[error("{path} is of format {found}, this program reads none above {FORMAT}", path = .path.display())]
    Newer { path: PathBuf, found: u32 },
    #[error("{path} is in use by another program", path = .path.display())]
    InUse { path: PathBuf },
}

/// How the file was found.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OpenOutcome {
    /// It was not there.
    Fresh,
    Sound,
    /// The last commit was not written to its end: it never counted, and was cut off.
    TornTail {
        bytes: u64,
    },
    /// It can't be believed from there on; the whole was kept aside, what comes before is gone on with.
    Damaged {
        aside: PathBuf,
        at: u64,
        bytes: u64,
    },
}

#[derive(Debug)]
pub struct Store {
    path: PathBuf,
    file: File,
    kept: PersistedState,
    /// Up to where it is sound.
    length: u64,
    /// How long it was when it was last one commit.
    compacted: u64,
}

/// What was read of a file: commits, up to where they are sound, and whether the rest is a torn tail.
struct Reading {
    kept: PersistedState,
    sound: usize,
    torn: bool,
}

fn read(bytes: &[u8], from: usize) -> Reading {
    let mut reading = Reading {
        kept: PersistedState::default(),
        sound: from,
        torn: false,
    };
    loop {
        let rest = &bytes[reading.sound..];
        if rest.is_empty() {
            return reading;
        }
        // A frame that ends beyond the file was never finished.
        let Some((head, after)) = rest.split_first_chunk::<FRAME>() else {
            reading.torn = true;
            return reading;
        };
        let length = u32::from_le_bytes([head[0], head[1], head[2], head[3]]) as usize;
        let said = u64::from_le_bytes([
            head[4], head[5], head[6], head[7], head[8], head[9], head[10], head[11],
        ]);
        let Some(text) = after.get(..length) else {
            // A length that was flipped looks the same, but for what comes after it.
            reading.torn = length <= LONGEST && !holds_a_frame(&rest[1..]);
            return reading;
        };
        let commit = (xxh3_64(text) == said)
            .then(|| serde_json::from_slice::<Commit>(text).ok())
            .flatten();
        let Some(commit) = commit else { return reading };
        reading.kept.apply(commit);
        reading.sound += FRAME + length;
    }
}

/// Whether a sound frame begins anywhere in these bytes.
fn holds_a_frame(bytes: &[u8]) -> bool {
    (0..bytes.len().saturating_sub(FRAME)).any(|at| {
        let rest = &bytes[at..];
        let length = u32::from_le_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
        let text = rest
            .get(FRAME..FRAME.saturating_add(length))
            .filter(|text| !text.is_empty());
        text.is_some_and(|text| xxh3_64(text).to_le_bytes() == rest[4..FRAME])
    })
}

fn frame(commit: &Commit) -> io::Result<Vec<u8>> {
    let text = serde_json::to_vec(commit).map_err(io::Error::other)?;
    if text.len() > LONGEST {
        return Err(io::Error::new(
            io::ErrorKind::InvalidInput,
            "a commit that is too long",
        ));
    }
    let length = (text.len() as u32).to_le_bytes();
    Ok([&length[..], &xxh3_64(&text).to_le_bytes(), &text].concat())
}

fn head() -> String {
    format!("{HEAD}{FORMAT}\n")
}

impl Store {
    /// Opens the file, makes it if it is missing, mends what can be, and says how it was found.
    pub fn open(path: &Path) -> Result<(Store, OpenOutcome), StoreError> {
        let disk = |source| StoreError::Disk {
            path: path.to_path_buf(),
            source,
        };
        let fresh = !path.exists();
        let open = || {
            OpenOptions::new()
                .read(true)
                .append(true)
                .create(true)
                .open(path)
        };
        let mut file = open().map_err(disk)?;
        match file.try_lock() {
            Ok(()) => {}
            Err(std::fs::TryLockError::WouldBlock) => {
                return Err(StoreError::InUse {
                    path: path.to_path_buf(),
                });
            }
            Err(std::fs::TryLockError::Error(error)) => return Err(disk(error)),
        }
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes).map_err(disk)?;
        let begun = head();
        if fresh || (bytes.len() < begun.len() && begun.as_bytes().starts_with(&bytes)) {
            // Killed before its first line was there: nothing had been kept yet.
            file.set_len(0).map_err(disk)?;
            file.write_all(begun.as_bytes())
                .and_then(|()| file.sync_all())
                .map_err(disk)?;
            sync_parent(path).map_err(disk)?;
            let store = Store {
                path: path.to_path_buf(),
                file,
                kept: PersistedState::default(),
                length: begun.len() as u64,
                compacted: 0,
            };
            return Ok((store, OpenOutcome::Fresh));
        }
        let line = bytes
            .iter()
            .position(|byte| *byte == b'\n')
            .map(|end| &bytes[..end]);
        let told = line
            .and_then(|line| std::str::from_utf8(line).ok())
            .and_then(|line| line.strip_prefix(HEAD));
        let from = match told.and_then(|told| told.parse::<u32>().ok()) {
            Some(found) if found > FORMAT => {
                return Err(StoreError::Newer {
                    path: path.to_path_buf(),
                    found,
                });
            }
            // A flipped bit in the first line costs none of the commits.
            _ => begun.len().min(bytes.len()),
        };
        let sound_head = bytes.starts_with(begun.as_bytes());
        let Reading { kept, sound, torn } = read(&bytes, from);
        let rest = (bytes.len() - sound) as u64;
        if sound_head && (rest == 0 || torn) {
            if torn {
                file.set_len(sound as u64)
                    .and_then(|()| file.sync_all())
                    .map_err(disk)?;
            }
            let found = if torn {
                OpenOutcome::TornTail { bytes: rest }
            } else {
                OpenOutcome::Sound
            };
            let store = Store {
                path: path.to_path_buf(),
                file,
                kept,
                length: sound as u64,
                compacted: 0,
            };
            return Ok((store, found));
        }
        let aside = free_name(path);
        std::fs::write(&aside, &bytes).map_err(disk)?;
        let mut store = Store {
            path: path.to_path_buf(),
            file,
            kept,
            length: sound as u64,
            compacted: 0,
        };
        store.compact()?;
        Ok((
            store,
            OpenOutcome::Damaged {
                aside,
                at: sound as u64,
                bytes: rest,
            },
        ))
    }

    /// Reads a file and mends nothing: what it keeps, up to which byte it is sound, and how many it has.
    pub fn inspect(path: &Path) -> Result<(PersistedState, u64, u64), StoreError> {
        let bytes = std::fs::read(path).map_err(|source| StoreError::Disk {
            path: path.to_path_buf(),
            source,
        })?;
        let begun = head();
        let sound_head = bytes.starts_with(begun.as_bytes());
        let reading = read(&bytes, begun.len().min(bytes.len()));
        let sound = if sound_head { reading.sound as u64 } else { 0 };
        Ok((reading.kept, sound, bytes.len() as u64))
    }

    pub fn state(&self) -> &PersistedState {
        &self.kept
    }

    pub fn compacted_bytes(&self) -> u64 {
        self.compacted
    }

    pub fn bytes(&self) -> u64 {
        self.length
    }

    /// All of the commit is on the disk when this returns; after an error none of it counts.
    pub fn commit(&mut self, commit: Commit) -> Result<(), StoreError> {
        let bytes = frame(&commit).map_err(|source| StoreError::Disk {
            path: self.path.clone(),
            source,
        })?;
        let written = self.append(&bytes);
        if let Err(source) = written {
            // What is there of it would stand before the next one.
            let _ = self.file.set_len(self.length);
            return Err(StoreError::Disk {
                path: self.path.clone(),
                source,
            });
        }
        self.length += bytes.len() as u64;
        self.kept.apply(commit);
        Ok(())
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        reached("store.begin")?;
        let (first, rest) = bytes.split_at(bytes.len() / 2);
        self.file.write_all(first)?;
        reached("store.half")?;
        self.file.write_all(rest)?;
        reached("store.written")?;
        self.file.sync_data()?;
        reached("store.synced")
    }

    /// Writes a file of one commit and moves it into place.
    pub fn compact(&mut self) -> Result<(), StoreError> {
        let path = self.path.clone();
        let disk = |source| StoreError::Disk {
            path: path.clone(),
            source,
        };
        let mut draft = self.path.as_os_str().to_os_string();
        draft.push(".draft");
        let draft = PathBuf::from(draft);
        let bytes = [
            head().as_bytes(),
            &frame(&self.kept.to_commit()).map_err(disk)?,
        ]
        .concat();
        reached("store.compact").map_err(disk)?;
        let mut file = File::create(&draft).map_err(disk)?;
        file.write_all(&bytes)
            .and_then(|()| file.sync_all())
            .map_err(disk)?;
        reached("store.compacted").map_err(disk)?;
        file.try_lock()
            .map_err(|error| disk(io::Error::other(error.to_string())))?;
        std::fs::rename(&draft, &self.path)
            .and_then(|()| sync_parent(&self.path))
            .map_err(disk)?;
        (self.file, self.length) = (file, bytes.len() as u64);
        self.compacted = self.length;
        reached("store.renamed").map_err(disk)?;
        Ok(())
    }
}

fn sync_parent(path: &Path) -> io::Result<()> {
    let parent = path
        .parent()
        .filter(|parent| !parent.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    File::open(parent)?.sync_all()
}

fn free_name(path: &Path) -> PathBuf {
    let named = |at: u32| {
        let mut name = path.as_os_str().to_os_string();
        name.push(format!(".damaged-{at}"));
        PathBuf::from(name)
    };
    (1..)
        .map(named)
        .find(|path| !path.exists())
        .unwrap_or_else(|| named(0))
}
