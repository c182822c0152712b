//! The promise that a purge is in force within a time of its write's acknowledgement, kept by whoever cannot know of it.
//!
//! A source proves now and then that all purges which were acknowledged before some moment are in force here. The proof is a lease: for
//! half of the promised time from that moment copies are used as ever. Without one, none is used that is older than the other half:
//! whatever a purge could have struck is renewed at its source. So, of a purge acknowledged at t and any moment from t + promise on:
//! with a proof the proof began after t, so the purge is known; without one a copy that is used was made after t.
//!
//! Kept: one moment. Owed at the end of a lease: nothing; attempts that began under it end as they would.
use pointspindle::Micros;
use pointspindle_config::DispatcherSettings;

#[derive(Debug)]
pub struct Hold {
    /// Half of the promised time.
    half: Micros,
    /// All purges acknowledged before this are in force here; none: nothing is proven yet.
    proven: Option<Micros>,
    /// By class: the operator's word that older copies are served all the same.
    exempt: Vec<bool>,
}

impl Hold {
    /// None: nothing is promised.
    pub fn of(settings: &DispatcherSettings) -> Option<Self> {
        let within = settings.etcd.as_ref().map_or(0, |e| e.purge_within_us);
        let exempt = settings.classes.iter().map(|c| c.purge_exempt).collect();
        (within > 0).then_some(Self {
            half: within / 2,
            proven: None,
            exempt,
        })
    }

    pub fn proven(&mut self, at: Micros) {
        self.proven = self.proven.max(Some(at));
    }

    pub fn is_proven(&self, now: Micros) -> bool {
        self.proven.is_some_and(|at| now < at + self.half)
    }

    /// The oldest copy that may be used now; none: any.
    pub fn limit(&self, now: Micros, class: usize) -> Option<Micros> {
        let held = !self.is_proven(now) && !self.exempt.get(class).copied().unwrap_or(false);
        held.then_some(self.half)
    }
}
