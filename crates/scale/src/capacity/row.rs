//! A row of the capacity page: a figure, its fit, its values at the target's size and at twice that size, its budget,
//! and the basis of the values.
use crate::slopes::{Fit, Fits, MAX_RESIDUAL};

/// Header of each table.
pub(super) const TABLE_HEAD: &str =
    "| figure | fit | at N | at 2 N | budget | budget used | basis | code and tests |
\
     | --- | --- | --- | --- | --- | --- | --- | --- |
";

/// The source of a row's figure.
#[derive(Clone, Copy, Debug)]
pub(super) enum Source {
    /// The figure is measured by the scale run.
    Run(MeasuredFigure),
    /// A mechanism guarantees the property, as its tests show. The text describes the mechanism.
    Guaranteed(&'static str),
    /// The figure is not measured yet.
    NotMeasured,
}

/// A figure of the scale run, with its budget if it has one.
#[derive(Clone, Copy, Debug)]
pub(super) struct MeasuredFigure {
    /// Name of the figure in [`Fits::figures`].
    pub(super) name: &'static str,
    pub(super) unit: &'static str,
    pub(super) budget: Option<f64>,
}

/// A row of a table on the capacity page.
#[derive(Clone, Copy, Debug)]
pub(super) struct Row {
    pub(super) label: &'static str,
    pub(super) source: Source,
    /// The source files and tests that the figure depends on.
    pub(super) evidence: &'static str,
}

pub(super) fn measured(
    label: &'static str,
    name: &'static str,
    unit: &'static str,
    budget: Option<f64>,
    evidence: &'static str,
) -> Row {
    Row {
        label,
        source: Source::Run(MeasuredFigure { name, unit, budget }),
        evidence,
    }
}

pub(super) fn not_measured(label: &'static str, evidence: &'static str) -> Row {
    Row {
        label,
        source: Source::NotMeasured,
        evidence,
    }
}

impl Row {
    /// Returns the row as a line of its table, for a fleet of `dispatchers`.
    pub(super) fn to_markdown(self, slopes: &Fits, dispatchers: f64) -> String {
        let label = self.label;
        let evidence = self.evidence;
        let figure = match self.source {
            Source::Guaranteed(mechanism) => {
                return format!("| {label} | | | | | | {mechanism} | {evidence} |\n");
            }
            Source::Run(figure) => Some(figure),
            Source::NotMeasured => None,
        };
        let slope = figure.and_then(|figure| slopes.figures.get(figure.name));
        match (figure, slope) {
            (Some(figure), Some(slope)) => self.measured_row(figure, slope, dispatchers),
            _ => format!("| {label} | | *not measured* | | | | *not measured* | {evidence} |\n"),
        }
    }

    fn measured_row(self, figure: MeasuredFigure, slope: &Fit, dispatchers: f64) -> String {
        let unit = figure.unit;
        let mut formula = String::new();
        let mut at_double = String::new();
        let mut value = slope.max_value;
        if slope.is_reliable() {
            formula = format_fit(slope);
            at_double = format_number(slope.value_at(2.0 * dispatchers));
            value = slope.value_at(dispatchers);
        }
        let mut budget = String::new();
        let mut used = String::new();
        if let Some(limit) = figure.budget {
            budget = format!("{} {unit}", format_number(limit));
            used = format_used(value, limit);
        }
        format!(
            "| {} | {formula} | {} {unit} | {at_double} | {budget} | {used} | {} | {} |\n",
            self.label,
            format_number(value),
            basis(slope, dispatchers),
            self.evidence
        )
    }
}

pub(super) fn format_number(value: f64) -> String {
    match value.abs() {
        v if v >= 100.0 => format!("{value:.0}"),
        v if v >= 1.0 => format!("{value:.1}"),
        v if v >= 0.01 => format!("{value:.3}"),
        _ => format!("{value:.5}"),
    }
}

fn format_used(value: f64, limit: f64) -> String {
    if value > limit {
        format!("**{:.1} times the budget**", value / limit)
    } else {
        format!("{:.1}%", 100.0 * value / limit)
    }
}

fn format_fit(slope: &Fit) -> String {
    let quadratic = match slope.quadratic {
        0.0 => String::new(),
        coefficient => format!(" {coefficient:+.2e} N^2"),
    };
    format!(
        "{:.3e} {:+.2e} N{quadratic}, residual {:.0}%",
        slope.intercept,
        slope.linear,
        100.0 * slope.residual
    )
}

/// Describes the basis of the value shown for a fleet of `dispatchers`.
fn basis(slope: &Fit, dispatchers: f64) -> String {
    if slope.residual > MAX_RESIDUAL {
        let residual_percent = 100.0 * slope.residual;
        return format!("residual {residual_percent:.0}%, fit not used; largest value measured");
    }
    let spread_percent = slope.spread.map(|spread| 100.0 * spread);
    if let Some(spread_percent) = spread_percent.filter(|_| !slope.is_reliable()) {
        return format!(
            "runs differ by {spread_percent:.0}%, fit not used; largest value measured"
        );
    }
    let largest_size = slope.max_dispatchers as f64;
    if dispatchers > largest_size {
        return format!("extrapolated x{:.1}", dispatchers / largest_size);
    }
    match spread_percent {
        None => "measured, one run".to_owned(),
        Some(spread_percent) => format!("measured, runs differ by {spread_percent:.0}%"),
    }
}
