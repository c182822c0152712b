//! `pointspindle lab watch`: shows a run in progress on the terminal.
use super::scenario_arguments::ScenarioArguments;
use super::temporary_folder::RunFolder;
use crate::output::run_report::{has_violations, print_rule_counts};
use pointspindle_audit::recorder::Recorder;
use pointspindle_audit::trace::{TraceEntry, TraceEvent};
use pointspindle_audit::RuleVerdict;
use pointspindle_cli::exit::{negative_if, CommandError, CommandResult};
use pointspindle_report::terminal::draw;
use pointspindle_report::watch::LiveView;
use pointspindle_scenario::Scenario;
use pointspindle_testbed::fleet_run;
use ratatui::crossterm::event::{self, Event, KeyCode, KeyEvent, KeyEventKind, KeyModifiers};
use ratatui::DefaultTerminal;
use std::io::IsTerminal;
use std::time::{Duration, Instant};

/// Time between two frames.
const FRAME_INTERVAL: Duration = Duration::from_millis(100);
/// Bounds of the pace, in seconds of the run per second.
const MIN_PACE: f64 = 0.05;
const MAX_PACE: f64 = 100.0;
/// Factor by which a key changes the pace.
const PACE_STEP: f64 = 1.5;

/// Arguments of `lab watch`.
#[derive(clap::Args)]
pub struct WatchArguments {
    #[command(flatten)]
    scenario: ScenarioArguments,
    /// Pace in virtual time, in seconds of the run per second; + and - change it.
    #[arg(long, default_value_t = 2.0, value_parser = parse_pace)]
    pace: f64,
    /// Run on loopback sockets in real time, with dispatchers as processes.
    #[arg(long)]
    sockets: bool,
}

fn parse_pace(text: &str) -> Result<f64, String> {
    let pace: f64 = text
        .parse()
        .map_err(|_| format!("{text:?} is not a number"))?;
    if (MIN_PACE..=MAX_PACE).contains(&pace) {
        Ok(pace)
    } else {
        Err("expected 0.05 to 100".into())
    }
}

/// Shows a run and prints the verdicts of the rules.
pub async fn watch(arguments: WatchArguments) -> CommandResult {
    let scenario = arguments.scenario.load()?;
    if !std::io::stdout().is_terminal() {
        return Err(CommandError::CannotRun(
            "standard output is not a terminal; lab run --out saves a run as a page".into(),
        ));
    }
    if arguments.sockets {
        return watch_on_sockets(&scenario).await;
    }
    let outcome = pointspindle_simulator::run(&scenario, None).map_err(CommandError::CannotRun)?;
    let mut terminal = ratatui::init();
    let shown = Replay::new(&scenario, &outcome.trace, arguments.pace).show(&mut terminal);
    ratatui::restore();
    shown?;
    print_verdicts(&outcome.rules)
}

fn print_verdicts(rules: &[RuleVerdict]) -> CommandResult {
    rules.iter().for_each(print_rule_counts);
    negative_if(has_violations(rules))
}

/// Command that a pressed key triggers.
enum KeyCommand {
    Quit,
    Pause,
    Faster,
    Slower,
}

/// Returns the command of the next key event, or `None` if none arrives within a frame.
fn read_key() -> std::io::Result<Option<KeyCommand>> {
    if !event::poll(FRAME_INTERVAL)? {
        return Ok(None);
    }
    match event::read()? {
        Event::Key(key) if key.kind == KeyEventKind::Press => Ok(key_command(key)),
        _ => Ok(None),
    }
}

fn key_command(key: KeyEvent) -> Option<KeyCommand> {
    match key.code {
        KeyCode::Char('q') | KeyCode::Esc => Some(KeyCommand::Quit),
        KeyCode::Char('c') if key.modifiers.contains(KeyModifiers::CONTROL) => {
            Some(KeyCommand::Quit)
        }
        KeyCode::Char(' ') => Some(KeyCommand::Pause),
        KeyCode::Char('+') => Some(KeyCommand::Faster),
        KeyCode::Char('-') => Some(KeyCommand::Slower),
        _ => None,
    }
}

/// Replay of a finished run in virtual time.
struct Replay<'a> {
    view: LiveView,
    trace: &'a [TraceEntry],
    duration_us: u64,
    /// Pace, in seconds of the run per second.
    pace: f64,
    is_paused: bool,
    /// Time of the run up to which it is shown, and number of trace entries shown.
    shown_us: f64,
    shown_entries: usize,
}

