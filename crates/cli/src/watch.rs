//! `pointspindle lab watch`: a day on the terminal as it goes.
use crate::Failure;
use pointspindle_audit::trace::{Recorder, TraceEntry, TraceEvent};
use pointspindle_report::terminal::draw;
use pointspindle_report::watch::View;
use pointspindle_scenario::{self as scenario, Scenario, SettingOverride};
use pointspindle_simulator as simulator;
use pointspindle_testbed::day;
use ratatui::crossterm::event::{self, Event, KeyCode, KeyEventKind};
use ratatui::DefaultTerminal;
use std::io::IsTerminal;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Between two looks.
const FRAME: Duration = Duration::from_millis(100);

#[derive(clap::Args)]
pub struct WatchArguments {
    scenario: PathBuf,
    /// In place of the file's.
    #[arg(long)]
    seed: Option<u64>,
    /// A value in place of the scenario's, such as fleet.caches=9; may be given several times.
    #[arg(long = "set", value_name = "SECTION.KEY=VALUE")]
    sets: Vec<SettingOverride>,
    /// Seconds of the day in a second, in virtual time; + and - change it.
    #[arg(long, default_value_t = 2.0, value_parser = pace)]
    pace: f64,
    /// On loopback sockets, in real time, dispatchers as processes.
    #[arg(long)]
    sockets: bool,
}

fn pace(text: &str) -> Result<f64, String> {
    let pace: f64 = text.parse().map_err(|_| format!("{text:?} is no number"))?;
    if (0.05..=100.0).contains(&pace) {
        Ok(pace)
    } else {
        Err("from 0.05 to 100".into())
    }
}

pub async fn watch(a: WatchArguments) -> Result<(), Failure> {
    let scenario = scenario::load_with(&a.scenario, a.seed, &a.sets)?;
    if !std::io::stdout().is_terminal() {
        return Err(Failure::CannotRun(
            "watch needs a terminal; lab run --out keeps a day as a page".into(),
        ));
    }
    if a.sockets {
        return sockets(&scenario).await;
    }
    let played = simulator::run(&scenario, None).map_err(Failure::CannotRun)?;
    let mut terminal = ratatui::init();
    let shown = replay(&mut terminal, &scenario, &played.trace, a.pace);
    ratatui::restore();
    shown?;
    broken(&played.rules)
}

fn broken(rules: &[pointspindle_audit::RuleVerdict]) -> Result<(), Failure> {
    for rule in rules {
        println!(
            "{}: {} cases, {} breaches",
            rule.name,
            rule.cases,
            rule.violations.len()
        );
    }
    if rules.iter().any(|r| !r.violations.is_empty()) {
        return Err(Failure::No);
    }
    Ok(())
}

enum Key {
    Quit,
    Pause,
    Faster,
    Slower,
}

/// The next key within a frame's time.
fn key(wait: Duration) -> std::io::Result<Option<Key>> {
    if !event::poll(wait)? {
        return Ok(None);
    }
    let Event::Key(key) = event::read()? else {
        return Ok(None);
    };
    Ok(match key.code {
        _ if key.kind != KeyEventKind::Press => None,
        KeyCode::Char('q') | KeyCode::Esc => Some(Key::Quit),
        KeyCode::Char('c') if key.modifiers.contains(event::KeyModifiers::CONTROL) => {
            Some(Key::Quit)
        }
        KeyCode::Char(' ') => Some(Key::Pause),
        KeyCode::Char('+') => Some(Key::Faster),
        KeyCode::Char('-') => Some(Key::Slower),
        _ => None,
    })
}

fn replay(
    terminal: &mut DefaultTerminal,
    scenario: &Scenario,
    sights: &[TraceEntry],
    mut pace: f64,
) -> std::io::Result<()> {
    let mut view = View::new(scenario);
    let (mut known, mut day_us, mut paused) = (0, 0.0, false);
    let mut last = Instant::now();
    loop {
        let passed = last.elapsed().as_secs_f64();
        last = Instant::now();
        if !paused {
            day_us += passed * pace * 1e6;
        }
        while sights.get(known).is_some_and(|s| s.at as f64 <= day_us) {
            view.take(&sights[known]);
            known += 1;
        }
        let over = known == sights.len();
        view.to((day_us as u64).min((scenario.duration_s * 1e6) as u64));
        let state = if over {
            "over"
        } else if paused {
            "paused"
        } else {
            "virtual time"
        };
        let hint = format!("{state}, {pace:.2} s a second   q: quit   space: pause   + -: pace");
        terminal.draw(|frame| draw(&view, &hint, frame))?;
        match key(FRAME)? {
            Some(Key::Quit) => return Ok(()),
            Some(Key::Pause) => paused = !paused,
            Some(Key::Faster) => pace = (pace * 1.5).min(100.0),
            Some(Key::Slower) => pace = (pace / 1.5).max(0.05),
            None => {}
        }
    }
}

async fn sockets(scenario: &Scenario) -> Result<(), Failure> {
    let program = std::env::current_exe()?;
    let folder = std::env::temp_dir().join(format!("pointspindle-watch-{}", std::process::id()));
    let recorder = Recorder::default();
    let (of, at, seen) = (scenario.clone(), folder.clone(), recorder.clone());
    let run = tokio::spawn(async move { day::run_watched(&of, &program, &at, None, seen).await });
    let stop = run.abort_handle();
    let mut terminal = ratatui::init();
    let shown = tokio::task::block_in_place(|| {
        live(&mut terminal, scenario, &recorder, || run.is_finished())
    });
    ratatui::restore();
    let left = !matches!(shown, Ok(true));
    if left {
        // The rig's processes end with it.
        stop.abort();
    }
    let outcome = run.await;
    let _ = std::fs::remove_dir_all(&folder);
    shown?;
    match outcome {
        Ok(outcome) => broken(&outcome?.rules),
        Err(_) => Err(Failure::CannotRun(
            "left before the day was over: nothing was judged".into(),
        )),
    }
}

/// True when the day is over.
fn live(
    terminal: &mut DefaultTerminal,
    scenario: &Scenario,
    recorder: &Recorder,
    over: impl Fn() -> bool,
) -> std::io::Result<bool> {
    let mut view = View::new(scenario);
    let (mut known, mut began) = (0, None);
    while !over() {
        let news = recorder.entries_since(known);
        known += news.len();
        for sight in news {
            // The day begins with its first request.
            if began.is_none() && matches!(sight.event, TraceEvent::RequestSent { .. }) {
                began = Some(sight.at);
            }
            view.take(&TraceEntry {
                at: sight.at.saturating_sub(began.unwrap_or(sight.at)),
                event: sight.event,
            });
        }
        if let Some(began) = began {
            view.to(recorder.now().saturating_sub(began));
        }
        terminal.draw(|frame| draw(&view, "on sockets, in real time   q: quit", frame))?;
        if matches!(key(FRAME)?, Some(Key::Quit)) {
            return Ok(false);
        }
    }
    Ok(true)
}
