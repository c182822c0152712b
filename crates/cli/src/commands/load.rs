//! The `pointspindle load` command.
use super::client_arguments::{ClientArguments, Url};
use crate::output::load_report::LoadReport;
use pointspindle_cli::exit::{negative_if, CommandError, CommandResult};
use pointspindle_client::{Call, CallEvent, Outcome};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

const MAX_CALLS_PER_S: f64 = 1e6;
const MAX_SECONDS: f64 = 3_600.0;

/// Arguments of `load`.
#[derive(clap::Args)]
pub struct LoadArguments {
    /// URL, as for get.
    url: Url,
    #[command(flatten)]
    client: ClientArguments,
    /// Calls per second; each begins at its scheduled time, independently of the other calls.
    #[arg(long, default_value_t = 100.0)]
    rate: f64,
    /// Duration of the load, in seconds.
    #[arg(long, default_value_t = 5.0)]
    seconds: f64,
    /// Maximum number of calls in flight; calls beyond it are counted as not begun.
    #[arg(long = "most", value_name = "MOST", default_value_t = 10_000)]
    max_in_flight: usize,
    /// Print one JSON object.
    #[arg(long)]
    json: bool,
}

impl LoadArguments {
    fn check(&self) -> CommandResult {
        let is_rate_valid = self.rate > 0.0 && self.rate <= MAX_CALLS_PER_S;
        let is_duration_valid = self.seconds > 0.0 && self.seconds <= MAX_SECONDS;
        if is_rate_valid && is_duration_valid {
            return Ok(());
        }
        Err(CommandError::CannotRun(
            "--rate must be above 0 and at most 1e6, --seconds above 0 and at most 3600".into(),
        ))
    }
}

/// A call that has ended.
pub struct FinishedCall {
    /// Outcome of the call.
    pub outcome: Outcome,
    /// Time from the scheduled start of the call to its end.
    pub duration: Duration,
    /// Number of attempts made.
    pub attempts: u32,
}

/// Calls a dispatcher at a steady rate and prints the response times.
pub async fn load(arguments: LoadArguments) -> CommandResult {
    arguments.check()?;
    let client = arguments.client.client(&arguments.url)?;
    let interval = Duration::from_secs_f64(1.0 / arguments.rate);
    let calls = (arguments.rate * arguments.seconds).ceil() as u64;
    let mut report = LoadReport::new(calls)?;
    let mut in_flight = JoinSet::new();
    let started = Instant::now();
    for number in 0..calls {
        // Durations count from the scheduled start of a call, so that a late generator does not hide waiting time.
        let due = started + interval.mul_f64(number as f64);
        tokio::time::sleep_until(due.into()).await;
        while let Some(finished) = in_flight.try_join_next() {
            report.add(&finished?);
        }
        if in_flight.len() >= arguments.max_in_flight {
            report.count_not_begun();
            continue;
        }
        let call = client.call(arguments.client.request(&arguments.url))?;
        in_flight.spawn(finish(call, due));
    }
    while let Some(finished) = in_flight.join_next().await {
        report.add(&finished?);
    }
    report.print(started.elapsed(), arguments.json);
    negative_if(report.served() == 0)
}

async fn finish(mut call: Call, due: Instant) -> FinishedCall {
    let mut outcome = Outcome::Failed { may_have_run: true };
    while let Some(event) = call.next().await {
        if let CallEvent::End(end) = event {
            outcome = end;
        }
    }
    FinishedCall {
        outcome,
        duration: due.elapsed(),
        attempts: call.attempts(),
    }
}
