use super::*;

const MS: fn(u64) -> Duration = Duration::from_millis;

#[test]
fn shutdown_schedule_any_deadline_ends_before_earliest_kill() {
    for deadline in [0, 1, 50, 149, 150, 400, 2_999, 3_000, 60_000] {
        let schedule = ShutdownSchedule::new(MS(deadline));
        let kill = MS(deadline.min(3_000)) + MS(700);
        assert!(
            schedule.reject_at < schedule.finish_at
                && schedule.finish_at < schedule.close_listener_at
                && schedule.close_listener_at < kill,
            "{deadline}: {schedule:?}"
        );
        // Clients open new connections for 0.4 s after SIGTERM and send requests on them for another 0.2 s.
        assert!(
            schedule.reject_at >= MS(550) && schedule.reject_at <= MS(700),
            "{deadline}: {schedule:?}"
        );
    }
    assert_eq!(ShutdownSchedule::new(MS(5_000)).finish_at, MS(3_600));
}
