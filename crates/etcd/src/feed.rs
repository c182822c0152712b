//! Runs a [`Watcher`] against etcd and passes its updates on.
//!
//! At most one snapshot read or watch is in flight, as a task that is aborted when it is replaced or cancelled; responses that it
//! had queued by then are dropped. Reads of the purge mark run beside it, and end by the client's time-out.
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

/// Responses that are queued for the watcher; a stream is not read further while the queue is full.
const RESPONSE_QUEUE: usize = 64;
/// Progress requests that are queued for a watch; further ones are dropped.
const PROGRESS_QUEUE: usize = 4;

/// The request that a response belongs to.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Origin {
    /// The snapshot read or watch of this number; void once another one was started or it was cancelled.
    Request(u64),
    /// A read of the purge mark.
    PurgeMarkRead,
}

/// A response of etcd on its way to the watcher.
struct Response {
    origin: Origin,
    input: Input,
}

/// Aborts its task when dropped.
struct RequestInFlight {
    task: AbortHandle,
    /// Where progress requests of a watch go.
    progress_requests: Option<mpsc::Sender<WatchRequest>>,
}

impl Drop for RequestInFlight {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The requests of one watcher.
struct RequestRunner {
    etcd: Etcd,
    watched_prefix: String,
    purge_mark_key: String,
    responses: mpsc::Sender<Response>,
    in_flight: Option<RequestInFlight>,
    /// Number of the last request, or of its cancellation.
    request_number: u64,
}

/// Runs until `on_update` returns false. `prefix` as in [`layout`].
pub async fn run(
    etcd: Etcd,
    prefix: String,
    mut watcher: Watcher,
    mut on_update: impl FnMut(Output) -> bool,
) {
    let started_at = Instant::now();
    let now = || started_at.elapsed().as_micros() as Micros;
    let wall_clock = WallClock::start();
    let (sender, mut responses) = mpsc::channel(RESPONSE_QUEUE);
    let mut requests = RequestRunner::new(etcd, &prefix, sender);
    loop {
        let wait = Duration::from_micros(watcher.next().saturating_sub(now()));
        let response = tokio::select! {
            response = responses.recv() => response,
            () = tokio::time::sleep(wait) => Some(requests.tick()),
        };
        // The runner holds a sender, so the channel does not close.
        let Some(response) = response else { return };
        if !requests.is_valid(response.origin) {
            continue;
        }
        let mut outputs = Vec::new();
        watcher.handle(now(), wall_clock.earlier_ms(), response.input, &mut outputs);
        for output in outputs {
            let Some(update) = requests.carry_out(output) else {
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
            origin: Origin::Request(self.request_number),
            input: Input::Tick,
        }
    }

    /// False for a response of a request that was replaced or cancelled.
    fn is_valid(&self, origin: Origin) -> bool {
        match origin {
            Origin::Request(number) => number == self.request_number,
            Origin::PurgeMarkRead => true,
        }
    }

    /// Carries out requests; returns any other output.
    fn carry_out(&mut self, output: Output) -> Option<Output> {
        match output {
            Output::ReadSnapshot => self.read_snapshot(),
            Output::StartWatch { from } => self.start_watch(from),
            Output::RequestProgress => self.request_progress(),
            Output::ReadPurgeMark { requested_at } => self.read_purge_mark(requested_at),
            Output::CancelRequest => self.cancel(),
            update => return Some(update),
        }
        None
    }

    fn next_origin(&mut self) -> Origin {
        self.request_number += 1;
        Origin::Request(self.request_number)
    }

    fn read_snapshot(&mut self) {
        let origin = self.next_origin();
        let task = requests::read_snapshot(
            self.etcd.clone(),
            self.watched_prefix.clone(),
            origin,
            self.responses.clone(),
        );
        self.in_flight = Some(RequestInFlight {
            task: tokio::spawn(task).abort_handle(),
            progress_requests: None,
        });
    }

    fn start_watch(&mut self, from: Revision) {
        let origin = self.next_origin();
        let (progress_sender, progress_requests) = mpsc::channel(PROGRESS_QUEUE);
        let watch = requests::WatchTask {
            etcd: self.etcd.clone(),
            prefix: self.watched_prefix.clone(),
            from,
            origin,
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
