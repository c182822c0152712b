//! Table of the cost of idle connections, with one line for each step.
use pointspindle_testbed::idle::{growth_per_connection, ExpiryMeasurement, IdleStep};

const BYTES_PER_MIB: f64 = 1_048_576.0;

/// Prints the names of the columns.
pub fn print_header() {
    println!(
        "{:<7} {:>8} {:>9} {:>9} {:>10} {:>9} {:>9} {:>7} {:>8} {:>8}",
        "door",
        "idle",
        "made/s",
        "program",
        "kernel MiB",
        "idle CPU",
        "requests",
        "failed",
        "p50 us",
        "p99 us"
    );
}

/// Prints a step.
pub fn print_step(step: &IdleStep) {
    println!(
        "{:<7} {:>8} {:>9.0} {:>9.1} {:>10.1} {:>9.3} {:>9} {:>7} {:>8} {:>8}",
        step.protocol,
        step.idle_connections,
        step.opened_per_s,
        step.process_memory_bytes as f64 / BYTES_PER_MIB,
        step.kernel_tcp_bytes as f64 / BYTES_PER_MIB,
        step.idle_cpu_share,
        step.requests,
        step.failed,
        step.p50_us,
        step.p99_us
    );
}

/// Prints why the steps stopped early, if they did, and the cost of a connection by a linear fit over the steps.
pub fn print_summary(steps: &[IdleStep], stopped: Option<&str>) {
    if let Some(reason) = stopped {
        println!("stopped {reason}");
    }
    if let (Some(first), Some(last)) = (steps.first(), steps.last()) {
        println!(
            "linear fit over the steps: {:.0} bytes of the program and {:.0} bytes of kernel buffers per connection; p99 at the last step {:.2} times that at the first",
            growth_per_connection(steps, |step| step.process_memory_bytes),
            growth_per_connection(steps, |step| step.kernel_tcp_bytes),
            last.p99_us as f64 / first.p99_us.max(1) as f64
        );
    }
}

/// Prints how many connections became idle together, and how late they were closed.
pub fn print_expiry(expiry: &ExpiryMeasurement) {
    println!(
        "{} connections became idle together: closed at most {:.0} ms after the idle timeout (99 of 100 within {:.0} ms); {} requests meanwhile, {} failed, p99 {} us, longest {} us",
        expiry.connections,
        expiry.max_lateness_ms,
        expiry.lateness_p99_ms,
        expiry.requests,
        expiry.failed,
        expiry.p99_us,
        expiry.max_us
    );
}
