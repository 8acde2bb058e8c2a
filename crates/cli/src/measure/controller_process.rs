//! A controller process that is measured, with an endpoint list that changes.

use super::error::{io, not_ready, MeasureError};
use super::fleet_config::endpoint_list;
use super::wait_until_listening;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use tempfile::TempDir;
use wheelspread_drill::free_port;
use wheelspread_files::{swap, Root};

/// How long a controller may take until it listens.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// A controller with a directory of its own; it is killed when this is dropped.
pub struct ControllerProcess {
    directory: TempDir,
    listen: SocketAddrV4,
    nodes: usize,
    child: Option<Child>,
}

impl ControllerProcess {
    /// Its directory and first list; nothing runs yet.
    pub fn new(nodes: usize) -> Result<ControllerProcess, MeasureError> {
        let directory = tempfile::tempdir().map_err(io("a temporary directory"))?;
        let listen = free_port().map_err(io("a port"))?;
        let process = ControllerProcess {
            directory,
            listen,
            nodes,
            child: None,
        };
        process.root().prepare().map_err(io("the root"))?;
        process.swap_list(1, &BTreeSet::new())?;
        Ok(process)
    }

    fn path(&self, name: &str) -> PathBuf {
        self.directory.path().join(name)
    }

    /// The root of tables that it publishes.
    pub fn root(&self) -> Root {
        Root::new(self.path("tables"))
    }

    /// Where proxies reach it.
    pub fn listen(&self) -> ([u8; 4], u16) {
        (self.listen.ip().octets(), self.listen.port())
    }

    /// Swaps in an endpoint list of a version with these nodes draining.
    pub fn swap_list(&self, version: u64, draining: &BTreeSet<usize>) -> Result<(), MeasureError> {
        let list = endpoint_list(version, self.nodes, draining);
        let text = wheelspread_xds::nodes::write(&list).map_err(not_ready)?;
        swap::place(&self.path("nodes.json"), &text).map_err(io("the list"))
    }

    /// Starts the controller with what `file` makes of its address, and waits until it listens.
    pub fn start(
        &mut self,
        program: &Path,
        file: impl FnOnce(&str) -> String,
    ) -> Result<(), MeasureError> {
        let path = self.path("conductor.yaml");
        std::fs::write(&path, file(&self.listen.to_string())).map_err(io("a file"))?;
        let started = Command::new(program)
            .arg("run")
            .arg(&path)
            .stdin(Stdio::null())
            .spawn();
        self.child = Some(started.map_err(io("the controller"))?);
        self.wait_until_it_listens()
    }

    fn wait_until_it_listens(&self) -> Result<(), MeasureError> {
        wait_until_listening(self.listen, START_TIMEOUT, "the controller does not listen")
    }

    /// Ends it at once, as a crash would.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Its process id; 0 while it does not run.
    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }
}

impl Drop for ControllerProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
