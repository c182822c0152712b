//! Plots as SVG text, for embedding in a page.
mod heat_map;
mod scatter;
mod time_series;

use crate::ReportError;
use plotters::coord::types::RangedCoordf64;
use plotters::coord::Shift;
use plotters::prelude::*;
use std::fmt::Display;
use std::ops::Range;

pub(crate) use heat_map::heat_map;
pub(crate) use scatter::{against_idle_connections, sweep_rows};
pub(crate) use time_series::{latencies, outcomes, value, value_comparison};

const WIDTH_PX: u32 = 1000;
/// Height of every plot except the heat map.
const HEIGHT_PX: u32 = 260;

const NEUTRAL_COLOUR: RGBColor = RGBColor(190, 190, 190);
const PRIMARY_COLOUR: RGBColor = RGBColor(40, 110, 60);
const CONTRAST_COLOUR: RGBColor = RGBColor(180, 70, 30);
const HIGHLIGHT_COLOUR: RGBColor = RGBColor(220, 190, 60);

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type Chart<'a, 'b> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

fn plot_error<E: Display>(error: E) -> ReportError {
    ReportError::Plot(error.to_string())
}

/// Draws on a white area of this height and returns the SVG text.
fn draw_svg(
    height_px: u32,
    draw: impl FnOnce(&Area) -> Result<(), ReportError>,
) -> Result<String, ReportError> {
    let mut svg = String::new();
    {
        let backend = SVGBackend::with_string(&mut svg, (WIDTH_PX, height_px));
        let area = backend.into_drawing_area();
        area.fill(&WHITE).map_err(plot_error)?;
        draw(&area)?;
        area.present().map_err(plot_error)?;
    }
    Ok(svg)
}

/// Creates the axes, with the same margins and label areas in every plot.
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
    builder.build_cartesian_2d(x, y).map_err(plot_error)
}

/// Returns the symbol of a line in the legend.
fn legend_symbol(colour: RGBColor) -> impl Fn((i32, i32)) -> PathElement<(i32, i32)> {
    move |(x, y)| PathElement::new([(x, y), (x + 14, y)], colour.stroke_width(2))
}

fn draw_legend<'a, 'b: 'a>(chart: &mut Chart<'a, 'b>) -> Result<(), ReportError> {
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(NEUTRAL_COLOUR)
        .draw()
        .map_err(plot_error)
}
