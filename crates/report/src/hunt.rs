//! Searches trouble mixes for the worst day, or for a broken rule, and cuts what it finds down to the smallest scenario
//! that still shows it.
//!
//! A candidate is a few troubles drawn from a seed and put over the base scenario's own; each is played in virtual time.
//! Cutting takes troubles away one by one, then halves lengths and shares, as long as the finding stays.
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

/// What is looked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Goal {
    /// The least service.
    Worst,
    /// A broken rule.
    Rules,
    /// Hosts that fall over while cold, whoever knew of their start.
    Fallen,
}

impl Goal {
    pub const WORDS: [(&'static str, Self); 3] = [
        ("worst", Self::Worst),
        ("rules", Self::Rules),
        ("fallen", Self::Fallen),
    ];

    /// Larger is a better find.
    fn score(self, f: &Figures) -> f64 {
        match self {
            Self::Worst => 1.0 - f.service,
            Self::Rules => f.breaches as f64,
            Self::Fallen => f.fallen as f64,
        }
    }

    /// Whether a cut day still shows what the whole one did.
    fn holds(self, whole: &Figures, cut: &Figures) -> bool {
        match self {
            // Most of what it cost.
            Self::Worst => 1.0 - cut.service >= 0.8 * (1.0 - whole.service),
            Self::Rules => cut.breaches > 0,
            Self::Fallen => cut.fallen > 0,
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Trouble {
    pub kind: FaultKind,
    pub at_s: f64,
    pub for_s: f64,
    pub down_s: f64,
    pub share: f64,
    pub hard: f64,
    pub role: &'static str,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Found {
    pub seed: u64,
    pub troubles: Vec<Trouble>,
    pub figures: Figures,
    /// Days played until it was cut down.
    pub days: usize,
}

fn draw(seed: u64, seconds: f64) -> Vec<Trouble> {
    let mut rng = StdRng::seed_from_u64(seed);
    let count = rng.gen_range(1..=4);
    let one = |rng: &mut StdRng| {
        let kinds: Vec<FaultKind> = FaultKind::WORDS
            .iter()
            .map(|(_, kind)| *kind)
            .filter(|kind| !kind.requires_simulated_network() && !kind.requires_processes())
            .collect();
        let kind = kinds[rng.gen_range(0..kinds.len())];
        let at_s = rng.gen_range(0.15..0.7) * seconds;
        let role = if rng.gen_bool(0.2) { "parent" } else { "cache" };
        let hard = kind.default_severity() * rng.gen_range(0.5..1.5);
        Trouble {
            kind,
            at_s,
            for_s: rng.gen_range(0.05..0.3) * seconds,
            down_s: rng.gen_range(0.2..4.0),
            share: rng.gen_range(0.1..1.0),
            hard: if matches!(
                kind,
                FaultKind::DropResponses | FaultKind::TruncateResponses | FaultKind::FailRequests
            ) {
                hard.min(1.0)
            } else {
                hard
            },
            role,
        }
    };
    (0..count).map(|_| one(&mut rng)).collect()
}

/// The base scenario without its own troubles, and these in their place.
pub fn text(base: &str, troubles: &[Trouble]) -> String {
    let mut out = String::new();
    let mut skipping = false;
    for line in base.lines() {
        if line.trim_start().starts_with('[') {
            skipping = line.trim_start().starts_with("[trouble");
        }
        if !skipping {
            out.push_str(line);
            out.push('\n');
        }
    }
    for (n, t) in troubles.iter().enumerate() {
        let _ = write!(
            out,
            "\n[trouble found-{}]\nkind = {}\nat_s = {:.3}\nfor_s = {:.3}\ndown_s = {:.3}\nshare = {:.3}\nhard = {:.3}\nrole = {}\n",
            n + 1, t.kind.name(), t.at_s, t.for_s, t.down_s, t.share, t.hard, t.role
        );
    }
    out
}

fn play(
    source: &Source,
    sets: &[SettingOverride],
    seed: u64,
    troubles: &[Trouble],
) -> Result<Figures, ReportError> {
    let text = text(source.text, troubles);
    let scenario = parse_with(source.name, &text, Some(seed), sets)?;
    let (run, _) = Run::play(&scenario, sets).map_err(ReportError::Run)?;
    Ok(Figures::of(&run))
}

/// Plays `days` candidates and cuts the best find down; none if no candidate shows what is looked for.
pub fn hunt(
    source: &Source,
    sets: &[SettingOverride],
    goal: Goal,
    from: u64,
    days: usize,
) -> Result<Option<Found>, ReportError> {
    let seconds = parse_with(source.name, source.text, None, sets)?.duration_s;
    let candidates: Vec<u64> = (from..from + days as u64).collect();
    let played: Vec<(u64, Vec<Trouble>, Figures)> = candidates
        .par_iter()
        .map(|seed| {
            let troubles = draw(*seed, seconds);
            let figures = play(source, sets, *seed, &troubles)?;
            Ok((*seed, troubles, figures))
        })
        .collect::<Result<_, ReportError>>()?;
    // The first of equals: the same find whatever the number of threads.
    let best = played
        .into_iter()
        .rev()
        .max_by(|a, b| goal.score(&a.2).total_cmp(&goal.score(&b.2)));
    let Some((seed, troubles, figures)) = best.filter(|b| goal.score(&b.2) > 0.0) else {
        return Ok(None);
    };
    let mut found = Found {
        seed,
        troubles,
        figures,
        days,
    };
    let whole = figures;
    loop {
        let mut cut = false;
        for smaller in smaller(&found.troubles) {
            found.days += 1;
            let figures = play(source, sets, seed, &smaller)?;
            if goal.holds(&whole, &figures) {
                (found.troubles, found.figures, cut) = (smaller, figures, true);
                break;
            }
        }
        if !cut {
            return Ok(Some(found));
        }
    }
}

/// One step smaller, the largest steps first.
fn smaller(troubles: &[Trouble]) -> Vec<Vec<Trouble>> {
    let mut out = Vec::new();
    let with = |n: usize, change: &dyn Fn(&mut Trouble)| {
        let mut all = troubles.to_vec();
        change(&mut all[n]);
        all
    };
    for n in 0..troubles.len() {
        let rest = troubles.iter().enumerate().filter(|(m, _)| *m != n);
        out.push(rest.map(|(_, t)| t.clone()).collect());
    }
    for (n, t) in troubles.iter().enumerate() {
        if t.share > 0.15 {
            out.push(with(n, &|t| t.share /= 2.0));
        }
        if t.for_s > 0.5 {
            out.push(with(n, &|t| t.for_s /= 2.0));
        }
    }
    out
}
