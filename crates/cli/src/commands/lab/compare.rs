//! The `pointspindle lab compare` command.
use super::seeds::Seeds;
use super::sweep::{checked_text, job_count};
use pointspindle_cli::exit::{negative_if, CommandError, CommandResult};
use pointspindle_report::compare::{self, Figures, Pair};
use pointspindle_report::html;
use pointspindle_report::sweep::{self, Cell, Source};
use pointspindle_scenario::SettingOverride;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// Number of printed runs with the largest loss of B, and of those with the largest gain.
const MAX_PRINTED_RUNS: usize = 3;

/// Arguments of `lab compare`.
#[derive(clap::Args)]
pub struct CompareArguments {
    /// Scenario files, at least one.
    #[arg(required = true)]
    scenarios: Vec<PathBuf>,
    /// Seeds, such as 1..20 or 3,5,9.
    #[arg(long, default_value = "1..10")]
    seeds: Seeds,
    /// Setting of variant A; may be given several times.
    #[arg(long = "a", value_name = "SECTION.KEY=VALUE")]
    overrides_a: Vec<SettingOverride>,
    /// Setting of variant B; may be given several times.
    #[arg(long = "b", value_name = "SECTION.KEY=VALUE")]
    overrides_b: Vec<SettingOverride>,
    /// Build of this program that runs variant A; this one by default.
    #[arg(long)]
    program_a: Option<PathBuf>,
    /// Build of this program that runs variant B; this one by default.
    #[arg(long)]
    program_b: Option<PathBuf>,
    /// Number of parallel runs; the number of cores by default.
    #[arg(long)]
    jobs: Option<usize>,
    /// Folder for the report and the pairs.
    #[arg(long)]
    out: Option<PathBuf>,
}

/// One of the two compared variants.
struct Variant<'a> {
    overrides: &'a [SettingOverride],
    program: Option<&'a Path>,
}

/// Runs two variants with the same scenarios and seeds, and prints the difference.
pub fn compare(arguments: CompareArguments) -> CommandResult {
    let pairs = run_pairs(&arguments)?;
    let verdict = compare::describe(&pairs);
    for line in &verdict {
        println!("{line}");
    }
    print_extremes(&pairs);
    if let Some(out) = &arguments.out {
        write_report(out, &pairs, &verdict)?;
    }
    negative_if(
        pairs
            .iter()
            .any(|pair| pair.b.violations > pair.a.violations),
    )
}

fn run_pairs(arguments: &CompareArguments) -> Result<Vec<Pair>, CommandError> {
    let a = Variant {
        overrides: &arguments.overrides_a,
        program: arguments.program_a.as_deref(),
    };
    let b = Variant {
        overrides: &arguments.overrides_b,
        program: arguments.program_b.as_deref(),
    };
    let seeds = &arguments.seeds.0;
    let jobs = job_count(arguments.jobs);
    let mut pairs = Vec::new();
    for scenario in &arguments.scenarios {
        let figures_a = a.run(scenario, seeds, jobs)?;
        let figures_b = b.run(scenario, seeds, jobs)?;
        for ((seed, a), b) in seeds.iter().zip(figures_a).zip(figures_b) {
            let run_name = format!("{} seed {seed}", scenario.display());
            pairs.push(Pair {
                run: run_name,
                a,
                b,
            });
        }
    }
    Ok(pairs)
}

