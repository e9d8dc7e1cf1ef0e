//! What this machine has, and what this process has used of it.

/// Threads that can run at once; 1 where the system does not say.
pub fn threads() -> usize {
    std::thread::available_parallelism().map_or(1, usize::from)
}

/// The peak resident memory of this process in MiB; `None` where `/proc` does not say.
pub fn peak_memory_mib() -> Option<f64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
    line.split_whitespace().nth(1)?.parse::<f64>().ok().map(|kib| kib / 1024.0)
}
