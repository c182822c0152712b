//! `pointspindle lab` beyond one run: sweeps, comparisons, hunts, and what is kept of runs.
use crate::Failure;
use pointspindle_audit::trace::ClientAttemptId;
use pointspindle_report::compare::{self, Figures, Pair};
use pointspindle_report::sweep::{self, Cell, Source, Vary};
use pointspindle_report::{folder, html, hunt};
use pointspindle_scenario::{self as scenario, SettingOverride};
use std::io::Write;
use std::path::{Path, PathBuf};

/// Seeds as `1..20` (both included) or `3,5,9`.
#[derive(Clone, Debug)]
pub struct Seeds(Vec<u64>);

impl std::str::FromStr for Seeds {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let number = |t: &str| {
            t.trim()
                .parse::<u64>()
                .map_err(|_| format!("{t:?} is no seed"))
        };
        let seeds: Vec<u64> = match text.split_once("..") {
            Some((from, to)) => (number(from)?..=number(to)?).collect(),
            None => text.split(',').map(number).collect::<Result<_, _>>()?,
        };
        match seeds.len() {
            0 => Err(format!("{text:?} holds no seed")),
            1..=100_000 => Ok(Self(seeds)),
            n => Err(format!("{n} seeds; 100,000 at most")),
        }
    }
}

fn jobs(wanted: Option<usize>) -> usize {
    wanted
        .unwrap_or_else(|| std::thread::available_parallelism().map_or(1, |n| n.get()))
        .max(1)
}

#[derive(clap::Args)]
pub struct SweepArguments {
    scenario: PathBuf,
    /// Such as 1..20 or 3,5,9.
    #[arg(long, default_value = "1..10")]
    seeds: Seeds,
    /// A setting and its values, such as fleet.caches=3,6,9; twice at most.
    #[arg(long, value_name = "SECTION.KEY=A,B,C")]
    vary: Vec<Vary>,
    /// A value in place of the scenario's, for all days.
    #[arg(long = "set", value_name = "SECTION.KEY=VALUE")]
    sets: Vec<SettingOverride>,
    /// Days, table and plot go here; days found here are not played again.
    #[arg(long)]
    out: Option<PathBuf>,
    /// Days at once; as many as there are cores by default.
    #[arg(long)]
    jobs: Option<usize>,
}

/// A scenario's text, checked; its changes too.
fn text(path: &Path, sets: &[SettingOverride]) -> Result<String, Failure> {
    scenario::load_with(path, None, sets)?;
    Ok(std::fs::read_to_string(path)?)
}

pub fn sweep(a: SweepArguments) -> Result<(), Failure> {
    if a.vary.len() > 2 {
        return Err(Failure::CannotRun(format!(
            "{} settings vary; two at most",
            a.vary.len()
        )));
    }
    let text = text(&a.scenario, &a.sets)?;
    let name = a.scenario.display().to_string();
    let source = Source {
        name: &name,
        text: &text,
    };
    let cells = sweep::cells(&a.seeds.0, &a.sets, &a.vary);
    let played = sweep::run(&source, &cells, a.out.as_deref(), jobs(a.jobs), false)?;
    let rows = sweep::rows(&played);
    println!(
        "{:<48} {:>5} {:>8} {:>7} {:>7} {:>9} {:>7} {:>7}",
        "way", "days", "service", "least", "most", "worst 10s", "fallen", "broken"
    );
    for r in &rows {
        println!(
            "{:<48} {:>5} {:>8.4} {:>7.3} {:>7.3} {:>9.4} {:>7} {:>7}",
            r.way, r.days, r.service, r.least, r.most, r.worst_10s, r.fallen, r.broken
        );
    }
    if let Some(out) = &a.out {
        let page = html::sweep(&format!("{name}: {} days", cells.len()), &rows, &[])?;
        std::fs::write(out.join("report.html"), page)?;
        println!("{}", out.join("report.html").display());
    }
    if rows.iter().any(|r| r.broken > 0) {
        return Err(Failure::No);
    }
    Ok(())
}

