use super::*;

const MS: fn(u64) -> Duration = Duration::from_millis;

#[test]
fn all_is_done_before_the_earliest_kill_whatever_the_deadlines_are() {
    for deadline in [0, 1, 50, 149, 150, 400, 2_999, 3_000, 60_000] {
        let s = Schedule::new(MS(deadline));
        let kill = MS(deadline.min(3_000)) + MS(700);
        assert!(
            s.refuse < s.end && s.end < s.close_listener && s.close_listener < kill,
            "{deadline}: {s:?}"
        );
        // New connections come for 0.4 s and requests on them for 0.2 s more.
        assert!(
            s.refuse >= MS(550) && s.refuse <= MS(700),
            "{deadline}: {s:?}"
        );
    }
    assert_eq!(Schedule::new(MS(5_000)).end, MS(3_600));
}
