//! `pointspindle lab`: rehearse days on loopback and judge them.
use crate::{etcd, experiments, fleet, idle, scale, watch, Failure};
use pointspindle_audit::trace::{request_history, ClientAttemptId, TraceEntry};
use pointspindle_audit::{count_cold_crashes, RuleVerdict};
use pointspindle_report::folder;
use pointspindle_report::record::Run;
use pointspindle_scenario::fault_injection::InjectedFault;
use pointspindle_scenario::import;
use pointspindle_scenario::{self as scenario, Scenario, SettingOverride};
use pointspindle_simulator as simulator;
use pointspindle_testbed::day::{self, Outcome};
use std::path::PathBuf;

#[derive(clap::Subcommand)]
pub enum Command {
    /// Play a scenario on loopback sockets, dispatchers as processes. Exit status 1: a rule broke; 2: the rig
    /// could not run, or was itself what was late.
    Run(RunArguments),
    /// Play a day of several sites and dispatchers, and judge what all of them do together: sums at each member, second
    /// attempts, fairness, and sites that were not struck beside the same day without the loss. Exit status as for run.
    Fleet(fleet::FleetArguments),
    /// Look at a day as it goes, on the terminal. Exit status as for run.
    Watch(watch::WatchArguments),
    /// Play many days in virtual time: seeds, and values of one or two settings. Exit status 1: a rule broke.
    Sweep(experiments::SweepArguments),
    /// Two settings, or two builds, on the same days: difference, noise, verdict. Exit status 1: B broke more rules.
    Compare(experiments::CompareArguments),
    /// Search trouble mixes for the worst day, a broken rule or fallen hosts, and cut the find down.
    Hunt(experiments::HuntArguments),
    /// Write the page of a kept run, or of two beside each other.
    Report(experiments::ReportArguments),
    /// Open many idle connections, and show what each costs and what requests beside them pay.
    Idle(idle::IdleArguments),
    /// Measure how late watchers of a stand-in etcd learn of purges while its streams break. Exit status 1: one never did.
    Etcd(etcd::MeasureArguments),
    /// Measure what control costs by the fleet's size: hollow dispatchers and cache hosts as processes. Exit status 1: over a
    /// budget, or a word never came; 2: the rig could not run.
    Scale(scale::ScaleArguments),
    /// A process of a scale run.
    #[command(hide = true)]
    ScalePart,
    /// Write the capacity page from measured slopes, on standard output.
    Capacity(scale::CapacityArguments),
    /// Show everything that happened to a request of a kept run.
    Explain(experiments::ExplainArguments),
    /// Check a scenario; names line and reason of everything that is wrong.
    Check { file: PathBuf },
    /// Turn a day drawn by a dispatcher bench (JSON) into a scenario, on standard output.
    Import {
        day: PathBuf,
        /// At the day's own size, for virtual time; else at loopback size, for sockets.
        #[arg(long)]
        full: bool,
    },
}

/// Which day is played.
#[derive(clap::Args)]
pub struct DayArguments {
    scenario: PathBuf,
    /// In place of the file's.
    #[arg(long)]
    seed: Option<u64>,
    /// A value in place of the scenario's, such as fleet.caches=9; may be given several times.
    #[arg(long = "set", value_name = "SECTION.KEY=VALUE")]
    sets: Vec<SettingOverride>,
    /// Scale the script to a day of this many seconds.
    #[arg(long)]
    seconds: Option<f64>,
}

impl DayArguments {
    pub(crate) fn load(&self) -> Result<Scenario, Failure> {
        let day = scenario::load_with(&self.scenario, self.seed, &self.sets)?;
        match self.seconds {
            Some(seconds) if !(2.0..=3_600.0).contains(&seconds) => Err(Failure::CannotRun(
                format!("--seconds {seconds}: from 2 to 3600"),
            )),
            Some(seconds) => Ok(day.scaled_to(seconds)),
            None => Ok(day),
        }
    }
}

#[derive(clap::Args)]
pub struct RunArguments {
    #[command(flatten)]
    day: DayArguments,
    /// Print one JSON object.
    #[arg(long)]
    json: bool,
    /// Break one rule around an unchanged dispatcher: the auditor must find it.
    #[arg(long, value_parser = plant)]
    plant: Option<InjectedFault>,
    /// Show everything that happened to a request of the run, such as c12.0, in order.
    #[arg(long)]
    explain: Option<String>,
    /// In virtual time: the dispatchers' cores against the model, without sockets; the same for the same seed.
    #[arg(long = "virtual")]
    virtual_time: bool,
    /// The real shell in this process, on a simulated network under a paused clock: latency, loss and partitions.
    #[arg(long, conflicts_with = "virtual_time")]
    shell: bool,
    /// Lists and purges through a stand-in etcd whose streams break again and again.
    #[arg(long, conflicts_with_all = ["virtual_time", "shell", "plant"])]
    etcd: bool,
    /// Keep the run here: scenario, figures, a report with plots.
    #[arg(long)]
    out: Option<PathBuf>,
    /// Where settings, states and logs of the dispatchers go; a temporary folder by default.
    #[arg(long)]
    folder: Option<PathBuf>,
}

