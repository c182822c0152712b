//! Fits each figure over the sizes: a line `a + b N`, or a curve `a + b N + c N^2` where the figure grows faster than a
//! line. A figure that grows more slowly stays a line: extrapolated beyond the sizes measured, a falling curve would
//! promise what nobody has measured.
mod figures;

pub use figures::{figures, Figure};

use crate::results::Step;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A curve is used only where it leaves less than this share of the line's residual; else it fits noise.
const MAX_CURVE_RESIDUAL_RATIO: f64 = 0.25;
/// A curve is used only where its quadratic term is at least this share of the largest value, at the largest size.
const MIN_QUADRATIC_SHARE: f64 = 0.1;
/// A curve needs more points than this: through three a curve always goes.
const MAX_POINTS_OF_A_LINE: usize = 3;
/// Runs whose values at the largest size differ by more than this share give no slope.
pub const MAX_SPREAD: f64 = 0.35;
/// A fit that is further off than this share of the largest value gives no slope.
pub const MAX_RESIDUAL: f64 = 0.25;
/// Below this a largest value counts as this, so that shares of it are finite.
const MIN_LARGEST_VALUE: f64 = 1e-12;

/// A figure as a function of the number of dispatchers, and where it was measured.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Slope {
    /// The figure's unit.
    pub unit: String,
    /// The constant term.
    #[serde(rename = "a")]
    pub intercept: f64,
    /// The coefficient of N.
    #[serde(rename = "b")]
    pub linear: f64,
    /// The coefficient of N^2; 0: a line.
    #[serde(default, rename = "c")]
    pub quadratic: f64,
    /// Largest distance of a measured value from the fit, as a share of the largest value.
    pub residual: f64,
    /// Smallest size measured, dispatchers.
    #[serde(rename = "from")]
    pub min_dispatchers: usize,
    /// Largest size measured, dispatchers.
    #[serde(rename = "to")]
    pub max_dispatchers: usize,
    /// Largest value measured, in any run at any size.
    #[serde(default, rename = "most")]
    pub max_value: f64,
    /// How far the runs are apart at the largest size, as a share; none: one run only.
    #[serde(default)]
    pub spread: Option<f64>,
}

impl Slope {
    /// The figure at a size.
    pub fn value_at(&self, dispatchers: f64) -> f64 {
        self.intercept + self.linear * dispatchers + self.quadratic * dispatchers * dispatchers
    }

    /// Whether the runs agree, and the fit is close to the values measured.
    pub fn is_used(&self) -> bool {
        self.spread.is_none_or(|spread| spread <= MAX_SPREAD) && self.residual <= MAX_RESIDUAL
    }
}

/// The fits of a scale run, kept beside the capacity page.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Slopes {
    /// The commit that was measured.
    pub commit: String,
    /// When the run ended.
    pub date: String,
    /// The machine's cores and memory.
    pub machine: String,
    /// Length of a phase, seconds.
    pub seconds: f64,
    /// The sizes measured, dispatchers.
    pub steps: Vec<usize>,
    /// How often each size was measured.
    pub runs: usize,
    /// The fits by figure, `phase/what`.
    pub figures: BTreeMap<String, Slope>,
    /// Counts over all sizes, which have no slope.
    pub counts: BTreeMap<String, f64>,
}

/// A figure's value at one size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// The size.
    pub dispatchers: f64,
    /// The value.
    pub value: f64,
}

/// The coefficients of a polynomial, and the largest distance of a point from it.
struct Polynomial {
    intercept: f64,
    linear: f64,
    quadratic: f64,
    max_distance: f64,
}

impl Polynomial {
    fn constant(value: f64) -> Self {
        Self {
            intercept: value,
            linear: 0.0,
            quadratic: 0.0,
            max_distance: 0.0,
        }
    }

    /// The least-squares polynomial of this degree; none: there are too few points.
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
            max_distance: 0.0,
        };
        polynomial.max_distance = points
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

/// Fits one figure; none: there are no points.
pub fn fit(unit: &str, points: &[Point]) -> Option<Slope> {
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
        points.len() > MAX_POINTS_OF_A_LINE
            && curve.max_distance < MAX_CURVE_RESIDUAL_RATIO * line.max_distance
            && curve.quadratic * largest_size * largest_size > MIN_QUADRATIC_SHARE * largest
    });
    let best = curve.unwrap_or(line);
    Some(Slope {
        unit: unit.to_owned(),
        intercept: best.intercept,
        linear: best.linear,
        quadratic: best.quadratic,
        residual: best.max_distance / largest,
        min_dispatchers: sizes().fold(f64::INFINITY, f64::min) as usize,
        max_dispatchers: largest_size as usize,
        max_value: values().fold(f64::NEG_INFINITY, f64::max),
        spread: None,
    })
}

/// A figure's values in all runs, by size.
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

    /// The fit of the runs' means.
    fn fit(&self, runs: usize) -> Option<Slope> {
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
        Some(Slope {
            max_value: all_values.fold(f64::NEG_INFINITY, f64::max),
            spread: self.spread().filter(|_| runs > 1),
            ..fit(self.unit, &points)?
        })
    }

    /// How far the runs are apart, as a share, at the largest size: a larger fleet is extrapolated from there.
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

/// The fits of one or several runs over the same sizes, by figure.
pub fn slopes(runs: &[Vec<Step>]) -> BTreeMap<String, Slope> {
    let mut measured: BTreeMap<String, MeasuredValues> = BTreeMap::new();
    for step in runs.iter().flatten() {
        for figure in figures(step) {
            let values = measured
                .entry(figure.name)
                .or_insert_with(|| MeasuredValues::new(figure.unit));
            let of_size = values.by_size.entry(step.dispatchers).or_default();
            of_size.push(figure.value);
        }
    }
    let fitted = measured
        .into_iter()
        .filter_map(|(name, values)| Some((name, values.fit(runs.len())?)));
    fitted.collect()
}
