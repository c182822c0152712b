//! Searches random combinations of faults for the run that shows a goal most strongly, such as the lowest service or
//! rule violations, and reduces it to a minimal scenario that still shows the goal.
//!
//! A candidate is a few faults drawn from a seed, in place of the base scenario's own; each candidate is run in virtual
//! time. The reduction removes faults one by one, then halves shares and durations, as long as the goal is still shown.
use crate::compare::Figures;
use crate::record::Run;
use crate::sweep::Source;
use crate::ReportError;
use pointspindle_scenario::script::FaultKind;
use pointspindle_scenario::{parse_with, SettingOverride};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rayon::prelude::*;
use std::fmt::Write;

/// A reduced run must lose at least this share of the service that the original finding lost.
const MIN_LOSS_SHARE: f64 = 0.8;
/// Maximum number of faults of a candidate. The integer width is significant: the generator draws other numbers for
/// other widths, so that a seed would give other faults.
const MAX_FAULTS: i32 = 4;
/// Probability that a fault affects parents instead of caches.
const PARENT_PROBABILITY: f64 = 0.2;
/// Shares up to this value are not reduced further.
const MIN_SHARE: f64 = 0.15;
/// Durations up to this value, in seconds, are not reduced further.
const MIN_DURATION_S: f64 = 0.5;

/// What the search looks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SearchGoal {
    /// The lowest service.
    LowestService,
    /// Violations of rules.
    Violations,
    /// Host crashes by overload during warm-up.
    ColdCrashes,
}

impl SearchGoal {
    /// Goals by their names on the command line.
    pub const NAMES: [(&'static str, Self); 3] = [
        ("worst", Self::LowestService),
        ("rules", Self::Violations),
        ("fallen", Self::ColdCrashes),
    ];

    /// Returns how strongly a run shows the goal; 0 means not at all.
    fn score(self, figures: &Figures) -> f64 {
        match self {
            Self::LowestService => 1.0 - figures.service,
            Self::Violations => figures.violations as f64,
            Self::ColdCrashes => figures.cold_crashes as f64,
        }
    }

    /// Whether a reduced run still shows the goal of the original finding.
    fn is_preserved(self, found: &Figures, reduced: &Figures) -> bool {
        match self {
            Self::LowestService => 1.0 - reduced.service >= MIN_LOSS_SHARE * (1.0 - found.service),
            Self::Violations => reduced.violations > 0,
            Self::ColdCrashes => reduced.cold_crashes > 0,
        }
    }
}

/// A fault that was drawn at random.
#[derive(Clone, Debug, PartialEq)]
pub struct DrawnFault {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Start of the fault, in seconds since the start of the run.
    pub at_s: f64,
    /// Duration of the fault, in seconds.
    pub duration_s: f64,
    /// Downtime of a process that the fault ends, in seconds.
    pub downtime_s: f64,
    /// Share of the hosts that the fault affects.
    pub share: f64,
    /// Severity, in the unit of the fault's kind.
    pub severity: f64,
    /// Role of the hosts that the fault affects.
    pub role: &'static str,
}

/// A run that shows the goal, after its reduction.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// Seed of the run.
    pub seed: u64,
    /// Faults that the reduction left.
    pub faults: Vec<DrawnFault>,
    /// Figures of the reduced run.
    pub figures: Figures,
    /// Number of runs made by the search and the reduction.
    pub runs: usize,
}

/// Returns the kinds of fault that a run in virtual time supports.
fn supported_kinds() -> Vec<FaultKind> {
    FaultKind::NAMES
        .iter()
        .map(|(_, kind)| *kind)
        .filter(|kind| !kind.requires_simulated_network() && !kind.requires_processes())
        .collect()
}

fn draw_faults(seed: u64, run_duration_s: f64) -> Vec<DrawnFault> {
    let mut rng = StdRng::seed_from_u64(seed);
    let kinds = supported_kinds();
    let count = rng.gen_range(1..=MAX_FAULTS);
    (0..count)
        .map(|_| draw_fault(&mut rng, &kinds, run_duration_s))
        .collect()
}

/// Draws a fault. The order of the draws is significant: it determines which fault a seed gives.
fn draw_fault(rng: &mut StdRng, kinds: &[FaultKind], run_duration_s: f64) -> DrawnFault {
    let kind = kinds[rng.gen_range(0..kinds.len())];
    let at_s = rng.gen_range(0.15..0.7) * run_duration_s;
    let role = if rng.gen_bool(PARENT_PROBABILITY) {
        "parent"
    } else {
        "cache"
    };
    let severity = kind.default_severity() * rng.gen_range(0.5..1.5);
    let duration_s = rng.gen_range(0.05..0.3) * run_duration_s;
    let downtime_s = rng.gen_range(0.2..4.0);
    let share = rng.gen_range(0.1..1.0);
    let is_share_of_responses = matches!(
        kind,
        FaultKind::DropResponses | FaultKind::TruncateResponses | FaultKind::FailRequests
    );
    DrawnFault {
        kind,
        at_s,
        duration_s,
        downtime_s,
        share,
        severity: if is_share_of_responses {
            severity.min(1.0)
        } else {
            severity
        },
        role,
    }
}

