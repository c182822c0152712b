//! Slow start of endpoints: detection of restarts, and work leases.
use crate::harness::*;
use pointspindle_dispatcher::core::AttemptEnd;
use pointspindle_dispatcher::{ClientRequest, Input, Output};
use pointspindle_protocol::{
    EndpointListForm, EndpointRecord, HelloHead, LeaseHead, WireEndpointState,
};

/// Applies a hello of the first cache. Returns whether its process replaced another one.
fn hello(harness: &mut Harness, incarnation: u64, started_ago_us: Option<u64>) -> bool {
    let hello = HelloHead {
        incarnation,
        started_ago_us,
        ..Default::default()
    };
    let outputs = harness.handle(Input::Hello {
        endpoint: CACHE_1.into(),
        hello,
    });
    matches!(outputs[..], [Output::HelloApplied { replaced: true }])
}

/// Starts 60 simultaneous requests. Returns how many of them are sent to the only cache; the others are rejected.
fn sent_count(harness: &mut Harness, first_id: u64) -> usize {
    let is_sent = |harness: &mut Harness, id: u64| {
        let request = ClientRequest {
            size: Some(6_000_000),
            ..video_request(id)
        };
        sent_attempt(&harness.handle(Input::Request(id, request))).is_some()
    };
    let sent: Vec<u64> = (first_id..first_id + 60)
        .filter(|id| is_sent(harness, *id))
        .collect();
    for id in &sent {
        harness.start_response(*id, 0);
        harness.end_attempt(*id, 0, AttemptEnd::Complete);
    }
    sent.len()
}

#[test]
fn new_incarnation_is_restart_despite_wrong_clock_and_outdated_list() {
    let mut harness = Harness::with_single_cache();
    let one_day = Some(86_400_000 * MS);
    assert!(!hello(&mut harness, 7, one_day), "the first hello");
    harness.now += 1_000 * MS;
    assert!(
        !hello(&mut harness, 7, one_day),
        "the same process on another connection"
    );
    let warm = sent_count(&mut harness, 100);
    harness.now += 5_000 * MS;
    assert!(
        hello(&mut harness, 8, one_day),
        "another process with a wrong clock"
    );
    let restarted = sent_count(&mut harness, 200);
    assert!(restarted < warm / 2, "{restarted} of {warm}");
    // A record written before the restart and received after it.
    let outdated = EndpointRecord {
        incarnation: 1,
        started_ago_us: Some(300_000 * MS),
        ..endpoint_record(CACHE_1, "cache", WireEndpointState::Ready)
    };
    harness.apply_list(EndpointListForm::Delta, 2, vec![outdated]);
    harness.now += 3_000 * MS;
    let after_list = sent_count(&mut harness, 300);
    assert!(after_list < warm / 2, "{after_list} of {warm}");
}

#[test]
fn hello_of_unlisted_endpoint_changes_nothing() {
    let mut harness = Harness::with_single_cache();
    let warm = sent_count(&mut harness, 100);
    let hello = HelloHead {
        incarnation: 3,
        started_ago_us: Some(0),
        ..Default::default()
    };
    harness.handle(Input::Hello {
        endpoint: "127.0.0.1:77".into(),
        hello,
    });
    harness.now += 5_000 * MS;
    assert!(sent_count(&mut harness, 200) + 5 > warm);
}

fn lease(work_ms: u64, on_request: bool, in_reply: bool) -> Input {
    Input::Lease {
        endpoint: CACHE_1.into(),
        lease: LeaseHead {
            work_us: work_ms * MS,
            duration_us: 125 * MS,
            on_request,
            in_reply,
        },
    }
}

/// Returns a harness whose only cache is in slow start and grants work on request.
fn with_work_on_request() -> Harness {
    let mut harness = Harness::with_single_cache();
    hello(&mut harness, 7, Some(60_000_000 * MS));
    hello(&mut harness, 8, Some(0));
    harness.now += 3_000 * MS;
    harness.handle(lease(0, true, false));
    harness
}

fn small_request(harness: &mut Harness, id: u64) -> Vec<Output> {
    let request = ClientRequest {
        size: Some(6_000),
        ..video_request(id)
    };
    harness.handle(Input::Request(id, request))
}

fn work_request_count(outputs: &[Output]) -> usize {
    outputs
        .iter()
        .filter(|output| matches!(output, Output::RequestWork { .. }))
        .count()
}

/// A request waits for a work lease, which decides whether it is sent. If no lease arrives in time, the router decides without
/// one. A client that disconnects while its request waits leaves no state behind.
#[test]
fn request_waits_for_work_lease_and_is_decided_by_it() {
    let mut harness = with_work_on_request();
    let outputs = small_request(&mut harness, 1);
    assert_eq!(work_request_count(&outputs), 1, "{outputs:?}");
    assert!(sent_attempt(&outputs).is_none(), "{outputs:?}");
    assert_eq!(final_output_count(&outputs), 0, "{outputs:?}");
    let Some(Output::RequestWork { work_us, .. }) = outputs.first() else {
        panic!("{outputs:?}")
    };
    harness.now += MS;
    let granted = harness.handle(lease(work_us.div_ceil(MS), true, true));
    assert_eq!(
        sent_attempt(&granted).map(|sent| sent.endpoint).as_deref(),
        Some(CACHE_1),
        "granted: {granted:?}"
    );
    harness.start_response(1, 0);
    harness.end_attempt(1, 0, AttemptEnd::Complete);

    small_request(&mut harness, 2);
    let denied = harness.handle(lease(0, true, true));
    assert!(
        sent_attempt(&denied).is_none() && final_output_count(&denied) == 1,
        "no work granted, and there is no other endpoint: {denied:?}"
    );

    small_request(&mut harness, 3);
    let disconnected = harness.handle(Input::ClientDisconnected(3));
    assert_eq!(work_request_count(&disconnected), 0);
    let deadline = harness.now + 20 * MS;
    assert_eq!(work_request_count(&small_request(&mut harness, 4)), 1);
    let outputs = harness.advance_to(deadline + MS);
    assert_eq!(
        final_output_count(&outputs),
        1,
        "no lease arrived in time, so the router decided without one: {outputs:?}"
    );
    assert_eq!(harness.core.open_requests(), 0);

    harness.handle(lease(0, false, false));
    let outputs = small_request(&mut harness, 5);
    assert_eq!(
        work_request_count(&outputs),
        0,
        "the endpoint no longer grants work on request"
    );
}
