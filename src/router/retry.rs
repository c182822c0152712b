//! Retry rules: idempotency and its window, the scope of idempotency keys, and backoff.
use super::endpoints::{Endpoint, Endpoints};
use super::requests::{FirstRun, OpenRequest};
use super::MS;
use crate::ids::Micros;
use crate::settings::{Idempotency, KeyScope};

/// Time before the end of its window in which a request with an idempotency key is no longer retried, since a retry
/// takes time to arrive.
const IDEMPOTENCY_WINDOW_MARGIN: Micros = 200 * MS;
/// Number of rejections for lack of capacity after which a request is rejected: more attempts only add to the
/// overload.
const MAX_REJECTIONS: u32 = 2;
/// Initial backoff of an uncacheable request; doubled by each rejection.
const REJECTION_BACKOFF: Micros = 80 * MS;
/// Retry-After of a rejected client: short, since the latency objective counts from the client's first attempt.
const CLIENT_RETRY_AFTER: Micros = 100 * MS;

/// Whether another attempt cannot apply the effect of the request a second time.
pub(super) fn may_retry(
    now: Micros,
    first_run: Option<FirstRun>,
    idempotency: Idempotency,
) -> bool {
    match (first_run, idempotency) {
        (None, _) | (_, Idempotency::Idempotent) => true,
        (Some(_), Idempotency::NotIdempotent) => false,
        (Some(first_run), Idempotency::WithKey { window, .. }) => {
            now + IDEMPOTENCY_WINDOW_MARGIN < first_run.sent_at + window
        }
    }
}

/// Whether an endpoint discards a retry of a request that has already run at the endpoint of its first attempt.
pub(super) fn is_in_key_scope(
    first_run: Option<FirstRun>,
    idempotency: Idempotency,
    endpoint: &Endpoint,
    endpoints: &Endpoints,
) -> bool {
    let (Some(first_run), Idempotency::WithKey { scope, .. }) = (first_run, idempotency) else {
        return true;
    };
    let first = endpoints.get(first_run.endpoint).map(|first| &first.entry);
    match scope {
        KeyScope::All => true,
        KeyScope::Zone => first.is_some_and(|first| first.zone == endpoint.entry.zone),
        KeyScope::Cell => first.is_some_and(|first| first.cell == endpoint.entry.cell),
    }
}

/// Whether the client may safely repeat a request that gets no response, at any later time and through any router.
///
/// A request with an idempotency key that may have run is not safe to repeat: another router does not know when the
/// window of the key began, and may send the repeat when the endpoints no longer discard it.
pub(super) fn client_may_repeat(request: &OpenRequest, idempotency: Idempotency) -> bool {
    idempotency == Idempotency::Idempotent
        || (request.first_run.is_none() && request.in_flight.is_empty())
}

pub(super) fn client_retry_after(max_retry_after: Micros) -> Micros {
    CLIENT_RETRY_AFTER.min(max_retry_after)
}

/// Returns the backoff of an uncacheable request after a number of rejections.
pub(super) fn rejection_backoff(rejections: u32) -> Micros {
    REJECTION_BACKOFF << rejections.min(6)
}

pub(super) fn is_rejected_too_often(rejections: u32) -> bool {
    rejections >= MAX_REJECTIONS
}
