use super::*;

fn retry_state(dispatchers: usize) -> RetryState {
    RetryState::new(RetryPolicy::default(), dispatchers, 1)
}

/// An outage: every call fails and would be attempted four times.
#[test]
fn retry_budget_every_call_fails_retries_stay_a_fraction_of_calls() {
    let mut retries = retry_state(1);
    let mut attempts = 0;
    for _ in 0..1_000 {
        retries.record_call();
        attempts += 1;
        for _ in 1..retries.rules().max_attempts {
            attempts += retries.take_retry() as u32;
        }
    }
    assert!(
        (1_190..=1_215).contains(&attempts),
        "{attempts} attempts of 1,000 calls"
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
fn breaker_silent_dispatcher_is_paused_and_then_tried_by_one_attempt() {
    let mut retries = retry_state(2);
    for cut in 0..3 {
        // A hundred calls on one connection that is cut.
        (0..100).for_each(|_| retries.record_silence(cut * 100_000, 0));
        let paused = retries.choose(cut * 100_000 + 1, &[1]).is_none();
        assert_eq!(paused, cut == 2, "after {} cuts", cut + 1);
    }
    let now = 200_001;
    assert!((0..10).all(|_| retries.choose(now, &[]) == Some(1)));
    let reopened = retries.breakers[0].open_until;
    assert!(reopened < now + 800_000, "one pause, not a hundred");
    let trials = (0..10)
        .filter(|_| retries.choose(reopened, &[1]) == Some(0))
        .count();
    assert_eq!(trials, 1, "one trial at a time");
    retries.record_response(0);
    assert_eq!(retries.choose(reopened, &[1]), Some(0));
    assert_eq!(retries.choose(reopened, &[1]), Some(0));
}

#[test]
fn choose_all_dispatchers_respond_takes_them_in_turn() {
    let mut retries = retry_state(3);
    let chosen: Vec<_> = (0..6).filter_map(|_| retries.choose(0, &[])).collect();
    assert_eq!(chosen, [0, 1, 2, 0, 1, 2]);
}
