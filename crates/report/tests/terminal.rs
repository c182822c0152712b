//! The terminal view of a run, drawn on a test backend.
use pointspindle_report::terminal::draw;
use pointspindle_report::watch::{HostState, LiveView};
use pointspindle_scenario as scenario;
use pointspindle_simulator as simulator;
use ratatui::backend::TestBackend;
use ratatui::Terminal;

/// Replays a run with the restart of a hub: the view shows the hosts going down and warming up, and at the end the screen
/// and the counts agree with the figures of the run.
#[test]
fn terminal_view_shows_a_hub_restart_and_ends_with_the_figures_of_the_run() {
    let file = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../scenarios/hub-restart-late-lists.ini"
    );
    let scenario = scenario::load(std::path::Path::new(file), Some(3)).unwrap();
    let outcome = simulator::run(&scenario, None).unwrap();
    let mut view = LiveView::new(&scenario);
    let mut terminal = Terminal::new(TestBackend::new(110, 34)).unwrap();
    let mut down = 0;
    let mut warming_up = 0;
    for entry in &outcome.trace {
        view.observe(entry);
        view.advance_to(entry.at);
        let count =
            |wanted: fn(&HostState) -> bool| view.hosts.iter().filter(|h| wanted(&h.state)).count();
        down = down.max(count(|s| *s == HostState::Down));
        warming_up = warming_up.max(count(|s| matches!(s, HostState::WarmingUp(_))));
    }
    terminal.draw(|frame| draw(&view, "q ends", frame)).unwrap();
    let screen: String = terminal
        .backend()
        .buffer()
        .content
        .iter()
        .map(|c| c.symbol())
        .collect();
    assert!(
        down >= scenario.fleet.caches_per_branch && warming_up >= scenario.fleet.caches_per_branch,
        "{down} hosts down, {warming_up} warming up"
    );
    let requests = outcome.service.requests;
    let total = view.total();
    assert!(
        total.served + total.rejected + total.failed <= requests && total.served * 2 > requests,
        "{total:?} of {requests} requests"
    );
    for text in [
        "served",
        "branch-1 cache",
        "hub-1 parent",
        "hub_restart",
        "q ends",
    ] {
        assert!(
            screen.contains(text),
            "{text:?} is not on the screen:\n{screen}"
        );
    }
    assert!(screen.contains(&total.served.to_string()));
    assert_eq!(
        view.cold_crashes,
        pointspindle_audit::count_warm_up_crashes(&outcome.trace)
    );
}

/// The sizes include a terminal of a single cell.
#[test]
fn drawing_does_not_panic_at_any_terminal_size() {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenarios/bad-day.ini");
    let scenario = scenario::load(std::path::Path::new(file), None).unwrap();
    let mut view = LiveView::new(&scenario);
    for entry in simulator::run(&scenario, None)
        .unwrap()
        .trace
        .iter()
        .take(5_000)
    {
        view.observe(entry);
    }
    for (width, height) in [(1, 1), (10, 4), (40, 16), (300, 100)] {
        let mut terminal = Terminal::new(TestBackend::new(width, height)).unwrap();
        terminal.draw(|frame| draw(&view, "", frame)).unwrap();
    }
}
