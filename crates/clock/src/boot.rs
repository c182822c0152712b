//! Moments that a later process on the same machine can measure from.
use std::time::Duration;

const BOOT_ID: &str = "/proc/sys/kernel/random/boot_id";

/// A moment of the machine's clock since its boot, which no step of the wall clock moves and which runs on while the machine
/// sleeps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BootMoment {
    /// Which boot it was.
    pub boot: String,
    /// Time since then.
    pub since: Duration,
}

impl BootMoment {
    /// None: the system does not tell which boot this is.
    pub fn now() -> Option<Self> {
        let boot = std::fs::read_to_string(BOOT_ID).ok()?.trim().to_owned();
        let at = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        let since = Duration::new(at.tv_sec.try_into().ok()?, at.tv_nsec.try_into().ok()?);
        Some(Self { boot, since })
    }

    /// The span up to a later moment; none: the machine was booted in between, and nobody knows.
    pub fn until(&self, later: &Self) -> Option<Duration> {
        (self.boot == later.boot)
            .then(|| later.since.checked_sub(self.since))
            .flatten()
    }
}
