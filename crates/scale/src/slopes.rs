//! Fits each figure over the fleet sizes: a line `a + b N`, or a curve `a + b N + c N^2` if the figure grows faster
//! than a line. A figure that grows more slowly is fitted by a line, because a curve that bends downwards could
//! underestimate it when extrapolated beyond the sizes measured.
mod figures;

pub use figures::{figures, Figure};

use crate::results::Step;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A curve is used only if its residual is less than this share of the line's residual; otherwise it fits noise.
const MAX_CURVE_RESIDUAL_RATIO: f64 = 0.25;
/// A curve is used only if its quadratic term at the largest size is more than this share of the largest value.
const MIN_QUADRATIC_SHARE: f64 = 0.1;
/// A curve is used only with more points than this, because a curve fits any three points exactly.
const MAX_POINTS_WITHOUT_CURVE: usize = 3;
/// A fit is not reliable if the runs' values at the largest size differ by more than this share of the largest of them.
pub const MAX_SPREAD: f64 = 0.35;
/// A fit is not reliable if its residual exceeds this share of the largest value.
pub const MAX_RESIDUAL: f64 = 0.25;
/// Lower bound of the largest value, so that shares of it are finite.
const MIN_LARGEST_VALUE: f64 = 1e-12;

/// The fit of a figure as a function of the number of dispatchers, and the range of sizes that it was measured at.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    /// Unit of the figure.
    pub unit: String,
    /// Constant term.
    #[serde(rename = "a")]
    pub intercept: f64,
    /// Coefficient of N.
    #[serde(rename = "b")]
    pub linear: f64,
    /// Coefficient of N^2; 0 for a line.
    #[serde(default, rename = "c")]
    pub quadratic: f64,
    /// Largest distance of a value (the mean of the runs) from the fit, as a share of the largest value.
    pub residual: f64,
    /// Smallest size measured, in dispatchers.
    #[serde(rename = "from")]
    pub min_dispatchers: usize,
    /// Largest size measured, in dispatchers.
    #[serde(rename = "to")]
    pub max_dispatchers: usize,
    /// Largest value measured, in any run at any size.
    #[serde(default, rename = "most")]
    pub max_value: f64,
    /// Difference between the runs' values at the largest size, as a share of the largest of them; `None` for a single
    /// run.
    #[serde(default)]
    pub spread: Option<f64>,
}

impl Fit {
    /// Returns the fitted value of the figure at a size.
    pub fn value_at(&self, dispatchers: f64) -> f64 {
        self.intercept + self.linear * dispatchers + self.quadratic * dispatchers * dispatchers
    }

    /// Whether the runs agree and the fit is close to the values measured.
    pub fn is_reliable(&self) -> bool {
        self.spread.is_none_or(|spread| spread <= MAX_SPREAD) && self.residual <= MAX_RESIDUAL
    }
}

/// The fits of a scale run, as stored in `slopes.json`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Fits {
    /// Commit that was measured.
    pub commit: String,
    /// Time at which the fits were made, as an HTTP date.
    pub date: String,
    /// Cores and memory of the machine.
    pub machine: String,
    /// Length of a phase, seconds.
    pub seconds: f64,
    /// Sizes measured, in dispatchers.
    pub steps: Vec<usize>,
    /// Number of times that each size was measured.
    pub runs: usize,
    /// The fits, by the name of the figure (`phase/metric`).
    pub figures: BTreeMap<String, Fit>,
    /// Counts over all sizes, which are not fitted.
    pub counts: BTreeMap<String, f64>,
}

/// The value of a figure at one size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// Number of dispatchers.
    pub dispatchers: f64,
    /// Value of the figure.
    pub value: f64,
}

/// A polynomial of at most the second degree, and the largest distance of a fitted point from it.
struct Polynomial {
    intercept: f64,
    linear: f64,
    quadratic: f64,
    max_residual: f64,
}

impl Polynomial {
    fn constant(value: f64) -> Self {
        Self {
            intercept: value,
            linear: 0.0,
            quadratic: 0.0,
            max_residual: 0.0,
        }
    }

