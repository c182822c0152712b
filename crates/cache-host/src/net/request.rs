//! Handles one request by carrying out the decisions of the fill table.
use super::cached_response::declared_freshness_lifetime;
use super::fill_sources::HOST_ORIGIN;
use super::host_state::Shared;
use crate::fill_table::{CacheRequest, CachedCopy, FillId, RequestDecision, WaiterId};
use pointspindle::Micros;
use pointspindle_config::{CacheClass, Role};
use pointspindle_protocol::{ErrorHead, RequestHead, ResponseHead, WireCacheStatus, WireStatus};
use pointspindle_store::{Key, Meta, StoredCopy};
use pointspindle_transport::Responder;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Maximum number of decisions for one request. A request is decided again if the fill that it joined no longer has the
/// beginning of the body.
const MAX_DECISIONS: usize = 3;

/// Guard that counts a request as open until it is dropped.
struct OpenRequest(Arc<Shared>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.close_request();
    }
}

/// A request that still has to be answered with an error.
pub(super) struct UnansweredRequest {
    responder: Responder,
    error: ErrorHead,
}

impl UnansweredRequest {
    /// Boxed, because it is the error of an [`Outcome`].
    pub fn new(responder: Responder, error: ErrorHead) -> Box<Self> {
        Box::new(Self { responder, error })
    }
}

/// Result of a request: `Ok` if the response is complete or the client has disconnected, otherwise the error to send.
pub(super) type Outcome = Result<(), Box<UnansweredRequest>>;

/// Result of carrying out one decision.
enum Step {
    Done(Outcome),
    DecideAgain(Responder),
}

/// Composes an error response; `may_have_run` says whether the origin may have executed the request.
pub(super) fn error_head(
    status: WireStatus,
    cache_status: WireCacheStatus,
    may_have_run: bool,
    detail: &str,
) -> ErrorHead {
    ErrorHead {
        status: status as i32,
        cache_status: cache_status as i32,
        may_have_run,
        detail: detail.to_owned(),
        ..ErrorHead::default()
    }
}

fn rejection(cache_status: WireCacheStatus, detail: &str) -> ErrorHead {
    error_head(WireStatus::Rejected, cache_status, false, detail)
}

/// Handles one request and sends its response.
pub(super) async fn handle(shared: Arc<Shared>, head: RequestHead, responder: Responder) {
    // After a network interruption, a request and its cancellation can arrive together.
    if responder.is_cancelled() {
        return;
    }
    let received_at = Instant::now();
    let is_admitted = shared.open_request();
    let _open_request = OpenRequest(shared.clone());
    let request = Request {
        shared: shared.clone(),
        head,
        received_at,
    };
    let outcome = if is_admitted {
        request.run(responder).await
    } else {
        let error = rejection(WireCacheStatus::Unreported, "too many requests");
        Err(UnansweredRequest::new(responder, error))
    };
    if let Err(unanswered) = outcome {
        send_error(&shared, *unanswered, received_at).await;
    }
}

async fn send_error(shared: &Shared, unanswered: UnansweredRequest, received_at: Instant) {
    let UnansweredRequest { responder, error } = unanswered;
    let load = Some(shared.load());
    let elapsed_us = received_at.elapsed().as_micros() as u64;
    shared.count(|c| match error.status() {
        WireStatus::Rejected => c.rejected += 1,
        WireStatus::Miss => c.misses += 1,
        _ => c.failed += 1,
    });
    let error = ErrorHead {
        load,
        elapsed_us,
        ..error
    };
    let _ = responder.error(error).await;
}

/// A request that is being handled.
pub(super) struct Request {
    pub shared: Arc<Shared>,
    pub head: RequestHead,
    pub received_at: Instant,
}

impl Request {
    /// Returns the key of the requested object in the store.
    pub fn key(&self) -> Key {
        Meta {
            object: self.head.object.clone(),
            part: self.head.part,
            ..Meta::default()
        }
        .key()
    }

    /// Returns the time left for the response.
    pub fn time_left(&self) -> Duration {
        let max_time_us = self.shared.settings.fill_timeout_us;
        let allowed_us = match self.head.time_left_us {
            0 => max_time_us,
            requested_us => requested_us.min(max_time_us),
        };
        Duration::from_micros(allowed_us.saturating_sub(self.elapsed_us()))
    }

    fn elapsed_us(&self) -> Micros {
        self.received_at.elapsed().as_micros() as Micros
    }

    /// Adds the load of this host and the elapsed time to a response head.
    pub fn with_load(&self, head: ResponseHead) -> ResponseHead {
        ResponseHead {
            load: Some(self.shared.load()),
            elapsed_us: self.elapsed_us(),
            ..head
        }
    }

    /// Returns the stored copy of the requested object.
    pub async fn find_copy(&self, uncacheable: bool) -> Option<StoredCopy> {
        if uncacheable || self.shared.store.is_none() {
            return None;
        }
        let shared = self.shared.clone();
        let key = self.key();
        let found = tokio::task::spawn_blocking(move || shared.stored_copy(&key))
            .await
            .ok()??;
        // The key is a hash: a colliding object must not be served.
        (found.meta.object == self.head.object).then_some(found)
    }

    async fn run(self, mut responder: Responder) -> Outcome {
        let classes = &self.shared.settings.classes;
        let Some(class) = classes.iter().find(|c| c.name == self.head.class) else {
            let detail = format!("no class {:?} here", self.head.class);
            let unreported = WireCacheStatus::Unreported;
            let error = error_head(WireStatus::Error, unreported, false, &detail);
            return Err(UnansweredRequest::new(responder, error));
        };
        for _ in 0..MAX_DECISIONS {
            match self.decide(responder, class).await {
                Step::Done(outcome) => return outcome,
                Step::DecideAgain(returned) => responder = returned,
            }
        }
        let error = error_head(
            WireStatus::Error,
            WireCacheStatus::SourceUnreachable,
            true,
            "the copy was gone again each time",
        );
        Err(UnansweredRequest::new(responder, error))
    }

