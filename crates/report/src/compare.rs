//! Compares two variants on the same seeds: the paired differences, their standard error, and the conclusion.
use crate::record::Run;
use serde::{Deserialize, Serialize};

/// A difference within this many standard errors counts as noise. About one comparison in twenty exceeds it by chance.
const NOISE_STANDARD_ERRORS: f64 = 2.0;

/// One scenario and seed, run under both variants.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pair {
    /// Name of the scenario, and the seed.
    #[serde(rename = "day")]
    pub run: String,
    /// Figures of the first variant.
    pub a: Figures,
    /// Figures of the second variant.
    pub b: Figures,
}

/// The figures of a run that are compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Figures {
    /// Value earned in time, divided by the value requested.
    pub service: f64,
    /// Service over the worst 10 s.
    pub worst_10s: f64,
    /// The weighted objective.
    #[serde(rename = "goal")]
    pub objective_score: f64,
    /// Number of host crashes by overload during warm-up.
    #[serde(rename = "fallen")]
    pub cold_crashes: usize,
    /// Number of violations of all rules.
    #[serde(rename = "breaches")]
    pub violations: usize,
    /// Highest load of a warm cache host in the seconds after a restart.
    #[serde(default)]
    #[serde(rename = "neighbours")]
    pub peak_cache_load: f64,
    /// Highest load of a parent in the seconds after a restart.
    #[serde(default)]
    #[serde(rename = "parents")]
    pub peak_parent_load: f64,
}

impl Figures {
    /// Returns the figures of a run.
    pub fn of(run: &Run) -> Self {
        let (cache_load, parent_load) = run.peak_loads_after_restarts();
        Self {
            service: run.service.service,
            worst_10s: run.service.worst_10s,
            objective_score: run.service.objective_score,
            cold_crashes: run.warm_up_crashes,
            violations: run.violations(),
            peak_cache_load: cache_load,
            peak_parent_load: parent_load,
        }
    }
}

/// The mean of paired differences, b - a.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Difference {
    /// Mean of the differences.
    pub mean: f64,
    /// Standard error of the mean; none from fewer than two pairs.
    #[serde(rename = "error")]
    pub standard_error: Option<f64>,
    /// Number of pairs.
    #[serde(rename = "days")]
    pub pairs: usize,
}

impl Difference {
    /// Computes the mean difference of a figure.
    pub fn of(pairs: &[Pair], figure: impl Fn(&Figures) -> f64) -> Self {
        let differences: Vec<f64> = pairs
            .iter()
            .map(|pair| figure(&pair.b) - figure(&pair.a))
            .collect();
        let count = differences.len();
        let mean = differences.iter().sum::<f64>() / count.max(1) as f64;
        let standard_error = (count > 1).then(|| {
            let squares = differences.iter().map(|d| (d - mean).powi(2));
            let variance = squares.sum::<f64>() / (count - 1) as f64;
            (variance / count as f64).sqrt()
        });
        Self {
            mean,
            standard_error,
            pairs: count,
        }
    }

    /// Returns the verdict for a figure of which more is better.
    pub fn verdict(&self) -> Verdict {
        match self.standard_error {
            None => Verdict::TooFew,
            Some(_) if self.mean == 0.0 => Verdict::Same,
            Some(error) if self.mean.abs() <= NOISE_STANDARD_ERRORS * error => Verdict::Noise,
            Some(_) if self.mean > 0.0 => Verdict::Better,
            Some(_) => Verdict::Worse,
        }
    }
}

/// The conclusion of a comparison, for the second variant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The second variant is better.
    Better,
    /// The second variant is worse.
    Worse,
    /// The difference is within the noise.
    Noise,
    /// The mean difference is zero.
    Same,
    /// There are too few pairs for a standard error.
    TooFew,
}

impl Verdict {
    /// Converts the verdict to that for a figure of which less is better.
    pub fn for_less_is_better(self) -> Self {
        match self {
            Self::Better => Self::Worse,
            Self::Worse => Self::Better,
            other => other,
        }
    }

    /// Returns the verdict as text.
    pub fn text(self) -> &'static str {
        match self {
            Self::Better => "B is better",
            Self::Worse => "B is worse",
            Self::Noise => "no difference beyond noise",
            Self::Same => "equal on average",
            Self::TooFew => "too few runs to tell",
        }
    }
}

/// Whether more or less of a figure is better.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Preference {
    More,
    Less,
}

/// A figure of the comparison.
struct ComparedFigure {
    name: &'static str,
    preference: Preference,
    value: fn(&Figures) -> f64,
}

const COMPARED_FIGURES: [ComparedFigure; 5] = [
    ComparedFigure {
        name: "service",
        preference: Preference::More,
        value: |figures| figures.service,
    },
    ComparedFigure {
        name: "worst 10 s",
        preference: Preference::More,
        value: |figures| figures.worst_10s,
    },
    ComparedFigure {
        name: "goal",
        preference: Preference::More,
        value: |figures| figures.objective_score,
    },
    ComparedFigure {
        name: "highest load of warm caches after a restart",
        preference: Preference::Less,
        value: |figures| figures.peak_cache_load,
    },
    ComparedFigure {
        name: "highest load of parents after a restart",
        preference: Preference::Less,
        value: |figures| figures.peak_parent_load,
    },
];

impl ComparedFigure {
    fn describe(&self, pairs: &[Pair]) -> String {
        let difference = Difference::of(pairs, self.value);
        let verdict = match self.preference {
            Preference::More => difference.verdict(),
            Preference::Less => difference.verdict().for_less_is_better(),
        };
        let mean = |variant: fn(&Pair) -> &Figures| {
            let sum: f64 = pairs.iter().map(|pair| (self.value)(variant(pair))).sum();
            sum / pairs.len().max(1) as f64
        };
        let standard_error = match difference.standard_error {
            Some(error) => format!("{error:.4}"),
            None => "-".into(),
        };
        format!(
            "{}: A {:.4}, B {:.4}, difference {:+.4} (standard error {standard_error}): {}",
            self.name,
            mean(|pair| &pair.a),
            mean(|pair| &pair.b),
            difference.mean,
            verdict.text()
        )
    }
}

/// Describes the comparison in lines of text: first violations and crashes, then a line for each figure.
pub fn describe(pairs: &[Pair]) -> Vec<String> {
    let runs_with_violations =
        |variant: fn(&Pair) -> &Figures| pairs.iter().filter(|p| variant(p).violations > 0).count();
    let cold_crashes = |variant: fn(&Pair) -> &Figures| {
        pairs.iter().map(|p| variant(p).cold_crashes).sum::<usize>()
    };
    let mut lines = vec![
        format!(
            "runs with rule violations: A {} of {n}, B {} of {n}",
            runs_with_violations(|pair| &pair.a),
            runs_with_violations(|pair| &pair.b),
            n = pairs.len()
        ),
        format!(
            "host crashes by overload during warm-up: A {}, B {}",
            cold_crashes(|pair| &pair.a),
            cold_crashes(|pair| &pair.b)
        ),
    ];
    lines.extend(COMPARED_FIGURES.iter().map(|figure| figure.describe(pairs)));
    lines
}
