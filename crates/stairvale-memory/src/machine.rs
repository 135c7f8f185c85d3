//! The memory of the machine, and what of it a process may hold for its clients.

use std::fs;

/// What a process takes without any client: its code, what it knows of a thousand routers and ten thousand upstreams,
/// and its connections to them (docs/design/memory.md).
const BASE_BYTES: usize = 72 << 20;
/// One part in this many of the memory is for what the allocator can't use.
const SLACK_DIVISOR: usize = 8;
/// Clients get at least one part in this many of the memory.
const MIN_BUDGET_DIVISOR: usize = 4;

/// The bytes that a process may hold for its clients on a machine with this memory, in bytes.
#[must_use]
pub fn budget(memory: usize) -> usize {
    let available = (memory - memory / SLACK_DIVISOR).saturating_sub(BASE_BYTES);
    available.max(memory / MIN_BUDGET_DIVISOR)
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
