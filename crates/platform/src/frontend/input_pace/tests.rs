use super::*;

fn run_turn(session: &mut SessionPace, now: Instant) -> Option<Instant> {
    while !session.is_turn_over(false) {
        session.count_record();
    }
    session.end_turn(now)
}

/// Guards against bad clients that take the thread by their number: together they get one rate.
#[test]
fn sessions_without_allowance_share_one_rate() {
    let shared = Arc::new(SharedPace::default());
    let now = Instant::now();
    let mut sessions: Vec<_> = (0..300).map(|_| SessionPace::new(shared.clone())).collect();
    for session in &mut sessions {
        for _ in 0..MAX_ALLOWANCE / TURN_RECORDS {
            assert_eq!(run_turn(session, now), None, "within the allowance");
        }
    }
    let resumed: Vec<_> = sessions.iter_mut().map(|s| run_turn(s, now)).collect();
    let turn = RECORD_INTERVAL * TURN_RECORDS as u32;
    assert_eq!(resumed[0], Some(now + turn));
    assert_eq!(resumed[299], Some(now + turn * 300));
}

/// Guards against a client that is slowed down although its records lead to requests.
#[test]
fn complete_requests_restore_the_allowance() {
    let shared = Arc::new(SharedPace::default());
    let mut session = SessionPace::new(shared);
    for _ in 0..100_000 {
        for _ in 0..RESTORED_BY_REQUEST {
            session.count_record();
        }
        session.count_request();
        assert_eq!(session.end_turn(Instant::now()), None);
    }
}

/// Guards against requests that arrive during a pause of the process and are read so late that their time is taken for
/// longer than it is: all of them are read before time-outs take effect.
#[test]
fn input_of_a_pause_is_handled_in_one_turn() {
    let mut session = SessionPace::new(Arc::default());
    for _ in 0..TURN_RECORDS * 4 {
        session.count_record();
    }
    assert!(session.is_turn_over(false) && !session.is_turn_over(true));
    while session.allowance > 0 {
        session.count_record();
    }
    assert!(session.is_turn_over(true), "without an allowance");
}
