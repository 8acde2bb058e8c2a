//! A conductor of its own that is measured, with a list of nodes that changes.

use super::controller::list;
use std::collections::BTreeSet;
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use tempfile::TempDir;
use wheelspread_drill::{free_port, DrillError};
use wheelspread_files::{swap, Root};

pub struct Bench {
    directory: TempDir,
    listen: SocketAddrV4,
    nodes: usize,
    child: Option<Child>,
}

pub fn io(what: &str) -> impl FnOnce(io::Error) -> DrillError {
    let what = what.to_string();
    move |source| DrillError::Io { what, source }
}

impl Bench {
    /// Its directory and first list; nothing runs yet.
    pub fn new(nodes: usize) -> Result<Bench, DrillError> {
        let directory = tempfile::tempdir().map_err(io("a temporary directory"))?;
        let listen = free_port().map_err(io("a port"))?;
        let bench = Bench {
            directory,
            listen,
            nodes,
            child: None,
        };
        bench.root().prepare().map_err(io("the root"))?;
        bench.swap_list(1, &BTreeSet::new())?;
        Ok(bench)
    }

    fn path(&self, name: &str) -> PathBuf {
        self.directory.path().join(name)
    }

    pub fn root(&self) -> Root {
        Root::new(self.path("tables"))
    }

    pub fn listen(&self) -> ([u8; 4], u16) {
        (self.listen.ip().octets(), self.listen.port())
    }

    /// Swaps in a list of a version with these nodes draining.
    pub fn swap_list(&self, version: u64, draining: &BTreeSet<usize>) -> Result<(), DrillError> {
        let text = wheelspread_xds::nodes::write(&list(version, self.nodes, draining))
            .map_err(|error| DrillError::NotReady(error.to_string()))?;
        swap::place(&self.path("nodes.json"), &text).map_err(io("the list"))
    }

    /// Starts the conductor with what `file` makes of its address, and waits until it listens.
    pub fn start(
        &mut self,
        program: &Path,
        file: impl FnOnce(&str) -> String,
    ) -> Result<(), DrillError> {
        let path = self.path("conductor.yaml");
        std::fs::write(&path, file(&self.listen.to_string())).map_err(io("a file"))?;
        let started = Command::new(program)
            .arg("run")
            .arg(&path)
            .stdin(Stdio::null())
            .spawn();
        self.child = Some(started.map_err(io("the conductor"))?);
        let patience = Instant::now() + Duration::from_secs(10);
        while TcpStream::connect((Ipv4Addr::from(self.listen().0), self.listen.port())).is_err() {
            if Instant::now() > patience {
                return Err(DrillError::NotReady(
                    "the conductor does not listen".to_string(),
                ));
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Ok(())
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }
}

impl Drop for Bench {
    fn drop(&mut self) {
        self.kill();
    }
}

/// KiB of memory that a process has in use.
pub fn memory_of(pid: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .unwrap_or("");
    line.split_whitespace()
        .nth(1)
        .and_then(|kib| kib.parse().ok())
        .unwrap_or(0.0)
}
