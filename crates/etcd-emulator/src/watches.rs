//! Watch streams. Each watch sends complete revisions in order from its start revision on, split into fragments if the client
//! accepts them.
use crate::services::ResponseStream;
use crate::{EtcdEmulator, RequestError, Store};
use pointspindle_etcd::client::stubs::watch_server::Watch;
use pointspindle_etcd::proto::*;
use std::collections::BTreeMap;
use tokio::sync::mpsc;
use tonic::{Request, Response, Status, Streaming};

/// Maximum number of responses queued for the client. The stream waits while the queue is full.
const QUEUE_CAPACITY: usize = 16;
/// Watch id of a progress response that applies to all watches of a stream.
const ALL_WATCHES: i64 = -1;

/// One watch of a stream.
struct WatchState {
    create: WatchCreateRequest,
    /// Next revision to send.
    next_revision: i64,
}

/// One watch stream of a client, with its watches.
struct WatchStream {
    etcd: EtcdEmulator,
    watches: BTreeMap<i64, WatchState>,
    next_id: i64,
    requires_leader: bool,
    responses: mpsc::Sender<Result<WatchResponse, Status>>,
}

/// Error: the watch stream is closed.
struct StreamClosed;

#[tonic::async_trait]
impl Watch for EtcdEmulator {
    type WatchStream = ResponseStream<WatchResponse>;

    async fn watch(
        &self,
        request: Request<Streaming<WatchRequest>>,
    ) -> Result<Response<Self::WatchStream>, Status> {
        self.admit(request.metadata()).await?;
        let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
        let stream = WatchStream {
            etcd: self.clone(),
            watches: BTreeMap::new(),
            next_id: 0,
            requires_leader: request.metadata().get("hasleader").is_some(),
            responses: sender,
        };
        tokio::spawn(stream.run(request.into_inner()));
        let responses = futures_util::stream::unfold(receiver, |mut receiver| async move {
            receiver.recv().await.map(|response| (response, receiver))
        });
        Ok(Response::new(Box::pin(responses)))
    }
}

impl WatchStream {
    async fn run(mut self, mut requests: Streaming<WatchRequest>) {
        let mut changed = self.etcd.inner.changed.subscribe();
        let mut dropped = self.etcd.inner.dropped.subscribe();
        let mut faults = self.etcd.inner.faults.subscribe();
        loop {
            let current = faults.borrow_and_update().clone();
            if let Some(status) = self.fault_status(&current) {
                let _ = self.responses.try_send(Err(status));
                return;
            }
            if current.silent {
                // The stream reads and sends nothing until the fault is reset or the client closes the stream.
                tokio::select! {
                    _ = faults.changed() => continue,
                    () = self.responses.closed() => return,
                }
            }
            let handled = tokio::select! {
                // A dropped stream sends no further responses, even if events are pending.
                biased;
                _ = dropped.changed() => Err(StreamClosed),
                _ = faults.changed() => Ok(()),
                request = requests.message() => match request {
                    Ok(Some(request)) => self.handle(request).await,
                    _ => Err(StreamClosed),
                },
                _ = changed.changed() => self.send_events().await,
            };
            if handled.is_err() {
                return;
            }
        }
    }

    /// Returns the status with which these faults end the stream, or none if they do not end it.
    fn fault_status(&self, faults: &crate::Faults) -> Option<Status> {
        if faults.unavailable {
            return Some(Status::unavailable("the emulated etcd is unavailable"));
        }
        // A silent stream does not report the loss of the leader.
        let no_leader = faults.no_leader && self.requires_leader && !faults.silent;
        no_leader.then(|| Status::unavailable("etcdserver: no leader"))
    }

    async fn send(&self, response: WatchResponse) -> Result<(), StreamClosed> {
        self.etcd.inner.traffic.record_watch_response(&response);
        let delay = self.etcd.inner.faults.borrow().delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        self.responses
            .send(Ok(response))
            .await
            .map_err(|_| StreamClosed)
    }

    async fn handle(&mut self, request: WatchRequest) -> Result<(), StreamClosed> {
        self.etcd.inner.traffic.record_watch_request(&request);
        match request.request {
            Some(watch_request::Request::Create(create)) => self.create(create).await,
            Some(watch_request::Request::Cancel(cancel)) => self.cancel(cancel.watch_id).await,
            Some(watch_request::Request::Progress(_)) => self.report_progress().await,
            None => Ok(()),
        }
    }

