//! The memory of the coordinator's process.

use super::coordinator::TestCoordinator;

const KILOBYTES_PER_MEGABYTE: u64 = 1024;

/// Returns the most memory that the process has had resident, in MB, rounded up.
pub fn peak_memory_mb(coordinator: &TestCoordinator) -> u64 {
    status_kilobytes(coordinator, "VmHWM:").div_ceil(KILOBYTES_PER_MEGABYTE)
}

/// Returns the memory that the process has resident, in MB, rounded up.
pub fn resident_memory_mb(coordinator: &TestCoordinator) -> u64 {
    status_kilobytes(coordinator, "VmRSS:").div_ceil(KILOBYTES_PER_MEGABYTE)
}

fn status_kilobytes(coordinator: &TestCoordinator, field: &str) -> u64 {
    let path = format!("/proc/{}/status", coordinator.child.id());
    let status = std::fs::read_to_string(path).unwrap();
    let line = status.lines().find(|line| line.starts_with(field)).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}
