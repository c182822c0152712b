use super::*;

fn retry_state(dispatchers: usize) -> RetryState {
    RetryState::new(RetryPolicy::default(), dispatchers, 1)
}

/// Outage in which every call fails and would make four attempts without a budget.
#[test]
fn retry_budget_limits_retries_to_a_fraction_of_calls_if_every_call_fails() {
    let mut retries = retry_state(1);
    let mut attempts = 0;
    for _ in 0..1_000 {
        retries.record_call();
        attempts += 1;
        for _ in 1..retries.policy().max_attempts {
            attempts += retries.take_retry() as u32;
        }
    }
    assert!(
        (1_190..=1_215).contains(&attempts),
        "{attempts} attempts for 1,000 calls"
    );
}

fn shortest_and_longest(delays: &[Micros]) -> (Micros, Micros) {
    (*delays.iter().min().unwrap(), *delays.iter().max().unwrap())
}

#[test]
fn backoff_grows_has_jitter_and_is_never_shorter_than_retry_after() {
    let mut retries = retry_state(1);
    let mut sample = |number, retry_after| {
        (0..200)
            .map(|_| retries.backoff(number, retry_after))
            .collect::<Vec<Micros>>()
    };
    let first = shortest_and_longest(&sample(1, None));
    let third = shortest_and_longest(&sample(3, None));
    let after = shortest_and_longest(&sample(1, Some(1_000_000)));
    assert!(first.0 >= 25_000 && first.1 <= 75_000, "{first:?}");
    assert!(third.0 >= 100_000 && third.1 <= 300_000, "{third:?}");
    assert!(after.0 >= 1_000_000 && after.1 > 1_100_000, "{after:?}");
}

#[test]
fn breaker_pauses_dispatcher_without_responses_then_admits_one_trial() {
    let mut retries = retry_state(2);
    for cut in 0..3 {
        // One cut connection loses a hundred calls.
        (0..100).for_each(|_| retries.record_no_response(cut * 100_000, 0));
        let paused = retries.choose(cut * 100_000 + 1, &[1]).is_none();
        assert_eq!(paused, cut == 2, "after {} cuts", cut + 1);
    }
    let now = 200_001;
    assert!((0..10).all(|_| retries.choose(now, &[]) == Some(1)));
    let pause_end = retries.breakers[0].open_until;
    assert!(
        pause_end < now + 800_000,
        "a hundred lost calls must cause one pause only"
    );
    let trials = (0..10)
        .filter(|_| retries.choose(pause_end, &[1]) == Some(0))
        .count();
    assert_eq!(trials, 1, "a second trial was admitted during the first");
    retries.record_response(0);
    assert_eq!(retries.choose(pause_end, &[1]), Some(0));
    assert_eq!(retries.choose(pause_end, &[1]), Some(0));
}

#[test]
fn choose_takes_dispatchers_in_turn_if_all_respond() {
    let mut retries = retry_state(3);
    let chosen: Vec<_> = (0..6).filter_map(|_| retries.choose(0, &[])).collect();
    assert_eq!(chosen, [0, 1, 2, 0, 1, 2]);
}
