//! The slow-start settings in the `[cold]`, `[cold cache]` and `[cold parent]` sections: the load that an endpoint with a
//! cold cache receives.
use crate::reader::Reader;
use pointspindle::SlowStartRule;

/// Reads a section of slow-start settings.
pub(crate) fn read(reader: &mut Reader, section: &str) -> SlowStartRule {
    SlowStartRule {
        initial_share: reader.number(section, "start_share", 0.2, 0.0, 1.0),
        ramp: reader.duration_us(section, "warm_within_ms", 20_000.0, 0.0, 3_600_000.0),
        overload_factor: reader.number(section, "multiple", 2.0, 0.1, 1000.0),
        overload_window: reader.duration_us(section, "window_ms", 1_000.0, 1.0, 600_000.0),
    }
}
