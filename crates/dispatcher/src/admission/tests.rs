//! Admission, rejection and closing of client connections.
use super::*;

const LIMITS: ConnectionLimits = ConnectionLimits {
    hard: 10,
    soft: 6,
    per_address: 4,
    networks: Vec::new(),
};

fn address(last_byte: u8) -> IpAddr {
    IpAddr::from([127, 0, 0, last_byte])
}

fn admit(
    admission: &mut Admission,
    now: Micros,
    last_byte: u8,
) -> (ConnectionId, Vec<ConnectionId>) {
    match admission.admit(now, address(last_byte)) {
        AdmissionOutcome {
            decision: AdmissionDecision::Admit(id),
            close,
        } => (id, close),
        other => panic!("{other:?}"),
    }
}

#[test]
fn soft_limit_exceeded_closes_longest_idle_connection() {
    let mut admission = Admission::new(LIMITS);
    let ids: Vec<ConnectionId> = (0..6)
        .map(|n| admit(&mut admission, n, n as u8).0)
        .collect();
    admission.mark_busy(ids[0]);
    admission.mark_idle(100, ids[1]);
    let (_, close) = admit(&mut admission, 200, 50);
    assert_eq!(
        close,
        [ids[1]],
        "the longest idle connection: it was never busy, so its idle time counts from its arrival"
    );
    admission.remove(ids[1]);
    for id in &ids[2..] {
        admission.mark_busy(*id);
    }
    let (last, close) = admit(&mut admission, 300, 51);
    assert!(
        !close.contains(&last),
        "a new connection is not closed by its own admission"
    );
    assert_eq!(close.len(), 1, "the other new connection, idle since 200");
    let (_, close) = admit(&mut admission, 301, 52);
    assert_eq!(close, [last]);
}

#[test]
fn hard_limit_reached_rejects_with_growing_retry_after() {
    let mut admission = Admission::new(ConnectionLimits { soft: 10, ..LIMITS });
    for n in 0..10 {
        let (id, _) = admit(&mut admission, 0, n);
        admission.mark_busy(id);
    }
    let retry_after = |admission: &mut Admission| match admission.admit(5, address(99)) {
        AdmissionOutcome {
            decision: AdmissionDecision::Reject { retry_after },
            close,
        } if close.is_empty() => retry_after,
        other => panic!("{other:?}"),
    };
    let first = retry_after(&mut admission);
    let later = (0..500)
        .map(|_| retry_after(&mut admission))
        .last()
        .unwrap();
    assert!(first == RETRY_AFTER_US && later > first, "{first} {later}");
    admission.remove(1);
    admit(&mut admission, 6, 99);
}

#[test]
fn address_over_quota_closes_only_its_own_idle_connections() {
    let mut admission = Admission::new(ConnectionLimits {
        hard: 100,
        soft: 100,
        per_address: 3,
        ..LIMITS
    });
    let (other, _) = admit(&mut admission, 0, 2);
    let ids: Vec<ConnectionId> = (1..=3).map(|n| admit(&mut admission, n, 1).0).collect();
    let (newest, close) = admit(&mut admission, 10, 1);
    assert_eq!(
        close,
        [ids[0]],
        "not connection {other} of another address, which has been idle for longer"
    );
    admission.remove(ids[0]);
    admission.mark_busy(ids[1]);
    admission.mark_busy(ids[2]);
    admission.mark_busy(newest);
    let outcome = admission.admit(20, address(1));
    assert!(
        matches!(outcome.decision, AdmissionDecision::Reject { .. }) && outcome.close.is_empty(),
        "{outcome:?}"
    );
}

/// A request can arrive on a connection that has just been chosen to be closed. The request is answered; the connection counts
/// until it is closed, and it must not be chosen twice.
#[test]
fn request_on_closing_connection_is_not_chosen_again() {
    let mut admission = Admission::new(ConnectionLimits {
        hard: 10,
        soft: 1,
        per_address: 10,
        ..LIMITS
    });
    let (first, _) = admit(&mut admission, 0, 1);
    let (_, close) = admit(&mut admission, 1, 2);
    assert_eq!(close, [first]);
    admission.mark_busy(first);
    admission.mark_idle(2, first);
    assert!(!admit(&mut admission, 3, 3).1.contains(&first));
    assert_eq!(admission.open_count(), 3);
    admission.remove(first);
    assert_eq!(admission.open_count(), 2);
}

