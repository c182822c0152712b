//! `pointspindle lab scale` and `pointspindle lab capacity`.
use crate::Failure;
use pointspindle_scale::slopes::{slopes, Slopes};
use pointspindle_scale::steps::{machine_mb, play, Step};
use pointspindle_scale::{capacity, parts, read, Target};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::SystemTime;

#[derive(clap::Args)]
pub struct ScaleArguments {
    /// The fleet ahead, its budgets and the shape of the run; see scenarios/fleet-ahead.ini.
    target: PathBuf,
    /// Hollow dispatchers at each step.
    #[arg(long, value_delimiter = ',', default_value = "50,100,200,400,590")]
    hollow: Vec<usize>,
    /// Of each phase, in place of the file's.
    #[arg(long)]
    seconds: Option<f64>,
    /// Times that all steps are played; slopes are used only where runs agree.
    #[arg(long, default_value_t = 1)]
    runs: usize,
    /// Fit the slopes of a kept steps.json anew, without a run.
    #[arg(long, conflicts_with_all = ["runs", "seconds", "hollow"])]
    steps: Option<PathBuf>,
    /// Print one JSON object.
    #[arg(long)]
    json: bool,
    /// Write steps.json and slopes.json there.
    #[arg(long)]
    out: Option<PathBuf>,
}

#[derive(clap::Args)]
pub struct CapacityArguments {
    #[arg(long)]
    target: PathBuf,
    #[arg(long)]
    slopes: PathBuf,
}

fn target(file: &Path) -> Result<Target, Failure> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    Ok(read(&file.display().to_string(), &text)?)
}

/// More hollow dispatchers than this are no rehearsal on one machine.
const MOST: usize = 2_000;

pub async fn scale(a: ScaleArguments) -> Result<(), Failure> {
    crate::serve::descriptors();
    let mut target = target(&a.target)?;
    if let Some(seconds) = a.seconds {
        if !(0.2..=600.0).contains(&seconds) {
            return Err(Failure::CannotRun(format!(
                "--seconds {seconds}: 0.2 to 600"
            )));
        }
        target.seconds = seconds;
    }
    if let Some(n) = a.hollow.iter().find(|n| !(1..=MOST).contains(*n)) {
        return Err(Failure::CannotRun(format!("--hollow {n}: 1 to {MOST}")));
    }
    if !(1..=10).contains(&a.runs) {
        return Err(Failure::CannotRun(format!("--runs {}: 1 to 10", a.runs)));
    }
    let program = std::env::current_exe()?;
    let mut runs: Vec<Vec<Step>> = Vec::new();
    if let Some(file) = &a.steps {
        let named =
            |e: &dyn std::fmt::Display| Failure::CannotRun(format!("{}: {e}", file.display()));
        let text = std::fs::read_to_string(file).map_err(|e| named(&e))?;
        runs = serde_json::from_str(&text).map_err(|e| named(&e))?;
    }
    let sizes = |run: &Vec<Step>| run.iter().map(|s| s.dispatchers).collect();
    let (steps, played) = match runs.first() {
        Some(run) => (sizes(run), 0),
        None => (a.hollow.clone(), a.runs),
    };
    for run in 0..played {
        let mut steps = Vec::new();
        for n in &a.hollow {
            let tell = |phase: &str| eprintln!("run {}, {n} hollow dispatchers: {phase}", run + 1);
            steps.push(play(&program, &target, *n, tell).await?);
        }
        runs.push(steps);
    }
    let told = Slopes {
        commit: commit(),
        date: httpdate::fmt_http_date(SystemTime::now()),
        machine: machine(),
        seconds: target.seconds,
        steps,
        runs: runs.len(),
        figures: slopes(&runs),
        counts: counts(&runs),
    };
    let whole = serde_json::json!({ "target": target, "runs": runs, "slopes": told });
    if let Some(folder) = &a.out {
        std::fs::create_dir_all(folder)?;
        std::fs::write(
            folder.join("steps.json"),
            serde_json::to_vec(&whole["runs"])?,
        )?;
        std::fs::write(
            folder.join("slopes.json"),
            serde_json::to_vec_pretty(&told)?,
        )?;
    }
    let broken = broken(&target, &runs);
    if a.json {
        println!("{whole}");
    } else {
        print(&runs);
    }
    for line in &broken {
        eprintln!("over its budget: {line}");
    }
    broken.is_empty().then_some(()).ok_or(Failure::No)
}

pub async fn part() -> Result<(), Failure> {
    crate::serve::descriptors();
    Ok(parts::run().await?)
}

