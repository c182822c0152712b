//! Typed values of a scenario file. Ranges are replaced by values drawn from the seed.
use crate::{derive_seed, DelayRange};
use pointspindle::Micros;
use pointspindle_config::Reader;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Maximum value of a time in milliseconds.
const MAX_MILLIS: f64 = 3.6e6;

/// Maximum value of a time in seconds.
const MAX_SECONDS: f64 = 86_400.0;

/// Maximum value of a count.
const MAX_COUNT: f64 = 1e6;

/// Maximum delay of a notification, milliseconds.
const MAX_DELAY_MS: f64 = 6e5;

/// Reads values of a scenario file. For a number that is written as a range, `a..b`, a value is drawn from the range.
/// Each key has its own random stream.
pub(super) struct ValueReader {
    pub(super) reader: Reader,
    pub(super) seed: u64,
}

impl ValueReader {
    /// Reads a number from `min` to `max`.
    pub(super) fn number(
        &mut self,
        section: &str,
        key: &str,
        default: f64,
        min: f64,
        max: f64,
    ) -> f64 {
        let text = self.reader.text(section, key);
        let Some((low, high)) = text.as_deref().and_then(|text| text.split_once("..")) else {
            return self.reader.number(section, key, default, min, max);
        };
        let (Ok(low), Ok(high)) = (low.trim().parse::<f64>(), high.trim().parse::<f64>()) else {
            let reason = "not a range of two numbers, for example 2..5";
            self.reader.report(section, key, reason);
            return default;
        };
        if !(low <= high && low >= min && high <= max) {
            let reason = format!("not a range within {min} to {max}, smaller number first");
            self.reader.report(section, key, &reason);
            return default;
        }
        let key_seed = derive_seed(self.seed, &format!("{section}.{key}"));
        low + (high - low) * StdRng::seed_from_u64(key_seed).gen::<f64>()
    }

    /// Reads a time in milliseconds; returns microseconds.
    pub(super) fn millis(&mut self, section: &str, key: &str, default_ms: f64) -> Micros {
        let millis = self.number(section, key, default_ms, 0.0, MAX_MILLIS);
        (millis * 1e3).round() as Micros
    }

    /// Reads a time in seconds; returns microseconds.
    pub(super) fn seconds(&mut self, section: &str, key: &str, default_s: f64) -> Micros {
        let seconds = self.number(section, key, default_s, 0.0, MAX_SECONDS);
        (seconds * 1e6).round() as Micros
    }

    /// Reads an integer of at least `min`; a value with a fraction is rounded down.
    pub(super) fn count(&mut self, section: &str, key: &str, default: usize, min: usize) -> usize {
        let count = self.number(section, key, default as f64, min as f64, MAX_COUNT);
        count.floor() as usize
    }

    /// Reads a number from 0 to 1.
    pub(super) fn share(&mut self, section: &str, key: &str, default: f64) -> f64 {
        self.number(section, key, default, 0.0, 1.0)
    }

    /// Reads a boolean, `yes` or `no`.
    pub(super) fn flag(&mut self, section: &str, key: &str, default: bool) -> bool {
        self.reader.flag(section, key, default)
    }

    /// Reads a value that must be one of `names`.
    pub(super) fn name(
        &mut self,
        section: &str,
        key: &str,
        default: &'static str,
        names: &[&'static str],
    ) -> String {
        let choices: Vec<(&str, &str)> = names.iter().map(|name| (*name, *name)).collect();
        let name = self.reader.choice(section, key, default, &choices);
        name.to_owned()
    }

    /// Reads the delay of a notification from the keys `KEY_least_ms` and `KEY_most_ms`.
    pub(super) fn delay_range(
        &mut self,
        section: &str,
        key: &str,
        default_min_ms: f64,
        default_max_ms: f64,
    ) -> DelayRange {
        let min_key = format!("{key}_least_ms");
        let max_key = format!("{key}_most_ms");
        let min_ms = self.number(section, &min_key, default_min_ms, 0.0, MAX_DELAY_MS);
        let max_ms = self.number(section, &max_key, default_max_ms, 0.0, MAX_DELAY_MS);
        if max_ms < min_ms {
            self.reader
                .report(section, &max_key, "less than the minimum delay");
        }
        DelayRange {
            min: (min_ms * 1e3) as Micros,
            max: (max_ms.max(min_ms) * 1e3) as Micros,
        }
    }
}
