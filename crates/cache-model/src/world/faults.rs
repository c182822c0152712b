//! Scripted trouble, and what ends a process.
use super::CacheModel;
use crate::host::Wait;
use crate::*;

impl CacheModel {
    pub(super) fn fault(
        &mut self,
        now: Micros,
        h: HostId,
        fault: Fault,
        out: &mut Vec<ModelOutput>,
    ) {
        let host = &mut self.hosts[h];
        let look = match fault {
            Fault::Hang { until } => {
                host.faults.hang = until;
                Some(until)
            }
            Fault::DropResponses { share, until } => {
                host.faults.lose = (share, until);
                None
            }
            Fault::TruncateResponses { share, until } => {
                host.faults.cut = (share, until);
                None
            }
            Fault::RejectRequests { until } => {
                host.faults.refuse = until;
                None
            }
            Fault::FailRequests { share, until } => {
                host.faults.err = (share, until);
                None
            }
            Fault::SlowDown { factor, until } => {
                host.faults.slow = (factor, until);
                Some(until)
            }
            Fault::Crash => {
                if host.up {
                    self.down(now, h, "the process ended", out);
                }
                return;
            }
            Fault::Restart => {
                if !host.up {
                    host.up = true;
                    host.start += 1;
                    host.started = Some(now);
                    host.hits = 0.0;
                    out.push(ModelOutput::HostUp { host: h });
                    self.plan_pause(now, h);
                    self.warm(now, h);
                    self.refresh(h);
                }
                return;
            }
        };
        if let Some(at) = look {
            host.waits.insert((at, Wait::Look));
        }
        self.warm(now, h);
        self.refresh(h);
    }

    pub(super) fn down(
        &mut self,
        now: Micros,
        h: HostId,
        why: &'static str,
        out: &mut Vec<ModelOutput>,
    ) {
        let fills: Vec<FillId> = self.hosts[h].fills.keys().copied().collect();
        for fill in fills {
            self.forget_fill(now, h, fill);
            out.push(ModelOutput::CancelFill { host: h, fill });
        }
        self.hosts[h].clear();
        self.hosts[h].up = false;
        self.refresh(h);
        out.push(ModelOutput::HostDown {
            host: h,
            reason: why,
        });
    }
}
