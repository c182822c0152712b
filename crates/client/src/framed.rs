//! One dispatcher by the framed protocol: one connection for all calls, made when first needed.
use crate::call::End;
use crate::dial::Dial;
use crate::{Piece, Request};
use pointspindle_protocol::streams::Side;
use pointspindle_protocol::{Frame, HelloHead, ProbeHead, RequestHead, WireStatus};
use pointspindle_transport::{
    Call, CallEnd, ConnectionOptions, FramedConnection, Inbound, Incoming, ResponsePart,
};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Mutex;

/// Looked at so often where no lease was told.
const LOOK: Duration = Duration::from_millis(250);

#[derive(Debug)]
pub(crate) struct Framed {
    dial: Dial,
    held: Mutex<Option<Arc<Connection>>>,
}

#[derive(Debug)]
struct Connection {
    link: FramedConnection,
    /// Told by the dispatcher; 0: not told.
    lease_us: AtomicU64,
}

impl Connection {
    fn lease(&self) -> Option<u64> {
        Some(self.lease_us.load(Ordering::Relaxed)).filter(|lease| *lease > 0)
    }
}

/// A try under way.
#[derive(Debug)]
pub(crate) struct FramedTry {
    call: Call,
    connection: Arc<Connection>,
    headed: bool,
}

impl Framed {
    pub fn new(dial: Dial) -> Self {
        Self {
            dial,
            held: Mutex::new(None),
        }
    }

    async fn connection(&self) -> Option<Arc<Connection>> {
        let mut held = self.held.lock().await;
        if let Some(known) = held.as_ref().filter(|c| c.link.accepts_calls()) {
            return Some(known.clone());
        }
        let line = self.dial.line().await?;
        let (link, incoming) =
            FramedConnection::start(line, Side::Caller, ConnectionOptions::default());
        let connection = Arc::new(Connection {
            link,
            lease_us: AtomicU64::new(0),
        });
        tokio::spawn(listen(connection.clone(), incoming));
        tokio::spawn(keep(connection.clone()));
        *held = Some(connection.clone());
        Some(connection)
    }

    /// Sends a try; an error: nothing was sent.
    pub async fn send(
        &self,
        request: &Request,
        call: &str,
        left_us: u64,
    ) -> Result<FramedTry, End> {
        let connection = self.connection().await.ok_or(End::NotSent)?;
        let head = RequestHead {
            object: request.object.clone(),
            part: request.part,
            group: request.group,
            class: request.class.clone(),
            time_left_us: left_us,
            size: request.size,
            trace: request.trace.clone(),
            idempotency_key: request.key.clone(),
            call_id: call.to_owned(),
            head_only: request.head_only,
            if_none_match: request.if_none_match.clone(),
            range: request.range.clone(),
            if_range: request.if_range.clone(),
            ..Default::default()
        };
        let call = connection.link.call(head).map_err(|_| End::NotSent)?;
        Ok(FramedTry {
            call,
            connection,
            headed: false,
        })
    }

    pub async fn close(&self) {
        if let Some(connection) = self.held.lock().await.take() {
            connection.link.close("the client is done");
        }
    }
}

impl FramedTry {
    /// The next piece, or the try's end.
    pub async fn next(&mut self) -> Result<Piece, End> {
        loop {
            return match self.call.next().await {
                // One head; a second is nobody's.
                Some(ResponsePart::Head(_)) if self.headed => continue,
                Some(ResponsePart::Head(head)) => {
                    self.headed = true;
                    Ok(Piece::Head(head))
                }
                Some(ResponsePart::Data(data)) => Ok(Piece::Data(data)),
                Some(ResponsePart::End(CallEnd::Complete(_))) => Err(End::Complete),
                Some(ResponsePart::End(CallEnd::Error(e))) => Err(match e.status() {
                    WireStatus::Refused | WireStatus::Rejected | WireStatus::Miss
                        if !e.may_have_run =>
                    {
                        End::Refused {
                            come_back: e.retry_after_us,
                        }
                    }
                    _ => End::Failed {
                        may_have_run: e.may_have_run,
                    },
                }),
                Some(ResponsePart::End(CallEnd::Broken(_) | CallEnd::NotSent)) | None => {
                    Err(End::Lost {
                        lease: self.connection.lease(),
                    })
                }
            };
        }
    }
}

async fn listen(connection: Arc<Connection>, mut incoming: Incoming) {
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
                connection.link.push_control(Frame::Hello(hello));
            }
            Inbound::Control(Frame::Probe(probe)) if !probe.echo => {
                connection.link.push_control(Frame::Probe(ProbeHead {
                    echo: true,
                    ..probe
                }));
            }
            _ => {}
        }
    }
}

/// Gives signs of life while something is awaited, and closes a connection that gives none: its calls then know that it is
/// lost, and count the lease from there.
async fn keep(connection: Arc<Connection>) {
    let mut token = 0;
    while !connection.link.is_closed() {
        let lease = connection.lease().map(Duration::from_micros);
        tokio::time::sleep(lease.map_or(LOOK, |lease| lease / 4)).await;
        if connection.link.open_streams() == 0 {
            continue;
        }
        if lease.is_some_and(|lease| connection.link.time_since_last_frame() > lease) {
            connection.link.abort("no sign of life");
            return;
        }
        token += 1;
        connection.link.push_control(Frame::Probe(ProbeHead {
            token,
            ..Default::default()
        }));
    }
}
