//! Restart detection: whether a process answers at an endpoint, and since when.
use super::MS;
use crate::ids::Micros;

/// Connections refused for this long, with no answer in between: no process is there, and what answers next is a
/// new incarnation. A single refusal or a broken connection is no restart.
const MIN_OUTAGE: Micros = 250 * MS;

/// Connections refused since the last answer.
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

/// An outage that ended.
#[derive(Debug, Clone, Copy)]
struct Outage {
    began_at: Micros,
    ended_at: Micros,
}

/// What this router observed of the processes at an endpoint.
///
/// An observed outage is forgotten when the endpoint list or a hello reports the start that ended it; everything
/// is forgotten with the endpoint.
#[derive(Debug, Clone, Default)]
pub(super) struct Presence {
    last_answer_at: Micros,
    refusals: Option<Refusals>,
    /// Marked silent since the last answer.
    silent: bool,
    outage: Option<Outage>,
    /// The last outage was only silence: the process may have been paused and not replaced.
    possibly_paused: bool,
}

impl Presence {
    /// A process that introduced itself: nothing is inferred any more.
    pub(super) fn introduced(now: Micros) -> Self {
        Self {
            last_answer_at: now,
            ..Self::default()
        }
    }

    /// A process answered, a new incarnation if there was none before.
    pub(super) fn answered(&mut self, now: Micros) {
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

    /// No process accepted a connection, or not the previous one.
    pub(super) fn refused(&mut self, since: Micros, now: Micros) {
        let first_at = self.refusals.map_or(since, |refusals| refusals.first_at);
        self.refusals = Some(Refusals {
            first_at,
            last_at: now,
        });
    }

    /// A broken connection may come from the old process as well as from a new one. A reset by a silent endpoint
    /// means that its process does not know the connection: another incarnation.
    pub(super) fn connection_reset(&mut self, now: Micros) {
        if self.silent {
            self.refused(self.last_answer_at, now);
        } else {
            self.last_answer_at = now;
        }
    }

    pub(super) fn mark_silent(&mut self) {
        self.silent = true;
    }

    /// The endpoint list reports a start: observations of an earlier one are void.
    pub(super) fn start_listed(&mut self, started_at: Micros) {
        self.refusals = self
            .refusals
            .filter(|refusals| refusals.last_at >= started_at);
        self.outage = self.outage.filter(|outage| outage.began_at >= started_at);
    }

    /// When the present incarnation started, as far as observed; 0: unknown. `now` while no process is there.
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
