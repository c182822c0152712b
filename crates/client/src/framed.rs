//! Framed protocol connection to one dispatcher, shared by all calls and established when first needed.
use crate::call_state::AttemptEnd;
use crate::connector::Connector;
use crate::{CallEvent, Request};
use pointspindle_protocol::streams::Side;
use pointspindle_protocol::{ErrorHead, Frame, HelloHead, ProbeHead, RequestHead, WireStatus};
use pointspindle_transport::{
    Call, CallEnd, ConnectionOptions, FramedConnection, Inbound, Incoming, ResponsePart,
};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Mutex;

/// Interval of keep-alive probes if the dispatcher announced no lease.
const DEFAULT_PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Number of keep-alive probes sent within one lease.
const PROBES_PER_LEASE: u32 = 4;

/// The connection to one dispatcher.
#[derive(Debug)]
pub(crate) struct FramedChannel {
    connector: Connector,
    current: Mutex<Option<Arc<Connection>>>,
}

#[derive(Debug)]
struct Connection {
    framed: FramedConnection,
    /// The client lease that the dispatcher announced, in microseconds; 0 if it announced none.
    lease_us: AtomicU64,
}

impl Connection {
    fn lease_us(&self) -> Option<u64> {
        Some(self.lease_us.load(Ordering::Relaxed)).filter(|lease| *lease > 0)
    }
}

/// An attempt in progress.
#[derive(Debug)]
pub(crate) struct FramedAttempt {
    call: Call,
    connection: Arc<Connection>,
    has_head: bool,
}

impl FramedChannel {
    pub(crate) fn new(connector: Connector) -> Self {
        Self {
            connector,
            current: Mutex::new(None),
        }
    }

    async fn open_connection(&self) -> Option<Arc<Connection>> {
        let mut current = self.current.lock().await;
        if let Some(open) = current.as_ref().filter(|c| c.framed.accepts_calls()) {
            return Some(open.clone());
        }
        let socket = self.connector.connect().await?;
        let (framed, incoming) =
            FramedConnection::start(socket, Side::Caller, ConnectionOptions::default());
        let connection = Arc::new(Connection {
            framed,
            lease_us: AtomicU64::new(0),
        });
        tokio::spawn(respond_to_control_frames(connection.clone(), incoming));
        tokio::spawn(send_keep_alives(connection.clone()));
        *current = Some(connection.clone());
        Some(connection)
    }

    /// Sends an attempt. On an error nothing was sent.
    pub(crate) async fn send(
        &self,
        request: &Request,
        call_id: &str,
        time_left_us: u64,
    ) -> Result<FramedAttempt, AttemptEnd> {
        let connection = self.open_connection().await.ok_or(AttemptEnd::NotSent)?;
        let head = request_head(request, call_id, time_left_us);
        let call = connection
            .framed
            .call(head)
            .map_err(|_| AttemptEnd::NotSent)?;
        Ok(FramedAttempt {
            call,
            connection,
            has_head: false,
        })
    }

    pub(crate) async fn close(&self) {
        if let Some(connection) = self.current.lock().await.take() {
            connection.framed.close("closed by the client");
        }
    }
}

fn request_head(request: &Request, call_id: &str, time_left_us: u64) -> RequestHead {
    RequestHead {
        object: request.object.clone(),
        part: request.part,
        group: request.group,
        class: request.class.clone(),
        time_left_us,
        size: request.size,
        trace: request.trace.clone(),
        idempotency_key: request.idempotency_key.clone(),
        call_id: call_id.to_owned(),
        head_only: request.head_only,
        if_none_match: request.if_none_match.clone(),
        range: request.range.clone(),
        if_range: request.if_range.clone(),
        ..Default::default()
    }
}

impl FramedAttempt {
    /// Returns the next event of the response, or the attempt's end.
    pub(crate) async fn next(&mut self) -> Result<CallEvent, AttemptEnd> {
        loop {
            match self.call.next().await {
                // A response has one head; further ones are ignored.
                Some(ResponsePart::Head(_)) if self.has_head => {}
                Some(ResponsePart::Head(head)) => {
                    self.has_head = true;
                    return Ok(CallEvent::Head(head));
                }
                Some(ResponsePart::Data(data)) => return Ok(CallEvent::Data(data)),
                Some(ResponsePart::End(end)) => return Err(self.attempt_end(&end)),
                None => return Err(self.lost_end()),
            }
        }
    }

    fn attempt_end(&self, end: &CallEnd) -> AttemptEnd {
        match end {
            CallEnd::Complete(_) => AttemptEnd::Complete,
            CallEnd::Error(error) => attempt_end_of_error(error),
            CallEnd::Broken(_) | CallEnd::NotSent => self.lost_end(),
        }
    }

    fn lost_end(&self) -> AttemptEnd {
        AttemptEnd::Lost {
            lease: self.connection.lease_us(),
        }
    }
}

fn attempt_end_of_error(error: &ErrorHead) -> AttemptEnd {
    let rejected = matches!(
        error.status(),
        WireStatus::Refused | WireStatus::Rejected | WireStatus::Miss
    );
    if rejected && !error.may_have_run {
        return AttemptEnd::Rejected {
            retry_after: error.retry_after_us,
        };
    }
    AttemptEnd::Failed {
        may_have_run: error.may_have_run,
    }
}

/// Accepts the lease that the dispatcher announces, and responds to its probes.
async fn respond_to_control_frames(connection: Arc<Connection>, mut incoming: Incoming) {
    while let Some(inbound) = incoming.next().await {
        match inbound {
            Inbound::Control(Frame::Hello(HelloHead {
                lease_us: Some(lease),
                ..
            })) => {
                connection.lease_us.store(lease, Ordering::Relaxed);
                let hello = HelloHead {
                    incarnation: 1,
                    lease_us: Some(lease),
                    ..Default::default()
                };
                connection.framed.push_control(Frame::Hello(hello));
            }
            Inbound::Control(Frame::Probe(probe)) if !probe.echo => {
                let echo = ProbeHead {
                    echo: true,
                    ..probe
                };
                connection.framed.push_control(Frame::Probe(echo));
            }
            _ => {}
        }
    }
}

/// Sends probes while a call is in progress, and aborts a connection on which no frame was received for a lease. Its
/// attempts then end as lost, and their lease counts from the abort.
async fn send_keep_alives(connection: Arc<Connection>) {
    let mut token = 0;
    while !connection.framed.is_closed() {
        let lease = connection.lease_us().map(Duration::from_micros);
        let interval = lease.map_or(DEFAULT_PROBE_INTERVAL, |lease| lease / PROBES_PER_LEASE);
        tokio::time::sleep(interval).await;
        if connection.framed.open_streams() == 0 {
            continue;
        }
        if lease.is_some_and(|lease| connection.framed.time_since_last_frame() > lease) {
            connection
                .framed
                .abort("no frame received within the lease");
            return;
        }
        token += 1;
        let probe = ProbeHead {
            token,
            ..Default::default()
        };
        connection.framed.push_control(Frame::Probe(probe));
    }
}
