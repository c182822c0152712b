//! The day's clients: open loop, each call at its time whatever became of the others, tried again as scripted.
use super::http_client::HttpPool;
use crate::content::Checker;
use pointspindle_audit::trace::{End, Recorder, Saw, TryId};
use pointspindle_scenario::{Call, ClassDay, Effect, Scenario};
use pointspindle::Micros;
use pointspindle_protocol::http::HttpEvent;
use pointspindle_protocol::streams::Side;
use pointspindle_protocol::{RequestHead, WireCacheStatus, WireStatus};
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
    pub async fn call(self: Arc<Self>, number: u64, call: Call) {
        let class = &self.scenario.classes[call.class];
        let clients = &self.scenario.clients;
        let mut missed = 0;
        for try_no in 0..=clients.retries {
            let target = &self.targets[self.scenario.target(&call, number, try_no, missed)];
            let id = TryId {
                call: number,
                try_no,
            };
            let end = self.one_try(target, id, &call, class).await;
            missed += matches!(end, None | Some(End::Lost)) as u32;
            let come_back = match end {
                Some(End::Refused { come_back }) => come_back.filter(|_| call.honours),
                // Nothing was asked: as harmless as a refusal.
                None => None,
                // What may have run is tried again only where that does no harm.
                Some(End::Failed | End::Broken | End::Lost) if class.effect == Effect::Safe => None,
                Some(_) => return,
            };
            let wait = self.scenario.wait(&call, try_no, come_back);
            tokio::time::sleep(Duration::from_micros(wait)).await;
        }
    }

    /// None: nothing was asked, for want of a connection.
    async fn one_try(
        &self,
        target: &Target,
        id: TryId,
        call: &Call,
        class: &ClassDay,
    ) -> Option<End> {
        let patience = Duration::from_micros(class.deadline) + AFTER;
        let leaves = call
            .leaves
            .filter(|_| id.try_no == 0)
            .map(Duration::from_micros);
        let asked = async {
            if call.http {
                self.http(target, id, call, class).await
            } else {
                self.framed(target, id, call, class).await
            }
        };
        let end = tokio::select! {
            end = asked => end,
            _ = tokio::time::sleep(patience) => return Some(End::Failed),
            _ = tokio::time::sleep(leaves.unwrap_or(Duration::MAX)), if leaves.is_some() => Some(End::LeftEarly),
        };
        if let Some(end) = &end {
            self.recorder.saw(Saw::Ended {
                id,
                end: end.clone(),
            });
        }
        end
    }

    fn asked(&self, target: &Target, id: TryId, call: &Call, class: &ClassDay, at: Micros) {
        self.recorder.saw_at(
            at,
            Saw::Asked {
                id,
                dispatcher: target.number,
                class: call.class,
                number: call.number,
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
                recorder.saw(Saw::Stray { dispatcher });
            }
        });
        *held = Some(link.clone());
        Some(link)
    }

    async fn framed(
        &self,
        target: &Target,
        id: TryId,
        call: &Call,
        class: &ClassDay,
    ) -> Option<End> {
        let link = self.link(target).await?;
        let request = RequestHead {
            object: call.object.clone(),
            part: call.part,
            group: call.group,
            class: class.name.clone(),
            time_left_us: class.deadline,
            size: self.scenario.sizes_told.then_some(call.size),
            trace: id.trace(),
            idempotency_key: if class.effect == Effect::Safe {
                String::new()
            } else {
                id.trace()
            },
            ..Default::default()
        };
        let at = self.recorder.now();
        let mut answer = link.call(request).ok()?;
        self.asked(target, id, call, class, at);
        let mut checker = Checker::new(call.number, call.part);
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
                    return Some(End::Served {
                        version,
                        bytes,
                        old,
                    });
                }
                ResponsePart::End(CallEnd::Error(e)) if e.status() == WireStatus::Refused => {
                    return Some(End::Refused {
                        come_back: e.retry_after_us,
                    });
                }
                ResponsePart::End(CallEnd::Error(_)) if size.is_some() => return Some(End::Broken),
                ResponsePart::End(CallEnd::Error(_)) => return Some(End::Failed),
                ResponsePart::End(CallEnd::Broken(_) | CallEnd::NotSent) => return Some(End::Lost),
            }
        }
        Some(End::Lost)
    }

    async fn http(&self, target: &Target, id: TryId, call: &Call, class: &ClassDay) -> Option<End> {
        let (connection, strays) = target.pool.take(&self.net, target.http).await;
        for _ in 0..strays {
            self.recorder.saw(Saw::Stray {
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
        let mut checker = Checker::new(call.number, call.part);
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
                            End::Served {
                                version,
                                bytes,
                                old,
                            }
                        }
                        503 => End::Refused { come_back },
                        _ => End::Failed,
                    });
                }
                Some(Err(_)) | None if status == 0 => return Some(End::Lost),
                Some(Err(_)) | None => return Some(End::Broken),
            }
        }
    }
}
