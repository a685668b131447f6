//! Processor time of a thread and live memory of the process.

use std::{alloc::System, fs};

pub use celerystair_trial::usage::thread_cpu_ms;
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Bytes that are allocated and not yet freed, in the whole process.
pub fn live_bytes() -> f64 {
    let stats = ALLOCATOR.stats();
    stats.bytes_allocated as f64 - stats.bytes_deallocated as f64
}

/// Resident memory of the whole process, in bytes.
pub fn resident_bytes() -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|rest| rest.trim().trim_end_matches(" kB").parse::<f64>().ok())
        .unwrap_or_default()
        * 1024.0
}
