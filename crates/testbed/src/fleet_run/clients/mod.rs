//! The clients of a run: an open-loop load, in which each call starts at its scheduled time regardless of other calls
//! and is retried according to the scenario.
mod attempt;
mod framed_attempt;
mod http_attempt;
mod target;

use attempt::{Attempt, NotSent};
use framed_attempt::run_framed_attempt;
use http_attempt::run_http_attempt;
use pointspindle::Micros;
use pointspindle_audit::recorder::Recorder;
use pointspindle_audit::trace::{ClientAttemptId, ClientOutcome, TraceEvent};
use pointspindle_scenario::{Idempotency, PlannedCall, RequestClass, Scenario};
use pointspindle_transport::Network;
use std::sync::Arc;
use std::time::Duration;

pub(super) use target::Target;

/// How long a client waits for a response after its deadline, so that a late response is recorded as late.
const LISTEN_AFTER_DEADLINE: Duration = Duration::from_millis(1_000);

/// All clients of a run.
pub(super) struct Clients {
    pub scenario: Scenario,
    pub recorder: Recorder,
    /// The dispatchers, by number.
    pub targets: Vec<Target>,
    pub network: Network,
}

/// The action of a client after an attempt.
enum NextStep {
    Done,
    /// Retry after at least the delay that the dispatcher has requested, if any.
    Retry {
        retry_after: Option<Micros>,
    },
}

impl Clients {
    /// Runs a call: makes attempts with backoff until the call is served, fails without a retry, or has no retries
    /// left.
    pub async fn call(self: Arc<Self>, call_number: u64, call: PlannedCall) {
        let class = &self.scenario.workload.classes[call.class];
        let mut connections_lost = 0;
        for attempt_number in 0..=self.scenario.clients.retries {
            let dispatcher =
                self.scenario
                    .dispatcher_for(&call, call_number, attempt_number, connections_lost);
            let attempt = Attempt {
                id: ClientAttemptId {
                    call: call_number,
                    attempt: attempt_number,
                },
                target: &self.targets[dispatcher],
                call: &call,
                class,
                announces_size: self.scenario.dispatchers.knows_sizes,
                network: &self.network,
                recorder: &self.recorder,
            };
            let outcome = run_attempt(&attempt).await;
            if matches!(outcome, Err(NotSent) | Ok(ClientOutcome::ConnectionLost)) {
                connections_lost += 1;
            }
            let NextStep::Retry { retry_after } = next_step(&outcome, class, &call) else {
                return;
            };
            let delay = self
                .scenario
                .retry_delay(&call, attempt_number, retry_after);
            tokio::time::sleep(Duration::from_micros(delay)).await;
        }
    }
}

fn next_step(
    outcome: &Result<ClientOutcome, NotSent>,
    class: &RequestClass,
    call: &PlannedCall,
) -> NextStep {
    match outcome {
        Ok(ClientOutcome::Rejected { retry_after }) => NextStep::Retry {
            retry_after: retry_after.filter(|_| call.honours_retry_after),
        },
        // The request was not sent, so a retry is as safe as after a rejection.
        Err(NotSent) => NextStep::Retry { retry_after: None },
        // A request that may have been executed is retried only if it is idempotent.
        Ok(ClientOutcome::Failed | ClientOutcome::Truncated | ClientOutcome::ConnectionLost)
            if class.idempotency == Idempotency::Idempotent =>
        {
            NextStep::Retry { retry_after: None }
        }
        Ok(_) => NextStep::Done,
    }
}

async fn run_attempt(attempt: &Attempt<'_>) -> Result<ClientOutcome, NotSent> {
    let timeout = Duration::from_micros(attempt.class.deadline) + LISTEN_AFTER_DEADLINE;
    let cancel_after = attempt
        .call
        .cancel_after
        .filter(|_| attempt.id.attempt == 0)
        .map(Duration::from_micros);
    let response = async {
        if attempt.call.uses_http {
            run_http_attempt(attempt).await
        } else {
            run_framed_attempt(attempt).await
        }
    };
    let outcome = tokio::select! {
        outcome = response => outcome,
        // No complete response arrived, so no end of the request is recorded.
        _ = tokio::time::sleep(timeout) => return Ok(ClientOutcome::Failed),
        _ = tokio::time::sleep(cancel_after.unwrap_or(Duration::MAX)), if cancel_after.is_some() => {
            Ok(ClientOutcome::Cancelled)
        }
    };
    if let Ok(outcome) = &outcome {
        attempt.recorder.record(TraceEvent::RequestEnded {
            id: attempt.id,
            outcome: outcome.clone(),
        });
    }
    outcome
}
