//! Which conductors there are, from a YAML file, and asking all of them at once.

use crate::call::{call, Failed, Line, Request, Secured};
use serde::Deserialize;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};
use wheelspread::time::Span;
use wheelspread_controller_core::span_format;
use wheelspread_grpc::tls::{plain_client, KeyFiles};

/// One conductor: its root of tables on this machine, or its port.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Place {
    pub name: String,
    #[serde(default)]
    pub root: Option<PathBuf>,
    #[serde(default)]
    pub address: Option<SocketAddrV4>,
    /// In its certificate; left out: its address.
    #[serde(default)]
    pub server_name: Option<String>,
}

/// Keys for ports.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetKeys {
    /// Whom to believe.
    pub servers: PathBuf,
    pub certificate: PathBuf,
    pub key: PathBuf,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetFile {
    #[serde(default)]
    pub conductors: Vec<Place>,
    /// A directory in which each directory is a conductor's root of tables, or holds one as `tables`; its name
    /// is the conductor's.
    #[serde(default)]
    pub roots: Option<PathBuf>,
    #[serde(default)]
    pub tls: Option<FleetKeys>,
    /// For a complete answer.
    #[serde(default = "two_seconds", with = "span_format")]
    pub within: Span,
    /// For an order to be told everywhere, again and again.
    #[serde(default = "ten_seconds", with = "span_format")]
    pub order_within: Span,
}

fn two_seconds() -> Span {
    Span::from_seconds(2.0)
}

fn ten_seconds() -> Span {
    Span::from_seconds(10.0)
}

#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    #[error("{path}: {text}", path = .path.display())]
    File { path: PathBuf, text: String },
    #[error("{}", .0.join("\n"))]
    Flaws(Vec<String>),
}

/// Conductors that can be asked.
#[derive(Clone, Debug)]
pub struct Fleet {
    pub conductors: BTreeMap<String, Line>,
    pub within: Duration,
    pub order_within: Span,
}

const SOCKET: &str = "admin.sock";
/// A caller's thread needs little.
const STACK: usize = 256 << 10;

impl FleetFile {
    pub fn read(path: &Path) -> Result<FleetFile, FleetError> {
        let bad = |text: String| FleetError::File {
            path: path.to_path_buf(),
            text,
        };
        let text = std::fs::read_to_string(path).map_err(|error| bad(error.to_string()))?;
        let mut file: FleetFile =
            serde_yaml_ng::from_str(&text).map_err(|error| bad(error.to_string()))?;
        let base = path.parent().unwrap_or(Path::new("."));
        for place in &mut file.conductors {
            place.root = place.root.take().map(|root| base.join(root));
        }
        file.roots = file.roots.take().map(|roots| base.join(roots));
        if let Some(tls) = &mut file.tls {
            for path in [&mut tls.servers, &mut tls.certificate, &mut tls.key] {
                *path = base.join(&*path);
            }
        }
        Ok(file)
    }

