use super::EventQueue;

#[test]
fn events_of_the_same_time_come_in_the_order_of_scheduling() {
    let mut queue = EventQueue::default();
    for (at, event) in [(20, "c"), (10, "a"), (20, "d"), (10, "b")] {
        queue.schedule(at, event);
    }
    let mut order = Vec::new();
    while let Some(event) = queue.pop_due(20) {
        order.push(event);
    }
    assert_eq!(order, ["a", "b", "c", "d"]);
    assert_eq!(queue.scheduled(), 4);
}

#[test]
fn event_that_is_not_due_stays_in_the_queue() {
    let mut queue = EventQueue::default();
    queue.schedule(10, "a");
    assert_eq!(queue.pop_due(9), None);
    assert_eq!(queue.next_at(), Some(10));
    assert_eq!(queue.pop_due(10), Some("a"));
    assert_eq!(queue.next_at(), None);
}
