//! `pointspindle load`.
use super::client_arguments::{ClientArguments, Url};
use crate::exit::{negative_if, CommandError, CommandResult};
use crate::output::load_report::LoadReport;
use pointspindle_client::{Call, CallEvent, Outcome};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

const MAX_CALLS_PER_S: f64 = 1e6;
const MAX_SECONDS: f64 = 3_600.0;

/// Arguments of `load`.
#[derive(clap::Args)]
pub struct LoadArguments {
    /// As for get.
    url: Url,
    #[command(flatten)]
    client: ClientArguments,
    /// Calls a second, each at its time whatever became of the others.
    #[arg(long, default_value_t = 100.0)]
    rate: f64,
    /// Length of the load, seconds.
    #[arg(long, default_value_t = 5.0)]
    seconds: f64,
    /// Calls in flight at once; more than that are counted as not begun.
    #[arg(long, default_value_t = 10_000)]
    most: usize,
    /// Print one JSON object.
    #[arg(long)]
    json: bool,
}

impl LoadArguments {
    fn check(&self) -> CommandResult {
        let is_rate_valid = self.rate > 0.0 && self.rate <= MAX_CALLS_PER_S;
        let is_length_valid = self.seconds > 0.0 && self.seconds <= MAX_SECONDS;
        if is_rate_valid && is_length_valid {
            return Ok(());
        }
        Err(CommandError::CannotRun(
            "--rate above 0 and up to 1e6, --seconds above 0 and up to 3600".into(),
        ))
    }
}

/// A call that has ended.
pub struct FinishedCall {
    /// What it came to.
    pub outcome: Outcome,
    /// Time since it was due.
    pub duration: Duration,
    /// Attempts that were made.
    pub attempts: u32,
}

/// Calls a dispatcher at a steady rate and prints how long responses took.
pub async fn load(arguments: LoadArguments) -> CommandResult {
    arguments.check()?;
    let client = arguments.client.client(&arguments.url)?;
    let interval = Duration::from_secs_f64(1.0 / arguments.rate);
    let calls = (arguments.rate * arguments.seconds).ceil() as u64;
    let mut report = LoadReport::new(calls)?;
    let mut in_flight = JoinSet::new();
    let started = Instant::now();
    for number in 0..calls {
        // Times count from when a call was due: one that the generator begins late has waited all the same.
        let due = started + interval.mul_f64(number as f64);
        tokio::time::sleep_until(due.into()).await;
        while let Some(finished) = in_flight.try_join_next() {
            report.add(&finished?);
        }
        if in_flight.len() >= arguments.most {
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
    while let Some(piece) = call.next().await {
        if let CallEvent::End(end) = piece {
            outcome = end;
        }
    }
    FinishedCall {
        outcome,
        duration: due.elapsed(),
        attempts: call.attempts(),
    }
}
