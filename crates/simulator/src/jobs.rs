//! The jobs at hosts, with their owners, and the job of each attempt and fill.
use crate::event::DispatcherIncarnation;
use pointspindle_audit::trace::ClientAttemptId;
use pointspindle_cache_model::{FillId, HostId, JobId};
use std::collections::HashMap;

/// An attempt of a dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct AttemptKey {
    pub dispatcher: DispatcherIncarnation,
    pub request: u64,
    pub attempt: u32,
}

/// A fill of a host, with the incarnation of the host that started it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct FillKey {
    pub host: HostId,
    pub incarnation: u64,
    pub fill: FillId,
}

/// The owner of a job, with the client's attempt that the job serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum JobOwner {
    Attempt(AttemptKey, ClientAttemptId),
    Fill(FillKey, Option<ClientAttemptId>),
}

impl JobOwner {
    /// Returns the dispatcher of an attempt; `None` for a fill.
    pub fn dispatcher(&self) -> Option<usize> {
        match self {
            Self::Attempt(key, _) => Some(key.dispatcher.dispatcher),
            Self::Fill(..) => None,
        }
    }

    /// Returns the client's attempt that the job serves, if it is known.
    pub fn client_attempt(&self) -> Option<ClientAttemptId> {
        match self {
            Self::Attempt(_, id) => Some(*id),
            Self::Fill(_, id) => *id,
        }
    }
}

/// A job at a host; it stays open until its end has reached its owner.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Job {
    pub host: HostId,
    pub owner: JobOwner,
    /// Whether the job has arrived at the host and has not ended there. The end of such a job is recorded in the trace.
    pub at_host: bool,
}

/// The open jobs.
#[derive(Default)]
pub(crate) struct JobTable {
    last_id: JobId,
    jobs: HashMap<JobId, Job>,
    attempts: HashMap<AttemptKey, JobId>,
    fills: HashMap<FillId, JobId>,
}

impl JobTable {
    /// Opens a job that has not arrived at its host yet; returns its id.
    pub fn open(&mut self, host: HostId, owner: JobOwner) -> JobId {
        self.last_id += 1;
        match owner {
            JobOwner::Attempt(key, _) => self.attempts.insert(key, self.last_id),
            JobOwner::Fill(key, _) => self.fills.insert(key.fill, self.last_id),
        };
        let job = Job {
            host,
            owner,
            at_host: false,
        };
        self.jobs.insert(self.last_id, job);
        self.last_id
    }

    /// Returns an open job.
    pub fn get(&self, job: JobId) -> Option<Job> {
        self.jobs.get(&job).copied()
    }

    /// Sets [`Job::at_host`] of an open job.
    pub fn set_at_host(&mut self, job: JobId, at_host: bool) {
        if let Some(job) = self.jobs.get_mut(&job) {
            job.at_host = at_host;
        }
    }

    /// Removes and returns a job.
    pub fn close(&mut self, job: JobId) -> Option<Job> {
        let closed = self.jobs.remove(&job)?;
        match closed.owner {
            JobOwner::Attempt(key, _) => self.attempts.remove(&key),
            JobOwner::Fill(key, _) => self.fills.remove(&key.fill),
        };
        Some(closed)
    }

    /// Returns the open job of an attempt.
    pub fn of_attempt(&self, key: AttemptKey) -> Option<JobId> {
        self.attempts.get(&key).copied()
    }

    /// Returns the open job of a fill.
    pub fn of_fill(&self, fill: FillId) -> Option<JobId> {
        self.fills.get(&fill).copied()
    }

    /// Returns the jobs that have arrived at a host and have not ended there, ordered by id.
    pub fn at_host(&self, host: HostId) -> Vec<JobId> {
        self.matching(|job| job.host == host && job.at_host)
    }

    /// Returns the jobs of a dispatcher's attempts, ordered by id.
    pub fn of_dispatcher(&self, dispatcher: DispatcherIncarnation) -> Vec<JobId> {
        self.matching(|job| match job.owner {
            JobOwner::Attempt(key, _) => key.dispatcher == dispatcher,
            JobOwner::Fill(..) => false,
        })
    }

    fn matching(&self, matches: impl Fn(&Job) -> bool) -> Vec<JobId> {
        let mut jobs: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, job)| matches(job))
            .map(|(id, _)| *id)
            .collect();
        jobs.sort_unstable();
        jobs
    }
}
