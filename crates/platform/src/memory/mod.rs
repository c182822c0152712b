//! The memory of the process: counters of requests and responses, and samples of what is resident.
//!
//! Each counter has a limit of its own. [`MemoryMonitor`] compares the resident memory with the limit of the process, as
//! soon as the counters have grown, and exhausts all counters together when it comes too close.
mod budget;
mod resident;

use crate::settings::PlatformSettings;
use budget::{MemoryBudget, MemorySample};
use pointspindle_transport::BufferMeter;
use resident::ResidentMemory;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Growth of the counted bytes after which the resident memory is read again.
const SAMPLE_STEP_BYTES: u64 = 128 * 1024;
/// Interval of the regular samples, which also find out that memory is available again.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);

/// Returns memory that was freed, and that the allocator retains, to the operating system.
pub type ReleaseFreeMemory = fn();

/// Monitor of the memory of the process; see the documentation of the module.
#[derive(Debug)]
pub struct MemoryMonitor {
    budget: MemoryBudget,
    resident: Option<ResidentMemory>,
    /// Bodies of responses.
    responses: BufferMeter,
    /// Bodies of complete requests until they are sent, with the limit from which on new ones are rejected.
    request_bodies: BufferMeter,
    /// Memory of incomplete requests.
    incomplete_requests: AtomicU64,
    counted_at_last_sample: AtomicU64,
    is_exhausted: AtomicBool,
    release_free_memory: ReleaseFreeMemory,
}

impl MemoryMonitor {
    /// Creates the monitor of this process. `responses` counts the bodies of responses.
    pub fn new(
        settings: &PlatformSettings,
        responses: &BufferMeter,
        release_free_memory: ReleaseFreeMemory,
    ) -> Arc<Self> {
        let resident = ResidentMemory::open()
            .inspect_err(|error| tracing::warn!(%error, "resident memory cannot be read"))
            .ok();
        Arc::new(Self {
            resident,
            release_free_memory,
            ..Self::with_limits(
                settings.memory_bytes,
                responses.clone(),
                BufferMeter::new(settings.request_body_bytes),
            )
        })
    }

    /// Creates a monitor that never reads the resident memory.
    #[cfg(test)]
    pub(crate) fn unlimited() -> Arc<Self> {
        let meter = BufferMeter::default;
        Arc::new(Self::with_limits(u64::MAX, meter(), meter()))
    }

    fn with_limits(limit_bytes: u64, responses: BufferMeter, request_bodies: BufferMeter) -> Self {
        Self {
            budget: MemoryBudget::new(limit_bytes),
            resident: None,
            responses,
            request_bodies,
            incomplete_requests: AtomicU64::new(0),
            counted_at_last_sample: AtomicU64::new(0),
            is_exhausted: AtomicBool::new(false),
            release_free_memory: || {},
        }
    }

    /// Returns the counter of the bodies of responses.
    pub fn responses(&self) -> &BufferMeter {
        &self.responses
    }

    /// Returns the counter of the bodies of complete requests.
    pub fn request_bodies(&self) -> &BufferMeter {
        &self.request_bodies
    }

    /// Records the memory that incomplete requests occupy. Returns whether they have to give up some.
    pub fn set_incomplete_requests(&self, bytes: usize) -> bool {
        self.incomplete_requests
            .store(bytes as u64, Ordering::Relaxed);
        self.check_growth();
        self.is_exhausted.load(Ordering::Relaxed)
    }

    /// Reads the resident memory if the counters have grown since it was last read.
    pub fn check_growth(&self) {
        let last = self.counted_at_last_sample.load(Ordering::Relaxed);
        let counted = self.counted_bytes();
        if counted >= last + SAMPLE_STEP_BYTES {
            self.sample();
        } else if counted < last {
            self.counted_at_last_sample
                .store(counted, Ordering::Relaxed);
        }
    }

    fn counted_bytes(&self) -> u64 {
        let bodies = self.responses.buffered_bytes() + self.request_bodies.buffered_bytes();
        bodies + self.incomplete_requests.load(Ordering::Relaxed)
    }

    /// Reads the resident memory and decides whether memory is exhausted. What the allocator retains is released first.
    fn sample(&self) {
        let mut is_exhausted = self.is_sample_exhausted();
        if is_exhausted {
            (self.release_free_memory)();
            is_exhausted = self.is_sample_exhausted();
        }
        if self.is_exhausted.swap(is_exhausted, Ordering::Relaxed) != is_exhausted {
            tracing::debug!(
                is_exhausted,
                counted_bytes = self.counted_bytes(),
                "memory of the process"
            );
            self.responses.set_exhausted(is_exhausted);
            self.request_bodies.set_exhausted(is_exhausted);
        }
    }

    fn is_sample_exhausted(&self) -> bool {
        let counted = self.counted_bytes();
        self.counted_at_last_sample
            .store(counted, Ordering::Relaxed);
        let resident = self.resident.as_ref().and_then(ResidentMemory::bytes);
        resident.is_some_and(|resident| {
            self.budget.is_exhausted(MemorySample {
                resident,
                counted,
                unreceived: self.responses.unreceived_bytes(),
            })
        })
    }
}

/// Samples the memory regularly; never returns.
pub async fn run_samples(monitor: Arc<MemoryMonitor>) {
    loop {
        tokio::time::sleep(SAMPLE_INTERVAL).await;
        monitor.sample();
    }
}
