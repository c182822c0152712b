//! Runs a [`Watcher`] with an etcd client and forwards its updates.
//!
//! At most one snapshot read or watch is in flight. It runs as a task that is aborted when it is replaced or cancelled; its queued
//! responses are then dropped. Purge mark reads run concurrently with it and are bounded by the client's call time-out.
mod requests;

use crate::client::Etcd;
use crate::layout;
use crate::proto::{watch_request, WatchProgressRequest, WatchRequest};
use crate::watcher::{Input, Micros, Output, Revision, Watcher};
use pointspindle_clock::WallClock;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// Maximum number of responses queued for the watcher. Streams are not read while the queue is full.
const RESPONSE_QUEUE_CAPACITY: usize = 64;
/// Maximum number of progress requests queued for a watch; further ones are dropped.
const PROGRESS_QUEUE_CAPACITY: usize = 4;

/// Identifies the request that a response belongs to.
#[derive(Clone, Copy, PartialEq, Eq)]
enum RequestId {
    /// The snapshot read or watch with this number. It is no longer current once another one was started or it was cancelled.
    Exclusive(u64),
    /// A read of the purge mark.
    PurgeMarkRead,
}

/// A response of etcd, queued for the watcher.
struct Response {
    request_id: RequestId,
    input: Input,
}

/// A snapshot read or watch in flight. Dropping it aborts its task.
struct RequestInFlight {
    task: AbortHandle,
    /// Sends progress requests to the watch; none for a snapshot read.
    progress_requests: Option<mpsc::Sender<WatchRequest>>,
}

impl Drop for RequestInFlight {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Executes the requests of one watcher.
struct RequestRunner {
    etcd: Etcd,
    watched_prefix: String,
    purge_mark_key: String,
    responses: mpsc::Sender<Response>,
    in_flight: Option<RequestInFlight>,
    /// Number of the last request; its cancellation increments the number too.
    request_number: u64,
}

/// Runs the watcher until `on_update` returns false. `prefix` is the operator's prefix, as in [`layout`].
pub async fn run(
    etcd: Etcd,
    prefix: String,
    mut watcher: Watcher,
    mut on_update: impl FnMut(Output) -> bool,
) {
    let started_at = Instant::now();
    let now = || started_at.elapsed().as_micros() as Micros;
    let wall_clock = WallClock::start();
    let (sender, mut responses) = mpsc::channel(RESPONSE_QUEUE_CAPACITY);
    let mut requests = RequestRunner::new(etcd, &prefix, sender);
    loop {
        let wait = Duration::from_micros(watcher.next_deadline().saturating_sub(now()));
        let response = tokio::select! {
            response = responses.recv() => response,
            () = tokio::time::sleep(wait) => Some(requests.tick()),
        };
        // The runner holds a sender, so the channel stays open.
        let Some(response) = response else { return };
        if !requests.is_current(response.request_id) {
            continue;
        }
        let mut outputs = Vec::new();
        watcher.handle(now(), wall_clock.earlier_ms(), response.input, &mut outputs);
        for output in outputs {
            let Some(update) = requests.execute_request(output) else {
                continue;
            };
            if !on_update(update) {
                return;
            }
        }
    }
}

impl RequestRunner {
    fn new(etcd: Etcd, prefix: &str, responses: mpsc::Sender<Response>) -> Self {
        Self {
            etcd,
            watched_prefix: layout::watched_prefix(prefix),
            purge_mark_key: layout::purge_mark_key(prefix),
            responses,
            in_flight: None,
            request_number: 0,
        }
    }

    fn tick(&self) -> Response {
        Response {
            request_id: RequestId::Exclusive(self.request_number),
            input: Input::Tick,
        }
    }

    /// Returns false for a response to a request that was replaced or cancelled.
    fn is_current(&self, request_id: RequestId) -> bool {
        match request_id {
            RequestId::Exclusive(number) => number == self.request_number,
            RequestId::PurgeMarkRead => true,
        }
    }

    /// Executes an output that is a request; returns any other output.
    fn execute_request(&mut self, output: Output) -> Option<Output> {
        match output {
            Output::ReadSnapshot => self.read_snapshot(),
            Output::StartWatch { start_revision } => self.start_watch(start_revision),
            Output::RequestProgress => self.request_progress(),
            Output::ReadPurgeMark { requested_at } => self.read_purge_mark(requested_at),
            Output::CancelRequest => self.cancel(),
            update => return Some(update),
        }
        None
    }

    fn next_request_id(&mut self) -> RequestId {
        self.request_number += 1;
        RequestId::Exclusive(self.request_number)
    }

    fn read_snapshot(&mut self) {
        let request_id = self.next_request_id();
        let task = requests::read_snapshot(
            self.etcd.clone(),
            self.watched_prefix.clone(),
            request_id,
            self.responses.clone(),
        );
        self.in_flight = Some(RequestInFlight {
            task: tokio::spawn(task).abort_handle(),
            progress_requests: None,
        });
    }

    fn start_watch(&mut self, start_revision: Revision) {
        let request_id = self.next_request_id();
        let (progress_sender, progress_requests) = mpsc::channel(PROGRESS_QUEUE_CAPACITY);
        let watch = requests::WatchTask {
            etcd: self.etcd.clone(),
            prefix: self.watched_prefix.clone(),
            start_revision,
            request_id,
            responses: self.responses.clone(),
        };
        self.in_flight = Some(RequestInFlight {
            task: tokio::spawn(watch.run(progress_requests)).abort_handle(),
            progress_requests: Some(progress_sender),
        });
    }

    fn request_progress(&self) {
        let progress_requests = self
            .in_flight
            .as_ref()
            .and_then(|request| request.progress_requests.as_ref());
        if let Some(sender) = progress_requests {
            let request = watch_request::Request::Progress(WatchProgressRequest {});
            let _ = sender.try_send(WatchRequest {
                request: Some(request),
            });
        }
    }

    fn read_purge_mark(&self, requested_at: Micros) {
        tokio::spawn(requests::read_purge_mark(
            self.etcd.clone(),
            self.purge_mark_key.clone(),
            requested_at,
            self.responses.clone(),
        ));
    }

    fn cancel(&mut self) {
        self.request_number += 1;
        self.in_flight = None;
    }
}