impl Variant<'_> {
    /// Runs a scenario with all seeds, in this process or with another build as child processes.
    fn run(
        &self,
        scenario: &Path,
        seeds: &[u64],
        jobs: usize,
    ) -> Result<Vec<Figures>, CommandError> {
        match self.program {
            Some(program) => self.run_with_program(program, scenario, seeds, jobs),
            None => self.run_in_process(scenario, seeds, jobs),
        }
    }

    fn run_in_process(
        &self,
        scenario: &Path,
        seeds: &[u64],
        jobs: usize,
    ) -> Result<Vec<Figures>, CommandError> {
        let text = checked_text(scenario, self.overrides)?;
        let name = scenario.display().to_string();
        let source = Source {
            name: &name,
            text: &text,
        };
        let cell = |seed: &u64| Cell {
            seed: *seed,
            overrides: self.overrides.to_vec(),
        };
        let cells: Vec<Cell> = seeds.iter().map(cell).collect();
        let outcomes = sweep::run(&source, &cells, None, jobs, false)?;
        Ok(outcomes.into_iter().map(|run| run.figures).collect())
    }

    fn run_with_program(
        &self,
        program: &Path,
        scenario: &Path,
        seeds: &[u64],
        jobs: usize,
    ) -> Result<Vec<Figures>, CommandError> {
        let mut figures = Vec::new();
        for batch in seeds.chunks(jobs) {
            let children: Vec<Child> = batch
                .iter()
                .map(|seed| self.start_program(program, scenario, *seed))
                .collect::<Result<_, _>>()?;
            for child in children {
                figures.push(read_figures(program, child)?);
            }
        }
        Ok(figures)
    }

    fn start_program(
        &self,
        program: &Path,
        scenario: &Path,
        seed: u64,
    ) -> Result<Child, CommandError> {
        let mut command = Command::new(program);
        command
            .args(["--log", "error", "lab", "run"])
            .arg(scenario)
            .args(["--virtual", "--json", "--seed"])
            .arg(seed.to_string());
        for setting in self.overrides {
            command.arg("--set").arg(setting.to_string());
        }
        command
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|error| CommandError::CannotRun(format!("{}: {error}", program.display())))
    }
}

/// Reads the figures that another build printed for its run.
fn read_figures(program: &Path, child: Child) -> Result<Figures, CommandError> {
    let output = child.wait_with_output()?;
    let json: serde_json::Value = serde_json::from_slice(&output.stdout).map_err(|error| {
        CommandError::CannotRun(format!(
            "{}: output is not the JSON of a run: {error}",
            program.display()
        ))
    })?;
    let number = |key: &str| json[key].as_f64().unwrap_or(0.0);
    let rules = json["rules"].as_array().cloned().unwrap_or_default();
    let violations: u64 = rules
        .iter()
        .filter_map(|rule| rule["breaches"].as_u64())
        .sum();
    Ok(Figures {
        service: number("service"),
        worst_10s: number("worst_10s"),
        objective_score: number("goal"),
        cold_crashes: number("fallen") as usize,
        violations: violations as usize,
        peak_cache_load: number("neighbours"),
        peak_parent_load: number("parents"),
    })
}

fn print_extremes(pairs: &[Pair]) {
    let gain = |pair: &Pair| pair.b.service - pair.a.service;
    let mut by_gain: Vec<&Pair> = pairs.iter().collect();
    by_gain.sort_by(|x, y| gain(x).total_cmp(&gain(y)));
    println!("runs on which B lost and gained most:");
    for (rank, pair) in by_gain.iter().enumerate() {
        if rank < MAX_PRINTED_RUNS || rank + MAX_PRINTED_RUNS >= by_gain.len() {
            println!(
                "  {:>4} {}: service {:.4} to {:.4}",
                rank + 1,
                pair.run,
                pair.a.service,
                pair.b.service
            );
        }
    }
}

fn write_report(out: &Path, pairs: &[Pair], verdict: &[String]) -> CommandResult {
    std::fs::create_dir_all(out)?;
    std::fs::write(out.join("pairs.json"), serde_json::to_vec_pretty(pairs)?)?;
    let figures_a: Vec<Figures> = pairs.iter().map(|pair| pair.a).collect();
    let figures_b: Vec<Figures> = pairs.iter().map(|pair| pair.b).collect();
    let rows = [
        sweep::summarize("A".into(), &figures_a),
        sweep::summarize("B".into(), &figures_b),
    ];
    let page = html::sweep("A and B on the same runs", &rows, verdict)?;
    std::fs::write(out.join("report.html"), page)?;
    println!("{}", out.join("report.html").display());
    Ok(())
}
