use std::fs;

/// Returns the resident memory of this process, in bytes; `None` if the kernel does not tell.
pub(super) fn resident_bytes() -> Option<u64> {
    let status = fs::read_to_string("/proc/self/statm").ok()?;
    let pages: u64 = status.split_whitespace().nth(1)?.parse().ok()?;
    Some(pages * rustix::param::page_size() as u64)
}
