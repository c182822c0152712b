//! Two variants on the same seeds: the paired difference, its noise, and the conclusion.
use crate::record::Run;
use serde::{Deserialize, Serialize};

/// A difference within this many standard errors is taken for noise: about one comparison in twenty passes by chance.
const NOISE_STANDARD_ERRORS: f64 = 2.0;

/// One run under both variants.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pair {
    /// Scenario and seed.
    #[serde(rename = "day")]
    pub run: String,
    /// Figures of the first variant.
    pub a: Figures,
    /// Figures of the second variant.
    pub b: Figures,
}

/// What is compared of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Figures {
    /// Value earned over value requested.
    pub service: f64,
    /// The same over the worst 10 s.
    pub worst_10s: f64,
    /// The weighted objective.
    pub goal: f64,
    /// Hosts that crashed by overload during their warm-up.
    #[serde(rename = "fallen")]
    pub cold_crashes: usize,
    /// Violations of all rules.
    #[serde(rename = "breaches")]
    pub violations: usize,
    /// Highest load of a warm cache in the seconds after a restart.
    #[serde(default)]
    #[serde(rename = "neighbours")]
    pub peak_cache_load: f64,
    /// Highest load of a parent in the seconds after a restart.
    #[serde(default)]
    #[serde(rename = "parents")]
    pub peak_parent_load: f64,
}

impl Figures {
    /// The figures of a run.
    pub fn of(run: &Run) -> Self {
        let (cache_load, parent_load) = run.peak_loads_after_restarts();
        Self {
            service: run.service.service,
            worst_10s: run.service.worst_10s,
            goal: run.service.goal,
            cold_crashes: run.cold_crashes,
            violations: run.violations(),
            peak_cache_load: cache_load,
            peak_parent_load: parent_load,
        }
    }
}

/// The mean of paired differences, b - a.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Difference {
    /// The mean.
    pub mean: f64,
    /// Standard error of the mean; none from fewer than two pairs.
    #[serde(rename = "error")]
    pub standard_error: Option<f64>,
    /// Number of pairs.
    #[serde(rename = "days")]
    pub pairs: usize,
}

impl Difference {
    /// The difference of a figure.
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

    /// What the difference says of a figure of which more is better.
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

/// What a comparison says of the second variant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// It is better.
    Better,
    /// It is worse.
    Worse,
    /// The difference is one that chance gives as well.
    Noise,
    /// No run differs.
    Same,
    /// There are too few runs.
    TooFew,
}

impl Verdict {
    /// The verdict for a figure of which less is better.
    pub fn for_less_is_better(self) -> Self {
        match self {
            Self::Better => Self::Worse,
            Self::Worse => Self::Better,
            other => other,
        }
    }

    /// The verdict as text.
    pub fn text(self) -> &'static str {
        match self {
            Self::Better => "B is better",
            Self::Worse => "B is worse",
            Self::Noise => "no difference beyond noise",
            Self::Same => "the same on every day",
            Self::TooFew => "too few days to tell",
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
        value: |figures| figures.goal,
    },
    ComparedFigure {
        name: "highest load of warm caches after a restart",
        preference: Preference::Less,
        value: |figures| figures.peak_cache_load,
    },
    ComparedFigure {
        name: "... of parents",
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

/// The whole comparison as text, a line each; rules first.
pub fn describe(pairs: &[Pair]) -> Vec<String> {
    let runs_with_violations =
        |variant: fn(&Pair) -> &Figures| pairs.iter().filter(|p| variant(p).violations > 0).count();
    let cold_crashes = |variant: fn(&Pair) -> &Figures| {
        pairs.iter().map(|p| variant(p).cold_crashes).sum::<usize>()
    };
    let mut lines = vec![
        format!(
            "rules: A broke some on {} of {n} days, B on {} of {n}",
            runs_with_violations(|pair| &pair.a),
            runs_with_violations(|pair| &pair.b),
            n = pairs.len()
        ),
        format!(
            "hosts fallen over while cold: A {}, B {}",
            cold_crashes(|pair| &pair.a),
            cold_crashes(|pair| &pair.b)
        ),
    ];
    lines.extend(COMPARED_FIGURES.iter().map(|figure| figure.describe(pairs)));
    lines
}
