//! The capacity page from measured slopes: each row a slope, its figure at the target and at twice that, the budget and the share of
//! it, and how the figure is known. No figure stands here that is not from the slopes or the target.
use super::slopes::{Slope, Slopes, AGREE, STRAIGHT};
use super::Target;
use std::fmt::Write;

/// Where a row's figure comes from.
enum Known {
    /// A figure of the run, with its budget.
    Run {
        figure: &'static str,
        unit: &'static str,
        budget: Option<f64>,
    },
    /// Not a figure of the run: held by the mechanism, as its tests show.
    Held(&'static str),
    NotMeasured,
}

struct Row {
    what: String,
    known: Known,
    /// What carries it: file and test.
    by: &'static str,
}

fn run(
    what: &str,
    figure: &'static str,
    unit: &'static str,
    budget: Option<f64>,
    by: &'static str,
) -> Row {
    Row {
        what: what.to_owned(),
        known: Known::Run {
            figure,
            unit,
            budget,
        },
        by,
    }
}

fn open(what: &str, by: &'static str) -> Row {
    Row {
        what: what.to_owned(),
        known: Known::NotMeasured,
        by,
    }
}

const CONTROL: &str = "`etcd/watcher/`, `dispatcher/net`; `cli/tests/scale.rs`";
const STORE: &str = "stand-in `lab/etcd`; `cli/tests/scale.rs`";

fn roles(t: &Target) -> Vec<(&'static str, Vec<Row>)> {
    let (core, memory, kb) = (Some(t.core_share), Some(t.memory_mb), Some(t.kb_per_s));
    let purge = Some(t.purge_ms);
    vec![
        (
            "Dispatcher, control only (hollow)",
            vec![
                run("processor, at rest", "rest/dispatcher cores", "cores", core, CONTROL),
                run("processor, at the target's purges", "purges/dispatcher cores", "cores", core, CONTROL),
                run("processor, at ten times those", "purges x10/dispatcher cores", "cores", core, CONTROL),
                run("memory", "purges x10/dispatcher memory", "MB", memory, CONTROL),
                run("bytes heard, at rest", "rest/dispatcher bytes in", "KB/s", kb, CONTROL),
                run("bytes heard, at the target's purges", "purges/dispatcher bytes in", "KB/s", kb, CONTROL),
                run("bytes heard, at ten times those", "purges x10/dispatcher bytes in", "KB/s", kb, CONTROL),
                run("bytes said, at rest", "rest/dispatcher bytes out", "KB/s", kb, CONTROL),
                run("connections to cache hosts", "rest/dispatcher connections to hosts", "", None, "`dispatcher/net/connection_pool/`"),
                open("bytes by hellos, leases and probes", "`link`, `host/lease.rs`"),
                open("processor a request, a list line; bytes a member, a purge, a connection, an open request", "`docs/results.md` has the request's"),
            ],
        ),
        (
            "Control store (one stand-in process without disk or quorum; budget assumed: a core a machine)",
            vec![
                run("processor, at rest", "rest/store cores", "cores", Some(t.control_machines as f64), STORE),
                run("processor, at the target's purges", "purges/store cores", "cores", Some(t.control_machines as f64), STORE),
                run("processor, at ten times those", "purges x10/store cores", "cores", Some(t.control_machines as f64), STORE),
                run("memory", "purges x10/store memory", "MB", None, STORE),
                run("bytes out, at rest", "rest/store bytes out", "KB/s", None, STORE),
                run("bytes out, at the target's purges", "purges/store bytes out", "KB/s", None, STORE),
                run("messages about leases, at rest", "rest/lease kept messages", "1/s", None, "`etcd/writer.rs`"),
                run("messages about registrations, at rest", "rest/registration messages", "1/s", None, "`etcd/writer.rs`"),
                run("messages about progress, at rest", "rest/progress messages", "1/s", None, "`etcd/watcher/`"),
                run("messages about the purges' mark, at rest", "rest/read messages", "1/s", None, "`etcd/watcher/`"),
                open("four machines: quorum, disk, a machine lost", "-"),
            ],
        ),
        (
            "Edge cache hosts, control only (all together)",
            vec![
                run("processor, at rest", "rest/host cores", "cores", None, "`host/net`"),
                run("memory, no copies", "rest/host memory", "MB", None, "`host/net`"),
                open("index bytes a copy at 1, 4, 16 million; start from the log", "`store/index.rs`"),
            ],
        ),
        ("Parent, origin gateway", vec![open("as a cache host; fills and connections by N", "`host`, `docs/design/sums.md`")]),
        ("Client library, operator's command", vec![open("connections and tries by N; a command's bytes", "`client`, `cli/etcd.rs`")]),
        (
            "Promises",
            vec![
                run("purge in force, p50", "purges/purge in force p50", "ms", purge, CONTROL),
                run("purge in force, p99", "purges/purge in force p99", "ms", purge, CONTROL),
                run("purge in force, longest", "purges/purge in force longest", "ms", purge, CONTROL),
                run("purge in force, longest, at ten times the rate", "purges x10/purge in force longest", "ms", purge, CONTROL),
                run("purge in force, longest, in a storm", "storm/purge in force longest", "ms", purge, CONTROL),
                run("change of the list in force, longest", "changes/change in force longest", "ms", Some(t.change_ms), CONTROL),
                Row {
                    what: "purge in force everywhere, also where nobody can be told".into(),
                    known: Known::Held("within `purge_within_ms` of its acknowledgement, by each process's own holding back"),
                    by: "`dispatcher/core/purge_lease.rs`, `etcd/watcher/`; `etcd/tests/promise.rs`, `cli/tests/purge_promise.rs`",
                },
                open("change of configuration in force: **missing: no way to the fleet but a file and a restart**", "-"),
            ],
        ),
    ]
}

fn events() -> Vec<(&'static str, &'static str, Vec<Row>)> {
    let whole = "until every view is current";
    vec![
        (
            "All dispatchers start at once",
            "each reads the whole view and registers; each registration is told to all: N^2 lines. Nobody paces them but the store. Nothing is refused by it; cold parts wait for the counts.",
            vec![
                run(whole, "start/whole again", "ms", None, CONTROL),
                run("start to ready, nine in ten", "start/ready p90", "ms", Some(10_000.0), CONTROL),
                run("bytes to each", "start/dispatcher bytes of the phase", "KB", None, CONTROL),
                run("store, processor", "start/store cores", "cores", None, STORE),
            ],
        ),
        (
            "Fifty restart (a process of the rig)",
            "the leases end, all hear of each leave and each return.",
            vec![
                run("start to ready, longest", "restart/ready longest", "ms", Some(10_000.0), CONTROL),
            ],
        ),
        (
            "A storm of purges",
            "one write each; all hear of each.",
            vec![
                run("in force, p99", "storm/purge in force p99", "ms", None, CONTROL),
                run("bytes to each", "storm/dispatcher bytes of the phase", "KB", None, CONTROL),
                run("dispatcher, processor", "storm/dispatcher cores", "cores", None, CONTROL),
            ],
        ),
        (
            "The control store away and back",
            "every view is stale after half a second; lists stay, held copies are held back where the promise is on; on return the watches go on from where they were.",
            vec![
                run(whole, "store away/whole again", "ms", None, CONTROL),
                run("bytes to each", "store away/dispatcher bytes of the phase", "KB", None, CONTROL),
            ],
        ),
        (
            "... and its history compacted meanwhile",
            "every view is read whole again, and everything counts as purged as of then.",
            vec![
                run(whole, "compacted/whole again", "ms", None, CONTROL),
                run("bytes to each", "compacted/dispatcher bytes of the phase", "KB", None, CONTROL),
            ],
        ),
        (
            "All streams break at once",
            "each asks again after 5 to 15 ms, from where it was.",
            vec![run(whole, "streams broken/whole again", "ms", None, CONTROL)],
        ),
        ("A rack, a zone, regions apart, a control machine lost", "-", vec![open("all of it", "`lab fleet` plays a site's loss with clients")]),
    ]
}

fn number(value: f64) -> String {
    match value.abs() {
        v if v >= 100.0 => format!("{value:.0}"),
        v if v >= 1.0 => format!("{value:.1}"),
        v if v >= 0.01 => format!("{value:.3}"),
        _ => format!("{value:.5}"),
    }
}

fn line_of(s: &Slope) -> String {
    let bend = if s.c == 0.0 {
        String::new()
    } else {
        format!(" {:+.2e} N^2", s.c)
    };
    format!(
        "{:.3e} {:+.2e} N{bend}, {:.0}% off",
        s.a,
        s.b,
        100.0 * s.residual
    )
}

/// How the figure at this size is known.
fn how(s: &Slope, n: f64) -> String {
    match s.spread {
        _ if s.residual > STRAIGHT => {
            format!(
                "no line: {:.0}% off; largest value measured",
                100.0 * s.residual
            )
        }
        Some(spread) if spread > AGREE => {
            format!(
                "runs {:.0}% apart, slope not used; largest value measured",
                100.0 * spread
            )
        }
        _ if n > s.to as f64 => format!("extrapolated x{:.1}", n / s.to as f64),
        None => "measured, one run".to_owned(),
        Some(spread) => format!("measured, runs {:.0}% apart", 100.0 * spread),
    }
}

fn row(out: &mut String, row: &Row, slopes: &Slopes, n: f64) {
    let by = row.by;
    if let Known::Held(how) = &row.known {
        let _ = writeln!(out, "| {} | | | | | | {how} | {by} |", row.what);
        return;
    }
    let Known::Run {
        figure,
        unit,
        budget,
    } = &row.known
    else {
        let _ = writeln!(
            out,
            "| {} | | *not measured* | | | | *not measured* | {by} |",
            row.what
        );
        return;
    };
    let Some(slope) = slopes.figures.get(*figure) else {
        let _ = writeln!(
            out,
            "| {} | | *not measured* | | | | *not measured* | {by} |",
            row.what
        );
        return;
    };
    let used = slope.is_used();
    let (at, twice) = if used {
        (slope.at(n), slope.at(2.0 * n))
    } else {
        (slope.most, 0.0)
    };
    let (budget, share) = match budget {
        None => (String::new(), String::new()),
        Some(b) if at > *b => (
            format!("{} {unit}", number(*b)),
            format!("**{:.1} times over**", at / b),
        ),
        Some(b) => (
            format!("{} {unit}", number(*b)),
            format!("{:.1}%", 100.0 * at / b),
        ),
    };
    let _ = writeln!(
        out,
        "| {} | {} | {} {unit} | {} | {budget} | {share} | {} | {by} |",
        row.what,
        if used { line_of(slope) } else { String::new() },
        number(at),
        if used { number(twice) } else { String::new() },
        how(slope, n)
    );
}

const HEAD: &str = "| figure | slope | at N | at 2 N | budget | used | known by | carried by |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n";

/// The whole page.
pub fn page(t: &Target, s: &Slopes) -> String {
    let n = t.dispatchers as f64;
    let mut out = format!(
        "# Capacity\n\nWritten by `pointspindle lab capacity --target scenarios/fleet-ahead.ini --slopes docs/capacity/slopes.json`; a test holds the page to it. \
         N is the dispatchers: {} at {} sites, before {} cache hosts, {} requests a second, {} purges a second, {} changes a day.\n\n",
        t.dispatchers, t.sites, t.hosts, t.requests_per_s, t.purges_per_s, t.changes_per_day
    );
    let _ = writeln!(
        out,
        "Measured by `lab scale` at {:?} hollow dispatchers, {} run(s), {} s a phase, commit {}, {}, {}; everything on one machine over loopback, so no way takes time and the store, \
         the dispatchers and the hosts share its cores. A slope is `a + b N` over the sizes measured, with the largest distance of a measured value from it; a figure \
         whose runs are over {:.0}% apart is not used. *At 2 N* is extrapolated by factor two where N is the largest size measured.",
        s.steps,
        s.runs,
        s.seconds,
        s.commit,
        s.date,
        s.machine,
        100.0 * AGREE
    );
    out.push_str("\n## By role\n");
    for (role, rows) in roles(t) {
        out.push_str(&format!("\n### {role}\n\n{HEAD}"));
        rows.iter().for_each(|r| row(&mut out, r, s, n));
    }
    out.push_str("\n## By event\n");
    for (event, what, rows) in events() {
        let _ = write!(out, "\n### {event}\n\n{what}\n\n{HEAD}");
        rows.iter().for_each(|r| row(&mut out, r, s, n));
    }
    out.push_str("\n## Counts\n\n");
    for (what, count) in &s.counts {
        let _ = writeln!(out, "* {what}: {}", number(*count));
    }
    let _ = write!(out, "\n## What breaks first\n\n{}", first_to_break(t, s));
    out
}

/// By the page's own figures: what is over its budget at N, at 2 N, and what grows with N^2.
fn first_to_break(t: &Target, s: &Slopes) -> String {
    let n = t.dispatchers as f64;
    let mut out = String::new();
    let all = roles(t).into_iter().flat_map(|(_, rows)| rows);
    let all = all.chain(events().into_iter().flat_map(|(_, _, rows)| rows));
    let mut shares: Vec<(f64, String)> = Vec::new();
    let mut bent = Vec::new();
    for r in all {
        if let Known::Run { figure, .. } = r.known {
            bent.extend(
                s.figures
                    .get(figure)
                    .filter(|f| f.is_used() && f.c != 0.0)
                    .map(|_| figure),
            );
        }
        let Known::Run {
            figure,
            budget: Some(budget),
            ..
        } = r.known
        else {
            continue;
        };
        let Some(slope) = s.figures.get(figure).filter(|slope| slope.is_used()) else {
            continue;
        };
        shares.push((slope.at(2.0 * n) / budget, format!("{} ({figure})", r.what)));
    }
    shares.sort_by(|a, b| b.0.total_cmp(&a.0));
    for (share, what) in shares.iter().take(5) {
        let _ = writeln!(
            out,
            "* at twice the size {:.0}% of its budget: {what}",
            100.0 * share
        );
    }
    let bent = if bent.is_empty() {
        "none".to_owned()
    } else {
        bent.join(", ")
    };
    let _ = writeln!(out, "* lines that bend (N^2): {bent}");
    out
}