pub(crate) fn plant(word: &str) -> Result<InjectedFault, String> {
    let words: Vec<&str> = InjectedFault::NAMES.iter().map(|(w, _)| *w).collect();
    let found = InjectedFault::NAMES.iter().find(|(w, _)| *w == word);
    found
        .map(|(_, p)| *p)
        .ok_or(format!("none of {}", words.join(", ")))
}

pub async fn run(command: Command) -> Result<(), Failure> {
    match command {
        Command::Run(arguments) => play(arguments).await,
        Command::Fleet(arguments) => fleet::fleet(arguments).await,
        Command::Watch(arguments) => watch::watch(arguments).await,
        Command::Sweep(arguments) => experiments::sweep(arguments),
        Command::Compare(arguments) => experiments::compare(arguments),
        Command::Hunt(arguments) => experiments::hunt(arguments),
        Command::Report(arguments) => experiments::report(arguments),
        Command::Explain(arguments) => experiments::explain(arguments),
        Command::Scale(a) => scale::scale(a).await,
        Command::ScalePart => scale::part().await,
        Command::Capacity(a) => scale::capacity(a),
        Command::Etcd(arguments) => etcd::lag(arguments).await,
        Command::Idle(arguments) => idle::idle(arguments).await,
        Command::Import { day, full } => {
            let text = std::fs::read_to_string(&day)?;
            let size = if full {
                import::Size::Full
            } else {
                import::Size::Loopback
            };
            let (scenario, left) = import::import(&text, size)?;
            for why in left {
                eprintln!("not carried over: {why}");
            }
            print!("{scenario}");
            Ok(())
        }
        Command::Check { file } => match scenario::load(&file, None) {
            Ok(s) => {
                println!(
                    "{}: right; {:.0} s, {} troubles: {}",
                    file.display(),
                    s.duration_s,
                    s.faults.len(),
                    s.description
                );
                Ok(())
            }
            Err(complaints) => {
                println!("{complaints}");
                Err(Failure::No)
            }
        },
    }
}

async fn play(arguments: RunArguments) -> Result<(), Failure> {
    let scenario = arguments.day.load()?;
    if arguments.virtual_time {
        return play_virtual(&arguments, &scenario);
    }
    let program = std::env::current_exe()?;
    let (folder, temporary) = match arguments.folder.clone() {
        Some(folder) => (folder, false),
        None => (
            std::env::temp_dir().join(format!("pointspindle-lab-{}", std::process::id())),
            true,
        ),
    };
    if !arguments.json {
        println!(
            "{}: {}; seed {}, {:.0} s",
            scenario.name, scenario.description, scenario.seed, scenario.duration_s
        );
    }
    let outcome = if arguments.shell {
        let (day, folder, plant) = (scenario.clone(), folder.clone(), arguments.plant);
        tokio::task::spawn_blocking(move || day::shell(&day, &folder, plant)).await?
    } else if arguments.etcd {
        day::run_by_etcd(&scenario, &program, &folder).await
    } else {
        day::run(&scenario, &program, &folder, arguments.plant).await
    };
    if temporary {
        let _ = std::fs::remove_dir_all(&folder);
    }
    let outcome = outcome?;
    explain(&arguments, &outcome.trace)?;
    keep(&arguments, &scenario, &outcome)?;
    if arguments.json {
        println!("{}", json(&scenario, &outcome));
    } else {
        print(&outcome);
    }
    if outcome.rules.iter().any(|r| !r.violations.is_empty()) {
        return Err(Failure::No);
    }
    Ok(())
}

fn keep(arguments: &RunArguments, scenario: &Scenario, outcome: &Outcome) -> Result<(), Failure> {
    let Some(out) = &arguments.out else {
        return Ok(());
    };
    let Outcome {
        service,
        rules,
        trace: sights,
        ..
    } = outcome;
    let run = Run::new(
        scenario,
        &arguments.day.sets,
        arguments.virtual_time,
        service,
        rules,
        sights,
    );
    folder::keep(
        out,
        &std::fs::read_to_string(&arguments.day.scenario)?,
        &run,
        sights,
    )?;
    println!("{}", out.join("report.html").display());
    Ok(())
}

fn explain(arguments: &RunArguments, sights: &[TraceEntry]) -> Result<(), Failure> {
    let Some(wanted) = &arguments.explain else {
        return Ok(());
    };
    let id = ClientAttemptId::parse(wanted)
        .ok_or(format!("{wanted} names no request; one is called c12.0"))?;
    for sight in request_history(sights, id.call) {
        println!("{:>10.1} ms  {:?}", sight.at as f64 / 1e3, sight.event);
    }
    Ok(())
}

