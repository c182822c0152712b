use super::*;

const LIMIT: usize = 1_000;

#[test]
fn connection_with_most_bytes_gives_up_first() {
    let mut ledger = InputLedger::new(LIMIT);
    let [small, large] = [ledger.open(), ledger.open()];
    for id in [small, large] {
        ledger.mark_established(id);
    }
    ledger.set_bytes(small, 400);
    ledger.set_bytes(large, 600);
    assert_eq!(ledger.over_limit(false), None);
    ledger.set_bytes(small, 401);
    assert_eq!(ledger.over_limit(false), Some((large, 600)));
    ledger.close(large);
    assert_eq!(
        (ledger.over_limit(false), ledger.total_bytes()),
        (None, 401)
    );
}

/// Many new connections must not take the memory of one that is being served, although each occupies less than it.
#[test]
fn new_connections_give_up_before_an_established_one() {
    let mut ledger = InputLedger::new(LIMIT);
    let established = ledger.open();
    ledger.set_bytes(established, 450);
    ledger.mark_established(established);
    let new: Vec<_> = (0..10).map(|_| ledger.open()).collect();
    for id in &new {
        ledger.set_bytes(*id, 50);
    }
    assert_eq!(ledger.over_limit(false), None);
    ledger.set_bytes(new[3], 60);
    assert_eq!(ledger.over_limit(false), Some((new[3], 60)));
    ledger.mark_established(new[3]);
    assert_eq!(ledger.over_limit(false), None);
    ledger.set_bytes(new[3], 110);
    assert_eq!(ledger.over_limit(false), Some((established, 450)));
}