#[derive(clap::Args)]
pub struct CompareArguments {
    /// One or more.
    #[arg(required = true)]
    scenarios: Vec<PathBuf>,
    #[arg(long, default_value = "1..10")]
    seeds: Seeds,
    /// A value for A; may be given several times.
    #[arg(long = "a", value_name = "SECTION.KEY=VALUE")]
    sets_a: Vec<SettingOverride>,
    /// A value for B; may be given several times.
    #[arg(long = "b", value_name = "SECTION.KEY=VALUE")]
    sets_b: Vec<SettingOverride>,
    /// Another build of this program that plays A; this one by default.
    #[arg(long)]
    program_a: Option<PathBuf>,
    #[arg(long)]
    program_b: Option<PathBuf>,
    #[arg(long)]
    jobs: Option<usize>,
    /// Where the report and the pairs go.
    #[arg(long)]
    out: Option<PathBuf>,
}

/// One way on all days: here, or by another build as a process.
fn way(
    path: &Path,
    seeds: &[u64],
    sets: &[SettingOverride],
    program: Option<&Path>,
    jobs: usize,
) -> Result<Vec<Figures>, Failure> {
    let Some(program) = program else {
        let text = text(path, sets)?;
        let name = path.display().to_string();
        let source = Source {
            name: &name,
            text: &text,
        };
        let cells: Vec<Cell> = seeds
            .iter()
            .map(|seed| Cell {
                seed: *seed,
                sets: sets.to_vec(),
            })
            .collect();
        let played = sweep::run(&source, &cells, None, jobs, false)?;
        return Ok(played.into_iter().map(|p| p.figures).collect());
    };
    let mut out = Vec::new();
    for some in seeds.chunks(jobs) {
        let mut children = Vec::new();
        for seed in some {
            let mut command = std::process::Command::new(program);
            command
                .args(["--log", "error", "lab", "run"])
                .arg(path)
                .arg("--virtual")
                .arg("--json");
            command.arg("--seed").arg(seed.to_string());
            for set in sets {
                command.arg("--set").arg(set.to_string());
            }
            let child = command.stdout(std::process::Stdio::piped()).spawn();
            children.push(child.map_err(|e| format!("{}: {e}", program.display()))?);
        }
        for child in children {
            let done = child.wait_with_output()?;
            let json: serde_json::Value = serde_json::from_slice(&done.stdout)
                .map_err(|e| format!("{} did not answer with a run: {e}", program.display()))?;
            let number = |key: &str| json[key].as_f64().unwrap_or(0.0);
            let rules = json["rules"].as_array().cloned().unwrap_or_default();
            let breaches = rules
                .iter()
                .filter_map(|r| r["breaches"].as_u64())
                .sum::<u64>() as usize;
            out.push(Figures {
                service: number("service"),
                worst_10s: number("worst_10s"),
                goal: number("goal"),
                fallen: number("fallen") as usize,
                breaches,
                neighbours: number("neighbours"),
                parents: number("parents"),
            });
        }
    }
    Ok(out)
}

pub fn compare(a: CompareArguments) -> Result<(), Failure> {
    let mut pairs = Vec::new();
    for path in &a.scenarios {
        let one = way(
            path,
            &a.seeds.0,
            &a.sets_a,
            a.program_a.as_deref(),
            jobs(a.jobs),
        )?;
        let other = way(
            path,
            &a.seeds.0,
            &a.sets_b,
            a.program_b.as_deref(),
            jobs(a.jobs),
        )?;
        for ((seed, a), b) in a.seeds.0.iter().zip(one).zip(other) {
            pairs.push(Pair {
                day: format!("{} seed {seed}", path.display()),
                a,
                b,
            });
        }
    }
    let words = compare::words(&pairs);
    for line in &words {
        println!("{line}");
    }
    let mut by_service: Vec<&Pair> = pairs.iter().collect();
    by_service.sort_by(|x, y| (x.b.service - x.a.service).total_cmp(&(y.b.service - y.a.service)));
    println!("days on which B lost and won most:");
    let many = by_service.len();
    for (n, p) in by_service
        .iter()
        .enumerate()
        .filter(|(n, _)| *n < 3 || n + 3 >= many)
    {
        println!(
            "  {:>4} {}: service {:.4} to {:.4}",
            n + 1,
            p.day,
            p.a.service,
            p.b.service
        );
    }
    if let Some(out) = &a.out {
        std::fs::create_dir_all(out)?;
        std::fs::write(out.join("pairs.json"), serde_json::to_vec_pretty(&pairs)?)?;
        let figures = |of: fn(&Pair) -> Figures| pairs.iter().map(of).collect::<Vec<Figures>>();
        let rows = [
            sweep::row("A".into(), &figures(|p| p.a)),
            sweep::row("B".into(), &figures(|p| p.b)),
        ];
        std::fs::write(
            out.join("report.html"),
            html::sweep("A and B on the same days", &rows, &words)?,
        )?;
        println!("{}", out.join("report.html").display());
    }
    if pairs.iter().any(|p| p.b.breaches > p.a.breaches) {
        return Err(Failure::No);
    }
    Ok(())
}

