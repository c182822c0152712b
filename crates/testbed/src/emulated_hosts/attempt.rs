//! Serves one attempt at a host: the model decides on the response, which is sent in frames.
use super::conversions::{self, BodyRange};
use super::hosts::{EmulatedHosts, JobEvent, Rejection};
use super::model_driver::ArrivedJob;
use crate::content::Body;
use pointspindle_audit::trace::{AttemptOutcome, ClientAttemptId, TraceEvent};
use pointspindle_cache_host::lease::LeaseHolderId;
use pointspindle_cache_model::{HostId, JobId, ModelInput, ModelRequest, ModelResponse};
use pointspindle_protocol::{ErrorHead, RequestHead};
use pointspindle_transport::{ConnectionError, FramedConnection, Responder};
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Largest part of a body that is generated at once.
const MAX_CHUNK_BYTES: u64 = 32 * 1024;
/// The maximum age that a host with the injected fault assumes, in microseconds. No copy is that old.
const UNLIMITED_AGE_US: u64 = u64::MAX / 2;

/// The host at which an attempt arrived and its sender.
#[derive(Clone)]
pub(super) struct AttemptOrigin {
    pub host: HostId,
    /// The host's address.
    pub address: String,
    pub dispatcher: Option<usize>,
    pub lease_user: Option<LeaseHolderId>,
    pub connection: FramedConnection,
}

/// An attempt that has not been passed to the model yet.
pub(super) struct Attempt {
    hosts: EmulatedHosts,
    origin: AttemptOrigin,
    request: RequestHead,
    responder: Responder,
}

/// Records the end of an attempt at its host, even if its task is aborted.
struct AttemptRecord {
    hosts: EmulatedHosts,
    host: HostId,
    job: JobId,
    /// Whether the model must be notified that the attempt has ended.
    cancels_job: bool,
    end_event: TraceEvent,
}

impl AttemptRecord {
    fn new(attempt: &Attempt, job: JobId) -> Self {
        let end_event = TraceEvent::AttemptEnded {
            host: attempt.origin.address.clone(),
            id: attempt.id(),
            attempt: attempt.request.attempt,
            dispatcher: attempt.origin.dispatcher,
            outcome: AttemptOutcome::ConnectionLost,
        };
        Self {
            hosts: attempt.hosts.clone(),
            host: attempt.origin.host,
            job,
            cancels_job: true,
            end_event,
        }
    }

    fn set_outcome(&mut self, new_outcome: AttemptOutcome) {
        if let TraceEvent::AttemptEnded { outcome, .. } = &mut self.end_event {
            *outcome = new_outcome;
        }
    }
}

impl Drop for AttemptRecord {
    fn drop(&mut self) {
        self.hosts.remove_job(self.job);
        if self.cancels_job {
            self.hosts.apply(ModelInput::Cancel {
                host: self.host,
                job: self.job,
            });
        }
        self.hosts.shared().recorder.record(self.end_event.clone());
    }
}

/// An attempt in service.
struct ActiveAttempt {
    record: AttemptRecord,
    request: RequestHead,
    responder: Responder,
    connection: FramedConnection,
    arrived_at: Instant,
    /// The body without its version, which the response determines.
    body: Body,
    /// The second half of the body. It is sent at the end of the response, so that a host that crashes in between
    /// leaves a truncated response.
    unsent: Option<UnsentBody>,
}

struct UnsentBody {
    body: Body,
    range: BodyRange,
}

impl Attempt {
    /// Creates an attempt that has just arrived.
    pub fn new(
        hosts: EmulatedHosts,
        origin: AttemptOrigin,
        request: RequestHead,
        responder: Responder,
    ) -> Self {
        Self {
            hosts,
            origin,
            request,
            responder,
        }
    }

    fn id(&self) -> Option<ClientAttemptId> {
        ClientAttemptId::parse(&self.request.trace)
    }

