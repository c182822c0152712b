//! Points in time since the machine's boot, which processes on the same machine can compare across a restart.
use std::time::Duration;

/// File with the boot identifier, which the kernel generates anew at each boot.
const BOOT_ID_PATH: &str = "/proc/sys/kernel/random/boot_id";

/// A point in time on the machine's boot clock. The boot clock is unaffected by steps of the wall clock and advances
/// while the machine is suspended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BootMoment {
    /// Identifier of the boot, as reported by the kernel.
    pub boot: String,
    /// Time elapsed since that boot.
    pub since: Duration,
}

impl BootMoment {
    /// Returns the current time; `None` if the system does not expose a boot identifier.
    pub fn now() -> Option<Self> {
        let boot = std::fs::read_to_string(BOOT_ID_PATH)
            .ok()?
            .trim()
            .to_owned();
        let since_boot = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        let since = Duration::new(
            since_boot.tv_sec.try_into().ok()?,
            since_boot.tv_nsec.try_into().ok()?,
        );
        Some(Self { boot, since })
    }

    /// Returns the duration up to `later`; `None` if the machine was rebooted in between, which leaves the duration
    /// unknown.
    pub fn until(&self, later: &Self) -> Option<Duration> {
        (self.boot == later.boot)
            .then(|| later.since.checked_sub(self.since))
            .flatten()
    }
}
