//! Whose request a job at a member is, and which job an attempt or a fill is.
use pointspindle_audit::trace::ClientAttemptId;
use pointspindle_cache_model::{FillId, HostId, JobId};
use std::collections::HashMap;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Owner {
    /// An attempt of a dispatcher, in one of its lives.
    Attempt {
        dispatcher: usize,
        life: u32,
        request: u64,
        attempt: u32,
        id: ClientAttemptId,
    },
    /// A fill of another member, in one of its process's lives.
    Fill {
        host: HostId,
        start: u64,
        fill: FillId,
        id: Option<ClientAttemptId>,
    },
}

/// A job at a member, until its end.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    pub host: HostId,
    pub owner: Owner,
    /// Has arrived: its leaving is seen.
    pub reached: bool,
}

#[derive(Default)]
pub struct Links {
    next: JobId,
    jobs: HashMap<JobId, Job>,
    attempts: HashMap<(usize, u32, u64, u32), JobId>,
    fills: HashMap<FillId, JobId>,
}

impl Links {
    pub fn open(&mut self, host: HostId, owner: Owner) -> JobId {
        self.next += 1;
        match owner {
            Owner::Attempt {
                dispatcher,
                life,
                request,
                attempt,
                ..
            } => {
                self.attempts
                    .insert((dispatcher, life, request, attempt), self.next);
            }
            Owner::Fill { fill, .. } => {
                self.fills.insert(fill, self.next);
            }
        }
        self.jobs.insert(
            self.next,
            Job {
                host,
                owner,
                reached: false,
            },
        );
        self.next
    }

    pub fn get(&mut self, job: JobId) -> Option<&mut Job> {
        self.jobs.get_mut(&job)
    }

    pub fn close(&mut self, job: JobId) -> Option<Job> {
        let found = self.jobs.remove(&job)?;
        match found.owner {
            Owner::Attempt {
                dispatcher,
                life,
                request,
                attempt,
                ..
            } => {
                self.attempts.remove(&(dispatcher, life, request, attempt));
            }
            Owner::Fill { fill, .. } => {
                self.fills.remove(&fill);
            }
        }
        Some(found)
    }

    pub fn of_attempt(
        &self,
        dispatcher: usize,
        life: u32,
        request: u64,
        attempt: u32,
    ) -> Option<JobId> {
        self.attempts
            .get(&(dispatcher, life, request, attempt))
            .copied()
    }

    pub fn of_fill(&self, fill: FillId) -> Option<JobId> {
        self.fills.get(&fill).copied()
    }

    /// All jobs that fit, in the order of their numbers.
    pub fn all(&self, fits: impl Fn(&Job) -> bool) -> Vec<JobId> {
        let mut jobs: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, j)| fits(j))
            .map(|(id, _)| *id)
            .collect();
        jobs.sort_unstable();
        jobs
    }
}
