//! Plots as SVG, to stand inside a page: nothing is loaded from outside.
use crate::record::{Band, Host, Run};
use crate::ReportError;
use plotters::coord::types::RangedCoordf64;
use plotters::coord::Shift;
use plotters::prelude::*;
use pointspindle_testbed::idle::Step;
use std::ops::Range;

const WIDE: u32 = 1000;
const ASKED: RGBColor = RGBColor(190, 190, 190);
const EARNED: RGBColor = RGBColor(40, 110, 60);
const OTHER: RGBColor = RGBColor(180, 70, 30);
const WORST: RGBColor = RGBColor(220, 190, 60);

fn failed<E: std::fmt::Display>(e: E) -> ReportError {
    ReportError::Plot(e.to_string())
}

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type Chart<'a, 'b> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

/// Axes with room for their words: the same in every plot.
fn chart<'a, 'b>(
    area: &Area<'b>,
    x: Range<f64>,
    y: Range<f64>,
) -> Result<Chart<'a, 'b>, ReportError> {
    let mut builder = ChartBuilder::on(area);
    builder
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(52);
    builder.build_cartesian_2d(x, y).map_err(failed)
}

/// A line by second.
pub struct Line<'a> {
    pub name: &'a str,
    pub colour: RGBColor,
    pub values: Vec<f64>,
}

pub struct Lines<'a> {
    pub unit: &'a str,
    pub lines: Vec<Line<'a>>,
    pub bands: &'a [Band],
    /// From and to, seconds.
    pub worst: Option<(f64, f64)>,
    pub seconds: f64,
}

/// Lines over time, troubles as bands behind them, the worst stretch marked.
pub fn lines(plot: &Lines) -> Result<String, ReportError> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (WIDE, 260)).into_drawing_area();
        area.fill(&WHITE).map_err(failed)?;
        let most = plot
            .lines
            .iter()
            .flat_map(|l| &l.values)
            .copied()
            .fold(0.0, f64::max)
            .max(1e-9)
            * 1.05;
        let mut chart = chart(&area, 0.0..plot.seconds, 0.0..most)?;
        let bands = plot.bands.iter().map(|b| {
            let to = b.to_s.max(b.from_s + 0.3).min(plot.seconds);
            Rectangle::new(
                [(b.from_s.min(plot.seconds), 0.0), (to, most)],
                RGBColor(90, 90, 160).mix(0.1).filled(),
            )
        });
        chart.draw_series(bands).map_err(failed)?;
        if let Some((from, to)) = plot.worst {
            let mark = Rectangle::new([(from, 0.0), (to, most)], WORST.mix(0.25).filled());
            chart.draw_series([mark]).map_err(failed)?;
        }
        let mesh = &mut chart.configure_mesh();
        mesh.light_line_style(WHITE)
            .x_desc("s")
            .y_desc(plot.unit)
            .draw()
            .map_err(failed)?;
        for line in &plot.lines {
            let points = line
                .values
                .iter()
                .enumerate()
                .map(|(n, v)| (n as f64 + 0.5, *v));
            let colour = line.colour;
            chart
                .draw_series(LineSeries::new(points, colour.stroke_width(2)))
                .map_err(failed)?
                .label(line.name)
                .legend(move |(x, y)| {
                    PathElement::new([(x, y), (x + 14, y)], colour.stroke_width(2))
                });
        }
        let legend = &mut chart.configure_series_labels();
        legend
            .background_style(WHITE.mix(0.8))
            .border_style(ASKED)
            .draw()
            .map_err(failed)?;
        area.present().map_err(failed)?;
    }
    Ok(svg)
}

/// The first and last words of a colour scale are in its legend: load over what the link carries.
fn heat(load: f32) -> RGBColor {
    let x = (load / 1.5).clamp(0.0, 1.0);
    let mix = |a: f32, b: f32| (a + (b - a) * x) as u8;
    RGBColor(mix(245.0, 170.0), mix(245.0, 30.0), mix(240.0, 20.0))
}

/// Hosts as rows, seconds as columns; a black mark where a process ended, a blue one where it began.
pub fn heat_map(hosts: &[Host], seconds: f64) -> Result<String, ReportError> {
    let row = if hosts.len() > 60 { 5 } else { 12 };
    let height = 50 + row * hosts.len().max(1) as u32;
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (WIDE, height)).into_drawing_area();
        area.fill(&WHITE).map_err(failed)?;
        let count = hosts.len() as f64;
        let mut chart = chart(&area, 0.0..seconds, 0.0..count.max(1.0))?;
        let mesh = &mut chart.configure_mesh();
        mesh.disable_mesh()
            .x_desc("s")
            .y_desc("host")
            .draw()
            .map_err(failed)?;
        let cells = hosts.iter().enumerate().flat_map(|(n, host)| {
            let y = count - n as f64 - 1.0;
            host.load
                .iter()
                .enumerate()
                .filter(|(_, load)| **load > 0.0)
                .map(move |(s, load)| {
                    let s = s as f64;
                    Rectangle::new([(s, y), (s + 1.0, y + 0.95)], heat(*load).filled())
                })
        });
        chart.draw_series(cells).map_err(failed)?;
        for (colour, of) in [(BLACK, true), (BLUE, false)] {
            let marks = hosts.iter().enumerate().flat_map(|(n, host)| {
                let y = count - n as f64 - 1.0;
                let at = if of { &host.fell } else { &host.started };
                at.iter()
                    .map(move |s| Rectangle::new([(*s, y), (*s + 0.25, y + 0.95)], colour.filled()))
            });
            chart.draw_series(marks).map_err(failed)?;
        }
        area.present().map_err(failed)?;
    }
    Ok(svg)
}

