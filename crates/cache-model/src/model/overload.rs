//! Overload, which crashes a host that is warming up and makes the origin hang for a time.
use super::CacheModel;
use crate::warm_up::{WarmUpLoad, WarmUpSpec, OVERLOAD_THRESHOLD};
use crate::{HostId, ModelRequest, Role};

/// Maximum number of outages of the origin by overload in one run.
const MAX_ORIGIN_OUTAGES: u32 = 2;

impl CacheModel {
    /// Records the work of a request, and crashes the host if the work exceeds its warm-up budget. Every attempt that
    /// reaches the host counts, even if it is only for a cached copy or is rejected. Returns whether the host crashed.
    pub(super) fn crash_if_overloaded(&mut self, host: HostId, request: &ModelRequest) -> bool {
        let work_s = self
            .class_of(request)
            .map_or(0.0, |class| class.mean_transfer_time as f64 / 1e6);
        let now = self.now;
        let state = &mut self.hosts[host];
        if state.spec.role == Role::Origin {
            self.record_origin_load(host, work_s);
            return false;
        }
        let Some(started) = state.started.filter(|_| state.is_warming_up(now)) else {
            return false;
        };
        let weight = state.spec.weight;
        let warm_up = state.spec.warm_up;
        let used = state
            .warm_up_load
            .record(now, started, weight, &warm_up, work_s);
        if used <= OVERLOAD_THRESHOLD {
            return false;
        }
        self.stop_host(host, "pushed over while cold");
        true
    }

    /// Records work at the origin, which hangs for its downtime when it is overloaded.
    fn record_origin_load(&mut self, host: HostId, work_s: f64) {
        let state = &mut self.hosts[host];
        let limit = WarmUpSpec {
            initial_share: 1.0,
            duration: 0,
            overload_factor: state.spec.overload.overload_factor,
            overload_window: state.spec.overload.window,
        };
        if limit.overload_factor <= 0.0 || self.origin.outages >= MAX_ORIGIN_OUTAGES {
            return;
        }
        let weight = state.spec.weight;
        let used = self.origin.load.record(self.now, 0, weight, &limit, work_s);
        if used > OVERLOAD_THRESHOLD {
            self.origin.outages += 1;
            self.origin.load = WarmUpLoad::default();
            state.hang_until(self.now + state.spec.overload.downtime);
            self.update_link(host);
        }
    }
}
