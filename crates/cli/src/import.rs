//! `wheelspread import nginx`: pools of an nginx configuration as conductors' files and lists of nodes.

use clap::{Args, Subcommand};
use serde_json::json;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use wheelspread_controller::ControllerFile;
use wheelspread_controller_core::endpoint_list::{EndpointRecord, EndpointSnapshot};
use wheelspread_import::pools::plain;
use wheelspread_import::{load, pools, Fate, Imported, Pool};

use crate::BAD_INPUT;

#[derive(Args)]
pub struct ImportArguments {
    #[command(subcommand)]
    from: From,
}

#[derive(Subcommand)]
enum From {
    /// Reads nginx's upstream and location blocks; no nginx is needed.
    Nginx {
        /// The first file, as nginx.conf; `include` is followed from its directory.
        file: PathBuf,
        /// Writes a directory for each pool, with conductor.yaml and nodes.json; left out: only says what it would.
        #[arg(long, value_name = "DIR")]
        out: Option<PathBuf>,
        /// The zone that all nodes stand in, as nginx knows of none.
        #[arg(long, default_value = "all")]
        zone: String,
        /// The port of the first conductor; the others count on from it.
        #[arg(long, default_value_t = 7101)]
        port: u16,
        /// Prints pools and notes as one JSON object.
        #[arg(long)]
        json: bool,
        /// Fails (exit 1) if anything was left or assumed.
        #[arg(long)]
        strict: bool,
    },
}

const NOT_ALL: u8 = 1;

pub fn import(arguments: ImportArguments) -> ExitCode {
    let From::Nginx {
        file,
        out,
        zone,
        port,
        json,
        strict,
    } = arguments.from;
    let imported = match load(&file) {
        Ok(loaded) => pools(&loaded),
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(BAD_INPUT);
        }
    };
    let zone = plain(&zone);
    for (number, pool) in imported.pools.iter().enumerate() {
        let listen = format!("127.0.0.1:{}", port.saturating_add(number as u16));
        if let Err(text) = write(pool, &zone, &listen, out.as_deref()) {
            eprintln!("{}: {text}", pool.name);
            return ExitCode::from(BAD_INPUT);
        }
    }
    if json {
        say!("{}", as_json(&imported));
    } else {
        tell(&imported, out.as_deref());
    }
    let not_all = imported
        .of(Fate::Left)
        .chain(imported.of(Fate::Assumed))
        .next()
        .is_some();
    if imported.pools.is_empty() || (strict && not_all) {
        ExitCode::from(NOT_ALL)
    } else {
        ExitCode::SUCCESS
    }
}

/// What is written is read again first: nothing leaves here that a conductor would not take.
fn write(pool: &Pool, zone: &str, listen: &str, out: Option<&Path>) -> Result<(), String> {
    let file = pool.file(zone, listen);
    ControllerFile::parse(&file, Path::new("conductor.yaml")).map_err(|error| error.to_string())?;
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
    let text = wheelspread_xds::nodes::write(&list).map_err(|error| error.to_string())?;
    wheelspread_xds::nodes::read(&text, 0.0).map_err(|error| error.to_string())?;
    let Some(out) = out else { return Ok(()) };
    let directory = out.join(plain(&pool.name));
    let said = |error: std::io::Error| format!("{}: {error}", directory.display());
    std::fs::create_dir_all(&directory).map_err(said)?;
    for (name, text) in [("conductor.yaml", file), ("nodes.json", text)] {
        let path = directory.join(name);
        if path.exists() {
            return Err(format!(
                "{} is there already, it is not written over",
                path.display()
            ));
        }
        wheelspread_files::swap::replace(&path, &text).map_err(said)?;
    }
    Ok(())
}

fn as_json(imported: &Imported) -> serde_json::Value {
    let pool = |pool: &Pool| {
        json!({
            "name": pool.name,
            "nodes": pool.servers.iter().map(|server| {
                json!({ "node": wheelspread_controller_core::endpoint_list::format_node(server.node), "weight": server.weight,
                        "at": server.place.to_string() })
            }).collect::<Vec<_>>(),
            "operations": pool.operations.iter().map(|operation| {
                json!({ "name": operation.name, "location": operation.location, "repeat": operation.repeat,
                        "integration_timeout_s": operation.integration_timeout.seconds() })
            }).collect::<Vec<_>>(),
            "errors_until_avoided": pool.errors_until_avoided,
            "connection_idle_s": pool.connection_idle.map(|idle| idle.seconds()),
        })
    };
    json!({
        "pools": imported.pools.iter().map(pool).collect::<Vec<_>>(),
        "notes": imported.notes,
        "directives_read": imported.read,
    })
}

fn tell(imported: &Imported, out: Option<&Path>) {
    for pool in &imported.pools {
        let names: Vec<&str> = pool
            .operations
            .iter()
            .map(|operation| operation.name.as_str())
            .collect();
        let (nodes, names) = (pool.servers.len(), names.join(", "));
        let place = out.map_or(String::new(), |out| {
            format!(", in {}", out.join(plain(&pool.name)).display())
        });
        say!(
            "pool {}: {nodes} nodes; operations {names}{place}",
            pool.name
        );
    }
    for (fate, head) in [
        (Fate::Left, "not carried over"),
        (Fate::Assumed, "to be looked at"),
    ] {
        let notes: Vec<_> = imported.of(fate).collect();
        if !notes.is_empty() {
            say!("\n{head}:");
        }
        for note in notes {
            say!("  {}  {}\n      {}", note.at, note.text, note.why);
        }
    }
    let carried = imported.of(Fate::Carried).count();
    let (left, assumed) = (
        imported.of(Fate::Left).count(),
        imported.of(Fate::Assumed).count(),
    );
    say!(
        "\n{} directives read: {carried} carried over, {assumed} to be looked at, {left} left",
        imported.read
    );
}
