//! Reads a configuration from its files. Each `include` is replaced by the directives of the files that match its
//! pattern, which is relative to the directory of the first file, as in nginx. An included file that cannot be read
//! is recorded, and reading continues.

use crate::parse::{parse, Directive, SourcePosition, SyntaxError};
use std::path::{Path, PathBuf};

/// Why a configuration cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum IncludeError {
    /// The first file cannot be read.
    #[error("{path}: {text}", path = .path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why it cannot be read.
        text: String,
    },
    /// A file has a syntax error, or includes are nested too deeply or name too many files.
    #[error(transparent)]
    Syntax(#[from] SyntaxError),
}

/// A configuration whose includes are resolved.
#[derive(Debug, Default)]
pub struct Loaded {
    /// All directives except the includes.
    pub directives: Vec<Directive>,
    /// The files that were read.
    pub files: Vec<PathBuf>,
    /// Includes that failed or matched no file.
    pub missing: Vec<MissingInclude>,
    /// The number of includes that were resolved.
    pub followed_includes: usize,
}

/// An include that failed or matched no file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MissingInclude {
    /// The include.
    pub directive: Directive,
    /// Why it failed.
    pub reason: String,
}

impl Loaded {
    fn add_missing(&mut self, directive: Directive, reason: impl Into<String>) {
        let reason = reason.into();
        self.missing.push(MissingInclude { directive, reason });
    }
}

/// The maximum nesting depth of includes, which ends the reading of files that include themselves.
const MAX_NESTING_DEPTH: usize = 16;
const MAX_FILES: usize = 10_000;

/// Reads a configuration from its first file and the files that it includes.
pub fn load(first: &Path) -> Result<Loaded, IncludeError> {
    let base = first
        .parent()
        .filter(|base| !base.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    let mut loaded = Loaded::default();
    let directives = read(first, base, 0, &mut loaded)?;
    loaded.directives = directives;
    Ok(loaded)
}

fn read(
    path: &Path,
    base: &Path,
    depth: usize,
    loaded: &mut Loaded,
) -> Result<Vec<Directive>, IncludeError> {
    let text = std::fs::read(path).map_err(|error| IncludeError::Unreadable {
        path: path.to_path_buf(),
        text: error.to_string(),
    })?;
    // Bytes that are not UTF-8 occur only in comments and in strings that are not carried over.
    let directives = parse(&String::from_utf8_lossy(&text), path)?;
    loaded.files.push(path.to_path_buf());
    resolve_includes(directives, base, depth, loaded)
}

/// Replaces each include by the directives of its files, also within blocks.
fn resolve_includes(
    directives: Vec<Directive>,
    base: &Path,
    depth: usize,
    loaded: &mut Loaded,
) -> Result<Vec<Directive>, IncludeError> {
    let mut all = Vec::new();
    for mut directive in directives {
        if directive.name == "include" && directive.block.is_none() {
            include(directive, base, depth, loaded, &mut all)?;
            continue;
        }
        if let Some(block) = directive.block.take() {
            directive.block = Some(resolve_includes(block, base, depth, loaded)?);
        }
        all.push(directive);
    }
    Ok(all)
}

fn include(
    directive: Directive,
    base: &Path,
    depth: usize,
    loaded: &mut Loaded,
    all: &mut Vec<Directive>,
) -> Result<(), IncludeError> {
    let [pattern] = &directive.arguments[..] else {
        loaded.add_missing(directive, "one path is expected");
        return Ok(());
    };
    if depth >= MAX_NESTING_DEPTH || loaded.files.len() >= MAX_FILES {
        return Err(IncludeError::Syntax(SyntaxError {
            position: SourcePosition::clone(&directive.position),
            problem: format!(
                "files include each other more than {MAX_NESTING_DEPTH} deep, or are too many"
            ),
        }));
    }
    let paths = match matching_files(&base.join(pattern)) {
        Err(error) => {
            loaded.add_missing(directive, error.to_string());
            return Ok(());
        }
        Ok(paths) => paths,
    };
    if paths.is_empty() {
        // A pattern may match no file; a file name without a pattern has to exist.
        let is_pattern = pattern.contains(['*', '?', '[']);
        let reason = if is_pattern {
            "it matches no file"
        } else {
            "no such file"
        };
        loaded.add_missing(directive, reason);
        return Ok(());
    }
    loaded.followed_includes += 1;
    for path in paths {
        match read(&path, base, depth + 1, loaded) {
            Ok(directives) => all.extend(directives),
            Err(IncludeError::Unreadable { text, .. }) => {
                let reason = format!("{}: {text}", path.display());
                loaded.add_missing(directive.clone(), reason);
            }
            Err(error @ IncludeError::Syntax(_)) => return Err(error),
        }
    }
    Ok(())
}

/// The files that match a pattern, in alphabetical order.
fn matching_files(pattern: &Path) -> Result<Vec<PathBuf>, glob::PatternError> {
    let paths = glob::glob(&pattern.to_string_lossy())?;
    Ok(paths.flatten().filter(|path| path.is_file()).collect())
}
