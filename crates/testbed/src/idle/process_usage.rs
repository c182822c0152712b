//! Processor time and memory of a process and of the kernel's sockets, from `/proc`.
use std::time::Duration;

const CLOCK_TICK_MS: u64 = 10;
const KERNEL_PAGE_BYTES: u64 = 4096;
/// The positions of user and system time in `/proc/PID/stat`, counted from the field after the command's name.
const USER_TICKS_FIELD: usize = 11;
const SYSTEM_TICKS_FIELD: usize = 12;

/// Returns the user and system time that a process has used and its resident memory in bytes; zero for a process that
/// does not exist.
pub fn process_usage(pid: u32) -> (Duration, u64) {
    (cpu_time(pid), resident_bytes(pid))
}

/// Returns the user and system time that a process has used.
pub(super) fn cpu_time(pid: u32) -> Duration {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let after_name = text.rsplit(") ").next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split(' ').collect();
    let ticks = |field: usize| -> u64 {
        let value = fields.get(field).and_then(|text| text.parse().ok());
        value.unwrap_or(0)
    };
    Duration::from_millis((ticks(USER_TICKS_FIELD) + ticks(SYSTEM_TICKS_FIELD)) * CLOCK_TICK_MS)
}

/// Returns the resident memory of a process in bytes.
pub(super) fn resident_bytes(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok());
    kilobytes.unwrap_or(0) * 1024
}

/// Returns the memory of all TCP buffers in the kernel of this machine, in bytes.
pub(super) fn kernel_tcp_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/net/sockstat").unwrap_or_default();
    let tcp = text.lines().find(|line| line.starts_with("TCP:"));
    let mut words = tcp.unwrap_or_default().split_whitespace();
    let pages = words
        .find(|word| *word == "mem")
        .and_then(|_| words.next()?.parse::<u64>().ok());
    pages.unwrap_or(0) * KERNEL_PAGE_BYTES
}
