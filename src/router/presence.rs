//! Restart detection: infers whether a process runs at an endpoint, and when it started.
use super::MS;
use crate::ids::Micros;

/// If connections are refused for this long without an answer in between, no process is running and the next answer
/// comes from a new incarnation. A single refused or reset connection does not indicate a restart.
const MIN_OUTAGE: Micros = 250 * MS;

/// Times of the first and last refused connection since the last answer.
#[derive(Debug, Clone, Copy)]
struct Refusals {
    first_at: Micros,
    last_at: Micros,
}

impl Refusals {
    fn is_outage(&self) -> bool {
        self.last_at >= self.first_at + MIN_OUTAGE
    }
}

/// An outage that has ended.
#[derive(Debug, Clone, Copy)]
struct Outage {
    began_at: Micros,
    ended_at: Micros,
}

/// What this router has observed of the processes at an endpoint.
///
/// An observed outage is discarded when the endpoint list or a hello reports the start that ended it. All state is
/// dropped with the endpoint.
#[derive(Debug, Clone, Default)]
pub(super) struct Presence {
    last_answer_at: Micros,
    refusals: Option<Refusals>,
    /// Whether the endpoint has been marked silent since its last answer.
    silent: bool,
    outage: Option<Outage>,
    /// Whether the last outage consisted of silence only: the process may have been paused rather than replaced.
    possibly_paused: bool,
}

impl Presence {
    /// Returns the state after a hello, which reports the start time exactly and so replaces all inferred state.
    pub(super) fn after_hello(now: Micros) -> Self {
        Self {
            last_answer_at: now,
            ..Self::default()
        }
    }

    /// Records an answer. If an outage preceded it, the answer comes from a new incarnation.
    pub(super) fn record_answer(&mut self, now: Micros) {
        let refused = self.refusals.take().filter(Refusals::is_outage);
        if refused.is_some() || self.silent {
            self.outage = Some(Outage {
                began_at: refused.map_or(self.last_answer_at, |refusals| refusals.first_at),
                ended_at: now,
            });
            self.possibly_paused = refused.is_none();
        }
        self.last_answer_at = now;
        self.silent = false;
    }

    /// Records that the previous process no longer accepts connections, observed from `since` until `now`.
    pub(super) fn record_refusal(&mut self, since: Micros, now: Micros) {
        let first_at = self.refusals.map_or(since, |refusals| refusals.first_at);
        self.refusals = Some(Refusals {
            first_at,
            last_at: now,
        });
    }

    /// Records a connection reset. It may come from the previous process as well as from a new one. A reset by a silent
    /// endpoint means that its process does not know the connection, and is therefore a new incarnation.
    pub(super) fn record_reset(&mut self, now: Micros) {
        if self.silent {
            self.record_refusal(self.last_answer_at, now);
        } else {
            self.last_answer_at = now;
        }
    }

    pub(super) fn mark_silent(&mut self) {
        self.silent = true;
    }

    /// Discards observations that precede a start reported by the endpoint list.
    pub(super) fn apply_listed_start(&mut self, started_at: Micros) {
        self.refusals = self
            .refusals
            .filter(|refusals| refusals.last_at >= started_at);
        self.outage = self.outage.filter(|outage| outage.began_at >= started_at);
    }

    /// Returns when the current incarnation was observed to start: 0 if unknown, `now` while no process is running.
    pub(super) fn observed_start(&self, now: Micros) -> Micros {
        if self.refusals.is_some_and(|refusals| refusals.is_outage()) {
            return now;
        }
        self.outage.map_or(0, |outage| outage.ended_at)
    }

    pub(super) fn last_answer_at(&self) -> Micros {
        self.last_answer_at
    }

    pub(super) fn possibly_paused(&self) -> bool {
        self.possibly_paused
    }
}
