//! Moments since the machine's boot, which a later process on the same machine can compare with its own.
use std::time::Duration;

/// The kernel draws a new identifier at each boot.
const BOOT_ID_PATH: &str = "/proc/sys/kernel/random/boot_id";

/// A moment on the machine's boot clock. Steps of the wall clock do not move it, and it advances while the machine is
/// suspended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BootMoment {
    /// Identifier of the boot.
    pub boot: String,
    /// Time since that boot.
    pub since: Duration,
}

impl BootMoment {
    /// The current moment; `None` if the system does not expose an identifier of its boot.
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

    /// The span up to a later moment; `None` if the machine was booted in between, so that the span is unknown.
    pub fn until(&self, later: &Self) -> Option<Duration> {
        (self.boot == later.boot)
            .then(|| later.since.checked_sub(self.since))
            .flatten()
    }
}
