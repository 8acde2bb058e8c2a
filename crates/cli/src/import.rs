//! `wheelspread import nginx`: converts the pools of an nginx configuration into controllers' configuration files and
//! endpoint lists.

use crate::exit::BAD_INPUT;
use clap::{Args, Subcommand};
use serde_json::json;
use std::fmt::Display;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use wheelspread::time::Span;
use wheelspread_controller::{ControllerFile, ControllerFileError};
use wheelspread_controller_core::endpoint_list::{EndpointRecord, EndpointSnapshot};
use wheelspread_import::pools::sanitized_name;
use wheelspread_import::{load, pools, Disposition, Imported, IncludeError, Pool};

/// Arguments of `wheelspread import`.
#[derive(Args)]
pub struct ImportArguments {
    #[command(subcommand)]
    from: From,
}

#[derive(Subcommand)]
enum From {
    /// Reads nginx's upstream and location blocks; nginx need not be installed.
    Nginx {
        /// The main file, such as nginx.conf; `include` paths are relative to its directory.
        file: PathBuf,
        /// Writes a directory for each pool, with conductor.yaml and nodes.json; default: only prints the report.
        #[arg(long, value_name = "DIR")]
        out: Option<PathBuf>,
        /// The zone of all nodes, as nginx has no zones.
        #[arg(long, default_value = "all")]
        zone: String,
        /// The port of the first controller; each further controller gets the next port.
        #[arg(long, default_value_t = 7101)]
        port: u16,
        /// Prints pools and notes as one JSON object.
        #[arg(long)]
        json: bool,
        /// Exits with 1 if any directive was not carried over or a value was assumed.
        #[arg(long)]
        strict: bool,
    },
}

/// The exit code if no pool was found, or if `--strict` is given and a directive was not carried over or a value assumed.
const INCOMPLETE: u8 = 1;

