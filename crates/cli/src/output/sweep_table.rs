//! Table of a sweep, with one line for each setting.
use pointspindle_report::sweep::SweepRow;

/// Prints the table.
pub fn print(rows: &[SweepRow]) {
    println!(
        "{:<48} {:>5} {:>8} {:>7} {:>7} {:>9} {:>7} {:>10}",
        "overrides", "runs", "service", "lowest", "highest", "worst 10s", "crashes", "violations"
    );
    for row in rows {
        println!(
            "{:<48} {:>5} {:>8.4} {:>7.3} {:>7.3} {:>9.4} {:>7} {:>10}",
            row.name,
            row.runs,
            row.service,
            row.min_service,
            row.max_service,
            row.worst_10s,
            row.warm_up_crashes,
            row.runs_with_violations
        );
    }
}
