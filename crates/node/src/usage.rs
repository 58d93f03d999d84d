//! Resource usage of this process, read from `/proc`.

use std::fs;

/// Clock ticks per second in which the kernel reports CPU time (`USER_HZ`).
const TICKS_PER_SECOND: f64 = 100.0;
/// Size of a memory page, in bytes.
const PAGE_BYTES: u64 = 4_096;

/// Parses the CPU time of a process or thread, in seconds, from the content of its `stat` file.
fn cpu_seconds(stat: &str) -> Option<f64> {
    // The command name, in parentheses, may contain spaces, so fields are counted after it.
    let (_, rest) = stat.rsplit_once(") ")?;
    let mut fields = rest.split_whitespace().skip(11);
    let user: f64 = fields.next()?.parse().ok()?;
    let system: f64 = fields.next()?.parse().ok()?;
    Some((user + system) / TICKS_PER_SECOND)
}

/// Returns the CPU time of this process, in seconds.
pub(crate) fn process_cpu_seconds() -> f64 {
    fs::read_to_string("/proc/self/stat").ok().and_then(|s| cpu_seconds(&s)).unwrap_or(0.0)
}

/// Returns the total CPU time of the threads with this name, in seconds.
pub(crate) fn thread_cpu_seconds(name: &str) -> f64 {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else {
        return 0.0;
    };
    tasks
        .flatten()
        .filter_map(|task| fs::read_to_string(task.path().join("stat")).ok())
        .filter(|stat| stat.contains(&format!("({name})")))
        .filter_map(|stat| cpu_seconds(&stat))
        .sum()
}

/// Returns the resident memory of this process, in bytes.
pub(crate) fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|field| field.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
