//! The tasks that execute a watcher's requests, and the conversion of etcd's messages to inputs of the watcher.
use super::{RequestId, Response};
use crate::client::{prefix_end, Etcd, EtcdError};
use crate::proto::{
    self, watch_request, EventType, RangeRequest, RangeResponse, ResponseHeader,
    WatchCreateRequest, WatchRequest, WatchResponse,
};
use crate::watcher::{Header, Input, KeyValue, Micros, Revision, WatchEvent};
use futures_util::{Stream, StreamExt};
use tokio::sync::mpsc;
use tonic::Streaming;

/// Reads the purge mark with a linearizable read.
pub(super) async fn read_purge_mark(
    etcd: Etcd,
    key: String,
    requested_at: Micros,
    responses: mpsc::Sender<Response>,
) {
    let request = RangeRequest {
        key: key.into_bytes(),
        ..Default::default()
    };
    let mark = match etcd.range(request).await {
        Ok(response) => Some(purge_mark(response)),
        Err(error) => {
            tracing::debug!(%error, "etcd: cannot read the purge mark; purges are not confirmed by this read");
            None
        }
    };
    let _ = responses
        .send(Response {
            request_id: RequestId::PurgeMarkRead,
            input: Input::PurgeMarkRead { requested_at, mark },
        })
        .await;
}

/// Returns the cluster id and the revision of the purge mark, which is 0 if no purge was ever written.
fn purge_mark(response: RangeResponse) -> (u64, Revision) {
    let cluster = header(response.header).cluster;
    let revision = response.kvs.first().map_or(0, |kv| kv.mod_revision);
    (cluster, revision)
}

/// Reads all keys under the prefix.
pub(super) async fn read_snapshot(
    etcd: Etcd,
    prefix: String,
    request_id: RequestId,
    responses: mpsc::Sender<Response>,
) {
    let input = match etcd.snapshot(&prefix).await {
        Ok(snapshot) => Input::Snapshot {
            header: header(Some(snapshot.header)),
            keys: snapshot.keys.into_iter().map(key_value).collect(),
        },
        Err(error) => {
            tracing::warn!(%error, "etcd: reading the snapshot failed");
            Input::Failed
        }
    };
    let _ = responses.send(Response { request_id, input }).await;
}

/// A task that runs one watch from its creation to its end.
pub(super) struct WatchTask {
    pub(super) etcd: Etcd,
    pub(super) prefix: String,
    /// First revision to deliver.
    pub(super) start_revision: Revision,
    pub(super) request_id: RequestId,
    pub(super) responses: mpsc::Sender<Response>,
}

/// Cause of the end of a watch.
enum WatchEnd {
    /// The start revision was compacted away.
    Compacted,
    /// The receiver of the responses was dropped.
    Abandoned,
    /// The stream failed, ended, or was cancelled by etcd.
    Failed(String),
}

impl WatchTask {
    /// Forwards responses until the watch ends. The last input reports the end, unless the receiver was dropped.
    pub(super) async fn run(self, progress_requests: mpsc::Receiver<WatchRequest>) {
        let requests = self.requests(progress_requests);
        let (endpoint, end) = match self.etcd.watch(requests).await {
            Ok(watch) => (watch.endpoint, self.forward(watch.responses).await),
            Err(failure) => {
                let end = match failure.error {
                    EtcdError::Compacted => WatchEnd::Compacted,
                    error => WatchEnd::Failed(error.to_string()),
                };
                (failure.endpoint, end)
            }
        };
        match end {
            WatchEnd::Abandoned => {}
            WatchEnd::Compacted => drop(self.send(Input::Compacted).await),
            WatchEnd::Failed(reason) => {
                tracing::info!(reason, "etcd: watch failed");
                self.etcd.fail_over(endpoint);
                drop(self.send(Input::Failed).await);
            }
        }
    }

    /// Returns the client's messages: the creation of the watch, then progress requests.
    fn requests(
        &self,
        progress_requests: mpsc::Receiver<WatchRequest>,
    ) -> impl Stream<Item = WatchRequest> + Send + 'static {
        let create = WatchCreateRequest {
            range_end: prefix_end(self.prefix.as_bytes()),
            key: self.prefix.clone().into_bytes(),
            start_revision: self.start_revision,
            progress_notify: true,
            fragment: true,
            ..Default::default()
        };
        let create = WatchRequest {
            request: Some(watch_request::Request::Create(create)),
        };
        let progress_requests =
            futures_util::stream::unfold(progress_requests, |mut receiver| async move {
                receiver.recv().await.map(|request| (request, receiver))
            });
        futures_util::stream::once(async move { create }).chain(progress_requests)
    }

    async fn forward(&self, mut messages: Streaming<WatchResponse>) -> WatchEnd {
        loop {
            let message = match messages.message().await {
                Ok(Some(message)) => message,
                Ok(None) => return WatchEnd::Failed("the watch stream ended".to_owned()),
                Err(status) => return WatchEnd::Failed(status.to_string()),
            };
            let input = match watch_input(message) {
                Ok(input) => input,
                Err(end) => return end,
            };
            if self.send(input).await.is_err() {
                return WatchEnd::Abandoned;
            }
        }
    }

    async fn send(&self, input: Input) -> Result<(), mpsc::error::SendError<Response>> {
        let response = Response {
            request_id: self.request_id,
            input,
        };
        self.responses.send(response).await
    }
}

fn watch_input(message: WatchResponse) -> Result<Input, WatchEnd> {
    let header = header(message.header);
    if message.compact_revision > 0 {
        return Err(WatchEnd::Compacted);
    }
    if message.canceled {
        let reason = format!("cancelled by etcd: {}", message.cancel_reason);
        return Err(WatchEnd::Failed(reason));
    }
    if message.created {
        return Ok(Input::WatchCreated { header });
    }
    if message.events.is_empty() && !message.fragment {
        return Ok(Input::Progress { header });
    }
    Ok(Input::WatchEvents {
        header,
        events: message.events.into_iter().filter_map(watch_event).collect(),
        fragment: message.fragment,
    })
}

fn watch_event(event: proto::Event) -> Option<WatchEvent> {
    let is_delete = event.r#type == EventType::Delete as i32;
    let kv = event.kv?;
    Some(if is_delete {
        WatchEvent::Delete {
            key: kv.key,
            mod_revision: kv.mod_revision,
        }
    } else {
        WatchEvent::Put(key_value(kv))
    })
}

fn key_value(kv: proto::KeyValue) -> KeyValue {
    KeyValue {
        key: kv.key,
        value: kv.value,
        mod_revision: kv.mod_revision,
    }
}

fn header(header: Option<ResponseHeader>) -> Header {
    let header = header.unwrap_or_default();
    Header {
        cluster: header.cluster_id,
        revision: header.revision,
    }
}
