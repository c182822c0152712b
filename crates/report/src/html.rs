//! Renders reports as HTML pages from templates. Plots are embedded; a page references no external resources.
use crate::compare::{describe, Figures, Pair};
use crate::record::Run;
use crate::sweep::SweepRow;
use crate::{plots, ReportError};
use minijinja::{context, Environment, Value};
use pointspindle_testbed::idle::IdleStep;

const BYTES_PER_MIB: f64 = 1_048_576.0;

const TEMPLATES: [(&str, &str); 5] = [
    ("page.html", include_str!("../templates/page.html")),
    ("run.html", include_str!("../templates/run.html")),
    ("two.html", include_str!("../templates/two.html")),
    ("sweep.html", include_str!("../templates/sweep.html")),
    ("idle.html", include_str!("../templates/idle.html")),
];

fn render(name: &str, context: Value) -> Result<String, ReportError> {
    let mut environment = Environment::new();
    for (name, text) in TEMPLATES {
        environment.add_template(name, text)?;
    }
    environment.add_filter("figure", |x: f64| format!("{x:.3}"));
    environment.add_filter("ms", |x: f64| format!("{x:.0}"));
    Ok(environment.get_template(name)?.render(context)?)
}

/// Renders the report of a run.
pub fn run(run: &Run) -> Result<String, ReportError> {
    let overrides: Vec<String> = run.overrides.iter().map(ToString::to_string).collect();
    render(
        "run.html",
        context! {
            title => format!("{}, seed {}", run.scenario, run.seed),
            run => run,
            overrides => overrides,
            value => plots::value(run)?,
            outcomes => plots::outcomes(run)?,
            latencies => plots::latencies(run)?,
            load => plots::heat_map(&run.hosts, run.duration_s)?,
        },
    )
}

/// Renders the comparison of two runs.
pub fn comparison(a: &Run, b: &Run) -> Result<String, ReportError> {
    let pair = Pair {
        run: a.scenario.clone(),
        a: Figures::of(a),
        b: Figures::of(b),
    };
    render(
        "two.html",
        context! {
            title => format!("A: {} seed {}, B: {} seed {}", a.scenario, a.seed, b.scenario, b.seed),
            a => a,
            b => b,
            lines => describe(&[pair]),
            value => plots::value_comparison(a, b)?,
            load_a => plots::heat_map(&a.hosts, a.duration_s)?,
            load_b => plots::heat_map(&b.hosts, b.duration_s)?,
        },
    )
}

/// Renders the cost of idle connections as a table and two plots, with a series of steps for each protocol.
pub fn idle(series: &[Vec<IdleStep>]) -> Result<String, ReportError> {
    let memory = plots::against_idle_connections(series, "server memory, MiB", |step| {
        step.process_memory_bytes as f64 / BYTES_PER_MIB
    })?;
    let p99 = plots::against_idle_connections(series, "p99 of requests, ms", |step| {
        step.p99_us as f64 / 1e3
    })?;
    let steps: Vec<&IdleStep> = series.iter().flatten().collect();
    render(
        "idle.html",
        context! { title => "Idle connections", steps, memory, p99 },
    )
}

/// Renders a sweep, or a comparison of many runs, with `lines` of text above the table.
pub fn sweep(title: &str, rows: &[SweepRow], lines: &[String]) -> Result<String, ReportError> {
    render(
        "sweep.html",
        context! { title, rows, lines => lines, plot => plots::sweep_rows(rows)? },
    )
}
