//! Reports as one page each, from templates; plots stand inside, nothing is loaded from outside.
use crate::compare::{words, Figures, Pair};
use crate::record::Run;
use crate::sweep::Row;
use crate::{plots, ReportError};
use minijinja::{context, Environment};
use pointspindle_testbed::idle::Step;

fn render(name: &str, context: minijinja::Value) -> Result<String, ReportError> {
    let mut templates = Environment::new();
    templates.add_template("page.html", include_str!("../templates/page.html"))?;
    templates.add_template("run.html", include_str!("../templates/run.html"))?;
    templates.add_template("two.html", include_str!("../templates/two.html"))?;
    templates.add_template("sweep.html", include_str!("../templates/sweep.html"))?;
    templates.add_template("idle.html", include_str!("../templates/idle.html"))?;
    templates.add_filter("figure", |x: f64| format!("{x:.3}"));
    templates.add_filter("ms", |x: f64| format!("{x:.0}"));
    Ok(templates.get_template(name)?.render(context)?)
}

/// One run.
pub fn run(run: &Run) -> Result<String, ReportError> {
    render(
        "run.html",
        context! {
            title => format!("{}, seed {}", run.scenario, run.seed),
            run => run,
            sets => run.sets.iter().map(|s| s.to_string()).collect::<Vec<_>>(),
            worth => plots::worth(run)?,
            outcomes => plots::outcomes(run)?,
            times => plots::times(run)?,
            heat => plots::heat_map(&run.hosts, run.seconds)?,
        },
    )
}

/// Two runs beside each other.
pub fn two(a: &Run, b: &Run) -> Result<String, ReportError> {
    let pair = Pair {
        day: a.scenario.clone(),
        a: Figures::of(a),
        b: Figures::of(b),
    };
    render(
        "two.html",
        context! {
            title => format!("A: {} seed {}, B: {} seed {}", a.scenario, a.seed, b.scenario, b.seed),
            a => a,
            b => b,
            words => words(&[pair]),
            worth => plots::two(a, b)?,
            heat_a => plots::heat_map(&a.hosts, a.seconds)?,
            heat_b => plots::heat_map(&b.hosts, b.seconds)?,
        },
    )
}

/// What idle connections cost: a table and two plots, a row of steps for each door.
pub fn idle(all: &[Vec<Step>]) -> Result<String, ReportError> {
    let memory = plots::against(all, "MiB of the program", |s| {
        s.program as f64 / 1_048_576.0
    })?;
    let p99 = plots::against(all, "p99 of requests beside them, ms", |s| {
        s.p99_us as f64 / 1e3
    })?;
    let steps: Vec<&Step> = all.iter().flatten().collect();
    render(
        "idle.html",
        context! { title => "Idle connections", steps, memory, p99 },
    )
}

/// A sweep or a comparison of many days.
pub fn sweep(title: &str, rows: &[Row], words: &[String]) -> Result<String, ReportError> {
    render(
        "sweep.html",
        context! { title, rows, words, plot => plots::ways(rows)? },
    )
}