#[derive(clap::Args)]
pub struct HuntArguments {
    /// The fleet, traffic and rules; its own troubles are left out.
    scenario: PathBuf,
    /// What is looked for: worst, rules or fallen.
    #[arg(long, default_value = "worst", value_parser = goal)]
    goal: hunt::Goal,
    /// Candidates.
    #[arg(long, default_value_t = 64)]
    days: usize,
    /// First seed.
    #[arg(long, default_value_t = 1)]
    from: u64,
    #[arg(long = "set", value_name = "SECTION.KEY=VALUE")]
    sets: Vec<SettingOverride>,
    /// Where the smallest scenario that shows it goes; standard output by default.
    #[arg(long)]
    out: Option<PathBuf>,
}

fn goal(word: &str) -> Result<hunt::Goal, String> {
    let found = hunt::Goal::WORDS.iter().find(|(w, _)| *w == word);
    found
        .map(|(_, g)| *g)
        .ok_or("none of worst, rules, fallen".into())
}

pub fn hunt(a: HuntArguments) -> Result<(), Failure> {
    let text = text(&a.scenario, &a.sets)?;
    let name = a.scenario.display().to_string();
    let source = Source {
        name: &name,
        text: &text,
    };
    let Some(found) = hunt::hunt(&source, &a.sets, a.goal, a.from, a.days)? else {
        eprintln!("nothing of the kind on {} days", a.days);
        return Ok(());
    };
    let f = found.figures;
    eprintln!(
        "seed {}: service {:.3}, worst 10 s {:.3}, {} hosts fallen, {} breaches; {} troubles left, {} days played",
        found.seed, f.service, f.worst_10s, f.fallen, f.breaches, found.troubles.len(), found.days
    );
    let found = format!(
        "# Found by a hunt; play it with --seed {}.\n{}",
        found.seed,
        hunt::text(&text, &found.troubles)
    );
    match &a.out {
        Some(out) => std::fs::write(out, found)?,
        None => print!("{found}"),
    }
    if a.goal == hunt::Goal::Rules {
        return Err(Failure::No);
    }
    Ok(())
}

#[derive(clap::Args)]
pub struct ReportArguments {
    /// A run's folder, as `lab run --out` keeps it.
    run: PathBuf,
    /// Another one, to set beside it.
    beside: Option<PathBuf>,
    /// Where the page goes; report.html (or beside.html) in the first folder by default.
    #[arg(long)]
    out: Option<PathBuf>,
}

pub fn report(a: ReportArguments) -> Result<(), Failure> {
    let run = folder::load(&a.run)?;
    let (page, name) = match &a.beside {
        Some(other) => (html::two(&run, &folder::load(other)?)?, "beside.html"),
        None => (html::run(&run)?, "report.html"),
    };
    let out = a.out.unwrap_or_else(|| a.run.join(name));
    std::fs::write(&out, page)?;
    println!("{}", out.display());
    Ok(())
}

#[derive(clap::Args)]
pub struct ExplainArguments {
    /// A run's folder, as `lab run --out` keeps it.
    run: PathBuf,
    /// Such as c12.0.
    request: String,
}

pub fn explain(a: ExplainArguments) -> Result<(), Failure> {
    let id = ClientAttemptId::parse(&a.request).ok_or(format!(
        "{} names no request; one is called c12.0",
        a.request
    ))?;
    let sights = folder::explain(&a.run, id)?;
    if sights.is_empty() {
        return Err(Failure::CannotRun(format!(
            "nothing was seen of {} in this run",
            a.request
        )));
    }
    let mut out = std::io::stdout().lock();
    for sight in sights {
        // A reader that has seen enough (a pager, head) is no failure.
        if writeln!(out, "{:>10.1} ms  {:?}", sight.at as f64 / 1e3, sight.event).is_err() {
            break;
        }
    }
    Ok(())
}
