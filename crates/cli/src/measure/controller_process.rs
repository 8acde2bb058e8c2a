//! The measured controller process and its endpoint list.

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
use wheelspread_files::TableRoot;

/// The time limit for a started controller to accept connections.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// A controller process with its own directory; the process is killed on drop.
pub struct ControllerProcess {
    directory: TempDir,
    listen: SocketAddrV4,
    nodes: usize,
    child: Option<Child>,
}

impl ControllerProcess {
    /// Creates the directory and the first endpoint list, without starting the controller.
    pub fn new(nodes: usize) -> Result<ControllerProcess, MeasureError> {
        let directory = tempfile::tempdir().map_err(io("a temporary directory"))?;
        let listen = free_port().map_err(io("a port"))?;
        let process = ControllerProcess {
            directory,
            listen,
            nodes,
            child: None,
        };
        process.root().prepare().map_err(io("the tables root"))?;
        process.swap_list(1, &BTreeSet::new())?;
        Ok(process)
    }

    fn path(&self, name: &str) -> PathBuf {
        self.directory.path().join(name)
    }

    /// The tables root into which the controller publishes.
    pub fn root(&self) -> TableRoot {
        TableRoot::new(self.path("tables"))
    }

    /// The address and port on which the controller accepts proxies.
    pub fn listen(&self) -> ([u8; 4], u16) {
        (self.listen.ip().octets(), self.listen.port())
    }

    /// Replaces the endpoint list by one with this version, in which the nodes with the indices in `draining` drain.
    pub fn swap_list(&self, version: u64, draining: &BTreeSet<usize>) -> Result<(), MeasureError> {
        let list = endpoint_list(version, self.nodes, draining);
        let text = wheelspread_xds::nodes::write(&list).map_err(not_ready)?;
        wheelspread_files::replace_file_unsynced(&self.path("nodes.json"), &text)
            .map_err(io("the endpoint list"))
    }

    /// Starts the controller with the configuration that `file` returns for its address, and waits until it listens.
    pub fn start(
        &mut self,
        program: &Path,
        file: impl FnOnce(&str) -> String,
    ) -> Result<(), MeasureError> {
        let path = self.path("conductor.yaml");
        std::fs::write(&path, file(&self.listen.to_string()))
            .map_err(io("the configuration file"))?;
        let started = Command::new(program)
            .arg("run")
            .arg(&path)
            .stdin(Stdio::null())
            .spawn();
        self.child = Some(started.map_err(io("the controller"))?);
        self.wait_until_ready()
    }

    fn wait_until_ready(&self) -> Result<(), MeasureError> {
        wait_until_listening(self.listen, START_TIMEOUT, "the controller does not listen")
    }

    /// Kills the process without a graceful shutdown, like a crash.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// The process id; 0 while no process is running.
    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }
}

impl Drop for ControllerProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
