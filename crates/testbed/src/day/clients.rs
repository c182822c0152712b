//! The day's clients: open loop, each call at its time whatever became of the others, tried again as scripted.
use super::http_client::HttpPool;
use crate::content::Checker;
use pointspindle::Micros;
use pointspindle_audit::trace::{ClientAttemptId, ClientOutcome, Recorder, TraceEvent};
use pointspindle_protocol::http::HttpEvent;
use pointspindle_protocol::streams::Side;
use pointspindle_protocol::{RequestHead, WireCacheStatus, WireStatus};
use pointspindle_scenario::{Idempotency, PlannedCall, RequestClass, Scenario};
use pointspindle_transport::{CallEnd, ConnectionOptions, FramedConnection, Network, ResponsePart};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A client goes on listening so long after its deadline, so that a late answer is seen as late.
const AFTER: Duration = Duration::from_millis(1_000);
const CONNECT: Duration = Duration::from_millis(500);

/// One dispatcher as clients see it.
pub struct Target {
    pub number: usize,
    pub http: SocketAddr,
    pub framed: SocketAddr,
    pub pool: HttpPool,
    pub link: tokio::sync::Mutex<Option<FramedConnection>>,
}

pub struct Clients {
    pub scenario: Scenario,
    pub recorder: Recorder,
    pub targets: Vec<Target>,
    pub net: Network,
}

impl Clients {
    /// A call to its end: tries with back-off until served, failed, or out of tries.
    pub async fn call(self: Arc<Self>, number: u64, call: PlannedCall) {
        let class = &self.scenario.workload.classes[call.class];
        let clients = &self.scenario.clients;
        let mut missed = 0;
        for try_no in 0..=clients.retries {
            let target = &self.targets[self.scenario.dispatcher_for(&call, number, try_no, missed)];
            let id = ClientAttemptId {
                call: number,
                attempt: try_no,
            };
            let end = self.one_try(target, id, &call, class).await;
            missed += matches!(end, None | Some(ClientOutcome::ConnectionLost)) as u32;
            let come_back = match end {
                Some(ClientOutcome::Rejected {
                    retry_after: come_back,
                }) => come_back.filter(|_| call.honours_retry_after),
                // Nothing was asked: as harmless as a refusal.
                None => None,
                // What may have run is tried again only where that does no harm.
                Some(
                    ClientOutcome::Failed
                    | ClientOutcome::Truncated
                    | ClientOutcome::ConnectionLost,
                ) if class.idempotency == Idempotency::Idempotent => None,
                Some(_) => return,
            };
            let wait = self.scenario.retry_delay(&call, try_no, come_back);
            tokio::time::sleep(Duration::from_micros(wait)).await;
        }
    }

    /// None: nothing was asked, for want of a connection.
    async fn one_try(
        &self,
        target: &Target,
        id: ClientAttemptId,
        call: &PlannedCall,
        class: &RequestClass,
    ) -> Option<ClientOutcome> {
        let patience = Duration::from_micros(class.deadline) + AFTER;
        let leaves = call
            .cancel_after
            .filter(|_| id.attempt == 0)
            .map(Duration::from_micros);
        let asked = async {
            if call.uses_http {
                self.http(target, id, call, class).await
            } else {
                self.framed(target, id, call, class).await
            }
        };
        let end = tokio::select! {
            end = asked => end,
            _ = tokio::time::sleep(patience) => return Some(ClientOutcome::Failed),
            _ = tokio::time::sleep(leaves.unwrap_or(Duration::MAX)), if leaves.is_some() => Some(ClientOutcome::Cancelled),
        };
        if let Some(end) = &end {
            self.recorder.record(TraceEvent::RequestEnded {
                id,
                outcome: end.clone(),
            });
        }
        end
    }

    fn asked(
        &self,
        target: &Target,
        id: ClientAttemptId,
        call: &PlannedCall,
        class: &RequestClass,
        at: Micros,
    ) {
        self.recorder.record_at(
            at,
            TraceEvent::RequestSent {
                id,
                dispatcher: target.number,
                class: call.class,
                object_number: call.object_number,
                group: call.group,
                part: call.part,
                deadline: at + class.deadline,
            },
        );
    }

    async fn link(&self, target: &Target) -> Option<FramedConnection> {
        let mut held = target.link.lock().await;
        if let Some(link) = held.as_ref().filter(|link| link.accepts_calls()) {
            return Some(link.clone());
        }
        let socket = tokio::time::timeout(CONNECT, self.net.connect(None, target.framed))
            .await
            .ok()?
            .ok()?;
        let (link, mut incoming) = FramedConnection::start(
            socket,
            Side::Caller,
            ConnectionOptions { max_streams: 4096 },
        );
        let (watched, recorder, dispatcher) = (link.clone(), self.recorder.clone(), target.number);
        tokio::spawn(async move {
            while incoming.next().await.is_some() {}
            watched.closed().await;
            if watched.close_reason().contains("comes after its end") {
                recorder.record(TraceEvent::UnexpectedResponse { dispatcher });
            }
        });
        *held = Some(link.clone());
        Some(link)
    }

