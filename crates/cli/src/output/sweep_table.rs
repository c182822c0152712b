//! Table of a sweep, with one line for each setting.
use pointspindle_report::sweep::SweepRow;

/// Prints the table.
pub fn print(rows: &[SweepRow]) {
    println!(
        "{:<48} {:>5} {:>8} {:>7} {:>7} {:>9} {:>7} {:>7}",
        "way", "days", "service", "least", "most", "worst 10s", "fallen", "broken"
    );
    for row in rows {
        println!(
            "{:<48} {:>5} {:>8.4} {:>7.3} {:>7.3} {:>9.4} {:>7} {:>7}",
            row.name,
            row.runs,
            row.service,
            row.min_service,
            row.max_service,
            row.worst_10s,
            row.cold_crashes,
            row.runs_with_violations
        );
    }
}
