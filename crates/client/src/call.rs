//! A call in progress: drives the state machine of [`call_state`](crate::call_state) over the transports.
use crate::call_state::{Action, AttemptEnd, CallState, Outcome};
use crate::channel::Attempt;
use crate::client::Shared;
use crate::retry::{Micros, RetryState};
use crate::{CallEvent, Request};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// A call in progress. Dropping it before its end cancels it.
pub struct Call {
    client: Arc<Shared>,
    request: Request,
    /// Call id, the same for all attempts of the call.
    id: String,
    state: CallState,
    pending: VecDeque<Action>,
    live: Option<LiveAttempt>,
    wake_at: Option<Micros>,
    started: bool,
    ended: bool,
}

struct LiveAttempt {
    number: u32,
    attempt: Attempt,
}

/// An event for which [`Call::next_event`] waits.
enum Event {
    Attempt {
        number: u32,
        progress: Result<CallEvent, AttemptEnd>,
    },
    WakeUp,
}

impl Call {
    pub(crate) fn new(client: Arc<Shared>, request: Request, id: String) -> Self {
        let deadline = client.now() + request.deadline.as_micros() as Micros;
        let state = CallState::new(request.idempotency, deadline);
        Self {
            client,
            request,
            id,
            state,
            pending: VecDeque::new(),
            live: None,
            wake_at: None,
            started: false,
            ended: false,
        }
    }

    /// Number of attempts made so far.
    pub fn attempts(&self) -> u32 {
        self.state.attempts()
    }

    /// Returns the call's next event, and `None` after [`CallEvent::End`]. Flow control limits the body to the rate at
    /// which the caller takes it.
    pub async fn next(&mut self) -> Option<CallEvent> {
        if self.ended {
            return None;
        }
        if !self.started {
            self.started = true;
            self.report(CallState::start);
        }
        loop {
            while let Some(action) = self.pending.pop_front() {
                if let Some(outcome) = self.perform(action).await {
                    return Some(CallEvent::End(outcome));
                }
            }
            let event = self.next_event().await;
            if let Some(call_event) = self.handle(event) {
                return Some(call_event);
            }
        }
    }

    /// Reports an event to the state machine and queues its actions.
    fn report(
        &mut self,
        event: impl FnOnce(&mut CallState, Micros, &mut RetryState, &mut Vec<Action>),
    ) {
        let mut actions = Vec::new();
        let now = self.client.now();
        event(
            &mut self.state,
            now,
            &mut self.client.retries(),
            &mut actions,
        );
        self.pending.extend(actions);
    }

    fn attempt_ended(&mut self, number: u32, end: AttemptEnd) {
        self.report(|state, now, retries, actions| {
            state.attempt_ended(now, number, end, retries, actions);
        });
    }

    /// Executes an action. Returns the outcome if the call has ended.
    async fn perform(&mut self, action: Action) -> Option<Outcome> {
        match action {
            Action::Start {
                attempt,
                dispatcher,
                time_left,
            } => self.start_attempt(attempt, dispatcher, time_left).await,
            Action::Cancel { .. } => self.live = None,
            Action::WakeAt(at) => self.wake_at = Some(at),
            Action::Finish(outcome) => {
                self.live = None;
                self.ended = true;
                return Some(outcome);
            }
        }
        None
    }

    async fn start_attempt(&mut self, number: u32, dispatcher: usize, time_left: Micros) {
        // The previous attempt is dropped first, so that its cancellation is sent before the next attempt.
        self.live = None;
        let channel = &self.client.channels[dispatcher];
        let sent = channel.send(&self.request, &self.id, time_left);
        // The call's deadline also limits the time for connecting.
        match tokio::time::timeout(Duration::from_micros(time_left), sent).await {
            Ok(Ok(attempt)) => self.live = Some(LiveAttempt { number, attempt }),
            Ok(Err(end)) => self.attempt_ended(number, end),
            // The deadline passed while the attempt was being sent; part of it may have been sent.
            Err(_) => self.report(CallState::wake),
        }
    }

    async fn next_event(&mut self) -> Event {
        let wait = self.wake_at.map_or(Duration::ZERO, |at| {
            Duration::from_micros(at.saturating_sub(self.client.now()))
        });
        tokio::select! {
            biased;
            event = next_attempt_event(&mut self.live) => event,
            () = tokio::time::sleep(wait) => Event::WakeUp,
        }
    }

    /// Handles an event and returns the [`CallEvent`] to pass to the caller, if any.
    fn handle(&mut self, event: Event) -> Option<CallEvent> {
        match event {
            Event::Attempt {
                number,
                progress: Ok(CallEvent::Head(head)),
            } => {
                let now = self.client.now();
                let retries = &mut self.client.retries();
                let accepted = self.state.response_started(now, number, retries);
                return accepted.then_some(CallEvent::Head(head));
            }
            Event::Attempt {
                progress: Ok(call_event),
                ..
            } => return Some(call_event),
            Event::Attempt {
                number,
                progress: Err(end),
            } => {
                self.live = None;
                self.attempt_ended(number, end);
            }
            Event::WakeUp => self.report(CallState::wake),
        }
        None
    }
}

async fn next_attempt_event(live: &mut Option<LiveAttempt>) -> Event {
    match live {
        Some(live) => Event::Attempt {
            number: live.number,
            progress: live.attempt.next().await,
        },
        None => std::future::pending().await,
    }
}
