//! A line for each setting of a sweep.
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
            row.way,
            row.days,
            row.service,
            row.least,
            row.most,
            row.worst_10s,
            row.fallen,
            row.broken
        );
    }
}