/// Returns the text of the base scenario with its faults replaced by these.
pub fn scenario_text(base: &str, faults: &[DrawnFault]) -> String {
    let mut text = String::new();
    let mut in_fault = false;
    for line in base.lines() {
        if line.trim_start().starts_with('[') {
            in_fault = line.trim_start().starts_with("[trouble");
        }
        if !in_fault {
            text.push_str(line);
            text.push('\n');
        }
    }
    for (n, fault) in faults.iter().enumerate() {
        write_fault(&mut text, n + 1, fault);
    }
    text
}

fn write_fault(text: &mut String, number: usize, fault: &DrawnFault) {
    // Writing to a string cannot fail.
    let _ = write!(
        text,
        "\n[trouble found-{number}]\nkind = {}\nat_s = {:.3}\nfor_s = {:.3}\n\
         down_s = {:.3}\nshare = {:.3}\nhard = {:.3}\nrole = {}\n",
        fault.kind.name(),
        fault.at_s,
        fault.duration_s,
        fault.downtime_s,
        fault.share,
        fault.severity,
        fault.role
    );
}

/// The parameters of a search.
struct FaultSearch<'a> {
    source: &'a Source<'a>,
    overrides: &'a [SettingOverride],
    goal: SearchGoal,
}

/// A candidate with the figures of its run.
struct Candidate {
    seed: u64,
    faults: Vec<DrawnFault>,
    figures: Figures,
}

/// Runs `candidates` combinations of faults, with seeds from `first_seed` on, and reduces the best one. Returns none if
/// no candidate shows the goal.
pub fn search(
    source: &Source,
    overrides: &[SettingOverride],
    goal: SearchGoal,
    first_seed: u64,
    candidates: usize,
) -> Result<Option<Finding>, ReportError> {
    let search = FaultSearch {
        source,
        overrides,
        goal,
    };
    let best = search.best_candidate(first_seed, candidates)?;
    match best.filter(|best| goal.score(&best.figures) > 0.0) {
        Some(best) => Ok(Some(search.reduce(best, candidates)?)),
        None => Ok(None),
    }
}

impl FaultSearch<'_> {
    fn run(&self, seed: u64, faults: &[DrawnFault]) -> Result<Figures, ReportError> {
        let text = scenario_text(self.source.text, faults);
        let scenario = parse_with(self.source.name, &text, Some(seed), self.overrides)?;
        let (run, _) = Run::simulate(&scenario, self.overrides)?;
        Ok(Figures::of(&run))
    }

    /// Returns the first of the best candidates. The result does not depend on the number of threads.
    fn best_candidate(
        &self,
        first_seed: u64,
        candidates: usize,
    ) -> Result<Option<Candidate>, ReportError> {
        let base = parse_with(self.source.name, self.source.text, None, self.overrides)?;
        let seeds: Vec<u64> = (first_seed..first_seed + candidates as u64).collect();
        let candidates: Vec<Candidate> = seeds
            .par_iter()
            .map(|seed| {
                let faults = draw_faults(*seed, base.duration_s);
                let figures = self.run(*seed, &faults)?;
                Ok(Candidate {
                    seed: *seed,
                    faults,
                    figures,
                })
            })
            .collect::<Result<_, ReportError>>()?;
        let score = |candidate: &Candidate| self.goal.score(&candidate.figures);
        Ok(candidates
            .into_iter()
            .rev()
            .max_by(|a, b| score(a).total_cmp(&score(b))))
    }

    /// Applies reduction steps until none preserves the goal.
    fn reduce(&self, candidate: Candidate, runs: usize) -> Result<Finding, ReportError> {
        let mut found = Finding {
            seed: candidate.seed,
            faults: candidate.faults,
            figures: candidate.figures,
            runs,
        };
        while self.reduce_once(&mut found, &candidate.figures)? {}
        Ok(found)
    }

    /// Applies the first reduction step that preserves the goal; returns false if there is none.
    fn reduce_once(&self, found: &mut Finding, original: &Figures) -> Result<bool, ReportError> {
        for reduced in reductions(&found.faults) {
            found.runs += 1;
            let figures = self.run(found.seed, &reduced)?;
            if self.goal.is_preserved(original, &figures) {
                found.faults = reduced;
                found.figures = figures;
                return Ok(true);
            }
        }
        Ok(false)
    }
}

/// Returns the faults after each possible reduction step; removals come before halvings.
fn reductions(faults: &[DrawnFault]) -> Vec<Vec<DrawnFault>> {
    let mut reductions = Vec::new();
    for n in 0..faults.len() {
        let mut fewer = faults.to_vec();
        fewer.remove(n);
        reductions.push(fewer);
    }
    let changed = |n: usize, change: fn(&mut DrawnFault)| {
        let mut changed = faults.to_vec();
        change(&mut changed[n]);
        changed
    };
    for (n, fault) in faults.iter().enumerate() {
        if fault.share > MIN_SHARE {
            reductions.push(changed(n, |fault| fault.share /= 2.0));
        }
        if fault.duration_s > MIN_DURATION_S {
            reductions.push(changed(n, |fault| fault.duration_s /= 2.0));
        }
    }
    reductions
}
