//! What the system says of the process's memory.

/// The process's resident memory, in bytes; `None` where the system has no
/// `/proc/self/status`.
pub(crate) fn resident_bytes() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let resident = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kibibytes: u64 = resident.split_whitespace().next()?.parse().ok()?;
    kibibytes.checked_mul(1 << 10)
}
