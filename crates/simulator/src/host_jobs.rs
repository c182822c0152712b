//! Jobs at hosts: the inputs and outputs of the cache model, and the messages between hosts and the jobs' owners.
use crate::event::{Event, JobEnd};
use crate::jobs::{FillKey, Job, JobOwner};
use crate::simulation::{Simulation, EPOCH};
use pointspindle::Micros;
use pointspindle_audit::trace::{AttemptOutcome, ClientAttemptId, TraceEvent};
use pointspindle_cache_model::{
    FillId, FillOutcome, HostId, JobId, ModelInput, ModelOutput, ModelRequest, ModelResponse,
};

impl From<JobEnd> for FillOutcome {
    fn from(end: JobEnd) -> Self {
        match end {
            JobEnd::Completed => Self::Complete,
            JobEnd::Rejected {
                status,
                cache_status,
                ..
            } => Self::Rejected {
                status,
                cache_status,
            },
            JobEnd::ConnectionLost | JobEnd::ConnectionRefused => Self::Unreachable,
        }
    }
}

impl Simulation<'_> {
    /// Returns the zone of the dispatcher or host that owns a job.
    pub fn zone_of_owner(&self, owner: &JobOwner) -> usize {
        match owner {
            JobOwner::Attempt(key, _) => self
                .scenario
                .branch_of_dispatcher(key.dispatcher.dispatcher),
            JobOwner::Fill(key, _) => self.hosts.zone(key.host),
        }
    }

    /// Returns the one-way latency between a job's owner and its host, in microseconds.
    pub fn latency(&self, owner: &JobOwner, host: HostId) -> Micros {
        self.scenario
            .latency_between(self.zone_of_owner(owner), self.hosts.zone(host))
    }

    /// Whether a host accepts connections.
    pub fn is_reachable(&self, host: HostId) -> bool {
        self.cache_model.is_up(host) && !self.unreachable_hosts.contains(&host)
    }

    /// Returns the current incarnation of a host's process.
    pub fn host_incarnation(&self, host: HostId) -> u64 {
        self.cache_model.incarnation(host).0
    }

    /// Passes an input to the cache model and carries out its outputs.
    pub fn model_input(&mut self, input: ModelInput) {
        let mut outputs = Vec::new();
        self.cache_model
            .handle(EPOCH + self.now, input, &mut outputs);
        for output in outputs {
            self.model_output(output);
        }
        let timer = self.cache_model.next_timer();
        self.cache_model_timer = timer.map(|at| at.saturating_sub(EPOCH));
    }

    fn model_output(&mut self, output: ModelOutput) {
        match output {
            ModelOutput::ResponseStart { job, response, .. } => {
                if let Some(open) = self.jobs.get(job) {
                    let latency = self.latency(&open.owner, open.host);
                    self.schedule_in(latency, Event::JobResponds(job, response));
                }
            }
            ModelOutput::ResponseEnd { job, .. } => {
                self.end_job(job, JobEnd::Completed, AttemptOutcome::Completed);
            }
            ModelOutput::Reject {
                job,
                status,
                cache_status,
                may_have_run,
                ..
            } => {
                let end = JobEnd::Rejected {
                    status,
                    cache_status,
                    may_have_run,
                };
                self.end_job(job, end, AttemptOutcome::Completed);
            }
            ModelOutput::Disconnect { job, .. } => {
                self.end_job(job, JobEnd::ConnectionLost, AttemptOutcome::ConnectionLost);
            }
            ModelOutput::HostDown { host, reason } => self.host_down(host, reason),
            ModelOutput::HostUp { host } => self.host_up(host),
            ModelOutput::StartFill {
                host,
                fill,
                source,
                request,
            } => self.start_fill(host, fill, &source, request),
            ModelOutput::CancelFill { fill, .. } => {
                if let Some(job) = self.jobs.of_fill(fill) {
                    self.cancel_job(job);
                }
            }
        }
    }

    fn host_down(&mut self, host: HostId, reason: &str) {
        self.record(TraceEvent::HostCrashed {
            host: self.hosts.address(host),
            reason: reason.into(),
        });
        self.close_connections(host);
        for job in self.jobs.at_host(host) {
            self.end_job(job, JobEnd::ConnectionLost, AttemptOutcome::ConnectionLost);
        }
    }

    fn host_up(&mut self, host: HostId) {
        self.record(TraceEvent::HostStarted {
            host: self.hosts.address(host),
            cold: true,
            incarnation: self.host_incarnation(host),
        });
        self.start_slow_start(host);
        self.reconnect_to(host);
    }

    fn start_fill(&mut self, host: HostId, fill: FillId, source: &str, request: ModelRequest) {
        let id = ClientAttemptId::parse(&request.trace);
        let key = FillKey {
            host,
            incarnation: self.host_incarnation(host),
            fill,
        };
        // No host has the address of the source: the fill times out.
        let Some(source) = self.cache_model.host_by_address(source) else {
            return;
        };
        let owner = JobOwner::Fill(key, id);
        let job = self.jobs.open(source, owner);
        let latency = self.latency(&owner, source);
        self.schedule_in(latency, Event::JobArrives(job, request));
    }

    /// Handles a job that arrives at its host, which refuses it if it accepts no connections.
    pub fn job_arrives(&mut self, job: JobId, request: ModelRequest) {
        let Some(Job { host, owner, .. }) = self.jobs.get(job) else {
            return;
        };
        if !self.is_reachable(host) {
            let latency = self.latency(&owner, host);
            let refused = Event::JobEnds(job, JobEnd::ConnectionRefused);
            return self.schedule_in(latency, refused);
        }
        self.jobs.set_at_host(job, true);
        self.count_arrived_work(host, owner.dispatcher(), request.class);
        self.record(TraceEvent::AttemptArrived {
            host: self.hosts.address(host),
            dispatcher: owner.dispatcher(),
            id: owner.client_attempt(),
            attempt: request.attempt,
            source: request.source.clone(),
            class: request.class,
        });
        self.model_input(ModelInput::Arrive { host, job, request });
    }

    /// Sends the cancellation of a job from its owner to its host.
    pub fn cancel_job(&mut self, job: JobId) {
        if let Some(open) = self.jobs.get(job) {
            let latency = self.latency(&open.owner, open.host);
            self.schedule_in(latency, Event::JobCancelled(job));
        }
    }

    /// Handles a cancellation that arrives at the job's host.
    pub fn job_cancelled(&mut self, job: JobId) {
        let Some(closed) = self.jobs.close(job) else {
            return;
        };
        self.record_job_end(&closed, AttemptOutcome::Cancelled);
        let host = closed.host;
        self.model_input(ModelInput::Cancel { host, job });
    }

    fn record_job_end(&mut self, job: &Job, outcome: AttemptOutcome) {
        if !job.at_host {
            return;
        }
        let attempt = match job.owner {
            JobOwner::Attempt(key, _) => key.attempt,
            JobOwner::Fill(..) => 0,
        };
        self.record(TraceEvent::AttemptEnded {
            host: self.hosts.address(job.host),
            id: job.owner.client_attempt(),
            attempt,
            dispatcher: job.owner.dispatcher(),
            outcome,
        });
    }

    /// Ends a job at its host and sends the end to the owner.
    pub fn end_job(&mut self, job: JobId, end: JobEnd, outcome: AttemptOutcome) {
        let Some(ended) = self.jobs.get(job) else {
            return;
        };
        self.jobs.set_at_host(job, false);
        self.record_job_end(&ended, outcome);
        let latency = self.latency(&ended.owner, ended.host);
        self.schedule_in(latency, Event::JobEnds(job, end));
    }

    /// Handles the head of a response that arrives at the job's owner.
    pub fn job_responds(&mut self, job: JobId, response: ModelResponse) {
        let Some(open) = self.jobs.get(job) else {
            return;
        };
        match open.owner {
            JobOwner::Attempt(key, _) => self.attempt_responds(key, &response),
            JobOwner::Fill(key, _) => {
                if self.host_incarnation(key.host) == key.incarnation {
                    self.model_input(ModelInput::FillResponse {
                        host: key.host,
                        fill: key.fill,
                        response,
                    });
                }
            }
        }
    }

    /// Handles the end of a job that arrives at its owner.
    pub fn job_ends(&mut self, job: JobId, end: JobEnd) {
        let Some(closed) = self.jobs.close(job) else {
            return;
        };
        match closed.owner {
            JobOwner::Attempt(key, _) => self.attempt_ends(key, end),
            JobOwner::Fill(key, _) => {
                if self.host_incarnation(key.host) == key.incarnation {
                    self.model_input(ModelInput::FillEnded {
                        host: key.host,
                        fill: key.fill,
                        outcome: end.into(),
                    });
                }
            }
        }
    }
}
