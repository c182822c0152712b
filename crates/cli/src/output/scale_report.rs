//! Output of the figures of scale runs, and of the budgets that they exceed.
use pointspindle_scale::results::{Lag, Phase, Step};
use pointspindle_scale::Target;

/// Phases in which the budgets of a dispatcher are checked.
const BUDGETED_PHASES: [&str; 2] = ["rest", "purges"];
/// Phase with the burst of purges, in which updates may be late.
const PURGE_BURST_PHASE: &str = "storm";

/// Returns the budgets of the target that the largest step of each run exceeds, and the updates not delivered in it.
pub fn exceeded_budgets(target: &Target, runs: &[Vec<Step>]) -> Vec<String> {
    let mut exceeded = Vec::new();
    for run in runs {
        let Some(step) = run.iter().max_by_key(|step| step.dispatchers) else {
            continue;
        };
        for phase in &step.phases {
            if BUDGETED_PHASES.contains(&phase.name.as_str()) {
                exceeded.extend(exceeded_costs(target, step.dispatchers, phase));
            }
        }
        for phase in &step.phases {
            exceeded.extend(exceeded_lags(target, phase));
        }
    }
    exceeded
}

fn exceeded_costs(target: &Target, dispatchers: usize, phase: &Phase) -> Vec<String> {
    let dispatchers = dispatchers as f64;
    let kb_per_s = phase.traffic.bytes_out as f64 / phase.seconds / dispatchers / 1024.0;
    let cores = phase.dispatchers.cores / dispatchers;
    let memory_mb = phase.dispatchers.memory_mb / dispatchers;
    let costs = [
        ("processor", cores, target.max_cores, "cores"),
        ("memory", memory_mb, target.max_memory_mb, "MB"),
        ("bytes", kb_per_s, target.max_kb_per_s, "KB/s"),
    ];
    costs
        .into_iter()
        .filter(|(_, cost, budget, _)| cost > budget)
        .map(|(resource, cost, budget, unit)| {
            format!(
                "{resource} per dispatcher in {}: {cost:.3} {unit}, budget {budget} {unit}",
                phase.name
            )
        })
        .collect()
}

fn exceeded_lags(target: &Target, phase: &Phase) -> Vec<String> {
    let mut exceeded = Vec::new();
    let lags = [
        (&phase.purges, target.purge_promise_ms),
        (&phase.changes, target.change_promise_ms),
    ];
    for (lag, budget_ms) in lags {
        let Some(lag) = lag else { continue };
        if lag.missing > 0 {
            exceeded.push(format!(
                "{}: {} updates were never received",
                phase.name, lag.missing
            ));
        }
        if phase.name != PURGE_BURST_PHASE && lag.longest_ms > budget_ms {
            exceeded.push(format!(
                "{}: in force after {:.0} ms, budget {budget_ms} ms",
                phase.name, lag.longest_ms
            ));
        }
    }
    exceeded
}

/// Prints all steps of all runs.
pub fn print_runs(runs: &[Vec<Step>]) {
    for step in runs.iter().flatten() {
        let [p50, p90, longest] = step.ready_ms;
        println!(
            "{} dispatchers, {} hosts: start to ready p50 {p50:.0}, p90 {p90:.0}, longest {longest:.0} ms",
            step.dispatchers, step.hosts
        );
        for phase in &step.phases {
            print_phase(step.dispatchers as f64, phase);
        }
    }
}

fn print_phase(dispatchers: f64, phase: &Phase) {
    let lag = phase.purges.as_ref().or(phase.changes.as_ref());
    let lag = lag.map(lag_text).unwrap_or_default();
    let current = phase
        .current_after_ms
        .map(|ms| format!("; current after {ms:.0} ms"))
        .unwrap_or_default();
    let kb_per_s = |bytes: u64| bytes as f64 / phase.seconds / 1024.0 / dispatchers;
    println!(
        "  {:<14} store {:.2} cores {:.0} MB; per dispatcher {:.4} cores {:.2} MB, {:.2} KB/s in, {:.2} out{lag}{current}",
        phase.name,
        phase.store.cores,
        phase.store.memory_mb,
        phase.dispatchers.cores / dispatchers,
        phase.dispatchers.memory_mb / dispatchers,
        kb_per_s(phase.traffic.bytes_out),
        kb_per_s(phase.traffic.bytes_in)
    );
}

fn lag_text(lag: &Lag) -> String {
    format!(
        "; {} written, in force p50 {:.1} p99 {:.1} longest {:.1} ms, {} never received",
        lag.written, lag.p50_ms, lag.p99_ms, lag.longest_ms, lag.missing
    )
}
