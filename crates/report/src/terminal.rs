//! A [`View`] on a terminal.
use crate::watch::{HostState, HostView, Tally, View};
use ratatui::layout::{Constraint, Layout, Rect};
use ratatui::style::{Color, Style, Stylize};
use ratatui::text::{Line, Span};
use ratatui::widgets::{Block, Gauge, Paragraph, Sparkline};
use ratatui::Frame;

/// Darker is busier, as in the report's heat map.
const SHADES: [char; 5] = ['·', '░', '▒', '▓', '█'];

/// Draws all of it; `hint` tells the keys.
pub fn draw(view: &View, hint: &str, frame: &mut Frame) {
    let [head, tries, hosts, words, keys] = Layout::vertical([
        Constraint::Length(3),
        Constraint::Length(11),
        Constraint::Fill(2),
        Constraint::Fill(1),
        Constraint::Length(1),
    ])
    .areas(frame.area());
    progress(view, frame, head);
    outcomes(view, frame, tries);
    members(view, frame, hosts);
    said(view, frame, words);
    frame.render_widget(Paragraph::new(hint.to_owned()).dim(), keys);
}

fn progress(view: &View, frame: &mut Frame, area: Rect) {
    let now = view.now as f64 / 1e6;
    let label = format!(
        "{now:.1} of {:.0} s, {} tries open, {} of {} dispatchers up, {} hosts fallen",
        view.seconds,
        view.open,
        view.dispatchers - view.dispatchers_down.min(view.dispatchers),
        view.dispatchers,
        view.fallen
    );
    let ratio = (now / view.seconds.max(1e-9)).clamp(0.0, 1.0);
    let block = Block::bordered().title(view.title.clone());
    frame.render_widget(
        Gauge::default().block(block).ratio(ratio).label(label),
        area,
    );
}

/// The seconds that fit, newest at the right.
fn outcomes(view: &View, frame: &mut Frame, area: Rect) {
    type Row = (&'static str, fn(&Tally) -> u64, Color);
    let rows: [Row; 4] = [
        ("served", |t| t.served, Color::Green),
        ("of old copies", |t| t.old, Color::Yellow),
        ("refused", |t| t.refused, Color::Magenta),
        ("failed", |t| t.failed, Color::Red),
    ];
    let block = Block::bordered().title("tries by the second in which they ended");
    let inner = block.inner(area);
    frame.render_widget(block, area);
    let areas: [Rect; 4] = Layout::vertical([Constraint::Fill(2); 4]).areas(inner);
    let second = (view.now / 1_000_000) as usize;
    let sum = view.sum();
    let most = view.tallies.iter().map(|t| t.served).max().unwrap_or(0);
    for ((name, of, color), area) in rows.into_iter().zip(areas) {
        let [text, line] =
            Layout::horizontal([Constraint::Length(24), Constraint::Fill(1)]).areas(area);
        let from = (second + 1).saturating_sub(line.width as usize);
        let shown: Vec<u64> = view
            .tallies
            .iter()
            .take(second + 1)
            .skip(from)
            .map(of)
            .collect();
        frame.render_widget(Paragraph::new(format!("{name:<14}{:>8}", of(&sum))), text);
        // One scale for all four: a few failures must not look like many.
        frame.render_widget(
            Sparkline::default()
                .data(shown)
                .max(most.max(1))
                .style(color),
            line,
        );
    }
}

/// One sign a member, a row a location and role.
fn members(view: &View, frame: &mut Frame, area: Rect) {
    let title =
        "load of the last second: · idle to █ full, red beyond; C cold, x down, o out by the list";
    let block = Block::bordered().title(title);
    let mut rows: Vec<(String, Vec<Span>)> = Vec::new();
    for host in &view.hosts {
        let name = format!("{} {}", host.zone, host.role);
        let span = sign(host);
        match rows.iter_mut().find(|(n, _)| *n == name) {
            Some((_, spans)) => spans.push(span),
            None => rows.push((name, vec![span])),
        }
    }
    let room = block.inner(area).height as usize;
    let left_out = rows.len().saturating_sub(room);
    let mut lines: Vec<Line> = rows
        .into_iter()
        .take(room)
        .map(|(name, spans)| Line::from([vec![Span::raw(format!("{name:<20}"))], spans].concat()))
        .collect();
    if left_out > 0 && !lines.is_empty() {
        lines.pop();
        lines.push(Line::from(format!("... and {} rows more", left_out + 1)));
    }
    frame.render_widget(Paragraph::new(lines).block(block), area);
}

fn sign(host: &HostView) -> Span<'static> {
    let load = host.load();
    let shade = SHADES[((load * SHADES.len() as f64) as usize).min(SHADES.len() - 1)].to_string();
    match host.state {
        HostState::Down => Span::styled("x", Style::new().fg(Color::Red)),
        HostState::Out => Span::styled("o", Style::new().fg(Color::DarkGray)),
        HostState::Cold(_) => Span::styled("C", Style::new().fg(Color::Cyan)),
        HostState::Up if load > 1.0 => Span::styled(shade, Style::new().fg(Color::Red)),
        HostState::Up => Span::raw(shade),
    }
}