impl<'a> Replay<'a> {
    fn new(scenario: &Scenario, trace: &'a [TraceEntry], pace: f64) -> Self {
        Self {
            view: LiveView::new(scenario),
            trace,
            duration_us: (scenario.duration_s * 1e6) as u64,
            pace,
            is_paused: false,
            shown_us: 0.0,
            shown_entries: 0,
        }
    }

    /// Shows the run until the viewer quits.
    fn show(mut self, terminal: &mut DefaultTerminal) -> std::io::Result<()> {
        let mut last_frame = Instant::now();
        loop {
            let elapsed = last_frame.elapsed();
            last_frame = Instant::now();
            if !self.is_paused {
                self.advance(elapsed);
            }
            let hint = format!(
                "{}, {:.2} s per second   q: quit   space: pause   + -: pace",
                self.state(),
                self.pace
            );
            terminal.draw(|frame| draw(&self.view, &hint, frame))?;
            match read_key()? {
                Some(KeyCommand::Quit) => return Ok(()),
                Some(KeyCommand::Pause) => self.is_paused = !self.is_paused,
                Some(KeyCommand::Faster) => self.pace = (self.pace * PACE_STEP).min(MAX_PACE),
                Some(KeyCommand::Slower) => self.pace = (self.pace / PACE_STEP).max(MIN_PACE),
                None => {}
            }
        }
    }

    fn advance(&mut self, elapsed: Duration) {
        self.shown_us += elapsed.as_secs_f64() * self.pace * 1e6;
        while let Some(entry) = self.trace.get(self.shown_entries) {
            if entry.at as f64 > self.shown_us {
                break;
            }
            self.view.observe(entry);
            self.shown_entries += 1;
        }
        self.view
            .advance_to((self.shown_us as u64).min(self.duration_us));
    }

    fn state(&self) -> &'static str {
        if self.shown_entries == self.trace.len() {
            "over"
        } else if self.is_paused {
            "paused"
        } else {
            "virtual time"
        }
    }
}

async fn watch_on_sockets(scenario: &Scenario) -> CommandResult {
    let program = std::env::current_exe()?;
    let folder = RunFolder::new(None, "pointspindle-watch");
    let recorder = Recorder::default();
    let run = tokio::spawn({
        let scenario = scenario.clone();
        let path = folder.path().to_owned();
        let recorder = recorder.clone();
        async move { fleet_run::run_with_recorder(&scenario, &program, &path, None, recorder).await }
    });
    let mut terminal = ratatui::init();
    let shown = tokio::task::block_in_place(|| {
        show_live(&mut terminal, scenario, &recorder, || run.is_finished())
    });
    ratatui::restore();
    if !matches!(shown, Ok(LiveEnd::RunIsOver)) {
        // Aborting the run ends the dispatcher processes.
        run.abort();
    }
    let outcome = run.await;
    drop(folder);
    shown?;
    match outcome {
        Ok(outcome) => print_verdicts(&outcome?.rules),
        Err(_) => Err(CommandError::CannotRun(
            "the viewer quit before the end of the run; the rules were not checked".into(),
        )),
    }
}

/// Reason for which a live view has ended.
enum LiveEnd {
    RunIsOver,
    ViewerQuit,
}

fn show_live(
    terminal: &mut DefaultTerminal,
    scenario: &Scenario,
    recorder: &Recorder,
    is_over: impl Fn() -> bool,
) -> std::io::Result<LiveEnd> {
    let mut view = LiveView::new(scenario);
    let mut shown_entries = 0;
    let mut started_at = None;
    while !is_over() {
        let entries = recorder.entries_since(shown_entries);
        shown_entries += entries.len();
        for entry in entries {
            // The run begins with its first request.
            if matches!(entry.event, TraceEvent::RequestSent { .. }) {
                started_at.get_or_insert(entry.at);
            }
            view.observe(&TraceEntry {
                at: entry.at.saturating_sub(started_at.unwrap_or(entry.at)),
                event: entry.event,
            });
        }
        if let Some(started_at) = started_at {
            view.advance_to(recorder.now().saturating_sub(started_at));
        }
        terminal.draw(|frame| draw(&view, "on sockets, in real time   q: quit", frame))?;
        if matches!(read_key()?, Some(KeyCommand::Quit)) {
            return Ok(LiveEnd::ViewerQuit);
        }
    }
    Ok(LiveEnd::RunIsOver)
}
