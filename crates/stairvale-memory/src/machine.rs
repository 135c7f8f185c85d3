//! The memory of the machine, and what of it a process may hold for its clients.

use std::fs;

use rustix::process::{Resource, getrlimit};

use crate::Budget;

/// What a process takes without any client: its code, what it knows of a thousand routers and ten thousand upstreams,
/// and its connections to them (docs/design/memory.md).
const BASE_BYTES: usize = 72 << 20;
/// One part in this many of the memory is for what the allocator can't use.
const SLACK_DIVISOR: usize = 8;
/// Clients get at least one part in this many of the memory.
const MIN_BUDGET_DIVISOR: usize = 4;

/// The memory of a machine if neither the settings nor the system state it.
const DEFAULT_MEMORY_BYTES: usize = 256 << 20;

/// The bytes that a process may hold for its clients on a machine with this memory, in bytes.
#[must_use]
pub fn budget(memory: usize) -> usize {
    let available = (memory - memory / SLACK_DIVISOR).saturating_sub(BASE_BYTES);
    available.max(memory / MIN_BUDGET_DIVISOR)
}

/// The bytes that a process may hold for its clients: from the memory in MB that its settings state, else from what the
/// system shows.
#[must_use]
pub fn budget_of(memory_mb: Option<usize>) -> usize {
    let stated = memory_mb.map(|megabytes| megabytes.saturating_mul(1 << 20));
    budget(stated.or_else(memory).unwrap_or(DEFAULT_MEMORY_BYTES))
}

/// The memory of this machine in bytes, or of the control group of this process if that is less; `None` if the system
/// doesn't show it.
#[must_use]
pub fn memory() -> Option<usize> {
    let total = fs::read_to_string("/proc/meminfo").ok().and_then(|text| {
        let line = text.lines().find_map(|line| line.strip_prefix("MemTotal:"))?;
        line.trim().strip_suffix("kB")?.trim().parse::<usize>().ok()?.checked_mul(1_024)
    });
    // "max" if there is no limit.
    let group = fs::read_to_string("/sys/fs/cgroup/memory.max").ok().and_then(|text| text.trim().parse().ok());
    total.into_iter().chain(group).min()
}

/// One part in this many of the process's descriptors is kept for connections other than clients'.
const RESERVED_DESCRIPTORS_DIVISOR: usize = 4;
/// The most descriptors that are used, also if the process has no limit of them.
const MAX_DESCRIPTORS: u64 = 1 << 17;

/// The descriptors that the process may have.
#[must_use]
pub fn descriptors() -> usize {
    let limit = getrlimit(Resource::Nofile).current.unwrap_or(MAX_DESCRIPTORS);
    usize::try_from(limit.min(MAX_DESCRIPTORS)).unwrap_or(usize::MAX)
}

/// The number of clients' connections, of this many bytes each, that leaves enough of the process's descriptors and of its
/// budget for all else.
#[must_use]
pub fn max_connections(budget: &Budget, bytes: usize) -> usize {
    let descriptors = descriptors();
    (descriptors - descriptors / RESERVED_DESCRIPTORS_DIVISOR).min(budget.connections_limit() / bytes)
}
