//! Plots of figures against rows of a sweep or against idle connections.
use super::{
    chart, draw_legend, draw_svg, legend_symbol, plot_error, CONTRAST_COLOUR, HEIGHT_PX,
    NEUTRAL_COLOUR, PRIMARY_COLOUR,
};
use crate::sweep::SweepRow;
use crate::ReportError;
use plotters::prelude::*;
use pointspindle_testbed::idle::IdleStep;

/// Plots the mean service of each row of a sweep, with the range over its runs.
pub(crate) fn sweep_rows(rows: &[SweepRow]) -> Result<String, ReportError> {
    draw_svg(HEIGHT_PX, |area| {
        let lowest = rows.iter().map(|row| row.min_service).fold(1.0, f64::min) - 0.02;
        let mut chart = chart(area, 0.0..rows.len() as f64, lowest.max(0.0)..1.01)?;
        chart
            .configure_mesh()
            .light_line_style(WHITE)
            .x_labels(1)
            .x_desc("rows of the table, in order")
            .y_desc("service")
            .draw()
            .map_err(plot_error)?;
        let centre = |n: usize| n as f64 + 0.5;
        let ranges = rows.iter().enumerate().map(|(n, row)| {
            PathElement::new(
                [(centre(n), row.min_service), (centre(n), row.max_service)],
                NEUTRAL_COLOUR.stroke_width(6),
            )
        });
        chart.draw_series(ranges).map_err(plot_error)?;
        let means = rows
            .iter()
            .enumerate()
            .map(|(n, row)| Circle::new((centre(n), row.service), 5, PRIMARY_COLOUR.filled()));
        chart.draw_series(means).map_err(plot_error)?;
        Ok(())
    })
}

/// Plots a figure against the number of idle connections, with a line for each protocol.
pub(crate) fn against_idle_connections(
    series: &[Vec<IdleStep>],
    unit: &str,
    figure: impl Fn(&IdleStep) -> f64,
) -> Result<String, ReportError> {
    draw_svg(HEIGHT_PX, |area| {
        let steps = || series.iter().flatten();
        let right = steps()
            .map(|step| step.idle_connections as f64)
            .fold(1.0, f64::max);
        let top = steps().map(&figure).fold(1e-9, f64::max) * 1.1;
        let mut chart = chart(area, 0.0..right, 0.0..top)?;
        chart
            .configure_mesh()
            .light_line_style(WHITE)
            .x_desc("idle connections")
            .y_desc(unit)
            .draw()
            .map_err(plot_error)?;
        let colours = [PRIMARY_COLOUR, CONTRAST_COLOUR].into_iter().cycle();
        for (steps, colour) in series.iter().zip(colours) {
            let Some(first) = steps.first() else { continue };
            let points: Vec<(f64, f64)> = steps
                .iter()
                .map(|step| (step.idle_connections as f64, figure(step)))
                .collect();
            let line = LineSeries::new(points, colour.stroke_width(2)).point_size(3);
            chart
                .draw_series(line)
                .map_err(plot_error)?
                .label(first.protocol.clone())
                .legend(legend_symbol(colour));
        }
        draw_legend(&mut chart)
    })
}
