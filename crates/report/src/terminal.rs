//! Draws a [`LiveView`] in a terminal.
use crate::watch::{HostState, HostView, LiveView, OutcomeTally};
use ratatui::layout::{Constraint, Layout, Rect};
use ratatui::style::{Color, Style, Stylize};
use ratatui::text::{Line, Span};
use ratatui::widgets::{Block, Gauge, Paragraph, Sparkline};
use ratatui::Frame;

/// Symbols for the load of a host, from idle to full. Denser means busier, like darker in the report's heat map.
const SHADES: [char; 5] = ['·', '░', '▒', '▓', '█'];

/// Draws the whole view; `hint` is the bottom line, which lists the keys.
pub fn draw(view: &LiveView, hint: &str, frame: &mut Frame) {
    let [progress, outcomes, hosts, messages, keys] = Layout::vertical([
        Constraint::Length(3),
        Constraint::Length(11),
        Constraint::Fill(2),
        Constraint::Fill(1),
        Constraint::Length(1),
    ])
    .areas(frame.area());
    draw_progress(view, frame, progress);
    draw_outcomes(view, frame, outcomes);
    draw_hosts(view, frame, hosts);
    draw_messages(view, frame, messages);
    frame.render_widget(Paragraph::new(hint.to_owned()).dim(), keys);
}

fn draw_progress(view: &LiveView, frame: &mut Frame, area: Rect) {
    let now_s = view.now as f64 / 1e6;
    let label = format!(
        "{now_s:.1} of {:.0} s, {} requests open, {} of {} dispatchers up, {} crashes in warm-up",
        view.duration_s,
        view.open_requests(),
        view.dispatchers - view.dispatchers_down.min(view.dispatchers),
        view.dispatchers,
        view.cold_crashes
    );
    let ratio = (now_s / view.duration_s.max(1e-9)).clamp(0.0, 1.0);
    let block = Block::bordered().title(view.title.clone());
    let gauge = Gauge::default().block(block).ratio(ratio).label(label);
    frame.render_widget(gauge, area);
}

/// A row of the outcome panel: the number of requests with an outcome by second, and its total.
struct OutcomeRow {
    name: &'static str,
    count: fn(&OutcomeTally) -> u64,
    color: Color,
}

const OUTCOME_ROWS: [OutcomeRow; 4] = [
    OutcomeRow {
        name: "served",
        count: |tally| tally.served,
        color: Color::Green,
    },
    OutcomeRow {
        name: "served stale",
        count: |tally| tally.stale,
        color: Color::Yellow,
    },
    OutcomeRow {
        name: "rejected",
        count: |tally| tally.rejected,
        color: Color::Magenta,
    },
    OutcomeRow {
        name: "failed",
        count: |tally| tally.failed,
        color: Color::Red,
    },
];

fn draw_outcomes(view: &LiveView, frame: &mut Frame, area: Rect) {
    let block = Block::bordered().title("requests by the second in which they ended");
    let inner = block.inner(area);
    frame.render_widget(block, area);
    let areas: [Rect; 4] = Layout::vertical([Constraint::Fill(2); 4]).areas(inner);
    for (row, area) in OUTCOME_ROWS.iter().zip(areas) {
        draw_outcome_row(view, row, frame, area);
    }
}

/// Draws the total and as many of the latest seconds as fit, the newest at the right.
fn draw_outcome_row(view: &LiveView, row: &OutcomeRow, frame: &mut Frame, area: Rect) {
    let columns = Layout::horizontal([Constraint::Length(24), Constraint::Fill(1)]);
    let [text_area, line_area] = columns.areas(area);
    let total = (row.count)(&view.total());
    let text = format!("{:<14}{total:>8}", row.name);
    frame.render_widget(Paragraph::new(text), text_area);
    let seconds = (view.now / 1_000_000) as usize + 1;
    let shown: Vec<u64> = view
        .tallies
        .iter()
        .take(seconds)
        .skip(seconds.saturating_sub(line_area.width as usize))
        .map(row.count)
        .collect();
    // All rows have the same scale, so that a few failures do not look like many.
    let most_served = view.tallies.iter().map(|tally| tally.served).max();
    let line = Sparkline::default()
        .data(shown)
        .max(most_served.unwrap_or(0).max(1))
        .style(row.color);
    frame.render_widget(line, line_area);
}

/// A row of the host panel: the hosts of a zone and role, one symbol each.
struct HostRow {
    name: String,
    symbols: Vec<Span<'static>>,
}

fn host_rows(view: &LiveView) -> Vec<HostRow> {
    let mut rows: Vec<HostRow> = Vec::new();
    for host in &view.hosts {
        let name = format!("{} {}", host.zone, host.role);
        let symbol = host_symbol(host);
        match rows.iter_mut().find(|row| row.name == name) {
            Some(row) => row.symbols.push(symbol),
            None => rows.push(HostRow {
                name,
                symbols: vec![symbol],
            }),
        }
    }
    rows
}

fn draw_hosts(view: &LiveView, frame: &mut Frame, area: Rect) {
    let title =
        "load in the last second: · idle to █ full, red above; C warming up, x down, o not ready";
    let block = Block::bordered().title(title);
    let rows = host_rows(view);
    let height = block.inner(area).height as usize;
    let left_out = rows.len().saturating_sub(height);
    let mut lines: Vec<Line> = rows
        .into_iter()
        .take(height)
        .map(|row| {
            let name = Span::raw(format!("{:<20}", row.name));
            Line::from([vec![name], row.symbols].concat())
        })
        .collect();
    if left_out > 0 && !lines.is_empty() {
        lines.pop();
        lines.push(Line::from(format!("... and {} more rows", left_out + 1)));
    }
    frame.render_widget(Paragraph::new(lines).block(block), area);
}

fn host_symbol(host: &HostView) -> Span<'static> {
    let load = host.load();
    let level = (load * SHADES.len() as f64) as usize;
    let shade = SHADES[level.min(SHADES.len() - 1)].to_string();
    match host.state {
        HostState::Down => Span::styled("x", Style::new().fg(Color::Red)),
        HostState::NotReady => Span::styled("o", Style::new().fg(Color::DarkGray)),
        HostState::WarmingUp(_) => Span::styled("C", Style::new().fg(Color::Cyan)),
        HostState::Up if load > 1.0 => Span::styled(shade, Style::new().fg(Color::Red)),
        HostState::Up => Span::raw(shade),
    }
}

/// Draws as many of the latest messages as fit, the newest at the bottom.
fn draw_messages(view: &LiveView, frame: &mut Frame, area: Rect) {
    let block = Block::bordered().title("messages");
    let height = block.inner(area).height as usize;
    let lines: Vec<Line> = view
        .messages
        .iter()
        .skip(view.messages.len().saturating_sub(height))
        .map(|message| {
            let at_s = message.at as f64 / 1e6;
            Line::from(format!("{at_s:>8.1} s  {}", message.text))
        })
        .collect();
    frame.render_widget(Paragraph::new(lines).block(block), area);
}
