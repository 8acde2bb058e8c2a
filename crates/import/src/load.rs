//! A configuration from its files: `include` is followed where it stands, with patterns, from the directory of
//! the first file as nginx does it. A file that can't be read is named, and the rest goes on.

use crate::parse::{parse, Directive, Place, SyntaxError};
use std::path::{Path, PathBuf};

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum IncludeError {
    #[error("{path}: {text}", path = .path.display())]
    Unreadable { path: PathBuf, text: String },
    #[error(transparent)]
    Syntax(#[from] SyntaxError),
}

/// What was read, with `include` replaced by what it names.
#[derive(Debug, Default)]
pub struct Loaded {
    pub directives: Vec<Directive>,
    pub files: Vec<PathBuf>,
    /// Includes that brought nothing, with the reason.
    pub missing: Vec<(Directive, String)>,
    /// Includes that were followed.
    pub followed: usize,
}

/// Files within files; a file that includes itself ends here.
const DEEPEST: usize = 16;
const MOST_FILES: usize = 10_000;

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
    // What is not UTF-8 can only stand in comments and strings that are not carried over.
    let directives = parse(&String::from_utf8_lossy(&text), path)?;
    loaded.files.push(path.to_path_buf());
    follow(directives, base, depth, loaded)
}

fn follow(
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
            directive.block = Some(follow(block, base, depth, loaded)?);
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
        loaded
            .missing
            .push((directive, "one path is expected".to_string()));
        return Ok(());
    };
    if depth >= DEEPEST || loaded.files.len() >= MOST_FILES {
        let text = format!("files include each other more than {DEEPEST} deep, or are too many");
        let what = SyntaxError {
            place: Place::clone(&directive.place),
            what: text,
        };
        return Err(IncludeError::Syntax(what));
    }
    let full = base.join(pattern);
    let found: Result<Vec<PathBuf>, String> = glob::glob(&full.to_string_lossy())
        .map_err(|error| error.to_string())
        .map(|paths| paths.flatten().filter(|path| path.is_file()).collect());
    match found {
        Err(text) => loaded.missing.push((directive, text)),
        // A pattern may match nothing; a plain name that is not there is a fault of the configuration.
        Ok(paths) if paths.is_empty() => {
            let text = if pattern.contains(['*', '?', '[']) {
                "it matches no file"
            } else {
                "no such file"
            };
            loaded.missing.push((directive, text.to_string()));
        }
        Ok(paths) => {
            loaded.followed += 1;
            for path in paths {
                match read(&path, base, depth + 1, loaded) {
                    Ok(more) => all.extend(more),
                    Err(IncludeError::Unreadable { text, .. }) => {
                        loaded
                            .missing
                            .push((directive.clone(), format!("{}: {text}", path.display())));
                    }
                    Err(syntax) => return Err(syntax),
                }
            }
        }
    }
    Ok(())
}
