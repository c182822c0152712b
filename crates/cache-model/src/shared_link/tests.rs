use super::*;

/// Runs all transfers to their ends; returns the end and the id of each.
fn run_to_end(link: &mut SharedLink) -> Vec<(Micros, u64)> {
    let mut ends = vec![];
    while let Some(at) = link.next_end() {
        while let Some(id) = link.pop_ended(at) {
            ends.push((at, id));
        }
    }
    ends
}

#[test]
fn transfers_on_full_link_share_capacity_and_otherwise_run_at_full_speed() {
    let mut link = SharedLink::new(2.0, 0.0);
    for id in 0..4 {
        link.begin(0, id, 100);
    }
    assert_eq!(
        run_to_end(&mut link),
        [(200, 0), (200, 1), (200, 2), (200, 3)],
        "four transfers share a link for two"
    );
    let mut link = SharedLink::new(2.0, 0.0);
    link.begin(0, 1, 100);
    assert_eq!(
        run_to_end(&mut link),
        [(100, 1)],
        "one transfer cannot exceed its full speed"
    );
    let mut link = SharedLink::new(1.0, 0.0);
    link.begin(0, 1, 100);
    link.begin(50, 2, 100);
    // The first has 50 us of work left, shares the link and ends at 150; the second then has 50 us of work left.
    assert_eq!(run_to_end(&mut link), [(150, 1), (200, 2)]);
}

#[test]
fn link_without_capacity_ends_no_transfer_and_resumes_later() {
    let mut link = SharedLink::new(1.0, 0.0);
    link.begin(0, 1, 100);
    link.set_capacity(40, 0.0);
    assert_eq!(link.next_end(), None);
    link.set_capacity(1_000, 1.0);
    assert_eq!(run_to_end(&mut link), [(1_060, 1)]);
}

#[test]
fn crowded_link_loses_capacity() {
    let mut link = SharedLink::new(1.0, 0.5);
    link.begin(0, 1, 100);
    link.begin(0, 2, 100);
    assert_eq!(
        run_to_end(&mut link)[0].0,
        300,
        "twice the load takes three times as long"
    );
}
