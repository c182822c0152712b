//! Two ways on the same seeds: the paired difference, its noise, and what that says in words.
use serde::{Deserialize, Serialize};

/// One day under both ways.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pair {
    pub day: String,
    pub a: Figures,
    pub b: Figures,
}

/// What is compared of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Figures {
    pub service: f64,
    pub worst_10s: f64,
    pub goal: f64,
    pub fallen: usize,
    pub breaches: usize,
    /// The highest load of a warm cache, and of a parent, in the seconds after a cold start.
    #[serde(default)]
    pub neighbours: f64,
    #[serde(default)]
    pub parents: f64,
}

impl Figures {
    pub fn of(run: &crate::record::Run) -> Self {
        let s = &run.service;
        let (fallen, breaches) = (run.fallen, run.breaches());
        let (neighbours, parents) = run.aftermath();
        Self {
            service: s.service,
            worst_10s: s.worst_10s,
            goal: s.goal,
            fallen,
            breaches,
            neighbours,
            parents,
        }
    }
}

/// The mean of paired differences, b - a.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Difference {
    pub mean: f64,
    /// Standard error of the mean; none from fewer than two days.
    pub error: Option<f64>,
    pub days: usize,
}

impl Difference {
    pub fn of(pairs: &[Pair], figure: impl Fn(&Figures) -> f64) -> Self {
        let each: Vec<f64> = pairs.iter().map(|p| figure(&p.b) - figure(&p.a)).collect();
        let n = each.len();
        let mean = each.iter().sum::<f64>() / n.max(1) as f64;
        let error = (n > 1).then(|| {
            let square = each.iter().map(|d| (d - mean).powi(2)).sum::<f64>() / (n - 1) as f64;
            (square / n as f64).sqrt()
        });
        Self {
            mean,
            error,
            days: n,
        }
    }

    /// Twice the standard error is taken for the noise: some one comparison in twenty passes it by chance.
    pub fn verdict(&self) -> Verdict {
        match self.error {
            None => Verdict::TooFew,
            Some(_) if self.mean == 0.0 => Verdict::Same,
            Some(error) if self.mean.abs() <= 2.0 * error => Verdict::Noise,
            Some(_) if self.mean > 0.0 => Verdict::Better,
            Some(_) => Verdict::Worse,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    Better,
    Worse,
    /// A difference that chance gives as well.
    Noise,
    /// Not one day came out otherwise.
    Same,
    TooFew,
}

impl Verdict {
    /// Of a figure of which less is better.
    pub fn of_a_load(self) -> Self {
        match self {
            Self::Better => Self::Worse,
            Self::Worse => Self::Better,
            other => other,
        }
    }

    pub fn word(self) -> &'static str {
        match self {
            Self::Better => "B is better",
            Self::Worse => "B is worse",
            Self::Noise => "no difference beyond noise",
            Self::Same => "the same on every day",
            Self::TooFew => "too few days to tell",
        }
    }
}

/// The whole comparison in words, a line each; rules first.
pub fn words(pairs: &[Pair]) -> Vec<String> {
    let sum = |of: &dyn Fn(&Pair) -> usize| pairs.iter().map(of).sum::<usize>();
    let broke = |of: &dyn Fn(&Pair) -> usize| pairs.iter().filter(|p| of(p) > 0).count();
    let mut out = vec![format!(
        "rules: A broke some on {} of {n} days, B on {} of {n}",
        broke(&|p| p.a.breaches),
        broke(&|p| p.b.breaches),
        n = pairs.len()
    )];
    out.push(format!(
        "hosts fallen over while cold: A {}, B {}",
        sum(&|p| p.a.fallen),
        sum(&|p| p.b.fallen)
    ));
    type Figure = (&'static str, fn(&Figures) -> f64);
    let figures: [Figure; 5] = [
        ("service", |f| f.service),
        ("worst 10 s", |f| f.worst_10s),
        ("goal", |f| f.goal),
        ("highest load of warm caches after a restart", |f| {
            f.neighbours
        }),
        ("... of parents", |f| f.parents),
    ];
    // Of a load less is better.
    for (n, (name, figure)) in figures.into_iter().enumerate() {
        let d = Difference::of(pairs, figure);
        let mean = |of: &dyn Fn(&Pair) -> f64| {
            pairs.iter().map(of).sum::<f64>() / pairs.len().max(1) as f64
        };
        let error = d.error.map_or("-".into(), |e| format!("{e:.4}"));
        out.push(format!(
            "{name}: A {:.4}, B {:.4}, difference {:+.4} (standard error {error}): {}",
            mean(&|p| figure(&p.a)),
            mean(&|p| figure(&p.b)),
            d.mean,
            if n < 3 {
                d.verdict()
            } else {
                d.verdict().of_a_load()
            }
            .word()
        ));
    }
    out
}

#[cfg(test)]
mod tests {
    use super::*;

    fn pairs(differences: &[f64]) -> Vec<Pair> {
        let figures = |service| Figures {
            service,
            ..Default::default()
        };
        let pair = |(n, d): (usize, &f64)| Pair {
            day: n.to_string(),
            a: figures(0.5),
            b: figures(0.5 + d),
        };
        differences.iter().enumerate().map(pair).collect()
    }

    #[test]
    fn a_difference_counts_only_beyond_its_noise() {
        let verdict = |d: &[f64]| Difference::of(&pairs(d), |f| f.service).verdict();
        assert_eq!(verdict(&[0.1, 0.1, 0.12, 0.08]), Verdict::Better);
        assert_eq!(verdict(&[-0.1, -0.1, -0.12, -0.08]), Verdict::Worse);
        assert_eq!(verdict(&[0.1, -0.1, 0.12, -0.09]), Verdict::Noise);
        assert_eq!(verdict(&[0.0, 0.0]), Verdict::Same);
        assert_eq!(verdict(&[0.3]), Verdict::TooFew);
    }

    #[test]
    fn the_error_is_that_of_the_mean() {
        let d = Difference::of(&pairs(&[0.1, 0.2, 0.3, 0.4]), |f| f.service);
        assert!(
            (d.mean - 0.25).abs() < 1e-9 && (d.error.unwrap() - 0.0645497).abs() < 1e-6,
            "{d:?}"
        );
    }
}
