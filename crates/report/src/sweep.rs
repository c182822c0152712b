//! Sweeps: many runs that differ in their seed and in the values of one or two settings. The runs are spread over a
//! thread pool. Saved results are read instead of being computed again, so that an interrupted sweep resumes.
use crate::compare::Figures;
use crate::folder::write;
use crate::record::{Run, FORMAT_VERSION};
use crate::ReportError;
use indicatif::{ProgressBar, ProgressStyle};
use pointspindle::ObjectId;
use pointspindle_scenario::{parse_with, SettingOverride};
use rayon::prelude::*;
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};
use std::str::FromStr;

/// A setting and the values that it takes in a sweep.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VariedSetting {
    /// Section of the scenario that holds the setting.
    pub section: String,
    /// Key of the setting.
    pub key: String,
    /// Values of the setting, in order.
    pub values: Vec<String>,
}

/// An error while parsing a [`VariedSetting`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum VariedSettingError {
    /// The text does not have the form `section.key=values`.
    #[error("{0}")]
    Override(String),
    /// One of the values is empty.
    #[error("empty value in {0:?}, expected section.key=a,b,c")]
    EmptyValue(String),
}

impl FromStr for VariedSetting {
    type Err = VariedSettingError;

    /// Parses `section.key=a,b,c`.
    fn from_str(text: &str) -> Result<Self, VariedSettingError> {
        let setting: SettingOverride = text.parse().map_err(VariedSettingError::Override)?;
        let values: Vec<String> = setting
            .value
            .split(',')
            .map(|value| value.trim().to_owned())
            .collect();
        if values.iter().any(String::is_empty) {
            return Err(VariedSettingError::EmptyValue(text.to_owned()));
        }
        Ok(Self {
            section: setting.section,
            key: setting.key,
            values,
        })
    }
}

impl VariedSetting {
    fn overrides(&self) -> impl Iterator<Item = SettingOverride> + '_ {
        self.values.iter().map(|value| SettingOverride {
            section: self.section.clone(),
            key: self.key.clone(),
            value: value.clone(),
        })
    }
}

/// One run of a sweep.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cell {
    /// Seed of the run.
    pub seed: u64,
    /// Overrides of the scenario's settings.
    #[serde(rename = "sets")]
    pub overrides: Vec<SettingOverride>,
}

/// A cell with its result.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CellResult {
    /// The cell.
    pub cell: Cell,
    /// Figures of the cell's run.
    pub figures: Figures,
}

/// Returns a cell for every combination of values and every seed, in order; the seed varies fastest.
pub fn cells(
    seeds: &[u64],
    overrides: &[SettingOverride],
    varied_settings: &[VariedSetting],
) -> Vec<Cell> {
    let mut combinations = vec![overrides.to_vec()];
    for setting in varied_settings {
        combinations = combinations
            .iter()
            .flat_map(|combination| {
                setting
                    .overrides()
                    .map(move |value| [&combination[..], &[value]].concat())
            })
            .collect();
    }
    combinations
        .iter()
        .flat_map(|combination| {
            seeds.iter().map(move |seed| Cell {
                seed: *seed,
                overrides: combination.clone(),
            })
        })
        .collect()
}

/// The text of a scenario, with the name by which error messages refer to it.
pub struct Source<'a> {
    /// Name of the scenario.
    pub name: &'a str,
    /// Text of the scenario.
    pub text: &'a str,
}

impl Source<'_> {
    fn run(&self, cell: &Cell) -> Result<Figures, ReportError> {
        let scenario = parse_with(self.name, self.text, Some(cell.seed), &cell.overrides)?;
        let (run, _) = Run::simulate(&scenario, &cell.overrides)?;
        Ok(Figures::of(&run))
    }
}

/// Returns the path of a cell's result file. The file name is a hash of everything that determines the run, so that a
/// changed scenario text or format version gives a different file.
fn result_path(folder: &Path, source: &Source, cell: &Cell) -> PathBuf {
    let overrides: String = cell
        .overrides
        .iter()
        .map(|set| format!("{set}\n"))
        .collect();
    let identity = format!(
        "{FORMAT_VERSION}\n{}\n{overrides}{}",
        cell.seed, source.text
    );
    let hash = ObjectId::named(&identity).0;
    folder.join("days").join(format!("{hash:016x}.json"))
}

/// Reads a saved result. A file that holds no valid result of this cell is ignored, and overwritten later.
fn load_result(path: &Path, cell: &Cell) -> Option<CellResult> {
    let bytes = std::fs::read(path).ok()?;
    let result: CellResult = serde_json::from_slice(&bytes).ok()?;
    Some(result).filter(|result| result.cell == *cell)
}

