//! Passes inputs and timer ticks to the cache model and carries out its outputs.
use super::fills;
use super::hosts::{EmulatedHosts, HostLeases, Job, JobEvent, Rejection, State};
use super::leases;
use pointspindle::Micros;
use pointspindle_audit::trace::TraceEvent;
use pointspindle_cache_host::lease::LeaseHolderId;
use pointspindle_cache_model::{FillId, HostId, JobId, ModelInput, ModelOutput, ModelRequest};
use std::collections::HashMap;
use std::sync::MutexGuard;
use std::time::Duration;
use tokio::sync::mpsc;

/// A request that has arrived at a host.
pub(super) struct ArrivedJob {
    pub job: JobId,
    pub events: mpsc::UnboundedReceiver<JobEvent>,
}

impl EmulatedHosts {
    /// Starts the listeners of all hosts that are up and the task that drives the model's timers.
    pub async fn start(&self) -> std::io::Result<()> {
        let up: Vec<HostId> = {
            let state = self.lock();
            let all = state.model.hosts().map(|(host, _)| host);
            all.filter(|host| state.model.is_up(*host)).collect()
        };
        for host in up {
            self.listen(host).await?;
        }
        let hosts = self.clone();
        tokio::spawn(async move { hosts.drive_timers().await });
        Ok(())
    }

    /// Passes an input to the model and carries out the outputs.
    pub fn apply(&self, input: ModelInput) {
        self.apply_locked(self.lock(), input);
    }

    /// Passes a request to the model. `user` is the lease user that sent it, if any.
    pub(super) fn submit_request(
        &self,
        host: HostId,
        user: Option<LeaseHolderId>,
        request: ModelRequest,
    ) -> ArrivedJob {
        let (events, receiver) = mpsc::unbounded_channel();
        let mut state = self.lock();
        let job = state.next_job();
        state.jobs.insert(job, Job { host, events });
        if let Some(leasing) = state.leasing.get_mut(&host) {
            let class = self.shared().classes.get(request.class);
            let work_seconds = class.map_or(0.0, |class| class.mean_transfer_time as f64 / 1e6);
            leasing.ledger.record_arrival(user, work_seconds);
        }
        self.apply_locked(state, ModelInput::Arrive { host, job, request });
        ArrivedJob {
            job,
            events: receiver,
        }
    }

    /// Removes a job, so that no further events are sent for it.
    pub(super) fn remove_job(&self, job: JobId) {
        self.lock().jobs.remove(&job);
    }

    /// Passes a tick to the model whenever one of its timers is due.
    async fn drive_timers(&self) {
        loop {
            let next_timer = self.lock().model.next_timer();
            let Some(at) = next_timer else {
                self.shared().timer_changed.notified().await;
                continue;
            };
            let wait = Duration::from_micros(at.saturating_sub(self.now()));
            tokio::select! {
                _ = tokio::time::sleep(wait) => self.apply(ModelInput::Tick),
                _ = self.shared().timer_changed.notified() => {}
            }
        }
    }

    fn apply_locked(&self, mut state: MutexGuard<'_, State>, input: ModelInput) {
        let now = self.now();
        let mut outputs = std::mem::take(&mut state.outputs);
        state.model.handle(now, input, &mut outputs);
        for output in outputs.drain(..) {
            self.apply_output(&mut state, now, output);
        }
        state.outputs = outputs;
        self.shared().timer_changed.notify_one();
    }

    fn apply_output(&self, state: &mut State, now: Micros, output: ModelOutput) {
        match output {
            ModelOutput::ResponseStart { job, response, .. } => {
                send_event(state, job, JobEvent::Start(response));
            }
            ModelOutput::ResponseEnd { job, .. } => send_event(state, job, JobEvent::Finish),
            ModelOutput::Reject {
                job,
                status,
                cache_status,
                may_have_run,
                load,
                ..
            } => {
                let rejection = Rejection {
                    status,
                    cache_status,
                    may_have_run,
                    load,
                };
                send_event(state, job, JobEvent::Reject(rejection));
            }
            ModelOutput::Disconnect { job, .. } => send_event(state, job, JobEvent::Disconnect),
            ModelOutput::StartFill {
                host,
                fill,
                source,
                request,
            } => self.start_fill(state, host, fill, source, request),
            ModelOutput::CancelFill { fill, .. } => {
                if let Some(task) = state.fills.remove(&fill) {
                    task.abort();
                }
            }
            ModelOutput::HostDown { host, reason } => self.host_down(state, host, reason),
            ModelOutput::HostUp { host } => self.host_up(state, host, now),
        }
    }

    fn start_fill(
        &self,
        state: &mut State,
        host: HostId,
        fill: FillId,
        source: String,
        request: ModelRequest,
    ) {
        let task = tokio::spawn(fills::run_fill(self.clone(), host, fill, source, request));
        state.fills.retain(|_, task| !task.is_finished());
        state.fills.insert(fill, task.abort_handle());
    }

    fn host_down(&self, state: &mut State, host: HostId, reason: &str) {
        self.shared().recorder.record(TraceEvent::HostCrashed {
            host: state.address_of(host),
            reason: reason.into(),
        });
        if let Some(listener) = state.listeners.remove(&host) {
            listener.abort();
        }
        state.leasing.remove(&host);
        state.jobs.retain(|_, job| {
            if job.host == host {
                let _ = job.events.send(JobEvent::HostDown);
            }
            job.host != host
        });
    }

    fn host_up(&self, state: &mut State, host: HostId, now: Micros) {
        let (incarnation, _) = state.model.incarnation(host);
        self.shared().recorder.record(TraceEvent::HostStarted {
            host: state.address_of(host),
            cold: true,
            incarnation,
        });
        let spec = state.model.host_spec(host);
        let factory = self.shared().options.ledger_factory.as_ref();
        let ledger = factory.and_then(|factory| factory.create(spec.role, spec.weight, now));
        if let Some(ledger) = ledger {
            let connections = HashMap::new();
            state.leasing.insert(
                host,
                HostLeases {
                    ledger,
                    connections,
                },
            );
            tokio::spawn(leases::grant_leases(self.clone(), host, incarnation));
        }
        let hosts = self.clone();
        tokio::spawn(async move {
            if let Err(e) = hosts.listen(host).await {
                tracing::error!(host, error = %e, "restarted host cannot listen and stays down");
            }
        });
    }
}

fn send_event(state: &State, job: JobId, event: JobEvent) {
    if let Some(job) = state.jobs.get(&job) {
        let _ = job.events.send(event);
    }
}
