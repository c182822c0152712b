//! The promise that a purge is in force within a given time after its write was acknowledged, also where this dispatcher
//! cannot know of it.
//!
//! From time to time the control source proves that all purges acknowledged before some moment are in force here. The proof
//! is a lease: for half of the promised time from that moment copies are used without restriction. Without a lease no copy
//! older than the other half is used, so whatever a purge could have affected is revalidated at its source. Therefore, for a
//! purge acknowledged at t and any moment from t + promise on: with a lease its proof is from after t, so the purge is
//! known; without one a copy that is used was made after t.
use pointspindle::Micros;
use pointspindle_config::DispatcherSettings;

/// The purge lease. Bound: one moment. Nothing is owed when it expires: attempts that began under it end as they would.
#[derive(Debug)]
pub(super) struct PurgeLease {
    /// Half of the promised time.
    duration: Micros,
    /// All purges acknowledged before this moment are in force here; none: nothing is proven yet.
    proven_at: Option<Micros>,
    /// By class: older copies are served without a lease too.
    exempt_classes: Vec<bool>,
}

impl PurgeLease {
    /// None: the settings promise nothing.
    pub fn from_settings(settings: &DispatcherSettings) -> Option<Self> {
        let promised = settings.etcd.as_ref().map_or(0, |e| e.purge_within_us);
        let exempt_classes = settings.classes.iter().map(|c| c.purge_exempt).collect();
        (promised > 0).then_some(Self {
            duration: promised / 2,
            proven_at: None,
            exempt_classes,
        })
    }

    /// All purges acknowledged before `proven_at` are in force.
    pub fn renew(&mut self, proven_at: Micros) {
        self.proven_at = self.proven_at.max(Some(proven_at));
    }

    /// Whether copies may be used without restriction.
    pub fn is_valid(&self, now: Micros) -> bool {
        self.proven_at.is_some_and(|at| now < at + self.duration)
    }

    /// Age of the oldest copy that may be used now; none: no limit.
    pub fn max_copy_age(&self, now: Micros, class: usize) -> Option<Micros> {
        let is_exempt = self.exempt_classes.get(class).copied().unwrap_or(false);
        (!is_exempt && !self.is_valid(now)).then_some(self.duration)
    }
}

#[cfg(test)]
mod tests;
