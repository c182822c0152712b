//! Reads the processor time, memory and descriptors of processes from `/proc`.
use crate::results::ResourceUsage;
use pointspindle_testbed::idle::process_usage;

const BYTES_PER_MB: f64 = 1024.0 * 1024.0;
const KB_PER_MB: f64 = 1024.0;

/// Resources that one or several processes have used since their start.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ProcessUsage {
    pub(super) cpu_seconds: f64,
    pub(super) memory_mb: f64,
    pub(super) descriptors: u64,
}

impl ProcessUsage {
    pub(super) fn of(pid: u32) -> Self {
        let (cpu, memory_bytes) = process_usage(pid);
        let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd"))
            .map_or(0, |directory| directory.count() as u64);
        Self {
            cpu_seconds: cpu.as_secs_f64(),
            memory_mb: memory_bytes as f64 / BYTES_PER_MB,
            descriptors,
        }
    }

    /// Returns the sum of the usage of several processes.
    pub(super) fn of_all(pids: impl Iterator<Item = u32>) -> Self {
        let mut sum = Self::default();
        for usage in pids.map(Self::of) {
            sum.cpu_seconds += usage.cpu_seconds;
            sum.memory_mb += usage.memory_mb;
            sum.descriptors += usage.descriptors;
        }
        sum
    }

    /// Returns the usage within the `seconds` that have passed since `earlier`.
    pub(super) fn since(&self, earlier: &Self, seconds: f64) -> ResourceUsage {
        ResourceUsage {
            cores: (self.cpu_seconds - earlier.cpu_seconds) / seconds,
            memory_mb: self.memory_mb,
            descriptors: self.descriptors,
        }
    }
}

/// Usage of a fleet's processes, by their kind.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FleetUsage {
    pub(super) store: ProcessUsage,
    pub(super) dispatchers: ProcessUsage,
    pub(super) hosts: ProcessUsage,
}

/// Returns the machine's total memory in MB, or 0 if it cannot be read.
pub fn machine_memory_mb() -> f64 {
    let info = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let total = info.lines().find_map(|line| line.strip_prefix("MemTotal:"));
    let kb = total.and_then(|text| text.trim().trim_end_matches(" kB").parse::<f64>().ok());
    kb.unwrap_or(0.0) / KB_PER_MB
}