fn worst(run: &Run) -> Option<(f64, f64)> {
    let from = run.service.worst_from_s;
    Some((from, (from + 10.0).min(run.seconds)))
}

/// Lines over one run, its troubles behind them.
fn of_run(
    run: &Run,
    unit: &str,
    worst: Option<(f64, f64)>,
    of: Vec<Line>,
) -> Result<String, ReportError> {
    lines(&Lines {
        unit,
        lines: of,
        bands: &run.bands,
        worst,
        seconds: run.seconds,
    })
}

pub fn worth(run: &Run) -> Result<String, ReportError> {
    let asked = run.service.by_second.iter().map(|s| s.requested).collect();
    let earned = run.service.by_second.iter().map(|s| s.earned).collect();
    let of = vec![
        Line {
            name: "asked for",
            colour: ASKED,
            values: asked,
        },
        Line {
            name: "answered in time",
            colour: EARNED,
            values: earned,
        },
    ];
    of_run(run, "worth a second", worst(run), of)
}

pub fn outcomes(run: &Run) -> Result<String, ReportError> {
    let of = |figure: &dyn Fn(&crate::record::Second) -> u64| {
        run.by_second
            .iter()
            .map(|s| figure(s) as f64)
            .collect::<Vec<f64>>()
    };
    let of = vec![
        Line {
            name: "served",
            colour: EARNED,
            values: of(&|s| s.served),
        },
        Line {
            name: "refused",
            colour: WORST,
            values: of(&|s| s.refused),
        },
        Line {
            name: "failed",
            colour: OTHER,
            values: of(&|s| s.failed),
        },
    ];
    of_run(run, "tries a second", None, of)
}

pub fn times(run: &Run) -> Result<String, ReportError> {
    let p99 = run.by_second.iter().map(|s| s.p99_ms).collect();
    let p50 = run.by_second.iter().map(|s| s.p50_ms).collect();
    let of = vec![
        Line {
            name: "p99",
            colour: OTHER,
            values: p99,
        },
        Line {
            name: "p50",
            colour: EARNED,
            values: p50,
        },
    ];
    of_run(run, "ms to the answer", None, of)
}

/// Two runs of one day, worth answered in time over each other.
pub fn two(a: &Run, b: &Run) -> Result<String, ReportError> {
    let earned = |run: &Run| {
        run.service
            .by_second
            .iter()
            .map(|s| s.earned)
            .collect::<Vec<f64>>()
    };
    let asked = a.service.by_second.iter().map(|s| s.requested).collect();
    let lines_ = vec![
        Line {
            name: "asked for",
            colour: ASKED,
            values: asked,
        },
        Line {
            name: "A, in time",
            colour: OTHER,
            values: earned(a),
        },
        Line {
            name: "B, in time",
            colour: EARNED,
            values: earned(b),
        },
    ];
    let seconds = a.seconds.max(b.seconds);
    lines(&Lines {
        unit: "worth a second",
        lines: lines_,
        bands: &a.bands,
        worst: None,
        seconds,
    })
}

/// Means of ways with the span of their days.
pub fn ways(rows: &[crate::sweep::Row]) -> Result<String, ReportError> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (WIDE, 260)).into_drawing_area();
        area.fill(&WHITE).map_err(failed)?;
        let least = rows.iter().map(|r| r.least).fold(1.0, f64::min) - 0.02;
        let mut chart = chart(&area, 0.0..rows.len() as f64, least.max(0.0)..1.01)?;
        let mesh = &mut chart.configure_mesh();
        mesh.light_line_style(WHITE)
            .x_labels(1)
            .x_desc("ways, in the table's order")
            .y_desc("service");
        mesh.draw().map_err(failed)?;
        let spans = rows.iter().enumerate().map(|(n, r)| {
            let x = n as f64 + 0.5;
            PathElement::new([(x, r.least), (x, r.most)], ASKED.stroke_width(6))
        });
        chart.draw_series(spans).map_err(failed)?;
        let means = rows
            .iter()
            .enumerate()
            .map(|(n, r)| Circle::new((n as f64 + 0.5, r.service), 5, EARNED.filled()));
        chart.draw_series(means).map_err(failed)?;
        area.present().map_err(failed)?;
    }
    Ok(svg)
}

/// A figure against the number of idle connections, a line for each door.
pub fn against(
    all: &[Vec<Step>],
    unit: &str,
    of: impl Fn(&Step) -> f64,
) -> Result<String, ReportError> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (WIDE, 260)).into_drawing_area();
        area.fill(&WHITE).map_err(failed)?;
        let points = || all.iter().flatten();
        let far = points().map(|s| s.idle as f64).fold(1.0, f64::max);
        let high = points().map(&of).fold(1e-9, f64::max) * 1.1;
        let mut chart = chart(&area, 0.0..far, 0.0..high)?;
        let mesh = &mut chart.configure_mesh();
        mesh.light_line_style(WHITE)
            .x_desc("idle connections")
            .y_desc(unit)
            .draw()
            .map_err(failed)?;
        for (steps, colour) in all.iter().zip([EARNED, OTHER].into_iter().cycle()) {
            let Some(first) = steps.first() else { continue };
            let line: Vec<(f64, f64)> = steps.iter().map(|s| (s.idle as f64, of(s))).collect();
            chart
                .draw_series(LineSeries::new(line, colour.stroke_width(2)).point_size(3))
                .map_err(failed)?
                .label(first.protocol.clone())
                .legend(move |(x, y)| {
                    PathElement::new([(x, y), (x + 14, y)], colour.stroke_width(2))
                });
        }
        let legend = &mut chart.configure_series_labels();
        legend
            .background_style(WHITE.mix(0.8))
            .border_style(ASKED)
            .draw()
            .map_err(failed)?;
        area.present().map_err(failed)?;
    }
    Ok(svg)
}
