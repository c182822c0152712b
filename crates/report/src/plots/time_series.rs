//! Lines over the seconds of a run.
use super::{
    chart, draw_legend, draw_svg, legend_mark, plot_error, Chart, EARNED_COLOUR, HEIGHT_PX,
    OTHER_COLOUR, REQUESTED_COLOUR, WORST_COLOUR,
};
use crate::record::{FaultBand, Run, SecondTally};
use crate::ReportError;
use plotters::prelude::*;
use pointspindle_audit::service::ValueSum;

const FAULT_COLOUR: RGBColor = RGBColor(90, 90, 160);
/// The band of a fault is drawn at least this wide, in seconds.
const MIN_BAND_S: f64 = 0.3;
/// Length of the marked worst period, in seconds.
const WORST_PERIOD_S: f64 = 10.0;
/// Free space above the highest line, relative to it.
const HEADROOM: f64 = 1.05;

/// A line with a value for each second.
struct Line<'a> {
    name: &'a str,
    colour: RGBColor,
    values: Vec<f64>,
}

/// A period that is marked, in seconds since the start of the run.
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
    /// Draws the lines, faults as bands behind them, the worst period marked.
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
                WORST_COLOUR.mix(0.25).filled(),
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
        .legend(legend_mark(line.colour));
    Ok(())
}

fn worst_period(run: &Run) -> Period {
    let from_s = run.service.worst_10s_from_s;
    Period {
        from_s,
        to_s: (from_s + WORST_PERIOD_S).min(run.duration_s),
    }
}

fn values(run: &Run, value: fn(&ValueSum) -> f64) -> Vec<f64> {
    run.service.by_second.iter().map(value).collect()
}

fn tallies(run: &Run, value: fn(&SecondTally) -> f64) -> Vec<f64> {
    run.by_second.iter().map(value).collect()
}

/// Value requested and earned, by second.
pub(crate) fn value(run: &Run) -> Result<String, ReportError> {
    let lines = vec![
        Line {
            name: "asked for",
            colour: REQUESTED_COLOUR,
            values: values(run, |second| second.requested),
        },
        Line {
            name: "answered in time",
            colour: EARNED_COLOUR,
            values: values(run, |second| second.earned),
        },
    ];
    let plot = TimeSeriesPlot {
        unit: "worth a second",
        lines,
        faults: &run.faults,
        worst: Some(worst_period(run)),
        duration_s: run.duration_s,
    };
    plot.draw()
}

/// How requests ended, by second.
pub(crate) fn outcomes(run: &Run) -> Result<String, ReportError> {
    let lines = vec![
        Line {
            name: "served",
            colour: EARNED_COLOUR,
            values: tallies(run, |second| second.outcomes.served as f64),
        },
        Line {
            name: "refused",
            colour: WORST_COLOUR,
            values: tallies(run, |second| second.outcomes.rejected as f64),
        },
        Line {
            name: "failed",
            colour: OTHER_COLOUR,
            values: tallies(run, |second| second.outcomes.failed as f64),
        },
    ];
    let plot = TimeSeriesPlot {
        unit: "tries a second",
        lines,
        faults: &run.faults,
        worst: None,
        duration_s: run.duration_s,
    };
    plot.draw()
}

/// Latency of the requests that were served, by second.
pub(crate) fn latencies(run: &Run) -> Result<String, ReportError> {
    let lines = vec![
        Line {
            name: "p99",
            colour: OTHER_COLOUR,
            values: tallies(run, |second| second.p99_ms),
        },
        Line {
            name: "p50",
            colour: EARNED_COLOUR,
            values: tallies(run, |second| second.p50_ms),
        },
    ];
    let plot = TimeSeriesPlot {
        unit: "ms to the answer",
        lines,
        faults: &run.faults,
        worst: None,
        duration_s: run.duration_s,
    };
    plot.draw()
}

/// Value earned in two runs of one scenario.
pub(crate) fn value_of_two(a: &Run, b: &Run) -> Result<String, ReportError> {
    let lines = vec![
        Line {
            name: "asked for",
            colour: REQUESTED_COLOUR,
            values: values(a, |second| second.requested),
        },
        Line {
            name: "A, in time",
            colour: OTHER_COLOUR,
            values: values(a, |second| second.earned),
        },
        Line {
            name: "B, in time",
            colour: EARNED_COLOUR,
            values: values(b, |second| second.earned),
        },
    ];
    let plot = TimeSeriesPlot {
        unit: "worth a second",
        lines,
        faults: &a.faults,
        worst: None,
        duration_s: a.duration_s.max(b.duration_s),
    };
    plot.draw()
}
