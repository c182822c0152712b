//! A run on the terminal, drawn on a test backend.
use pointspindle_report::terminal::draw;
use pointspindle_report::watch::{HostState, LiveView};
use pointspindle_scenario as scenario;
use pointspindle_simulator as simulator;
use ratatui::backend::TestBackend;
use ratatui::Terminal;

/// A run with the restart of a hub, shown as it goes on: the screen agrees with the figures of the run.
#[test]
fn terminal_view_of_a_restart_shows_it_and_ends_with_the_figures_of_the_run() {
    let file = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../scenarios/hub-restart-late-lists.ini"
    );
    let scenario = scenario::load(std::path::Path::new(file), Some(3)).unwrap();
    let played = simulator::run(&scenario, None).unwrap();
    let mut view = LiveView::new(&scenario);
    let mut terminal = Terminal::new(TestBackend::new(110, 34)).unwrap();
    let mut down = 0;
    let mut warming_up = 0;
    for entry in &played.trace {
        view.observe(entry);
        view.advance_to(entry.at);
        let count =
            |wanted: fn(&HostState) -> bool| view.hosts.iter().filter(|h| wanted(&h.state)).count();
        down = down.max(count(|s| *s == HostState::Down));
        warming_up = warming_up.max(count(|s| matches!(s, HostState::Cold(_))));
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
        "{down} down, {warming_up} cold"
    );
    let requests = played.service.requests;
    let total = view.total();
    assert!(
        total.served + total.rejected + total.failed <= requests && total.served * 2 > requests,
        "{total:?} of {requests}"
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
        pointspindle_audit::count_cold_crashes(&played.trace)
    );
}

/// Even a terminal that is too small for anything.
#[test]
fn terminal_view_of_any_size_draws_without_panic() {
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