/// Returns the result of a cell: the saved one if there is one, else that of a new run, which is then saved.
fn run_cell(
    source: &Source,
    cell: &Cell,
    folder: Option<&Path>,
) -> Result<CellResult, ReportError> {
    let path = folder.map(|folder| result_path(folder, source, cell));
    let saved = path.as_ref().and_then(|path| load_result(path, cell));
    if let Some(saved) = saved {
        return Ok(saved);
    }
    let result = CellResult {
        cell: cell.clone(),
        figures: source.run(cell)?,
    };
    if let Some(path) = &path {
        let json = serde_json::to_vec(&result).expect("a cell result serializes to JSON");
        write(path, &json)?;
    }
    Ok(result)
}

fn progress_bar(length: usize, quiet: bool) -> ProgressBar {
    if quiet {
        return ProgressBar::hidden();
    }
    let bar = ProgressBar::new(length as u64);
    let template = "{bar:40} {pos}/{len} runs, {elapsed} elapsed, {eta} remaining";
    if let Ok(style) = ProgressStyle::with_template(template) {
        bar.set_style(style);
    }
    bar
}

/// Runs the cells whose results are not yet saved in the folder, on `jobs` threads. The results are in the order of the
/// cells, regardless of the order of execution.
pub fn run(
    source: &Source,
    cells: &[Cell],
    folder: Option<&Path>,
    jobs: usize,
    quiet: bool,
) -> Result<Vec<CellResult>, ReportError> {
    let bar = progress_bar(cells.len(), quiet);
    let pool = rayon::ThreadPoolBuilder::new()
        .num_threads(jobs)
        .build()
        .map_err(|error| {
            ReportError::Run(format!("cannot start {jobs} worker threads: {error}"))
        })?;
    let run_one = |cell: &Cell| {
        let result = run_cell(source, cell, folder)?;
        bar.inc(1);
        Ok(result)
    };
    let results = pool.install(|| cells.par_iter().map(run_one).collect());
    bar.finish_and_clear();
    results
}

/// Means and totals over the runs with the same overrides.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SweepRow {
    /// Overrides of the runs, as text.
    #[serde(rename = "way")]
    pub name: String,
    /// Number of runs.
    #[serde(rename = "days")]
    pub runs: usize,
    /// Mean service.
    pub service: f64,
    /// Lowest service of any run.
    #[serde(rename = "least")]
    pub min_service: f64,
    /// Highest service of any run.
    #[serde(rename = "most")]
    pub max_service: f64,
    /// Mean service over the worst 10 s.
    pub worst_10s: f64,
    /// Mean of the weighted objective.
    #[serde(rename = "goal")]
    pub objective_score: f64,
    /// Number of host crashes by overload during warm-up, over all runs.
    #[serde(rename = "fallen")]
    pub cold_crashes: usize,
    /// Number of runs with at least one violation.
    #[serde(rename = "broken")]
    pub runs_with_violations: usize,
}

/// The runs with the same overrides.
struct RunGroup {
    overrides: String,
    figures: Vec<Figures>,
}

/// Returns a row for each combination of overrides, in the order of their first cells.
pub fn rows(results: &[CellResult]) -> Vec<SweepRow> {
    let mut groups: Vec<RunGroup> = Vec::new();
    for result in results {
        let overrides = overrides_text(&result.cell.overrides);
        match groups.iter_mut().find(|group| group.overrides == overrides) {
            Some(group) => group.figures.push(result.figures),
            None => groups.push(RunGroup {
                overrides,
                figures: vec![result.figures],
            }),
        }
    }
    groups
        .into_iter()
        .map(|group| summarize(group.overrides, &group.figures))
        .collect()
}

fn overrides_text(overrides: &[SettingOverride]) -> String {
    if overrides.is_empty() {
        return "no overrides".to_owned();
    }
    let texts: Vec<String> = overrides.iter().map(ToString::to_string).collect();
    texts.join(" ")
}

/// Summarizes runs as a row with this name.
pub fn summarize(name: String, runs: &[Figures]) -> SweepRow {
    let mean =
        |figure: fn(&Figures) -> f64| runs.iter().map(figure).sum::<f64>() / runs.len() as f64;
    let services = || runs.iter().map(|run| run.service);
    SweepRow {
        name,
        runs: runs.len(),
        service: mean(|run| run.service),
        min_service: services().fold(f64::MAX, f64::min),
        max_service: services().fold(0.0, f64::max),
        worst_10s: mean(|run| run.worst_10s),
        objective_score: mean(|run| run.objective_score),
        cold_crashes: runs.iter().map(|run| run.cold_crashes).sum(),
        runs_with_violations: runs.iter().filter(|run| run.violations > 0).count(),
    }
}