    /// Makes one decision and carries it out.
    async fn decide(&self, responder: Responder, class: &CacheClass) -> Step {
        let found = self.find_copy(class.uncacheable).await;
        let request = self.cache_request(class, found.as_ref());
        let cached = found.as_ref().map(|found| CachedCopy {
            age: self.shared.age(&found.meta),
        });
        let (decision, fill_receiver) = self.shared.decide(&request, self.head.group, cached);
        let plan = FillPlan {
            request,
            uncacheable: class.uncacheable,
            found,
        };
        match (decision, fill_receiver) {
            (RequestDecision::Serve { stale, revalidate }, _) => {
                self.serve_found(responder, plan, stale, revalidate).await
            }
            (RequestDecision::Miss, _) => {
                self.shared.update_hit_ratio(false);
                let unreported = WireCacheStatus::Unreported;
                let error = error_head(WireStatus::Miss, unreported, false, "no copy stored");
                Step::Done(Err(UnansweredRequest::new(responder, error)))
            }
            (RequestDecision::Reject, _) => {
                let detail = "all fills are in use and the fill queue is full";
                let error = rejection(WireCacheStatus::FillLimitReached, detail);
                Step::Done(Err(UnansweredRequest::new(responder, error)))
            }
            (RequestDecision::Join(fill), _) => self.join(responder, fill).await,
            (RequestDecision::Fill(fill), _) => Step::Done(self.fill(responder, fill, plan).await),
            (RequestDecision::Wait(waiter), Some(fill_receiver)) => {
                Step::Done(self.wait(responder, waiter, fill_receiver, plan).await)
            }
            (RequestDecision::Wait(_), None) => Step::DecideAgain(responder),
        }
    }

    fn cache_request(&self, class: &CacheClass, found: Option<&StoredCopy>) -> CacheRequest<Key> {
        let settings = &self.shared.settings;
        let class_lifetime = (class.fresh_for_us > 0).then_some(class.fresh_for_us);
        let declared_lifetime = found.and_then(|found| declared_freshness_lifetime(&found.meta));
        // A host in the cache role fills only from a source that the request names; parents and gateways have an origin
        // of their own.
        let has_own_source = settings.role != Role::Cache && settings.origin.is_some();
        let mut request = CacheRequest::from_head(
            &self.head,
            self.key(),
            declared_lifetime.or(class_lifetime),
            has_own_source.then_some(HOST_ORIGIN),
            class.uncacheable,
        );
        if self.shared.store.is_none() {
            request.retention_rank = 0;
        }
        request
    }

    async fn serve_found(
        &self,
        responder: Responder,
        mut plan: FillPlan,
        stale: bool,
        revalidate: Option<FillId>,
    ) -> Step {
        let Some(found) = plan.found.take() else {
            return Step::DecideAgain(responder);
        };
        if let Some(fill) = revalidate {
            let validator = Some(found.meta.validator.clone());
            self.spawn_fill(fill, &plan, validator, true);
        }
        self.shared.update_hit_ratio(true);
        let status = if stale {
            self.shared.count(|c| c.stale += 1);
            WireCacheStatus::Stale
        } else {
            self.shared.count(|c| c.hits += 1);
            WireCacheStatus::Hit
        };
        Step::Done(self.serve_cached(responder, found, status).await)
    }

    async fn join(&self, responder: Responder, fill: FillId) -> Step {
        let Some(stream) = self.shared.fill_stream(fill) else {
            return Step::DecideAgain(responder);
        };
        self.shared.update_hit_ratio(false);
        if let Some(reader) = stream.reader() {
            self.shared.count(|c| c.joined += 1);
            let status = Some(WireCacheStatus::Coalesced);
            return Step::Done(self.serve_from_fill(responder, reader, status).await);
        }
        // The beginning of the body is no longer buffered, so the request waits for the copy that the fill stores.
        tokio::select! {
            _ = stream.ended() => Step::DecideAgain(responder),
            () = responder.cancelled() => Step::Done(Ok(())),
        }
    }

    /// Waits for a free fill, then fills.
    async fn wait(
        &self,
        responder: Responder,
        waiter: WaiterId,
        mut fill_receiver: oneshot::Receiver<FillId>,
        plan: FillPlan,
    ) -> Outcome {
        let fill = tokio::select! {
            fill = &mut fill_receiver => fill.ok(),
            () = responder.cancelled() => None,
            () = tokio::time::sleep(self.time_left()) => None,
        };
        let was_queued = self.shared.cancel_wait(waiter);
        if let Some(fill) = fill {
            return self.fill(responder, fill, plan).await;
        }
        // A fill that was granted while the wait ended is passed on to the next request.
        if let Ok(fill) = fill_receiver.try_recv() {
            self.shared.end_fill(fill);
        }
        if responder.is_cancelled() || !was_queued {
            return Ok(());
        }
        let detail = "no fill became available in time";
        let error = rejection(WireCacheStatus::FillLimitReached, detail);
        Err(UnansweredRequest::new(responder, error))
    }
}

/// Input of a fill for a request.
pub(super) struct FillPlan {
    pub request: CacheRequest<Key>,
    pub uncacheable: bool,
    /// The stored copy that may be revalidated.
    pub found: Option<StoredCopy>,
}
