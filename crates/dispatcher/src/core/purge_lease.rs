//! The guarantee that a purge is in force within a given time after its write was acknowledged, even if this dispatcher has
//! lost its control source and does not learn of the purge.
//!
//! The control source periodically confirms that all purges acknowledged before some time are in force here. Each
//! confirmation renews a lease: for half of the guaranteed time, counted from the confirmed time, copies are used without
//! restriction. Without a valid lease no copy older than the other half is used, so every copy that a purge could affect is
//! revalidated at its source. Therefore, for a purge acknowledged at time t and any time from t + guarantee on: a valid lease
//! was confirmed as of a time after t, so the purge is known; without a valid lease, any copy in use was made after t.
use pointspindle::Micros;
use pointspindle_config::DispatcherSettings;

/// The purge lease. Bound: one point in time and one flag per class. Expiry requires no action: attempts that began under the
/// lease run to their end.
#[derive(Debug)]
pub(super) struct PurgeLease {
    /// Half of the guaranteed time.
    duration: Micros,
    /// Time before which all acknowledged purges are in force here; `None` before the first confirmation.
    confirmed_at: Option<Micros>,
    /// Whether a class, by its index in the settings, is exempt from the age limit that applies without a valid lease. Copies
    /// of an exempt class are used at any age even then.
    exempt_classes: Vec<bool>,
}

impl PurgeLease {
    /// Returns `None` if the settings guarantee no time within which a purge is in force.
    pub fn from_settings(settings: &DispatcherSettings) -> Option<Self> {
        let guaranteed_within = settings.etcd.as_ref().map_or(0, |e| e.purge_within_us);
        let exempt_classes = settings.classes.iter().map(|c| c.purge_exempt).collect();
        (guaranteed_within > 0).then_some(Self {
            duration: guaranteed_within / 2,
            confirmed_at: None,
            exempt_classes,
        })
    }

    /// Renews the lease: all purges acknowledged before `confirmed_at` are in force.
    pub fn renew(&mut self, confirmed_at: Micros) {
        self.confirmed_at = self.confirmed_at.max(Some(confirmed_at));
    }

    /// Whether copies may be used without restriction.
    pub fn is_valid(&self, now: Micros) -> bool {
        self.confirmed_at.is_some_and(|at| now < at + self.duration)
    }

    /// Returns the age of the oldest copy that may be used now; `None` if there is no limit.
    pub fn max_copy_age(&self, now: Micros, class: usize) -> Option<Micros> {
        let is_exempt = self.exempt_classes.get(class).copied().unwrap_or(false);
        (!is_exempt && !self.is_valid(now)).then_some(self.duration)
    }
}

#[cfg(test)]
mod tests;