    /// Serves the attempt until it ends.
    pub async fn run(self) {
        // When a partition heals, a request and its cancellation arrive together; such a request is not started.
        if self.responder.is_cancelled() {
            return;
        }
        let arrived_at = Instant::now();
        let model_request = self.model_request();
        let body = Body {
            number: model_request.object_number,
            part: model_request.part,
            version: 0,
        };
        let ArrivedJob { job, events } =
            self.hosts
                .submit_request(self.origin.host, self.origin.lease_user, model_request);
        let active = ActiveAttempt {
            record: AttemptRecord::new(&self, job),
            request: self.request,
            responder: self.responder,
            connection: self.origin.connection,
            arrived_at,
            body,
            unsent: None,
        };
        active.serve(events).await;
    }

    /// Converts the request to the model's type and records its arrival.
    fn model_request(&self) -> ModelRequest {
        let shared = self.hosts.shared();
        let mut model_request = conversions::model_request(&self.request, &shared.classes);
        shared.recorder.record(TraceEvent::AttemptArrived {
            host: self.origin.address.clone(),
            dispatcher: self.origin.dispatcher,
            id: self.id(),
            attempt: self.request.attempt,
            source: model_request.source.clone(),
            class: model_request.class,
        });
        if shared
            .options
            .ignores_max_age
            .contains(&self.origin.address)
        {
            model_request.max_age = UNLIMITED_AGE_US;
        }
        model_request
    }
}

impl ActiveAttempt {
    async fn serve(mut self, mut events: mpsc::UnboundedReceiver<JobEvent>) {
        loop {
            let event = tokio::select! {
                biased;
                _ = self.responder.cancelled() => {
                    self.record.set_outcome(AttemptOutcome::Cancelled);
                    return;
                }
                event = events.recv() => event,
            };
            match event {
                Some(JobEvent::Start(response)) => {
                    if self.start_response(response).await.is_err() {
                        self.record.set_outcome(AttemptOutcome::Cancelled);
                        return;
                    }
                }
                Some(JobEvent::Finish) => return self.finish_response().await,
                Some(JobEvent::Reject(rejection)) => return self.reject(rejection).await,
                Some(JobEvent::Disconnect) => return self.disconnect(),
                Some(JobEvent::HostDown) | None => return self.abandon(),
            }
        }
    }

    fn elapsed_us(&self) -> u64 {
        self.arrived_at.elapsed().as_micros() as u64
    }

    /// Sends the head and the first half of the body.
    async fn start_response(&mut self, response: ModelResponse) -> Result<(), ConnectionError> {
        let converted = conversions::response_head(&response, &self.request, self.elapsed_us());
        let body = Body {
            version: response.copy.version,
            ..self.body
        };
        self.responder.head(converted.head).await?;
        let (first_half, second_half) = converted.range.split_in_two();
        send_body(&mut self.responder, body, first_half).await?;
        self.unsent = Some(UnsentBody {
            body,
            range: second_half,
        });
        Ok(())
    }

    async fn finish_response(mut self) {
        self.record.cancels_job = false;
        let sent = match self.unsent.take() {
            Some(unsent) => send_body(&mut self.responder, unsent.body, unsent.range).await,
            None => Ok(()),
        };
        if sent.is_err() {
            self.record.set_outcome(AttemptOutcome::Cancelled);
            return;
        }
        self.record.set_outcome(AttemptOutcome::Completed);
        let _ = self.responder.end(None).await;
    }

    async fn reject(mut self, rejection: Rejection) {
        self.record.cancels_job = false;
        self.record.set_outcome(AttemptOutcome::Completed);
        let error = ErrorHead {
            status: rejection.status as i32,
            cache_status: rejection.cache_status as i32,
            may_have_run: rejection.may_have_run,
            load: Some(rejection.load),
            elapsed_us: self.elapsed_us(),
            ..Default::default()
        };
        let _ = self.responder.error(error).await;
    }

    fn disconnect(mut self) {
        self.record.cancels_job = false;
        self.responder.abandon();
        self.connection.close("disconnected by the cache model");
    }

    fn abandon(mut self) {
        self.record.cancels_job = false;
        self.responder.abandon();
    }
}

async fn send_body(
    responder: &mut Responder,
    body: Body,
    range: BodyRange,
) -> Result<(), ConnectionError> {
    let end = range.start + range.length;
    let mut offset = range.start;
    while offset < end {
        let length = MAX_CHUNK_BYTES.min(end - offset);
        responder.data(body.bytes(offset, length as usize)).await?;
        offset += length;
    }
    Ok(())
}