    /// Checks the whole and looks through the directory of roots.
    pub fn open(&self) -> Result<Fleet, FleetError> {
        let (mut conductors, mut flaws) = (BTreeMap::new(), Vec::new());
        let secured = match &self.tls {
            None => None,
            Some(tls) => {
                let keys = KeyFiles {
                    certificate: tls.certificate.clone(),
                    key: tls.key.clone(),
                };
                match plain_client(&tls.servers, &keys) {
                    Ok(made) => Some(Secured(made)),
                    Err(error) => {
                        flaws.push(format!("tls: {error}"));
                        None
                    }
                }
            }
        };
        for (at, place) in self.conductors.iter().enumerate() {
            let field = format!("conductors.{at}");
            let line = match (&place.root, place.address, &secured) {
                (Some(root), None, _) => Some(Line::Unix(root.join(SOCKET))),
                (None, Some(address), Some(secured)) => {
                    let server_name = place
                        .server_name
                        .clone()
                        .unwrap_or(address.ip().to_string());
                    Some(Line::Tls {
                        address,
                        server_name,
                        secured: secured.clone(),
                    })
                }
                (None, Some(_), None) if self.tls.is_some() => None,
                (None, Some(_), None) => {
                    flaws.push(format!("{field}: an address needs the keys of `tls`"));
                    None
                }
                _ => {
                    flaws.push(format!("{field}: either a root or an address is expected"));
                    None
                }
            };
            if place.name.is_empty() {
                flaws.push(format!("{field}: a name is expected"));
            }
            if let Some(line) = line {
                if conductors.insert(place.name.clone(), line).is_some() {
                    flaws.push(format!("{field}: `{}` is named twice", place.name));
                }
            }
        }
        if let Some(roots) = &self.roots {
            match std::fs::read_dir(roots) {
                Err(error) => flaws.push(format!("roots: {}: {error}", roots.display())),
                Ok(entries) => {
                    for entry in entries.flatten().filter(|entry| entry.path().is_dir()) {
                        let inner = entry.path().join("tables");
                        let root = if inner.is_dir() { inner } else { entry.path() };
                        // A conductor that is down left its lock: it is one that does not answer.
                        if root.join("lock").exists() || root.join(SOCKET).exists() {
                            let name = entry.file_name().to_string_lossy().into_owned();
                            conductors
                                .entry(name)
                                .or_insert(Line::Unix(root.join(SOCKET)));
                        }
                    }
                }
            }
        }
        if conductors.is_empty() && flaws.is_empty() {
            flaws.push("no conductor is named, and none was found under `roots`".to_string());
        }
        let within = self.within.seconds();
        if !(0.05..=600.0).contains(&within) {
            flaws.push("within: should lie between 50ms and 10m".to_string());
        }
        if !flaws.is_empty() {
            return Err(FleetError::Flaws(flaws));
        }
        let within = Duration::from_secs_f64(within);
        Ok(Fleet {
            conductors,
            within,
            order_within: self.order_within,
        })
    }
}

impl Fleet {
    /// Asks all at once; an answer or why there is none, of every one of them, by the time asked for.
    pub fn ask(
        &self,
        request: &Request,
        within: Duration,
    ) -> BTreeMap<String, Result<Value, Failed>> {
        let names = self.conductors.keys().cloned().collect();
        self.ask_some(&names, request, Instant::now() + within)
    }

    /// The same of some of them.
    pub fn ask_some(
        &self,
        names: &BTreeSet<String>,
        request: &Request,
        until: Instant,
    ) -> BTreeMap<String, Result<Value, Failed>> {
        let (told, answers) = channel();
        let asked = self
            .conductors
            .iter()
            .filter(|(name, _)| names.contains(*name));
        let mut waits: BTreeSet<String> = BTreeSet::new();
        let mut all = BTreeMap::new();
        for (name, line) in asked {
            let (to, who, line, request) =
                (told.clone(), name.clone(), line.clone(), request.clone());
            let ask = move || drop(to.send((who, call(&line, &request, until))));
            match std::thread::Builder::new().stack_size(STACK).spawn(ask) {
                Ok(_) => drop(waits.insert(name.clone())),
                Err(error) => {
                    drop(all.insert(name.clone(), Err(Failed::Unreachable(error.to_string()))))
                }
            }
        }
        drop(told);
        while !waits.is_empty() {
            // Whoever asks ends by itself at that time; a little more is for its thread to say so.
            let left = until.saturating_duration_since(Instant::now()) + GRACE;
            let Ok((name, answer)) = answers.recv_timeout(left) else {
                break;
            };
            waits.remove(&name);
            all.insert(name, answer);
        }
        for name in waits {
            all.insert(name, Err(Failed::Silent("the time asked for".to_string())));
        }
        all
    }
}

const GRACE: Duration = Duration::from_millis(50);
