//! Searches random mixes of faults for the run with the worst service or with a violation, and reduces what it finds
//! to the smallest scenario that still shows it.
//!
//! A candidate is a few faults drawn from a seed, in place of the base scenario's own; each is run in virtual time.
//! The reduction removes faults one by one, then halves durations and shares, as long as the finding stays.
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

/// A reduced run must lose at least this share of the service that the found run lost.
const MIN_LOSS_SHARE: f64 = 0.8;
/// Most faults of a candidate. The type is part of what a seed gives: other widths draw other numbers.
const MAX_FAULTS: i32 = 4;
/// Chance that a fault strikes parents and not caches.
const PARENT_PROBABILITY: f64 = 0.2;
/// Shares up to this are not halved any more.
const MIN_SHARE: f64 = 0.15;
/// Durations up to this, in seconds, are not halved any more.
const MIN_DURATION_S: f64 = 0.5;

/// What is searched for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Goal {
    /// The lowest service.
    LowestService,
    /// A violation of a rule.
    Violations,
    /// Hosts that crash by overload during their warm-up.
    ColdCrashes,
}

impl Goal {
    /// The goals with their names on the command line.
    pub const NAMES: [(&'static str, Self); 3] = [
        ("worst", Self::LowestService),
        ("rules", Self::Violations),
        ("fallen", Self::ColdCrashes),
    ];

    /// How well a run shows the goal; 0: not at all.
    fn score(self, figures: &Figures) -> f64 {
        match self {
            Self::LowestService => 1.0 - figures.service,
            Self::Violations => figures.violations as f64,
            Self::ColdCrashes => figures.cold_crashes as f64,
        }
    }

    /// Whether a reduced run still shows what the found one did.
    fn is_still_shown(self, found: &Figures, reduced: &Figures) -> bool {
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
    /// When it begins, in seconds since the start of the run.
    pub at_s: f64,
    /// How long it lasts, in seconds.
    pub duration_s: f64,
    /// How long a process that it ends stays down, in seconds.
    pub downtime_s: f64,
    /// Share of the hosts that it affects.
    pub share: f64,
    /// Severity, in the unit of its kind.
    pub severity: f64,
    /// Role of the hosts that it affects.
    pub role: &'static str,
}

/// A found run, reduced.
#[derive(Clone, Debug, PartialEq)]
pub struct Found {
    /// Seed of the run.
    pub seed: u64,
    /// The faults that are left.
    pub faults: Vec<DrawnFault>,
    /// Figures of the reduced run.
    pub figures: Figures,
    /// Number of runs that the search and the reduction took.
    pub runs: usize,
}

/// The kinds of fault that a run in virtual time can have.
fn possible_kinds() -> Vec<FaultKind> {
    FaultKind::NAMES
        .iter()
        .map(|(_, kind)| *kind)
        .filter(|kind| !kind.requires_simulated_network() && !kind.requires_processes())
        .collect()
}

fn draw_faults(seed: u64, run_duration_s: f64) -> Vec<DrawnFault> {
    let mut rng = StdRng::seed_from_u64(seed);
    let kinds = possible_kinds();
    let count = rng.gen_range(1..=MAX_FAULTS);
    (0..count)
        .map(|_| draw_fault(&mut rng, &kinds, run_duration_s))
        .collect()
}

/// Draws a fault. The order of the draws decides what a seed gives.
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

/// The base scenario with these faults in place of its own.
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

/// A search in progress.
struct Hunt<'a> {
    source: &'a Source<'a>,
    overrides: &'a [SettingOverride],
    goal: Goal,
}

/// A candidate with the figures of its run.
struct Candidate {
    seed: u64,
    faults: Vec<DrawnFault>,
    figures: Figures,
}

/// Runs `candidates` mixes of faults from the seed `first_seed` on, and reduces the best find; none if no candidate
/// shows the goal.
pub fn hunt(
    source: &Source,
    overrides: &[SettingOverride],
    goal: Goal,
    first_seed: u64,
    candidates: usize,
) -> Result<Option<Found>, ReportError> {
    let hunt = Hunt {
        source,
        overrides,
        goal,
    };
    let best = hunt.best_candidate(first_seed, candidates)?;
    match best.filter(|best| goal.score(&best.figures) > 0.0) {
        Some(best) => Ok(Some(hunt.reduce(best, candidates)?)),
        None => Ok(None),
    }
}

impl Hunt<'_> {
    fn run(&self, seed: u64, faults: &[DrawnFault]) -> Result<Figures, ReportError> {
        let text = scenario_text(self.source.text, faults);
        let scenario = parse_with(self.source.name, &text, Some(seed), self.overrides)?;
        let (run, _) = Run::play(&scenario, self.overrides)?;
        Ok(Figures::of(&run))
    }

    /// The first of the best candidates: the same whatever the number of threads.
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

    /// Takes the first step that keeps the finding, until none does.
    fn reduce(&self, candidate: Candidate, runs: usize) -> Result<Found, ReportError> {
        let mut found = Found {
            seed: candidate.seed,
            faults: candidate.faults,
            figures: candidate.figures,
            runs,
        };
        while self.reduce_once(&mut found, &candidate.figures)? {}
        Ok(found)
    }

    /// Takes one step; false where none keeps the finding.
    fn reduce_once(&self, found: &mut Found, original: &Figures) -> Result<bool, ReportError> {
        for reduced in reductions(&found.faults) {
            found.runs += 1;
            let figures = self.run(found.seed, &reduced)?;
            if self.goal.is_still_shown(original, &figures) {
                found.faults = reduced;
                found.figures = figures;
                return Ok(true);
            }
        }
        Ok(false)
    }
}

/// The faults with one step of reduction, the largest steps first.
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
