//! Detection of silent endpoints, which accept requests but do not respond.
use super::outcome::Fault;
use super::outlier::Severity;
use super::requests::Attempt;
use super::{Router, MS};
use crate::action::Action;
use crate::event::Request;
use crate::ids::{EndpointId, Micros};
use crate::settings::Idempotency;
use std::collections::BTreeMap;

/// A response is overdue after this time plus `OVERDUE_TRANSFER_FACTOR` times its transfer time.
const OVERDUE_AFTER: Micros = 300 * MS;
const OVERDUE_TRANSFER_FACTOR: f64 = 2.0;
/// Number of overdue responses after which an endpoint that has not answered since counts as silent.
const MIN_OVERDUE_RESPONSES: usize = 2;

impl Router {
    /// Ejects silent endpoints and cancels the attempts at them, which are then retried elsewhere. Sources of fills
    /// are not checked, since a silent source cannot be told apart from a saturated link.
    pub(super) fn eject_silent_endpoints(&mut self, now: Micros, actions: &mut Vec<Action>) {
        for (id, overdue) in self.count_overdue(now) {
            let is_probed = self
                .endpoints
                .get(id)
                .is_some_and(|endpoint| endpoint.health.is_suspect());
            if overdue >= MIN_OVERDUE_RESPONSES || is_probed {
                if let Some(endpoint) = self.endpoints.get_mut(id) {
                    endpoint.presence.mark_silent();
                }
                self.record_failure(now, id, Severity::Unreachable);
                self.cancel_attempts_at(id, actions);
            }
        }
    }

    fn count_overdue(&self, now: Micros) -> BTreeMap<EndpointId, usize> {
        let mut overdue = BTreeMap::new();
        for open in self.requests.iter() {
            for attempt in &open.in_flight {
                if attempt.cancelled.is_none() && self.is_overdue(now, &open.request, attempt) {
                    *overdue.entry(attempt.endpoint).or_default() += 1;
                }
            }
        }
        overdue
    }

    /// Whether the response to an attempt is overdue and the endpoint has not answered any request since the attempt
    /// was sent.
    fn is_overdue(&self, now: Micros, request: &Request, attempt: &Attempt) -> bool {
        let transfer_s = self.transfer_times.seconds(request.class, request.size_kb);
        let due_at = attempt.sent_at
            + OVERDUE_AFTER
            + (OVERDUE_TRANSFER_FACTOR * 1e6 * transfer_s) as Micros;
        let last_answer_at = self
            .endpoints
            .get(attempt.endpoint)
            .map_or(now, |endpoint| endpoint.presence.last_answer_at());
        now > due_at && last_answer_at < attempt.sent_at
    }

    /// Cancels the attempts at an endpoint, except those that could not be retried.
    fn cancel_attempts_at(&mut self, id: EndpointId, actions: &mut Vec<Action>) {
        if !self.settings.may_cancel {
            return;
        }
        for (request_id, open) in self.requests.iter_mut() {
            let class = &self.settings.classes[open.request.class];
            if class.idempotency == Idempotency::NotIdempotent {
                continue;
            }
            for attempt in &mut open.in_flight {
                if attempt.cancelled.is_none() && attempt.endpoint == id {
                    attempt.cancelled = Some(Fault::Endpoint);
                    actions.push(Action::Cancel {
                        request: request_id,
                        attempt: attempt.number,
                    });
                }
            }
        }
    }
}