    /// Returns the least-squares polynomial of this degree, or `None` if there are too few points.
    fn fit(points: &[Point], degree: usize) -> Option<Self> {
        if points.len() <= degree {
            return None;
        }
        let sizes: Vec<f64> = points.iter().map(|point| point.dispatchers).collect();
        let values: Vec<f64> = points.iter().map(|point| point.value).collect();
        let mut coefficients = polyfit_rs::polyfit_rs::polyfit(&sizes, &values, degree).ok()?;
        coefficients.resize(3, 0.0);
        let mut polynomial = Self {
            intercept: coefficients[0],
            linear: coefficients[1],
            quadratic: coefficients[2],
            max_residual: 0.0,
        };
        polynomial.max_residual = points
            .iter()
            .map(|point| polynomial.distance(point))
            .fold(0.0, f64::max);
        Some(polynomial)
    }

    fn distance(&self, point: &Point) -> f64 {
        let x = point.dispatchers;
        (point.value - self.intercept - self.linear * x - self.quadratic * x * x).abs()
    }
}

/// Fits one figure. Returns `None` if there are no points or the fit fails.
pub fn fit(unit: &str, points: &[Point]) -> Option<Fit> {
    let sizes = || points.iter().map(|point| point.dispatchers);
    let values = || points.iter().map(|point| point.value);
    let largest = values()
        .fold(0.0f64, |largest, value| largest.max(value.abs()))
        .max(MIN_LARGEST_VALUE);
    let largest_size = sizes().fold(0.0, f64::max);
    let line = match points {
        [] => return None,
        [point] => Polynomial::constant(point.value),
        _ => Polynomial::fit(points, 1)?,
    };
    let curve = Polynomial::fit(points, 2).filter(|curve| {
        points.len() > MAX_POINTS_WITHOUT_CURVE
            && curve.max_residual < MAX_CURVE_RESIDUAL_RATIO * line.max_residual
            && curve.quadratic * largest_size * largest_size > MIN_QUADRATIC_SHARE * largest
    });
    let best = curve.unwrap_or(line);
    Some(Fit {
        unit: unit.to_owned(),
        intercept: best.intercept,
        linear: best.linear,
        quadratic: best.quadratic,
        residual: best.max_residual / largest,
        min_dispatchers: sizes().fold(f64::INFINITY, f64::min) as usize,
        max_dispatchers: largest_size as usize,
        max_value: values().fold(f64::NEG_INFINITY, f64::max),
        spread: None,
    })
}

/// The values of a figure in all runs, by size.
struct MeasuredValues {
    unit: &'static str,
    by_size: BTreeMap<usize, Vec<f64>>,
}

impl MeasuredValues {
    fn new(unit: &'static str) -> Self {
        Self {
            unit,
            by_size: BTreeMap::new(),
        }
    }

    /// Returns the fit of the means over the runs.
    fn fit(&self, runs: usize) -> Option<Fit> {
        let mean = |values: &Vec<f64>| values.iter().sum::<f64>() / values.len() as f64;
        let points: Vec<Point> = self
            .by_size
            .iter()
            .map(|(size, values)| Point {
                dispatchers: *size as f64,
                value: mean(values),
            })
            .collect();
        let all_values = self.by_size.values().flatten().copied();
        Some(Fit {
            max_value: all_values.fold(f64::NEG_INFINITY, f64::max),
            spread: self.spread().filter(|_| runs > 1),
            ..fit(self.unit, &points)?
        })
    }

    /// Returns the difference between the runs' values at the largest size, as a share of the largest of them. The
    /// largest size decides because larger fleets are extrapolated from it.
    fn spread(&self) -> Option<f64> {
        let values = self.by_size.values().next_back()?.iter().copied();
        let smallest = values.clone().fold(f64::INFINITY, f64::min);
        let largest = values.fold(0.0, f64::max);
        if largest > 0.0 {
            Some((largest - smallest) / largest)
        } else {
            Some(0.0)
        }
    }
}

/// Returns the fits of one or several runs over the same sizes, by the name of the figure.
pub fn fit_runs(runs: &[Vec<Step>]) -> BTreeMap<String, Fit> {
    let mut measured: BTreeMap<String, MeasuredValues> = BTreeMap::new();
    for step in runs.iter().flatten() {
        for figure in figures(step) {
            let values = measured
                .entry(figure.name)
                .or_insert_with(|| MeasuredValues::new(figure.unit));
            let size_values = values.by_size.entry(step.dispatchers).or_default();
            size_values.push(figure.value);
        }
    }
    let fitted = measured
        .into_iter()
        .filter_map(|(name, values)| Some((name, values.fit(runs.len())?)));
    fitted.collect()
}
