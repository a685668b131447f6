//! Processor time of threads, from what the kernel counts.

use std::fs;

/// Processor time that threads of this name in this process have taken, in milliseconds; 0 where
/// the kernel does not tell.
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
