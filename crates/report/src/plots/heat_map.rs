//! A heat map of the load of hosts, with hosts as rows and seconds as columns.
use super::{chart, draw_svg, plot_error, Chart};
use crate::record::HostTimeline;
use crate::ReportError;
use plotters::prelude::*;

/// Number of hosts above which the rows are narrow.
const MAX_WIDE_ROWS: usize = 60;
const WIDE_ROW_PX: u32 = 12;
const NARROW_ROW_PX: u32 = 5;
/// Total height of the axis and the margins.
const FRAME_PX: u32 = 50;
/// Height of a cell, relative to the height of its row.
const CELL_HEIGHT: f64 = 0.95;
/// Width of the mark of a crash or start, in seconds.
const MARK_WIDTH_S: f64 = 0.25;
/// Load at the dark end of the colour scale, relative to the capacity of the host's link.
const MAX_LOAD: f32 = 1.5;

/// Returns the colour of a load, from pale for 0 to red for [`MAX_LOAD`] and more.
fn load_colour(load: f32) -> RGBColor {
    let x = (load / MAX_LOAD).clamp(0.0, 1.0);
    let mix = |pale: f32, dark: f32| (pale + (dark - pale) * x) as u8;
    RGBColor(mix(245.0, 170.0), mix(245.0, 30.0), mix(240.0, 20.0))
}

/// Draws the load of hosts, with a black mark where a process crashed and a blue one where it started.
pub(crate) fn heat_map(hosts: &[HostTimeline], duration_s: f64) -> Result<String, ReportError> {
    let row_px = if hosts.len() > MAX_WIDE_ROWS {
        NARROW_ROW_PX
    } else {
        WIDE_ROW_PX
    };
    let height_px = FRAME_PX + row_px * hosts.len().max(1) as u32;
    draw_svg(height_px, |area| {
        let rows = hosts.len() as f64;
        let mut chart = chart(area, 0.0..duration_s, 0.0..rows.max(1.0))?;
        chart
            .configure_mesh()
            .disable_mesh()
            .x_desc("s")
            .y_desc("host")
            .draw()
            .map_err(plot_error)?;
        draw_loads(&mut chart, hosts)?;
        draw_marks(&mut chart, hosts, BLACK, |host| &host.crashed)?;
        draw_marks(&mut chart, hosts, BLUE, |host| &host.started)
    })
}

/// Returns the lower edge of a host's row; the first host is at the top.
fn row_bottom(hosts: &[HostTimeline], n: usize) -> f64 {
    hosts.len() as f64 - n as f64 - 1.0
}

fn draw_loads(chart: &mut Chart, hosts: &[HostTimeline]) -> Result<(), ReportError> {
    let cells = hosts.iter().enumerate().flat_map(|(n, host)| {
        let y = row_bottom(hosts, n);
        host.load
            .iter()
            .enumerate()
            .filter(|(_, load)| **load > 0.0)
            .map(move |(second, load)| {
                let x = second as f64;
                Rectangle::new(
                    [(x, y), (x + 1.0, y + CELL_HEIGHT)],
                    load_colour(*load).filled(),
                )
            })
    });
    chart.draw_series(cells).map_err(plot_error)?;
    Ok(())
}

fn draw_marks(
    chart: &mut Chart,
    hosts: &[HostTimeline],
    colour: RGBColor,
    times: fn(&HostTimeline) -> &[f64],
) -> Result<(), ReportError> {
    let marks = hosts.iter().enumerate().flat_map(|(n, host)| {
        let y = row_bottom(hosts, n);
        times(host).iter().map(move |at| {
            Rectangle::new(
                [(*at, y), (*at + MARK_WIDTH_S, y + CELL_HEIGHT)],
                colour.filled(),
            )
        })
    });
    chart.draw_series(marks).map_err(plot_error)?;
    Ok(())
}