    async fn framed(
        &self,
        target: &Target,
        id: ClientAttemptId,
        call: &PlannedCall,
        class: &RequestClass,
    ) -> Option<ClientOutcome> {
        let link = self.link(target).await?;
        let request = RequestHead {
            object: call.object.clone(),
            part: call.part,
            group: call.group,
            class: class.name.clone(),
            time_left_us: class.deadline,
            size: self.scenario.dispatchers.knows_sizes.then_some(call.size),
            trace: id.trace(),
            idempotency_key: if class.idempotency == Idempotency::Idempotent {
                String::new()
            } else {
                id.trace()
            },
            ..Default::default()
        };
        let at = self.recorder.now();
        let mut answer = link.call(request).ok()?;
        self.asked(target, id, call, class, at);
        let mut checker = Checker::new(call.object_number, call.part);
        let (mut old, mut size) = (false, None);
        while let Some(part) = answer.next().await {
            match part {
                ResponsePart::Head(head) => {
                    old = head.cache_status() == WireCacheStatus::Stale;
                    size = head.size;
                }
                ResponsePart::Data(data) => checker.take(&data),
                ResponsePart::End(CallEnd::Complete(_)) => {
                    let (bytes, version) = checker.finish();
                    let version = version.filter(|_| size.is_none_or(|size| size == bytes));
                    return Some(ClientOutcome::Served {
                        version,
                        bytes,
                        stale: old,
                    });
                }
                ResponsePart::End(CallEnd::Error(e)) if e.status() == WireStatus::Refused => {
                    return Some(ClientOutcome::Rejected {
                        retry_after: e.retry_after_us,
                    });
                }
                ResponsePart::End(CallEnd::Error(_)) if size.is_some() => {
                    return Some(ClientOutcome::Truncated)
                }
                ResponsePart::End(CallEnd::Error(_)) => return Some(ClientOutcome::Failed),
                ResponsePart::End(CallEnd::Broken(_) | CallEnd::NotSent) => {
                    return Some(ClientOutcome::ConnectionLost)
                }
            }
        }
        Some(ClientOutcome::ConnectionLost)
    }

    async fn http(
        &self,
        target: &Target,
        id: ClientAttemptId,
        call: &PlannedCall,
        class: &RequestClass,
    ) -> Option<ClientOutcome> {
        let (connection, strays) = target.pool.take(&self.net, target.http).await;
        for _ in 0..strays {
            self.recorder.record(TraceEvent::UnexpectedResponse {
                dispatcher: target.number,
            });
        }
        let mut connection = connection.ok()?;
        let path = format!("{}?part={}", call.object, call.part);
        let at = self.recorder.now();
        connection
            .ask(&path, &id.trace(), class.deadline / 1_000)
            .await
            .ok()?;
        self.asked(target, id, call, class, at);
        let mut checker = Checker::new(call.object_number, call.part);
        let (mut status, mut old, mut come_back, mut keep) = (0, false, None, false);
        loop {
            match connection.next().await {
                Some(Ok(HttpEvent::Head {
                    status: told,
                    fields,
                    keep_alive,
                })) => {
                    let find = |name: &str| {
                        fields
                            .iter()
                            .find(|(n, _)| n == name)
                            .map(|(_, v)| v.as_str())
                    };
                    (status, keep) = (told, keep_alive);
                    old = find("cache-status").is_some_and(|v| v.contains("detail=old"));
                    come_back = find("x-come-back-ms")
                        .and_then(|v| v.parse::<u64>().ok())
                        .map(|ms| ms * 1_000);
                }
                Some(Ok(HttpEvent::Data(data))) if status == 200 => checker.take(&data),
                Some(Ok(HttpEvent::Data(_))) => {}
                Some(Ok(HttpEvent::End)) => {
                    if keep {
                        target.pool.give_back(connection);
                    }
                    return Some(match status {
                        200 => {
                            let (bytes, version) = checker.finish();
                            ClientOutcome::Served {
                                version,
                                bytes,
                                stale: old,
                            }
                        }
                        503 => ClientOutcome::Rejected {
                            retry_after: come_back,
                        },
                        _ => ClientOutcome::Failed,
                    });
                }
                Some(Err(_)) | None if status == 0 => return Some(ClientOutcome::ConnectionLost),
                Some(Err(_)) | None => return Some(ClientOutcome::Truncated),
            }
        }
    }
}