/// Why the import failed before all files were written.
#[derive(Debug, thiserror::Error)]
pub enum ImportError {
    /// The nginx configuration could not be read.
    #[error(transparent)]
    Load(#[from] IncludeError),
    /// The files of a pool could not be written.
    #[error("{pool}")]
    Pool {
        /// The pool's name.
        pool: String,
        source: PoolError,
    },
}

impl ImportError {
    /// The exit code of the process.
    pub fn exit_code(&self) -> u8 {
        BAD_INPUT
    }
}

/// Why the files of a pool could not be written.
#[derive(Debug, thiserror::Error)]
pub enum PoolError {
    /// A controller would refuse the configuration.
    #[error(transparent)]
    Controller(#[from] ControllerFileError),
    /// A controller would refuse the endpoint list.
    #[error("{0}")]
    EndpointList(String),
    /// The pool's directory could not be written.
    #[error("{}", directory.display())]
    Write {
        /// The pool's directory.
        directory: PathBuf,
        source: io::Error,
    },
    /// The file exists; existing files are never overwritten.
    #[error("{} is there already and is not overwritten", .0.display())]
    Exists(PathBuf),
}

/// Reads an nginx configuration, writes a controller's files for each of its pools and prints a report.
pub fn import(arguments: ImportArguments) -> Result<ExitCode, ImportError> {
    let From::Nginx {
        file,
        out,
        zone,
        port,
        json,
        strict,
    } = arguments.from;
    let loaded = load(&file)?;
    let imported = pools(&loaded);
    let zone = sanitized_name(&zone);
    for (number, pool) in imported.pools.iter().enumerate() {
        let listen = format!("127.0.0.1:{}", port.saturating_add(number as u16));
        write(pool, &zone, &listen, out.as_deref()).map_err(|source| ImportError::Pool {
            pool: pool.name.clone(),
            source,
        })?;
    }
    if json {
        print_line!("{}", as_json(&imported));
    } else {
        print_report(&imported, out.as_deref());
    }
    let is_incomplete = imported
        .with_disposition(Disposition::Left)
        .chain(imported.with_disposition(Disposition::Assumed))
        .next()
        .is_some();
    Ok(if imported.pools.is_empty() || (strict && is_incomplete) {
        ExitCode::from(INCOMPLETE)
    } else {
        ExitCode::SUCCESS
    })
}

/// Writes the files of a pool, after parsing their texts in the way that a controller does.
fn write(pool: &Pool, zone: &str, listen: &str, out: Option<&Path>) -> Result<(), PoolError> {
    let file = pool.file(zone, listen);
    ControllerFile::parse(&file, Path::new("conductor.yaml"))?;
    let list = endpoint_list_text(pool, zone)?;
    let Some(out) = out else { return Ok(()) };
    let directory = out.join(sanitized_name(&pool.name));
    let failed = |source: io::Error| PoolError::Write {
        directory: directory.clone(),
        source,
    };
    std::fs::create_dir_all(&directory).map_err(failed)?;
    for (name, text) in [("conductor.yaml", file), ("nodes.json", list)] {
        let path = directory.join(name);
        if path.exists() {
            return Err(PoolError::Exists(path));
        }
        wheelspread_files::replace_file(&path, &text).map_err(failed)?;
    }
    Ok(())
}

fn endpoint_list_text(pool: &Pool, zone: &str) -> Result<String, PoolError> {
    let record = |server: &wheelspread_import::Server| EndpointRecord {
        node: server.node,
        zone: zone.to_string(),
        kind: String::new(),
        cell: String::new(),
        draining: false,
        weight: server.weight,
        started: None,
    };
    let list = EndpointSnapshot {
        version: "1".to_string(),
        records: pool.servers.iter().map(record).collect(),
    };
    let invalid = |error: &dyn Display| PoolError::EndpointList(error.to_string());
    let text = wheelspread_xds::nodes::write(&list).map_err(|error| invalid(&error))?;
    wheelspread_xds::nodes::read(&text, 0.0).map_err(|error| invalid(&error))?;
    Ok(text)
}

fn as_json(imported: &Imported) -> serde_json::Value {
    let pool = |pool: &Pool| {
        json!({
            "name": pool.name,
            "nodes": pool.servers.iter().map(|server| {
                json!({ "node": wheelspread_controller_core::endpoint_list::format_node(server.node), "weight": server.weight,
                        "at": server.position.to_string() })
            }).collect::<Vec<_>>(),
            "operations": pool.operations.iter().map(|operation| {
                json!({ "name": operation.name, "location": operation.location, "repeat": operation.retry_class,
                        "integration_timeout_s": operation.integration_timeout.seconds() })
            }).collect::<Vec<_>>(),
            "errors_until_avoided": pool.errors_until_ejected,
            "connection_idle_s": pool.idle_timeout.map(Span::seconds),
        })
    };
    json!({
        "pools": imported.pools.iter().map(pool).collect::<Vec<_>>(),
        "notes": imported.outcomes,
        "directives_read": imported.directive_count,
    })
}

fn print_report(imported: &Imported, out: Option<&Path>) {
    for pool in &imported.pools {
        let names: Vec<&str> = pool
            .operations
            .iter()
            .map(|operation| operation.name.as_str())
            .collect();
        let (nodes, names) = (pool.servers.len(), names.join(", "));
        let destination = out.map_or(String::new(), |out| {
            format!(", in {}", out.join(sanitized_name(&pool.name)).display())
        });
        print_line!(
            "pool {}: {nodes} nodes; operations {names}{destination}",
            pool.name
        );
    }
    for (disposition, heading) in [
        (Disposition::Left, "not carried over"),
        (Disposition::Assumed, "to be looked at"),
    ] {
        let notes: Vec<_> = imported.with_disposition(disposition).collect();
        if !notes.is_empty() {
            print_line!("\n{heading}:");
        }
        for note in notes {
            print_line!("  {}  {}\n      {}", note.position, note.text, note.reason);
        }
    }
    let carried = imported.with_disposition(Disposition::Carried).count();
    let (left, assumed) = (
        imported.with_disposition(Disposition::Left).count(),
        imported.with_disposition(Disposition::Assumed).count(),
    );
    print_line!(
        "\n{} directives read: {carried} carried over, {assumed} to be looked at, {left} left",
        imported.directive_count
    );
}
