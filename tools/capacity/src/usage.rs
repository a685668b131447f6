//! Processor time of a thread and live memory of the process.

use std::{alloc::System, fs};

use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Bytes that are allocated and not yet freed, in the whole process.
pub fn live_bytes() -> f64 {
    let stats = ALLOCATOR.stats();
    stats.bytes_allocated as f64 - stats.bytes_deallocated as f64
}

/// Processor time that threads of this name have taken, in milliseconds.
pub fn thread_cpu_ms(name: &str) -> f64 {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else {
        return 0.0;
    };
    let of_name = tasks.flatten().map(|task| task.path()).filter(|path| {
        fs::read_to_string(path.join("comm")).is_ok_and(|comm| comm.trim_end() == name)
    });
    of_name
        .filter_map(|path| fs::read_to_string(path.join("schedstat")).ok())
        .filter_map(|stat| stat.split(' ').next()?.parse::<f64>().ok())
        .sum::<f64>()
        / 1e6
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
