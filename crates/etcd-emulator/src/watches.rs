//! Streams of watches: each sends whole revisions in order from where it was asked to, cut into fragments where it takes them.
use super::{Answers, EtcdEmulator, RequestError, Store};
use pointspindle_etcd::client::stubs::watch_server::Watch;
use pointspindle_etcd::proto::*;
use std::collections::BTreeMap;
use tokio::sync::mpsc;
use tonic::{Request, Response, Status, Streaming};

/// Answers that wait for the client; the stream waits beyond that.
const QUEUE: usize = 16;

struct Watched {
    create: WatchCreateRequest,
    /// The next revision to send.
    from: i64,
}

/// A stream of one client.
struct Line {
    etcd: EtcdEmulator,
    watches: BTreeMap<i64, Watched>,
    next_id: i64,
    wants_leader: bool,
    out: mpsc::Sender<Result<WatchResponse, Status>>,
}

/// The stream is over.
struct Over;

#[tonic::async_trait]
impl Watch for EtcdEmulator {
    type WatchStream = Answers<WatchResponse>;

    async fn watch(
        &self,
        request: Request<Streaming<WatchRequest>>,
    ) -> Result<Response<Self::WatchStream>, Status> {
        self.admit(request.metadata()).await?;
        let wants_leader = request.metadata().get("hasleader").is_some();
        let (out, answers) = mpsc::channel(QUEUE);
        let line = Line {
            etcd: self.clone(),
            watches: BTreeMap::new(),
            next_id: 0,
            wants_leader,
            out,
        };
        tokio::spawn(line.run(request.into_inner()));
        let answers = futures_util::stream::unfold(answers, |mut answers| async move {
            answers.recv().await.map(|answer| (answer, answers))
        });
        Ok(Response::new(Box::pin(answers)))
    }
}

impl Line {
    async fn run(mut self, mut requests: Streaming<WatchRequest>) {
        let mut changed = self.etcd.inner.changed.subscribe();
        let mut dropped = self.etcd.inner.dropped.subscribe();
        let mut faults = self.etcd.inner.faults.subscribe();
        loop {
            let faults_now = faults.borrow_and_update().clone();
            if faults_now.away {
                let _ = self
                    .out
                    .try_send(Err(Status::unavailable("the stand-in is away")));
                return;
            }
            if faults_now.silent {
                // Nothing is heard and nothing said until it is over, or the client has left.
                tokio::select! {
                    _ = faults.changed() => continue,
                    () = self.out.closed() => return,
                }
            }
            if faults_now.no_leader && self.wants_leader {
                let _ = self
                    .out
                    .try_send(Err(Status::unavailable("etcdserver: no leader")));
                return;
            }
            let done = tokio::select! {
                // A stream that breaks sends nothing more, whatever has been written meanwhile.
                biased;
                _ = dropped.changed() => Err(Over),
                _ = faults.changed() => Ok(()),
                asked = requests.message() => match asked {
                    Ok(Some(asked)) => self.asked(asked).await,
                    _ => Err(Over),
                },
                _ = changed.changed() => self.send_all().await,
            };
            if done.is_err() {
                return;
            }
        }
    }

    async fn say(&self, answer: WatchResponse) -> Result<(), Over> {
        self.etcd.inner.traffic.told(&answer);
        let delay = self.etcd.inner.faults.borrow().delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        self.out.send(Ok(answer)).await.map_err(|_| Over)
    }

    async fn asked(&mut self, asked: WatchRequest) -> Result<(), Over> {
        self.etcd.inner.traffic.asked(&asked);
        match asked.request {
            Some(watch_request::Request::Create(create)) => {
                let (header, compacted) = self.etcd.inspect(|s| (s.header(), s.compacted()));
                let id = self.next_id;
                self.next_id += 1;
                let from = if create.start_revision > 0 {
                    create.start_revision
                } else {
                    header.revision + 1
                };
                let answer = WatchResponse {
                    header: Some(header),
                    watch_id: id,
                    created: true,
                    ..Default::default()
                };
                self.say(answer).await?;
                if from <= compacted {
                    return self.lost(id, compacted).await;
                }
                self.watches.insert(id, Watched { create, from });
                self.send_all().await
            }
            Some(watch_request::Request::Cancel(cancel)) => {
                self.watches.remove(&cancel.watch_id);
                let (header, watch_id) = (Some(self.etcd.inspect(Store::header)), cancel.watch_id);
                self.say(WatchResponse {
                    header,
                    watch_id,
                    canceled: true,
                    ..Default::default()
                })
                .await
            }
            Some(watch_request::Request::Progress(_)) => {
                self.send_all().await?;
                let header = self.etcd.inspect(Store::header);
                // Only when everything up to the header's revision has been sent.
                if self.watches.values().all(|w| w.from > header.revision) {
                    let answer = WatchResponse {
                        header: Some(header),
                        watch_id: -1,
                        ..Default::default()
                    };
                    self.say(answer).await?;
                }
                Ok(())
            }
            None => Ok(()),
        }
    }

    async fn lost(&mut self, id: i64, compacted: i64) -> Result<(), Over> {
        self.watches.remove(&id);
        let answer = WatchResponse {
            header: Some(self.etcd.inspect(Store::header)),
            watch_id: id,
            canceled: true,
            compact_revision: compacted,
            cancel_reason: "etcdserver: mvcc: required revision has been compacted".into(),
            ..Default::default()
        };
        self.say(answer).await
    }

    async fn send_all(&mut self) -> Result<(), Over> {
        let ids: Vec<i64> = self.watches.keys().copied().collect();
        for id in ids {
            let Some(watched) = self.watches.get_mut(&id) else {
                continue;
            };
            let (from, create) = (watched.from, watched.create.clone());
            let (events, header, compacted) = self.etcd.inspect(|s| {
                let events = s.since(from, &create.key, &create.range_end);
                (events, s.header(), s.compacted())
            });
            let events = match events {
                Ok(events) => events,
                // Compacted away before it could be sent.
                Err(RequestError::Compacted) if from <= header.revision => {
                    self.lost(id, compacted).await?;
                    continue;
                }
                Err(_) => continue,
            };
            watched.from = header.revision + 1;
            if events.is_empty() {
                continue;
            }
            self.send(id, &create, header, events).await?;
        }
        Ok(())
    }

    async fn send(
        &self,
        id: i64,
        create: &WatchCreateRequest,
        header: ResponseHeader,
        mut events: Vec<Event>,
    ) -> Result<(), Over> {
        if !create.prev_kv {
            events.iter_mut().for_each(|e| e.prev_kv = None);
        }
        let faults = self.etcd.inner.faults.borrow().clone();
        let most = if create.fragment && faults.fragment > 0 {
            faults.fragment
        } else {
            events.len()
        };
        let pieces: Vec<Vec<Event>> = events.chunks(most.max(1)).map(<[Event]>::to_vec).collect();
        let last = pieces.len() - 1;
        for (n, events) in pieces.into_iter().enumerate() {
            let header = Some(header.clone());
            let answer = WatchResponse {
                header,
                watch_id: id,
                fragment: n < last,
                events,
                ..Default::default()
            };
            self.say(answer).await?;
            if n < last && faults.cut_fragments {
                return Err(Over);
            }
        }
        Ok(())
    }
}
