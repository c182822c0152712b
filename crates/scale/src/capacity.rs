//! Writes the capacity page. Each row shows a figure's fit, its values at the target's size and at twice that size, its
//! budget, and the basis of the values. Every number on the page comes from the fits or the target.
mod events;
mod roles;
mod row;

use crate::slopes::{Fits, MAX_SPREAD};
use crate::Target;
use events::{events, Event};
use roles::{roles, Role};
use row::{format_number, MeasuredFigure, Row, Source, TABLE_HEAD};

/// Number of figures that the page lists as closest to their budgets.
const BUDGETS_LISTED: usize = 5;

/// Returns the capacity page in Markdown.
pub fn page(target: &Target, slopes: &Fits) -> String {
    let dispatchers = target.fleet.dispatchers as f64;
    let mut page = introduction(target, slopes);
    page += "\n## By role\n";
    for Role { name, rows } in roles(target) {
        page += &format!("\n### {name}\n\n{}", table(&rows, slopes, dispatchers));
    }
    page += "\n## By event\n";
    for event in events() {
        let Event {
            name,
            description,
            rows,
        } = event;
        let table = table(&rows, slopes, dispatchers);
        page += &format!("\n### {name}\n\n{description}\n\n{table}");
    }
    page += "\n## Counts\n\n";
    for (label, count) in &slopes.counts {
        page += &format!("* {label}: {}\n", format_number(*count));
    }
    page += "\n## Bottlenecks\n\n";
    page += &bottlenecks(target, slopes);
    page
}

fn introduction(target: &Target, slopes: &Fits) -> String {
    let fleet = &target.fleet;
    let workload = &target.workload;
    format!(
        "# Capacity\n\n\
         Written by `pointspindle lab capacity --target scenarios/fleet-ahead.ini --slopes docs/capacity/slopes.json`; \
         a test checks that the page matches this output. \
         N is the number of dispatchers: {} at {} sites, with {} cache hosts, {} requests per second, \
         {} purges per second and {} configuration changes per day.\n\n\
         Measured by `lab scale` at {:?} hollow dispatchers, {} run(s), {} s per phase, commit {}, {}, {}; \
         all processes run on one machine over loopback, so there is no network latency, and the control store, \
         the dispatchers and the cache hosts share its cores. \
         A fit is a line `a + b N` or a curve `a + b N + c N^2` over the sizes measured, \
         shown with the largest distance of a value from it; \
         a fit is not used if the runs differ by more than {:.0}% at the largest size. \
         *At 2 N* is extrapolated by a factor of two if N is the largest size measured.\n",
        fleet.dispatchers,
        fleet.sites,
        fleet.hosts,
        workload.requests_per_s,
        workload.purges_per_s,
        workload.changes_per_day,
        slopes.steps,
        slopes.runs,
        slopes.seconds,
        slopes.commit,
        slopes.date,
        slopes.machine,
        100.0 * MAX_SPREAD
    )
}

fn table(rows: &[Row], slopes: &Fits, dispatchers: f64) -> String {
    let lines = rows.iter().map(|row| row.to_markdown(slopes, dispatchers));
    TABLE_HEAD.to_owned() + &lines.collect::<String>()
}

/// The share of its budget that a figure uses at twice the target's size.
struct BudgetUse {
    share: f64,
    label: &'static str,
    figure: &'static str,
}

/// Lists the figures of the page that are closest to their budgets at twice the target's size, and those that grow with
/// N^2.
fn bottlenecks(target: &Target, slopes: &Fits) -> String {
    let role_rows = roles(target).into_iter().flat_map(|role| role.rows);
    let event_rows = events().into_iter().flat_map(|event| event.rows);
    let rows: Vec<Row> = role_rows.chain(event_rows).collect();
    let mut text = String::new();
    for used in budgets_by_use(&rows, target, slopes)
        .iter()
        .take(BUDGETS_LISTED)
    {
        text += &format!(
            "* {:.0}% of the budget at twice the size: {} ({})\n",
            100.0 * used.share,
            used.label,
            used.figure
        );
    }
    let quadratic = figures_with_quadratic_fit(&rows, slopes);
    let quadratic = if quadratic.is_empty() {
        "none".to_owned()
    } else {
        quadratic.join(", ")
    };
    text + &format!("* figures that grow with N^2: {quadratic}\n")
}

fn budgets_by_use(rows: &[Row], target: &Target, slopes: &Fits) -> Vec<BudgetUse> {
    let double_size = 2.0 * target.fleet.dispatchers as f64;
    let budget_use = |row: &Row| {
        let figure = measured_figure(row)?;
        let budget = figure.budget?;
        let slope = slopes.figures.get(figure.name)?;
        slope.is_reliable().then(|| BudgetUse {
            share: slope.value_at(double_size) / budget,
            label: row.label,
            figure: figure.name,
        })
    };
    let mut used: Vec<BudgetUse> = rows.iter().filter_map(budget_use).collect();
    used.sort_by(|a, b| b.share.total_cmp(&a.share));
    used
}

/// Returns the figures whose fit has a quadratic term.
fn figures_with_quadratic_fit(rows: &[Row], slopes: &Fits) -> Vec<&'static str> {
    let names = rows.iter().filter_map(measured_figure).map(|f| f.name);
    let is_quadratic = |name: &&str| {
        let slope = slopes.figures.get(*name);
        slope.is_some_and(|slope| slope.is_reliable() && slope.quadratic != 0.0)
    };
    names.filter(is_quadratic).collect()
}

fn measured_figure(row: &Row) -> Option<MeasuredFigure> {
    match row.source {
        Source::Run(figure) => Some(figure),
        _ => None,
    }
}