    async fn create(&mut self, create: WatchCreateRequest) -> Result<(), StreamClosed> {
        let (header, compacted) = self
            .etcd
            .inspect(|store| (store.header(), store.compacted()));
        let watch_id = self.next_id;
        self.next_id += 1;
        let next_revision = match create.start_revision {
            revision @ 1.. => revision,
            _ => header.revision + 1,
        };
        let created = WatchResponse {
            header: Some(header),
            watch_id,
            created: true,
            ..Default::default()
        };
        self.send(created).await?;
        if next_revision <= compacted {
            return self.cancel_compacted(watch_id, compacted).await;
        }
        let watch = WatchState {
            create,
            next_revision,
        };
        self.watches.insert(watch_id, watch);
        self.send_events().await
    }

    async fn cancel(&mut self, watch_id: i64) -> Result<(), StreamClosed> {
        self.watches.remove(&watch_id);
        let canceled = WatchResponse {
            header: Some(self.etcd.inspect(Store::header)),
            watch_id,
            canceled: true,
            ..Default::default()
        };
        self.send(canceled).await
    }

    /// Cancels a watch whose next revision has been compacted away.
    async fn cancel_compacted(
        &mut self,
        watch_id: i64,
        compacted: i64,
    ) -> Result<(), StreamClosed> {
        self.watches.remove(&watch_id);
        let canceled = WatchResponse {
            header: Some(self.etcd.inspect(Store::header)),
            watch_id,
            canceled: true,
            compact_revision: compacted,
            cancel_reason: RequestError::Compacted.to_string(),
            ..Default::default()
        };
        self.send(canceled).await
    }

    /// Sends a progress response if all watches have sent everything up to its revision.
    async fn report_progress(&mut self) -> Result<(), StreamClosed> {
        self.send_events().await?;
        let header = self.etcd.inspect(Store::header);
        let is_current = |watch: &WatchState| watch.next_revision > header.revision;
        if !self.watches.values().all(is_current) {
            return Ok(());
        }
        let progress = WatchResponse {
            header: Some(header),
            watch_id: ALL_WATCHES,
            ..Default::default()
        };
        self.send(progress).await
    }

    /// Sends the pending events of each watch.
    async fn send_events(&mut self) -> Result<(), StreamClosed> {
        let ids: Vec<i64> = self.watches.keys().copied().collect();
        for id in ids {
            self.send_pending_events(id).await?;
        }
        Ok(())
    }

    async fn send_pending_events(&mut self, watch_id: i64) -> Result<(), StreamClosed> {
        let Some(watch) = self.watches.get_mut(&watch_id) else {
            return Ok(());
        };
        let next_revision = watch.next_revision;
        let create = watch.create.clone();
        let (events, header, compacted) = self.etcd.inspect(|store| {
            let events = store.events_since(next_revision, &create.key, &create.range_end);
            (events, store.header(), store.compacted())
        });
        let events = match events {
            Ok(events) => events,
            // The next revision was compacted before it was sent.
            Err(RequestError::Compacted) if next_revision <= header.revision => {
                return self.cancel_compacted(watch_id, compacted).await;
            }
            Err(_) => return Ok(()),
        };
        watch.next_revision = header.revision + 1;
        if events.is_empty() {
            return Ok(());
        }
        self.send_fragments(watch_id, &create, &header, events)
            .await
    }

    async fn send_fragments(
        &self,
        watch_id: i64,
        create: &WatchCreateRequest,
        header: &ResponseHeader,
        mut events: Vec<Event>,
    ) -> Result<(), StreamClosed> {
        if !create.prev_kv {
            events.iter_mut().for_each(|event| event.prev_kv = None);
        }
        let faults = self.etcd.inner.faults.borrow().clone();
        let fragment_len = if create.fragment && faults.events_per_fragment > 0 {
            faults.events_per_fragment
        } else {
            events.len()
        };
        let mut fragments = events.chunks(fragment_len.max(1)).peekable();
        while let Some(events) = fragments.next() {
            let more_follow = fragments.peek().is_some();
            let response = WatchResponse {
                header: Some(header.clone()),
                watch_id,
                fragment: more_follow,
                events: events.to_vec(),
                ..Default::default()
            };
            self.send(response).await?;
            if more_follow && faults.break_between_fragments {
                return Err(StreamClosed);
            }
        }
        Ok(())
    }
}