/// Plays a day in virtual time.
pub(crate) fn virtually(
    scenario: &Scenario,
    plant: Option<InjectedFault>,
) -> Result<(Outcome, simulator::RunCost), Failure> {
    if matches!(
        plant,
        Some(
            InjectedFault::DuplicateAttempts
                | InjectedFault::DropResponses
                | InjectedFault::DelayResponses
        )
    ) {
        let why = "this plant is a relay between sockets; leave --virtual out";
        return Err(Failure::CannotRun(why.into()));
    }
    let simulator::Outcome {
        service,
        rules,
        trace: sights,
        cost,
    } = simulator::run(scenario, plant).map_err(Failure::CannotRun)?;
    Ok((
        Outcome {
            service,
            rules,
            trace: sights,
            testbed_lateness_ms: 0.0,
        },
        cost,
    ))
}

fn play_virtual(arguments: &RunArguments, scenario: &Scenario) -> Result<(), Failure> {
    let (outcome, cost) = virtually(scenario, arguments.plant)?;
    explain(arguments, &outcome.trace)?;
    keep(arguments, scenario, &outcome)?;
    if arguments.json {
        println!("{}", json(scenario, &outcome));
    } else {
        print(&outcome);
        println!(
            "  {} events in {:.1} s, {:.0} a second; {:.1} us a call of a core",
            cost.events,
            cost.wall_s,
            cost.events as f64 / cost.wall_s,
            cost.core_s * 1e6 / cost.core_calls.max(1) as f64
        );
    }
    if outcome.rules.iter().any(|r| !r.violations.is_empty()) {
        return Err(Failure::No);
    }
    Ok(())
}

pub(crate) fn rule(r: &RuleVerdict) -> serde_json::Value {
    serde_json::json!({
        "name": r.name,
        "checked": r.cases,
        "breaches": r.violations.len(),
        "kinds": r.kinds().into_iter().collect::<std::collections::BTreeMap<_, _>>(),
        "first": r.violations.iter().take(5).collect::<Vec<_>>(),
        "unknowing": r.undetectable.len(),
    })
}

pub(crate) fn json(scenario: &Scenario, outcome: &Outcome) -> serde_json::Value {
    let s = &outcome.service;
    let (neighbours, parents) =
        Run::new(scenario, &[], true, s, &outcome.rules, &outcome.trace).aftermath();
    serde_json::json!({
        "scenario": scenario.name,
        "seed": scenario.seed,
        "seconds": scenario.duration_s,
        "service": s.service,
        "worst_10s": s.worst_10s,
        "goal": s.goal,
        "classes": s.classes,
        "tries": s.tries,
        "attempts": s.attempts,
        "fallen": count_cold_crashes(&outcome.trace),
        "neighbours": neighbours,
        "parents": parents,
        "rig_late_ms": outcome.testbed_lateness_ms,
        "rules": outcome.rules.iter().map(rule).collect::<Vec<_>>(),
    })
}

pub(crate) fn print(outcome: &Outcome) {
    let s = &outcome.service;
    println!(
        "service {:.3} (worst 10 s {:.3}, from {:.0} s; goal {:.3}), {} tries, {} attempts, rig at most {:.0} ms late",
        s.service, s.worst_10s, s.worst_from_s, s.goal, s.tries, s.attempts, outcome.testbed_lateness_ms
    );
    for c in &s.classes {
        println!(
            "  {:<14} service {:.3}, calls {}: served {} (late {}), refused {}, failed {}, left {}; p50 {:.0} ms, p99 {:.0} ms",
            c.name, c.service, c.calls, c.served, c.late, c.refused, c.failed, c.left, c.p50_ms, c.p99_ms
        );
        let (all, large, next) = (c.answered(), c.largest, c.next_largest);
        println!(
            "  {:<14} answered {:.3}; the largest {} {:.3}, the next {} {:.3}",
            "",
            all.share(),
            large.calls,
            large.share(),
            next.calls,
            next.share()
        );
    }
    outcome.rules.iter().for_each(print_rule);
}

pub(crate) fn print_rule(r: &RuleVerdict) {
    let kinds: Vec<String> = r
        .kinds()
        .iter()
        .map(|(kind, n)| format!("{kind} {n}"))
        .collect();
    let broken = if kinds.is_empty() {
        "kept".into()
    } else {
        format!("BROKEN ({})", kinds.join(", "))
    };
    println!(
        "  rule {:<8} {broken}; {} checked: {}",
        r.name, r.cases, r.description
    );
    if !r.undetectable.is_empty() {
        println!(
            "    {} times by dispatchers that had not been told; first {}",
            r.undetectable.len(),
            r.undetectable[0].detail
        );
    }
    for b in r.violations.iter().take(3) {
        let request = b.request.as_deref().unwrap_or("-");
        println!("    at {:.0} ms, {request}: {}", b.at_ms, b.detail);
    }
}
