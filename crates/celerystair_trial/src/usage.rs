//! CPU time of threads, as the kernel counts it.

use std::fs;

/// Returns the CPU time, in milliseconds, that all threads of this process named `name` have used.
/// Returns 0 where the kernel does not report it.
pub fn thread_cpu_ms(name: &str) -> f64 {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else {
        return 0.0;
    };
    let matching_tasks = tasks.flatten().map(|task| task.path()).filter(|path| {
        fs::read_to_string(path.join("comm")).is_ok_and(|comm| comm.trim_end() == name)
    });
    matching_tasks
        .filter_map(|path| fs::read_to_string(path.join("schedstat")).ok())
        .filter_map(|stat| stat.split(' ').next()?.parse::<f64>().ok())
        .sum::<f64>()
        / 1e6
}
