//! The clients, which send the calls of the traffic, retry, cancel, and time out.
use crate::dispatcher::DispatcherState;
use crate::event::Event;
use crate::simulation::Simulation;
use pointspindle::Micros;
use pointspindle_audit::trace::{ClientAttemptId, ClientOutcome, TraceEvent};
use pointspindle_dispatcher::{ClientRequest, Input};
use pointspindle_scenario::{Idempotency, RequestClass};
use std::collections::HashMap;

/// Time for which a client keeps its connection open after the deadline of a request, in microseconds.
const RESPONSE_GRACE_US: Micros = 1_000_000;
/// Latency between a client and its dispatcher, one way, in microseconds.
pub(crate) const CLIENT_LATENCY_US: Micros = 500;

/// An attempt that waits for its response.
struct WaitingAttempt {
    dispatcher: usize,
    /// The dispatcher's number of the request; `None` until the request has arrived there.
    request: Option<u64>,
}

/// The state of the clients' calls.
#[derive(Default)]
pub(crate) struct Clients {
    waiting: HashMap<ClientAttemptId, WaitingAttempt>,
    /// Number of attempts that reached no dispatcher, by call.
    unreached: HashMap<u64, u32>,
}

impl Clients {
    /// Whether any client waits for a response.
    pub fn any_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Returns the attempts that are in transit to a dispatcher, in no particular order.
    pub fn in_transit_to(&self, dispatcher: usize) -> impl Iterator<Item = ClientAttemptId> + '_ {
        self.waiting
            .iter()
            .filter(move |(_, waiting)| {
                waiting.dispatcher == dispatcher && waiting.request.is_none()
            })
            .map(|(id, _)| *id)
    }

    fn count_unreached(&mut self, id: ClientAttemptId) {
        *self.unreached.entry(id.call).or_default() += 1;
    }
}

impl Simulation<'_> {
    fn class_of(&self, id: ClientAttemptId) -> &RequestClass {
        let call = &self.calls[id.call as usize];
        &self.scenario.workload.classes[call.class]
    }

    /// Whether the request of an attempt may be executed more than once.
    pub fn is_idempotent(&self, id: ClientAttemptId) -> bool {
        self.class_of(id).idempotency == Idempotency::Idempotent
    }

    /// Sends a client's attempt; the client retries later if the dispatcher accepts no requests.
    pub fn client_sends(&mut self, id: ClientAttemptId) {
        let call = &self.calls[id.call as usize];
        let unreached = self.clients.unreached.get(&id.call).copied().unwrap_or(0);
        let dispatcher = self
            .scenario
            .dispatcher_for(call, id.call, id.attempt, unreached);
        if self.dispatchers[dispatcher].state != DispatcherState::Running {
            self.clients.count_unreached(id);
            return self.retry(id, None);
        }
        let deadline = self.now + self.class_of(id).deadline;
        self.record(TraceEvent::RequestSent {
            id,
            dispatcher,
            class: call.class,
            object_number: call.object_number,
            group: call.group,
            part: call.part,
            deadline,
        });
        let waiting = WaitingAttempt {
            dispatcher,
            request: None,
        };
        self.clients.waiting.insert(id, waiting);
        self.schedule_in(CLIENT_LATENCY_US, Event::RequestArrives(id));
        self.events
            .schedule(deadline + RESPONSE_GRACE_US, Event::ClientTimesOut(id));
        let cancel_after = call.cancel_after.filter(|_| id.attempt == 0);
        if let Some(delay) = cancel_after {
            self.schedule_in(delay, Event::ClientCancels(id));
        }
    }

    /// Handles a request that arrives at its dispatcher.
    pub fn request_arrives(&mut self, id: ClientAttemptId) {
        let Some(waiting) = self.clients.waiting.get_mut(&id) else {
            return;
        };
        let dispatcher = waiting.dispatcher;
        if !self.dispatchers[dispatcher].is_up() {
            return;
        }
        let request = self.dispatchers[dispatcher].requests.accept(id);
        waiting.request = Some(request);
        let call = &self.calls[id.call as usize];
        // An HTTP request does not carry the size of the object.
        let size =
            Some(call.size).filter(|_| self.scenario.dispatchers.knows_sizes && !call.uses_http);
        let client_request = ClientRequest {
            class: call.class,
            object: call.object.clone(),
            part: call.part,
            group: call.group,
            time_left: self.class_of(id).deadline,
            size,
            idempotency_key: None,
        };
        self.core_input(dispatcher, Input::Request(request, client_request));
    }

    /// Cancels a client's request, unless it has ended.
    pub fn client_cancels(&mut self, id: ClientAttemptId) {
        if self.clients.waiting.contains_key(&id) {
            self.record(TraceEvent::RequestEnded {
                id,
                outcome: ClientOutcome::Cancelled,
            });
            self.client_disconnects(id);
        }
    }

    /// Closes the client's connection after it cancelled the request or received no response.
    pub fn client_disconnects(&mut self, id: ClientAttemptId) {
        let Some(waiting) = self.clients.waiting.remove(&id) else {
            return;
        };
        if let Some(request) = waiting.request {
            let dispatcher = waiting.dispatcher;
            self.dispatchers[dispatcher]
                .requests
                .client_disconnected(request);
            self.core_input(dispatcher, Input::ClientDisconnected(request));
        }
    }

    /// A final response leaves the dispatcher for the client.
    pub fn respond(&mut self, dispatcher: usize, request: u64, outcome: ClientOutcome) {
        if let Some(id) = self.dispatchers[dispatcher].requests.end(request) {
            self.schedule_in(CLIENT_LATENCY_US, Event::ResponseArrives(id, outcome));
        }
    }

    /// Handles a final response that arrives at its client, which may retry.
    pub fn response_arrives(&mut self, id: ClientAttemptId, outcome: ClientOutcome) {
        if self.clients.waiting.remove(&id).is_none() {
            return;
        }
        self.record(TraceEvent::RequestEnded {
            id,
            outcome: outcome.clone(),
        });
        if outcome == ClientOutcome::ConnectionLost {
            self.clients.count_unreached(id);
        }
        match outcome {
            ClientOutcome::Rejected { retry_after } => {
                let call = &self.calls[id.call as usize];
                self.retry(id, retry_after.filter(|_| call.honours_retry_after));
            }
            ClientOutcome::Failed | ClientOutcome::Truncated | ClientOutcome::ConnectionLost
                if self.is_idempotent(id) =>
            {
                self.retry(id, None);
            }
            _ => {}
        }
    }

    /// Schedules the client's next attempt, if it has one left.
    fn retry(&mut self, id: ClientAttemptId, retry_after: Option<Micros>) {
        if id.attempt >= self.scenario.clients.retries {
            return;
        }
        let call = &self.calls[id.call as usize];
        let delay = self.scenario.retry_delay(call, id.attempt, retry_after);
        let next = ClientAttemptId {
            attempt: id.attempt + 1,
            ..id
        };
        self.schedule_in(delay, Event::ClientSends(next));
    }
}
