//! Many runs at once: seeds, and values of one or two settings. Parallel over cores; what is done already is read and
//! not played again, so that a sweep that was stopped goes on where it was.
use crate::compare::Figures;
use crate::folder::write;
use crate::record::Run;
use crate::ReportError;
use indicatif::{ProgressBar, ProgressStyle};
use pointspindle_scenario::{parse_with, SettingOverride};
use rayon::prelude::*;
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};

/// A setting and the values that it takes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vary {
    pub section: String,
    pub key: String,
    pub values: Vec<String>,
}

impl std::str::FromStr for Vary {
    type Err = String;

    /// `section.key=a,b,c`
    fn from_str(text: &str) -> Result<Self, String> {
        let change: SettingOverride = text.parse()?;
        let values: Vec<String> = change
            .value
            .split(',')
            .map(|v| v.trim().to_owned())
            .collect();
        if values.iter().any(String::is_empty) {
            return Err(format!("{text:?}: an empty value"));
        }
        Ok(Self {
            section: change.section,
            key: change.key,
            values,
        })
    }
}

/// One day of a sweep.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cell {
    pub seed: u64,
    pub sets: Vec<SettingOverride>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Played {
    pub cell: Cell,
    pub figures: Figures,
}

/// Every combination of values with every seed, in order.
pub fn cells(seeds: &[u64], sets: &[SettingOverride], vary: &[Vary]) -> Vec<Cell> {
    let mut ways = vec![sets.to_vec()];
    for v in vary {
        let with = |way: &Vec<SettingOverride>, value: &String| {
            let new = SettingOverride {
                section: v.section.clone(),
                key: v.key.clone(),
                value: value.clone(),
            };
            way.iter()
                .cloned()
                .chain([new])
                .collect::<Vec<SettingOverride>>()
        };
        ways = ways
            .iter()
            .flat_map(|way| v.values.iter().map(move |value| with(way, value)))
            .collect();
    }
    let cell = |sets: &Vec<SettingOverride>, seed: &u64| Cell {
        seed: *seed,
        sets: sets.clone(),
    };
    ways.iter()
        .flat_map(|sets| seeds.iter().map(move |seed| cell(sets, seed)))
        .collect()
}

/// A scenario's text with the name that its complaints tell.
pub struct Source<'a> {
    pub name: &'a str,
    pub text: &'a str,
}

impl Source<'_> {
    fn play(&self, cell: &Cell) -> Result<Figures, ReportError> {
        let scenario = parse_with(self.name, self.text, Some(cell.seed), &cell.sets)?;
        let (run, _) = Run::play(&scenario, &cell.sets).map_err(ReportError::Run)?;
        Ok(Figures::of(&run))
    }
}

/// The file of a cell: its name is a number of all that decides the day, so that another text or build's form is
/// another file.
fn file(folder: &Path, source: &Source, cell: &Cell) -> PathBuf {
    let words: String = cell.sets.iter().map(|s| format!("{s}\n")).collect();
    let all = format!(
        "{}\n{}\n{words}{}",
        crate::record::FORM,
        cell.seed,
        source.text
    );
    folder.join("days").join(format!(
        "{:016x}.json",
        pointspindle::ObjectId::named(&all).0
    ))
}

/// Plays what is not in the folder yet. The order of the answer is that of the cells, whatever ran first.
pub fn run(
    source: &Source,
    cells: &[Cell],
    folder: Option<&Path>,
    jobs: usize,
    quiet: bool,
) -> Result<Vec<Played>, ReportError> {
    let bar = if quiet {
        ProgressBar::hidden()
    } else {
        ProgressBar::new(cells.len() as u64)
    };
    if let Ok(style) =
        ProgressStyle::with_template("{bar:40} {pos}/{len} days, {elapsed} gone, {eta} to go")
    {
        bar.set_style(style);
    }
    let pool = rayon::ThreadPoolBuilder::new().num_threads(jobs).build();
    let pool = pool.map_err(|e| ReportError::Run(format!("no threads: {e}")))?;
    let one = |cell: &Cell| -> Result<Played, ReportError> {
        let path = folder.map(|f| file(f, source, cell));
        let known = path.as_ref().and_then(|p| std::fs::read(p).ok());
        // A file that is no day of ours is played again and written over.
        let known = known.and_then(|bytes| serde_json::from_slice::<Played>(&bytes).ok());
        let played = match known.filter(|k| k.cell == *cell) {
            Some(known) => known,
            None => {
                let played = Played {
                    cell: cell.clone(),
                    figures: source.play(cell)?,
                };
                if let Some(path) = &path {
                    write(path, &serde_json::to_vec(&played).expect("plain data"))?;
                }
                played
            }
        };
        bar.inc(1);
        Ok(played)
    };
    let out = pool.install(|| cells.par_iter().map(one).collect());
    bar.finish_and_clear();
    out
}

/// Means over the days of one way.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    pub way: String,
    pub days: usize,
    pub service: f64,
    pub least: f64,
    pub most: f64,
    pub worst_10s: f64,
    pub goal: f64,
    pub fallen: usize,
    pub broken: usize,
}

pub fn rows(played: &[Played]) -> Vec<Row> {
    let mut ways: Vec<(String, Vec<Figures>)> = Vec::new();
    for p in played {
        let way: Vec<String> = p.cell.sets.iter().map(|s| s.to_string()).collect();
        let way = if way.is_empty() {
            "as it is".to_owned()
        } else {
            way.join(" ")
        };
        match ways.iter_mut().find(|(w, _)| *w == way) {
            Some((_, all)) => all.push(p.figures),
            None => ways.push((way, vec![p.figures])),
        }
    }
    ways.into_iter().map(|(way, all)| row(way, &all)).collect()
}

pub fn row(way: String, all: &[Figures]) -> Row {
    let mean = |of: fn(&Figures) -> f64| all.iter().map(of).sum::<f64>() / all.len() as f64;
    Row {
        way,
        days: all.len(),
        service: mean(|f| f.service),
        least: all.iter().map(|f| f.service).fold(f64::MAX, f64::min),
        most: all.iter().map(|f| f.service).fold(0.0, f64::max),
        worst_10s: mean(|f| f.worst_10s),
        goal: mean(|f| f.goal),
        fallen: all.iter().map(|f| f.fallen).sum(),
        broken: all.iter().filter(|f| f.breaches > 0).count(),
    }
}
