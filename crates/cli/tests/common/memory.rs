//! The memory of a process.

#![allow(dead_code)] // Each test binary uses some of these items.

/// The resident memory of a process in KiB.
pub fn resident_kib(pid: u32) -> u64 {
    status_kib(pid, "VmRSS:")
}

/// The most resident memory that a process has had, in KiB.
pub fn peak_resident_kib(pid: u32) -> u64 {
    status_kib(pid, "VmHWM:")
}

fn status_kib(pid: u32, field: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("the process runs");
    let line = status.lines().find(|line| line.starts_with(field));
    let kib = line.and_then(|line| line.split_whitespace().nth(1));
    kib.and_then(|kib| kib.parse().ok())
        .unwrap_or_else(|| panic!("no value of {field}"))
}