pub fn capacity(a: CapacityArguments) -> Result<(), Failure> {
    let target = target(&a.target)?;
    let named =
        |e: &dyn std::fmt::Display| Failure::CannotRun(format!("{}: {e}", a.slopes.display()));
    let text = std::fs::read_to_string(&a.slopes).map_err(|e| named(&e))?;
    let slopes: Slopes = serde_json::from_str(&text).map_err(|e| named(&e))?;
    if let Some((name, _)) = slopes
        .figures
        .iter()
        .find(|(_, s)| s.from == 0 || s.to < s.from)
    {
        return Err(named(&format!(
            "{name}: from and to, the sizes that it was measured at, are missing"
        )));
    }
    print!("{}", capacity::page(&target, &slopes));
    Ok(())
}

fn commit() -> String {
    let asked = std::process::Command::new("git")
        .args(["rev-parse", "--short", "HEAD"])
        .output();
    let told = asked
        .ok()
        .filter(|o| o.status.success())
        .and_then(|o| String::from_utf8(o.stdout).ok());
    told.map_or("unknown".to_owned(), |t| t.trim().to_owned())
}

fn machine() -> String {
    let cores = std::thread::available_parallelism().map_or(0, |n| n.get());
    format!("{cores} cores, {:.0} GB", machine_mb() / 1024.0)
}

fn counts(runs: &[Vec<Step>]) -> BTreeMap<String, f64> {
    let mut counts = BTreeMap::new();
    for phase in runs.iter().flatten().flat_map(|s| &s.phases) {
        for (what, lag) in [("purges", &phase.purges), ("changes", &phase.changes)] {
            if let Some(lag) = lag {
                *counts
                    .entry(format!("{what} written, over all sizes"))
                    .or_default() += lag.written as f64;
                *counts
                    .entry(format!("{what} never heard by a dispatcher"))
                    .or_default() += lag.never as f64;
            }
        }
    }
    counts
}

/// What is over its budget at the largest step, or never came.
fn broken(t: &Target, runs: &[Vec<Step>]) -> Vec<String> {
    let mut broken = Vec::new();
    for step in runs
        .iter()
        .flat_map(|r| r.iter().max_by_key(|s| s.dispatchers))
    {
        let n = step.dispatchers as f64;
        for phase in step
            .phases
            .iter()
            .filter(|p| ["rest", "purges"].contains(&p.name.as_str()))
        {
            let kb = phase.traffic.bytes_out as f64 / phase.seconds / n / 1024.0;
            let of = [
                (
                    "processor",
                    phase.dispatchers.cores / n,
                    t.core_share,
                    "cores",
                ),
                ("memory", phase.dispatchers.memory_mb / n, t.memory_mb, "MB"),
                ("bytes", kb, t.kb_per_s, "KB/s"),
            ];
            for (what, is, most, unit) in of.into_iter().filter(|(_, is, most, _)| is > most) {
                let name = &phase.name;
                broken.push(format!(
                    "{what} of a dispatcher in {name}: {is:.3} {unit}, {most} at most"
                ));
            }
        }
        for phase in &step.phases {
            let promised = [(&phase.purges, t.purge_ms), (&phase.changes, t.change_ms)];
            for (lag, most) in promised {
                let Some(lag) = lag else { continue };
                if lag.never > 0 {
                    broken.push(format!("{}: {} words never came", phase.name, lag.never));
                }
                if phase.name != "storm" && lag.longest_ms > most {
                    broken.push(format!(
                        "{}: in force after {:.0} ms, {most} at most",
                        phase.name, lag.longest_ms
                    ));
                }
            }
        }
    }
    broken
}

fn print(runs: &[Vec<Step>]) {
    for step in runs.iter().flatten() {
        let n = step.dispatchers;
        let [p50, p90, longest] = step.ready_ms;
        println!("{n} hollow dispatchers, {} hosts: start to ready p50 {p50:.0}, p90 {p90:.0}, longest {longest:.0} ms", step.hosts);
        for phase in &step.phases {
            let f = &phase.traffic;
            let each = |x: f64| x / n as f64;
            let lag = phase
                .purges
                .as_ref()
                .or(phase.changes.as_ref())
                .map_or(String::new(), |l| {
                    format!(
                        "; {} written, in force p50 {:.1} p99 {:.1} longest {:.1} ms, {} never",
                        l.written, l.p50_ms, l.p99_ms, l.longest_ms, l.never
                    )
                });
            let whole = phase
                .whole_ms
                .map_or(String::new(), |ms| format!("; whole after {ms:.0} ms"));
            println!(
                "  {:<14} store {:.2} cores {:.0} MB; a dispatcher {:.4} cores {:.2} MB, {:.2} KB/s in, {:.2} out{lag}{whole}",
                phase.name,
                phase.store.cores,
                phase.store.memory_mb,
                each(phase.dispatchers.cores),
                each(phase.dispatchers.memory_mb),
                each(f.bytes_out as f64 / phase.seconds / 1024.0),
                each(f.bytes_in as f64 / phase.seconds / 1024.0)
            );
        }
    }
}
