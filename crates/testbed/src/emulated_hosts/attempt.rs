//! One attempt at a host: the model decides, frames carry the response.
use super::conversions::{self, BodyRange};
use super::hosts::{EmulatedHosts, JobEvent, Rejection};
use super::model_driver::ArrivedJob;
use crate::content::Body;
use pointspindle_audit::trace::{AttemptOutcome, ClientAttemptId, TraceEvent};
use pointspindle_cache_host::lease::UserId;
use pointspindle_cache_model::{HostId, JobId, ModelInput, ModelRequest, ModelResponse};
use pointspindle_protocol::{ErrorHead, RequestHead};
use pointspindle_transport::{ConnectionError, FramedConnection, Responder};
use tokio::sync::mpsc;
use tokio::time::Instant;

/// The most bytes of a body that are generated at once.
const MAX_CHUNK_BYTES: u64 = 32 * 1024;
/// The greatest age that a host with the injected fault accepts, in microseconds: any.
const ANY_AGE: u64 = u64::MAX / 2;

/// Where an attempt arrived and who sent it.
#[derive(Clone)]
pub(super) struct AttemptOrigin {
    pub host: HostId,
    /// The host's address.
    pub address: String,
    pub dispatcher: Option<usize>,
    pub lease_user: Option<UserId>,
    pub connection: FramedConnection,
}

/// An attempt that has not been handed to the model yet.
pub(super) struct Attempt {
    hosts: EmulatedHosts,
    origin: AttemptOrigin,
    request: RequestHead,
    responder: Responder,
}

/// Records how an attempt ended at its host, also when its task is aborted.
struct AttemptRecord {
    hosts: EmulatedHosts,
    host: HostId,
    job: JobId,
    /// Whether the model still has to learn that the attempt is over.
    cancels_job: bool,
    ended: TraceEvent,
}

impl AttemptRecord {
    fn new(attempt: &Attempt, job: JobId) -> Self {
        let ended = TraceEvent::AttemptEnded {
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
            ended,
        }
    }

    fn set_outcome(&mut self, new_outcome: AttemptOutcome) {
        if let TraceEvent::AttemptEnded { outcome, .. } = &mut self.ended {
            *outcome = new_outcome;
        }
    }
}

impl Drop for AttemptRecord {
    fn drop(&mut self) {
        self.hosts.forget(self.job);
        if self.cancels_job {
            self.hosts.apply(ModelInput::Cancel {
                host: self.host,
                job: self.job,
            });
        }
        self.hosts.shared().recorder.record(self.ended.clone());
    }
}

/// An attempt in service.
struct ActiveAttempt {
    record: AttemptRecord,
    request: RequestHead,
    responder: Responder,
    connection: FramedConnection,
    arrived_at: Instant,
    /// The body, but for its version.
    body: Body,
    /// Sent with the end: a host that crashes in between leaves half a response.
    unsent: Option<UnsentBody>,
}

struct UnsentBody {
    body: Body,
    range: BodyRange,
}

impl Attempt {
    /// An attempt that has just arrived.
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

    /// Serves the attempt to its end.
    pub async fn run(self) {
        // A partition that heals delivers a request and its cancellation together: the request is not begun.
        if self.responder.is_cancelled() {
            return;
        }
        let arrived_at = Instant::now();
        let wanted = self.model_request();
        let body = Body {
            number: wanted.object_number,
            part: wanted.part,
            version: 0,
        };
        let ArrivedJob { job, events } =
            self.hosts
                .arrive(self.origin.host, self.origin.lease_user, wanted);
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

    /// The request in the model's terms; its arrival is recorded.
    fn model_request(&self) -> ModelRequest {
        let shared = self.hosts.shared();
        let mut wanted = conversions::model_request(&self.request, &shared.classes);
        shared.recorder.record(TraceEvent::AttemptArrived {
            host: self.origin.address.clone(),
            dispatcher: self.origin.dispatcher,
            id: self.id(),
            attempt: self.request.attempt,
            source: wanted.source.clone(),
            class: wanted.class,
        });
        if shared
            .options
            .ignores_max_age
            .contains(&self.origin.address)
        {
            wanted.max_age = ANY_AGE;
        }
        wanted
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
        self.connection.close("cut by the script");
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
