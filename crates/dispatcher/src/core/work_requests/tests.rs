//! Order and number of requests that wait for a lease.
use super::*;
use pointspindle::{ObjectId, RequestId};

fn request(id: u64) -> Request {
    let object = ObjectId::named("/o");
    Request {
        id: RequestId(id),
        class: 0,
        object,
        part: 0,
        group: 0,
        time_left: 1_000_000,
        size_kb: None,
        idempotency_key: None,
    }
}

#[test]
fn replies_release_waiting_requests_in_order() {
    let mut work_requests = WorkRequests::default();
    let endpoint = EndpointId(1);
    assert_eq!(
        work_requests.enqueue(0, endpoint, &request(1)),
        None,
        "the endpoint does not grant work on request"
    );
    work_requests.set_on_request(endpoint, true);
    for id in 1..=3 {
        assert_eq!(
            work_requests.enqueue(id, endpoint, &request(id)),
            Some(id + MAX_WAIT_US)
        );
    }
    work_requests.take(1);
    let second = work_requests.take_next(endpoint).unwrap();
    assert_eq!(
        (second.request.id.0, second.into_request(5_002).time_left),
        (2, 995_000)
    );
    assert_eq!(
        work_requests
            .take_next(endpoint)
            .map(|waiting| waiting.request.id.0),
        Some(3)
    );
    assert!(
        work_requests.take_next(endpoint).is_none()
            && work_requests.waiting.is_empty()
            && work_requests.queues.is_empty()
    );
    work_requests.retain(|_| false);
    assert!(!work_requests.has_endpoint_on_request());
}

#[test]
fn waiting_requests_over_limit_are_not_queued() {
    let mut work_requests = WorkRequests::default();
    let endpoint = EndpointId(1);
    work_requests.set_on_request(endpoint, true);
    let waiting = (0..1_000)
        .filter(|id| work_requests.enqueue(0, endpoint, &request(*id)).is_some())
        .count();
    assert_eq!(waiting, MAX_WAITING_PER_ENDPOINT);
}
