//! Faults of hosts, and the start and end of their processes.
use super::CacheModel;
use crate::host::HostTimer;
use crate::impairments::{RandomFault, SlowDown};
use crate::{Fault, HostId, ModelOutput};

impl CacheModel {
    pub(super) fn apply_fault(&mut self, host: HostId, fault: Fault) {
        let state = &mut self.hosts[host];
        let impairments = &mut state.impairments;
        match fault {
            Fault::Hang { until } => {
                impairments.hang_until = until;
                state.timers.insert((until, HostTimer::Reevaluate));
            }
            Fault::DropResponses { share, until } => {
                impairments.drop_responses = RandomFault { share, until };
            }
            Fault::TruncateResponses { share, until } => {
                impairments.truncate_responses = RandomFault { share, until };
            }
            Fault::RejectRequests { until } => impairments.reject_until = until,
            Fault::FailRequests { share, until } => {
                impairments.fail_requests = RandomFault { share, until };
            }
            Fault::SlowDown { factor, until } => {
                impairments.slow_down = SlowDown { factor, until };
                state.timers.insert((until, HostTimer::Reevaluate));
            }
            Fault::Crash => return self.crash(host),
            Fault::Restart => return self.restart(host),
        }
        self.update_link(host);
        self.schedule_host(host);
    }

    fn crash(&mut self, host: HostId) {
        if self.hosts[host].up {
            self.stop_host(host, "the process ended");
        }
    }

    /// Starts the host's process if it is down; has no effect on a running one.
    fn restart(&mut self, host: HostId) {
        if self.hosts[host].up {
            return;
        }
        self.hosts[host].start(self.now);
        self.emit(ModelOutput::HostUp { host });
        self.schedule_pause(host, self.now);
        self.update_link(host);
        self.schedule_host(host);
    }

    /// Ends a host's process; all its jobs, fills and copies are lost.
    pub(super) fn stop_host(&mut self, host: HostId, reason: &'static str) {
        for fill in self.hosts[host].fills.ids() {
            self.cancel_fill(host, fill);
        }
        self.hosts[host].stop();
        self.schedule_host(host);
        self.emit(ModelOutput::HostDown { host, reason });
    }
}
