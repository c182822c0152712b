//! One row of the capacity page: a figure, its fit, its value at the target, its budget, and how it is known.
use crate::slopes::{Slope, Slopes, MAX_RESIDUAL};

/// The head of each table.
pub(super) const TABLE_HEAD: &str =
    "| figure | slope | at N | at 2 N | budget | used | known by | carried by |
\
     | --- | --- | --- | --- | --- | --- | --- | --- |
";

/// Where a row's figure comes from.
#[derive(Clone, Copy, Debug)]
pub(super) enum Source {
    /// A figure of the scale run.
    Run(MeasuredFigure),
    /// Not a figure of the run: a mechanism guarantees it, as its tests show.
    Guaranteed(&'static str),
    /// Not measured yet.
    NotMeasured,
}

/// A figure of the scale run, and its budget if it has one.
#[derive(Clone, Copy, Debug)]
pub(super) struct MeasuredFigure {
    /// Its name in [`Slopes::figures`].
    pub(super) name: &'static str,
    pub(super) unit: &'static str,
    pub(super) budget: Option<f64>,
}

/// A row.
#[derive(Clone, Copy, Debug)]
pub(super) struct Row {
    pub(super) what: &'static str,
    pub(super) source: Source,
    /// The source files and tests that it rests on.
    pub(super) carried_by: &'static str,
}

pub(super) fn measured(
    what: &'static str,
    name: &'static str,
    unit: &'static str,
    budget: Option<f64>,
    carried_by: &'static str,
) -> Row {
    Row {
        what,
        source: Source::Run(MeasuredFigure { name, unit, budget }),
        carried_by,
    }
}

pub(super) fn not_measured(what: &'static str, carried_by: &'static str) -> Row {
    Row {
        what,
        source: Source::NotMeasured,
        carried_by,
    }
}

impl Row {
    /// The row as a line of its table, for a fleet of `dispatchers`.
    pub(super) fn to_markdown(self, slopes: &Slopes, dispatchers: f64) -> String {
        let what = self.what;
        let carried_by = self.carried_by;
        let figure = match self.source {
            Source::Guaranteed(how) => {
                return format!("| {what} | | | | | | {how} | {carried_by} |\n");
            }
            Source::Run(figure) => Some(figure),
            Source::NotMeasured => None,
        };
        let slope = figure.and_then(|figure| slopes.figures.get(figure.name));
        match (figure, slope) {
            (Some(figure), Some(slope)) => self.measured_row(figure, slope, dispatchers),
            _ => format!("| {what} | | *not measured* | | | | *not measured* | {carried_by} |\n"),
        }
    }

    fn measured_row(self, figure: MeasuredFigure, slope: &Slope, dispatchers: f64) -> String {
        let unit = figure.unit;
        let mut formula = String::new();
        let mut at_double = String::new();
        let mut value = slope.max_value;
        if slope.is_used() {
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
            self.what,
            format_number(value),
            known_by(slope, dispatchers),
            self.carried_by
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
        format!("**{:.1} times over**", value / limit)
    } else {
        format!("{:.1}%", 100.0 * value / limit)
    }
}

fn format_fit(slope: &Slope) -> String {
    let quadratic = match slope.quadratic {
        0.0 => String::new(),
        coefficient => format!(" {coefficient:+.2e} N^2"),
    };
    format!(
        "{:.3e} {:+.2e} N{quadratic}, {:.0}% off",
        slope.intercept,
        slope.linear,
        100.0 * slope.residual
    )
}

/// How the figure at this size is known.
fn known_by(slope: &Slope, dispatchers: f64) -> String {
    if slope.residual > MAX_RESIDUAL {
        let off = 100.0 * slope.residual;
        return format!("no line: {off:.0}% off; largest value measured");
    }
    let apart = slope.spread.map(|spread| 100.0 * spread);
    if let Some(apart) = apart.filter(|_| !slope.is_used()) {
        return format!("runs {apart:.0}% apart, slope not used; largest value measured");
    }
    let largest_size = slope.max_dispatchers as f64;
    if dispatchers > largest_size {
        return format!("extrapolated x{:.1}", dispatchers / largest_size);
    }
    match apart {
        None => "measured, one run".to_owned(),
        Some(apart) => format!("measured, runs {apart:.0}% apart"),
    }
}
