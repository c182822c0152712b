//! Plots of values over the seconds of a run.
use super::{
    chart, draw_legend, draw_svg, legend_symbol, plot_error, Chart, CONTRAST_COLOUR, HEIGHT_PX,
    HIGHLIGHT_COLOUR, NEUTRAL_COLOUR, PRIMARY_COLOUR,
};
use crate::record::{FaultBand, Run, SecondTally};
use crate::ReportError;
use plotters::prelude::*;
use pointspindle_audit::service::ValueSum;

const FAULT_COLOUR: RGBColor = RGBColor(90, 90, 160);
/// Minimum width of the band of a fault, in seconds.
const MIN_BAND_S: f64 = 0.3;
/// Length of the highlighted worst period, in seconds.
const WORST_PERIOD_S: f64 = 10.0;
/// Top of the value axis, relative to the highest value.
const HEADROOM: f64 = 1.05;

/// A line with a value for each second.
struct Line<'a> {
    name: &'a str,
    colour: RGBColor,
    values: Vec<f64>,
}

/// A highlighted period, in seconds since the start of the run.
#[derive(Clone, Copy)]
struct Period {
    from_s: f64,
    to_s: f64,
}

struct TimeSeriesPlot<'a> {
    unit: &'a str,
    lines: Vec<Line<'a>>,
    faults: &'a [FaultBand],
    worst: Option<Period>,
    duration_s: f64,
}

impl TimeSeriesPlot<'_> {
    /// Draws the lines, with faults as bands behind them and the worst period highlighted.
    fn draw(&self) -> Result<String, ReportError> {
        draw_svg(HEIGHT_PX, |area| {
            let top = self.highest_value() * HEADROOM;
            let mut chart = chart(area, 0.0..self.duration_s, 0.0..top)?;
            self.draw_bands(&mut chart, top)?;
            chart
                .configure_mesh()
                .light_line_style(WHITE)
                .x_desc("s")
                .y_desc(self.unit)
                .draw()
                .map_err(plot_error)?;
            for line in &self.lines {
                draw_line(&mut chart, line)?;
            }
            draw_legend(&mut chart)
        })
    }

    fn highest_value(&self) -> f64 {
        self.lines
            .iter()
            .flat_map(|line| &line.values)
            .copied()
            .fold(0.0, f64::max)
            .max(1e-9)
    }

    fn draw_bands(&self, chart: &mut Chart, top: f64) -> Result<(), ReportError> {
        let fault_bands = self.faults.iter().map(|fault| {
            let to_s = fault.to_s.max(fault.from_s + MIN_BAND_S);
            Rectangle::new(
                [
                    (fault.from_s.min(self.duration_s), 0.0),
                    (to_s.min(self.duration_s), top),
                ],
                FAULT_COLOUR.mix(0.1).filled(),
            )
        });
        chart.draw_series(fault_bands).map_err(plot_error)?;
        if let Some(worst) = self.worst {
            let mark = Rectangle::new(
                [(worst.from_s, 0.0), (worst.to_s, top)],
                HIGHLIGHT_COLOUR.mix(0.25).filled(),
            );
            chart.draw_series([mark]).map_err(plot_error)?;
        }
        Ok(())
    }
}

fn draw_line(chart: &mut Chart, line: &Line) -> Result<(), ReportError> {
    let points = line
        .values
        .iter()
        .enumerate()
        .map(|(second, value)| (second as f64 + 0.5, *value));
    chart
        .draw_series(LineSeries::new(points, line.colour.stroke_width(2)))
        .map_err(plot_error)?
        .label(line.name)
        .legend(legend_symbol(line.colour));
    Ok(())
}

fn worst_period(run: &Run) -> Period {
    let from_s = run.service.worst_10s_from_s;
    Period {
        from_s,
        to_s: (from_s + WORST_PERIOD_S).min(run.duration_s),
    }
}

fn value_series(run: &Run, value: fn(&ValueSum) -> f64) -> Vec<f64> {
    run.service.by_second.iter().map(value).collect()
}

fn tally_series(run: &Run, value: fn(&SecondTally) -> f64) -> Vec<f64> {
    run.by_second.iter().map(value).collect()
}

/// Plots the value requested and the value earned by second.
pub(crate) fn value(run: &Run) -> Result<String, ReportError> {
    let lines = vec![
        Line {
            name: "requested",
            colour: NEUTRAL_COLOUR,
            values: value_series(run, |second| second.requested),
        },
        Line {
            name: "served in time",
            colour: PRIMARY_COLOUR,
            values: value_series(run, |second| second.earned),
        },
    ];
    let plot = TimeSeriesPlot {
        unit: "value per second",
        lines,
        faults: &run.faults,
        worst: Some(worst_period(run)),
        duration_s: run.duration_s,
    };
    plot.draw()
}

/// Plots the outcomes of requests by second.
pub(crate) fn outcomes(run: &Run) -> Result<String, ReportError> {
    let lines = vec![
        Line {
            name: "served",
            colour: PRIMARY_COLOUR,
            values: tally_series(run, |second| second.outcomes.served as f64),
        },
        Line {
            name: "rejected",
            colour: HIGHLIGHT_COLOUR,
            values: tally_series(run, |second| second.outcomes.rejected as f64),
        },
        Line {
            name: "failed",
            colour: CONTRAST_COLOUR,
            values: tally_series(run, |second| second.outcomes.failed as f64),
        },
    ];
    let plot = TimeSeriesPlot {
        unit: "requests per second",
        lines,
        faults: &run.faults,
        worst: None,
        duration_s: run.duration_s,
    };
    plot.draw()
}

/// Plots the latency of served requests by second.
pub(crate) fn latencies(run: &Run) -> Result<String, ReportError> {
    let lines = vec![
        Line {
            name: "p99",
            colour: CONTRAST_COLOUR,
            values: tally_series(run, |second| second.p99_ms),
        },
        Line {
            name: "p50",
            colour: PRIMARY_COLOUR,
            values: tally_series(run, |second| second.p50_ms),
        },
    ];
    let plot = TimeSeriesPlot {
        unit: "latency, ms",
        lines,
        faults: &run.faults,
        worst: None,
        duration_s: run.duration_s,
    };
    plot.draw()
}

/// Plots the value earned by second in two runs of one scenario.
pub(crate) fn value_comparison(a: &Run, b: &Run) -> Result<String, ReportError> {
    let lines = vec![
        Line {
            name: "requested",
            colour: NEUTRAL_COLOUR,
            values: value_series(a, |second| second.requested),
        },
        Line {
            name: "A, served in time",
            colour: CONTRAST_COLOUR,
            values: value_series(a, |second| second.earned),
        },
        Line {
            name: "B, served in time",
            colour: PRIMARY_COLOUR,
            values: value_series(b, |second| second.earned),
        },
    ];
    let plot = TimeSeriesPlot {
        unit: "value per second",
        lines,
        faults: &a.faults,
        worst: None,
        duration_s: a.duration_s.max(b.duration_s),
    };
    plot.draw()
}
