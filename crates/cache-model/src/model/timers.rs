//! Wake-ups of hosts and zone links, and the events that are due at them.
use super::CacheModel;
use crate::host::HostTimer;
use crate::{HostId, ModelInput};
use pointspindle::Micros;
use rand::Rng;

/// Interval at which the link of a host that is warming up is re-evaluated while it has transfers, microseconds.
const WARM_UP_STEP_US: Micros = 50_000;

/// The target of a wake-up. Wake-ups that are due at the same time run in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum WakeUp {
    Zone(usize),
    Host(HostId),
}

impl CacheModel {
    /// Runs all events up to `now`, each at its own time.
    pub(super) fn run_due_events(&mut self, now: Micros) {
        while let Some((at, wake_up)) = self.wake_ups.first().copied() {
            if at > now {
                break;
            }
            self.wake_ups.pop_first();
            self.now = at;
            match wake_up {
                WakeUp::Zone(zone) => self.wake_zone_link(zone),
                WakeUp::Host(host) => {
                    self.hosts[host].wake_up = None;
                    self.wake_host(host);
                    self.schedule_host(host);
                }
            }
        }
    }

    fn wake_zone_link(&mut self, zone: usize) {
        self.zone_links[zone].wake_up = None;
        while let Some(fill) = self.zone_links[zone].link.pop_ended(self.now) {
            let Some(host) = self.zone_transfers.remove(&fill) else {
                continue;
            };
            if let Some(fill) = self.hosts[host].fills.get_mut(fill) {
                fill.link_transfer = None;
            }
            self.finish_fill_if_complete(host, fill);
            self.schedule_host(host);
        }
        self.schedule_zone_link(zone);
    }

    /// Handles the events that are due at a host: ends of transfers, timers, a pause, and inputs deferred during a
    /// hang.
    fn wake_host(&mut self, host: HostId) {
        self.update_link(host);
        while let Some(job) = self.hosts[host].link.pop_ended(self.now) {
            self.transfer_ended(host, job);
        }
        while let Some((at, timer)) = self.hosts[host].timers.first().copied() {
            if at > self.now {
                break;
            }
            self.hosts[host].timers.pop_first();
            match timer {
                HostTimer::ServiceEnd(job) => self.service_ended(host, job),
                HostTimer::FillTimeout(fill) => self.fill_timed_out(host, fill),
                HostTimer::Reevaluate => {}
            }
        }
        self.pause_if_due(host);
        self.update_link(host);
        self.handle_deferred_inputs(host);
    }

    fn pause_if_due(&mut self, host: HostId) {
        let state = &mut self.hosts[host];
        if state.next_pause > 0 && self.now >= state.next_pause {
            let until = self.now + state.spec.pause_duration;
            state.hang_until(until);
            self.schedule_pause(host, until);
        }
    }

    fn handle_deferred_inputs(&mut self, host: HostId) {
        if self.hosts[host].is_hanging(self.now) {
            return;
        }
        for input in std::mem::take(&mut self.hosts[host].deferred) {
            match input {
                ModelInput::Arrive { job, request, .. } => self.accept(host, job, request),
                ModelInput::FillResponse { fill, response, .. } => {
                    self.fill_responded(host, fill, response);
                }
                ModelInput::FillEnded { fill, outcome, .. } => {
                    self.fill_ended(host, fill, outcome);
                }
                _ => {}
            }
        }
    }

    /// Draws the time of the next pause of a host's process, after `from`, and schedules it.
    pub(super) fn schedule_pause(&mut self, host: HostId, from: Micros) {
        let mean_interval = self.hosts[host].spec.pause_interval;
        if mean_interval == 0 {
            return;
        }
        let interval = -(mean_interval as f64) * (1.0 - self.rng.gen::<f64>()).ln();
        let at = from + interval as Micros + 1;
        self.hosts[host].next_pause = at;
        self.hosts[host].timers.insert((at, HostTimer::Reevaluate));
    }

    /// Updates the capacity of a host's link. While the capacity changes with the warm-up, schedules the next update.
    pub(super) fn update_link(&mut self, host: HostId) {
        let now = self.now;
        let state = &mut self.hosts[host];
        let capacity = state.capacity(now);
        state.link.set_capacity(now, capacity);
        if state.is_warming_up(now) && state.link.transfer_count() > 0 {
            // On a fixed grid, so that several calls schedule a single update.
            let next = (now / WARM_UP_STEP_US + 1) * WARM_UP_STEP_US;
            state.timers.insert((next, HostTimer::Reevaluate));
        }
    }

    /// Schedules the wake-up of a host for its next event.
    pub(super) fn schedule_host(&mut self, host: HostId) {
        let state = &mut self.hosts[host];
        let next = if state.up { state.next_event() } else { None };
        let scheduled = std::mem::replace(&mut state.wake_up, next);
        self.reschedule(WakeUp::Host(host), scheduled, next);
    }

    /// Schedules the wake-up of a zone's link for the end of its next transfer.
    pub(super) fn schedule_zone_link(&mut self, zone: usize) {
        let zone_link = &mut self.zone_links[zone];
        let next = zone_link.link.next_end();
        let scheduled = std::mem::replace(&mut zone_link.wake_up, next);
        self.reschedule(WakeUp::Zone(zone), scheduled, next);
    }

    fn reschedule(&mut self, wake_up: WakeUp, scheduled: Option<Micros>, next: Option<Micros>) {
        if scheduled == next {
            return;
        }
        if let Some(at) = scheduled {
            self.wake_ups.remove(&(at, wake_up));
        }
        if let Some(at) = next {
            self.wake_ups.insert((at, wake_up));
        }
    }
}