#[test]
fn lowered_limits_close_idle_connections_and_closed_ones_are_removed() {
    let mut admission = Admission::new(LIMITS);
    let ids: Vec<ConnectionId> = (0..6)
        .map(|n| admit(&mut admission, n, n as u8).0)
        .collect();
    admission.mark_busy(ids[5]);
    assert_eq!(
        admission.set_limits(ConnectionLimits {
            hard: 3,
            soft: 2,
            per_address: 1,
            ..LIMITS
        }),
        ids[..4]
    );
    assert_eq!(
        admission.close_idle(10),
        [ids[4]],
        "the last idle connection; the busy one stays open"
    );
    ids.iter().for_each(|id| admission.remove(*id));
    assert_eq!(
        (
            admission.open.len(),
            admission.by_address.len(),
            admission.idle.len(),
            admission.closing_count
        ),
        (0, 0, 0, 0)
    );
}

fn network(name: &str, prefix: [u8; 4], bits: u8, connections: usize) -> NetworkQuota {
    NetworkQuota {
        name: name.into(),
        address: IpAddr::from(prefix),
        bits,
        connections,
    }
}

/// Returns limits with two overlapping networks; an address counts towards the first one that contains it.
fn network_limits(first_quota: usize, second_quota: usize) -> ConnectionLimits {
    ConnectionLimits {
        hard: 100,
        soft: 100,
        per_address: 100,
        networks: vec![
            network("one", [127, 1, 0, 0], 16, first_quota),
            network("all", [127, 0, 0, 0], 8, second_quota),
        ],
    }
}

/// Returns the new connection and those that are closed for it, or `None` if it is rejected.
fn try_admit(
    admission: &mut Admission,
    now: Micros,
    address: [u8; 4],
) -> Option<(ConnectionId, Vec<ConnectionId>)> {
    let outcome = admission.admit(now, IpAddr::from(address));
    match outcome.decision {
        AdmissionDecision::Admit(id) => Some((id, outcome.close)),
        AdmissionDecision::Reject { .. } => None,
    }
}

/// A network with very many connections must not use up the quotas of other networks, whichever addresses it connects from.
#[test]
fn network_over_quota_does_not_affect_other_networks() {
    let mut admission = Admission::new(network_limits(2, 3));
    let (first, _) = try_admit(&mut admission, 0, [127, 1, 0, 1]).unwrap();
    let (second, _) = try_admit(&mut admission, 1, [127, 1, 7, 1]).unwrap();
    let (third, close) = try_admit(&mut admission, 2, [127, 1, 9, 9]).unwrap();
    assert_eq!(close, [first], "the longest idle connection of the network");
    admission.remove(first);
    admission.mark_busy(second);
    admission.mark_busy(third);
    let rejected = try_admit(&mut admission, 3, [127, 1, 0, 1]);
    assert_eq!(rejected, None, "all connections of the network are busy");
    let (other, close) = try_admit(&mut admission, 4, [127, 2, 0, 1]).unwrap();
    assert!(close.is_empty(), "another network is not affected");
    admission.mark_idle(5, second);
    // The quotas are lowered while they are in use: idle connections are closed, busy ones stay open.
    assert_eq!(admission.set_limits(network_limits(1, 1)), [second]);
    for id in [second, third, other] {
        admission.remove(id);
    }
    let mut quotas = admission.by_network.iter();
    assert!(quotas.all(|quota| quota.open == 0 && quota.idle.is_empty()));
}

/// Many connections that became idle at the same time are closed in batches; one that is used in between stays open.
#[test]
fn idle_timeout_closes_longest_idle_first_in_batches() {
    let mut admission = Admission::new(ConnectionLimits {
        hard: 200_000,
        soft: 200_000,
        per_address: 200_000,
        ..LIMITS
    });
    let ids: Vec<ConnectionId> = (0..100_000)
        .map(|n| admit(&mut admission, 7, n as u8).0)
        .collect();
    assert_eq!(admission.next_expiry(1_000), Some(1_007));
    assert!(admission.expire(1_006, 1_000, 256).is_empty());
    let used = ids[50_000];
    admission.mark_busy(used);
    admission.mark_idle(900, used);
    let mut expired = vec![];
    loop {
        let batch = admission.expire(1_007, 1_000, 256);
        assert!(batch.len() <= 256);
        if batch.is_empty() {
            break;
        }
        expired.extend(batch);
    }
    assert_eq!(expired.len(), 99_999);
    assert!(!expired.contains(&used));
    assert_eq!(admission.expire(1_900, 1_000, 256), [used]);
}