fn said(view: &View, frame: &mut Frame, area: Rect) {
    let block = Block::bordered().title("what happened");
    let room = block.inner(area).height as usize;
    let from = view.words.len().saturating_sub(room);
    let line =
        |(at, text): &(u64, String)| Line::from(format!("{:>8.1} s  {text}", *at as f64 / 1e6));
    let lines: Vec<Line> = view.words.iter().skip(from).map(line).collect();
    frame.render_widget(Paragraph::new(lines).block(block), area);
}

#[cfg(test)]
mod tests {
    use super::*;
    use pointspindle_scenario as scenario;
    use pointspindle_simulator as simulator;
    use ratatui::backend::TestBackend;
    use ratatui::Terminal;

    /// A day with a hub's restart, looked at as it goes: what the screen says is what the run's figures say.
    #[test]
    fn a_day_as_it_goes_shows_its_restart_and_ends_with_its_figures() {
        let file = concat!(
            env!("CARGO_MANIFEST_DIR"),
            "/../../scenarios/hub-restart-late-lists.ini"
        );
        let scenario = scenario::load(std::path::Path::new(file), Some(3)).unwrap();
        let played = simulator::run(&scenario, None).unwrap();
        let mut view = View::new(&scenario);
        let mut terminal = Terminal::new(TestBackend::new(110, 34)).unwrap();
        let (mut down, mut cold) = (0, 0);
        for sight in &played.trace {
            view.take(sight);
            view.to(sight.at);
            let of = |wanted: fn(&HostState) -> bool| {
                view.hosts.iter().filter(|h| wanted(&h.state)).count()
            };
            down = down.max(of(|s| *s == HostState::Down));
            cold = cold.max(of(|s| matches!(s, HostState::Cold(_))));
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
            down >= scenario.fleet.caches_per_branch && cold >= scenario.fleet.caches_per_branch,
            "{down} down, {cold} cold"
        );
        let asked = played.service.tries;
        let sum = view.sum();
        assert!(
            sum.served + sum.refused + sum.failed <= asked && sum.served * 2 > asked,
            "{sum:?} of {asked}"
        );
        for words in [
            "served",
            "branch-1 cache",
            "hub-1 parent",
            "hub_restart",
            "q ends",
        ] {
            assert!(
                screen.contains(words),
                "{words:?} is not on the screen:\n{screen}"
            );
        }
        assert!(screen.contains(&sum.served.to_string()));
        assert_eq!(
            view.fallen,
            pointspindle_audit::count_cold_crashes(&played.trace)
        );
    }

    /// A terminal too small for anything is no panic.
    #[test]
    fn any_size_of_screen_will_do() {
        let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenarios/bad-day.ini");
        let scenario = scenario::load(std::path::Path::new(file), None).unwrap();
        let mut view = View::new(&scenario);
        for sight in simulator::run(&scenario, None)
            .unwrap()
            .trace
            .iter()
            .take(5_000)
        {
            view.take(sight);
        }
        for (width, height) in [(1, 1), (10, 4), (40, 16), (300, 100)] {
            let mut terminal = Terminal::new(TestBackend::new(width, height)).unwrap();
            terminal.draw(|frame| draw(&view, "", frame)).unwrap();
        }
    }
}
