//! The capacity page: each row a figure's fit, its value at the target and at twice that, its budget, and how it is
//! known. Every number on the page is from the fits or the target.
mod events;
mod roles;
mod row;

use crate::slopes::{Slopes, MAX_SPREAD};
use crate::Target;
use events::{events, Event};
use roles::{roles, Role};
use row::{format_number, MeasuredFigure, Row, Source, TABLE_HEAD};

/// The figures closest to their budgets that the page names.
const BUDGETS_NAMED: usize = 5;

/// The whole page.
pub fn page(target: &Target, slopes: &Slopes) -> String {
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
    for (what, count) in &slopes.counts {
        page += &format!("* {what}: {}\n", format_number(*count));
    }
    page += "\n## What breaks first\n\n";
    page += &first_to_break(target, slopes);
    page
}

fn introduction(target: &Target, slopes: &Slopes) -> String {
    let fleet = &target.fleet;
    let workload = &target.workload;
    format!(
        "# Capacity\n\n\
         Written by `pointspindle lab capacity --target scenarios/fleet-ahead.ini --slopes docs/capacity/slopes.json`; \
         a test holds the page to it. \
         N is the dispatchers: {} at {} sites, before {} cache hosts, {} requests a second, {} purges a second, \
         {} changes a day.\n\n\
         Measured by `lab scale` at {:?} hollow dispatchers, {} run(s), {} s a phase, commit {}, {}, {}; \
         everything on one machine over loopback, so no way takes time and the store, \
         the dispatchers and the hosts share its cores. \
         A slope is `a + b N` over the sizes measured, with the largest distance of a measured value from it; a figure \
         whose runs are over {:.0}% apart is not used. \
         *At 2 N* is extrapolated by factor two where N is the largest size measured.\n",
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

fn table(rows: &[Row], slopes: &Slopes, dispatchers: f64) -> String {
    let lines = rows.iter().map(|row| row.to_markdown(slopes, dispatchers));
    TABLE_HEAD.to_owned() + &lines.collect::<String>()
}

/// How much of its budget a figure uses at twice the target's size.
struct BudgetUse {
    share: f64,
    what: &'static str,
    figure: &'static str,
}

/// From the page's own figures: those closest to their budgets at twice the size, and those that grow with N^2.
fn first_to_break(target: &Target, slopes: &Slopes) -> String {
    let role_rows = roles(target).into_iter().flat_map(|role| role.rows);
    let event_rows = events().into_iter().flat_map(|event| event.rows);
    let rows: Vec<Row> = role_rows.chain(event_rows).collect();
    let mut text = String::new();
    for used in budgets_by_use(&rows, target, slopes)
        .iter()
        .take(BUDGETS_NAMED)
    {
        text += &format!(
            "* at twice the size {:.0}% of its budget: {} ({})\n",
            100.0 * used.share,
            used.what,
            used.figure
        );
    }
    let quadratic = quadratic_figures(&rows, slopes);
    let quadratic = if quadratic.is_empty() {
        "none".to_owned()
    } else {
        quadratic.join(", ")
    };
    text + &format!("* lines that bend (N^2): {quadratic}\n")
}

fn budgets_by_use(rows: &[Row], target: &Target, slopes: &Slopes) -> Vec<BudgetUse> {
    let double = 2.0 * target.fleet.dispatchers as f64;
    let budget_use = |row: &Row| {
        let figure = measured_figure(row)?;
        let budget = figure.budget?;
        let slope = slopes.figures.get(figure.name)?;
        slope.is_used().then(|| BudgetUse {
            share: slope.value_at(double) / budget,
            what: row.what,
            figure: figure.name,
        })
    };
    let mut used: Vec<BudgetUse> = rows.iter().filter_map(budget_use).collect();
    used.sort_by(|one, other| other.share.total_cmp(&one.share));
    used
}

/// The figures whose fit has a quadratic term.
fn quadratic_figures(rows: &[Row], slopes: &Slopes) -> Vec<&'static str> {
    let names = rows.iter().filter_map(measured_figure).map(|f| f.name);
    let is_quadratic = |name: &&str| {
        let slope = slopes.figures.get(*name);
        slope.is_some_and(|slope| slope.is_used() && slope.quadratic != 0.0)
    };
    names.filter(is_quadratic).collect()
}

fn measured_figure(row: &Row) -> Option<MeasuredFigure> {
    match row.source {
        Source::Run(figure) => Some(figure),
        _ => None,
    }
}
