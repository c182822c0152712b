//! Runs an attempt over HTTP/1.1.
use super::attempt::{Attempt, NotSent};
use crate::content::BodyChecker;
use crate::http_client::HttpConnection;
use pointspindle::Micros;
use pointspindle_audit::trace::{ClientOutcome, TraceEvent};
use pointspindle_protocol::http::HttpEvent;

const STATUS_OK: u16 = 200;
const STATUS_SERVICE_UNAVAILABLE: u16 = 503;
const MICROS_PER_MILLI: u64 = 1_000;

/// Sends the request and receives the response.
pub(super) async fn run_http_attempt(attempt: &Attempt<'_>) -> Result<ClientOutcome, NotSent> {
    let mut connection = connect(attempt).await?;
    let path = format!("{}?part={}", attempt.call.object, attempt.call.part);
    let sent_at = attempt.recorder.now();
    let time_left_ms = attempt.class.deadline / MICROS_PER_MILLI;
    connection
        .send_request(&path, &attempt.id.trace(), time_left_ms)
        .await
        .map_err(|_| NotSent)?;
    attempt.record_sent(sent_at);
    let mut response = HttpResponse::new(attempt);
    loop {
        match connection.next_event().await {
            Some(Ok(HttpEvent::Head {
                status,
                fields,
                keep_alive,
            })) => response.take_head(status, &fields, keep_alive),
            Some(Ok(HttpEvent::Data(data))) => response.take_data(&data),
            Some(Ok(HttpEvent::End)) => {
                if response.keep_alive {
                    attempt.target.http_pool.put_back(connection);
                }
                return Ok(response.outcome());
            }
            Some(Err(_)) | None => return Ok(response.interrupted_outcome()),
        }
    }
}

async fn connect(attempt: &Attempt<'_>) -> Result<HttpConnection, NotSent> {
    let target = attempt.target;
    let pooled = target
        .http_pool
        .take(attempt.network, target.http_address)
        .await;
    for _ in 0..pooled.unexpected_responses {
        attempt.recorder.record(TraceEvent::UnexpectedResponse {
            dispatcher: target.dispatcher,
        });
    }
    pooled.connection.map_err(|_| NotSent)
}

/// The part of a response that has been received.
struct HttpResponse {
    checker: BodyChecker,
    status: Option<u16>,
    stale: bool,
    retry_after: Option<Micros>,
    keep_alive: bool,
}

impl HttpResponse {
    fn new(attempt: &Attempt<'_>) -> Self {
        Self {
            checker: BodyChecker::new(attempt.call.object_number, attempt.call.part),
            status: None,
            stale: false,
            retry_after: None,
            keep_alive: false,
        }
    }

    fn take_head(&mut self, status: u16, fields: &[(String, String)], keep_alive: bool) {
        self.status = Some(status);
        self.keep_alive = keep_alive;
        self.stale = field(fields, "cache-status").is_some_and(|v| v.contains("detail=old"));
        self.retry_after = field(fields, "x-come-back-ms")
            .and_then(|value| value.parse::<u64>().ok())
            .map(|ms| ms * MICROS_PER_MILLI);
    }

    fn take_data(&mut self, data: &[u8]) {
        if self.status == Some(STATUS_OK) {
            self.checker.update(data);
        }
    }

    fn outcome(&self) -> ClientOutcome {
        match self.status {
            Some(STATUS_OK) => {
                let body = self.checker.finish();
                ClientOutcome::Served {
                    version: body.version,
                    bytes: body.bytes,
                    stale: self.stale,
                }
            }
            Some(STATUS_SERVICE_UNAVAILABLE) => ClientOutcome::Rejected {
                retry_after: self.retry_after,
            },
            _ => ClientOutcome::Failed,
        }
    }

    /// Returns the outcome if the connection ends before the response is complete.
    fn interrupted_outcome(&self) -> ClientOutcome {
        match self.status {
            Some(_) => ClientOutcome::Truncated,
            None => ClientOutcome::ConnectionLost,
        }
    }
}

fn field<'a>(fields: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let (_, value) = fields.iter().find(|(found, _)| found == name)?;
    Some(value)
}
