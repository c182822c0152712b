//! Points in time since the machine's boot, which processes on the same machine can compare across a restart.
use std::time::Duration;

/// File with the boot identifier, which the kernel generates anew at each boot.
const BOOT_ID_PATH: &str = "/proc/sys/kernel/random/boot_id";

/// A point in time on the machine's boot clock. The boot clock is unaffected by steps of the wall clock and advances
/// while the machine is suspended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BootMoment {
    /// Identifier of the boot, as reported by the kernel.
    pub boot_id: String,
    /// Time elapsed since that boot.
    pub since_boot: Duration,
}

impl BootMoment {
    /// Returns the current time; `None` if the system does not expose a boot identifier.
    pub fn now() -> Option<Self> {
        let boot_id = std::fs::read_to_string(BOOT_ID_PATH)
            .ok()?
            .trim()
            .to_owned();
        let boot_time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        let since_boot = Duration::new(
            boot_time.tv_sec.try_into().ok()?,
            boot_time.tv_nsec.try_into().ok()?,
        );
        Some(Self {
            boot_id,
            since_boot,
        })
    }

    /// Returns the duration up to `later`; `None` if the machine was rebooted in between, which leaves the duration
    /// unknown.
    pub fn duration_until(&self, later: &Self) -> Option<Duration> {
        (self.boot_id == later.boot_id)
            .then(|| later.since_boot.checked_sub(self.since_boot))
            .flatten()
    }
}
