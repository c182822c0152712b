//! `pointspindle lab etcd`.
use crate::exit::{negative_if, CommandError, CommandResult};
use pointspindle_etcd_emulator::measure::{measure_watch_lag, Measurement, MeasurementPlan};
use std::time::Duration;

const MAX_PURGES_PER_S: f64 = 1e5;
const MAX_SECONDS: f64 = 600.0;

/// Arguments of `lab etcd`.
#[derive(clap::Args)]
pub struct EtcdLagArguments {
    /// Watchers at once, each with a connection of its own.
    #[arg(long, value_delimiter = ',', default_value = "1,50,200")]
    watchers: Vec<usize>,
    /// Purges a second.
    #[arg(long, default_value_t = 20.0)]
    rate: f64,
    /// Length of each measurement, seconds.
    #[arg(long, default_value_t = 5.0)]
    seconds: f64,
    /// Streams break so often on average, milliseconds; 0: never.
    #[arg(long, default_value_t = 300)]
    drop_ms: u64,
    /// Endpoint records that are there from the start.
    #[arg(long, default_value_t = 100)]
    members: usize,
    /// Purge records that are there from the start.
    #[arg(long, default_value_t = 0)]
    purges: usize,
    /// Seed of what is drawn at random.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

impl EtcdLagArguments {
    fn check(&self) -> CommandResult {
        let is_rate_valid = self.rate > 0.0 && self.rate <= MAX_PURGES_PER_S;
        let is_length_valid = self.seconds > 0.0 && self.seconds <= MAX_SECONDS;
        if is_rate_valid && is_length_valid {
            return Ok(());
        }
        Err(CommandError::CannotRun(
            "--rate above 0 and up to 1e5, --seconds above 0 and up to 600".into(),
        ))
    }

    fn plan(&self, watchers: usize) -> MeasurementPlan {
        MeasurementPlan {
            watchers,
            purges_per_second: self.rate,
            seconds: self.seconds,
            mean_drop_interval: (self.drop_ms > 0).then(|| Duration::from_millis(self.drop_ms)),
            initial_endpoints: self.members,
            initial_purges: self.purges,
            seed: self.seed,
        }
    }
}

/// Measures how late watchers learn of purges, and prints a line for each number of them.
pub async fn etcd_lag(arguments: EtcdLagArguments) -> CommandResult {
    arguments.check()?;
    println!(
        "seed {}, {} purges a second for {} s, streams break every {} ms on average",
        arguments.seed, arguments.rate, arguments.seconds, arguments.drop_ms
    );
    let mut missing = 0;
    for &watchers in &arguments.watchers {
        let figures = measure_watch_lag(arguments.plan(watchers)).await?;
        print_figures(watchers, &figures);
        missing += figures.missing;
    }
    negative_if(missing > 0)
}

fn print_figures(watchers: usize, figures: &Measurement) {
    let ms = |quantile: f64| figures.lag.value_at_quantile(quantile) as f64 / 1e3;
    println!(
        "{watchers:>4} watchers: {} writes, {} drops: lag p50 {:.1} ms, p99 {:.1} ms, longest {:.1} ms; {} never heard, {} gaps; first view {:.0} ms, again after compaction {:.0} ms",
        figures.writes,
        figures.drops,
        ms(0.5),
        ms(0.99),
        figures.lag.max() as f64 / 1e3,
        figures.missing,
        figures.gaps,
        figures.first_view.as_secs_f64() * 1e3,
        figures.view_after_compaction.as_secs_f64() * 1e3
    );
}
