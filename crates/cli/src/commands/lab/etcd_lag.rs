//! The `pointspindle lab etcd` command.
use pointspindle_cli::exit::{negative_if, CommandError, CommandResult};
use pointspindle_etcd_emulator::measure::{measure_watch_lag, Measurement, MeasurementPlan};
use std::time::Duration;

const MAX_PURGES_PER_S: f64 = 1e5;
const MAX_SECONDS: f64 = 600.0;

/// Arguments of `lab etcd`.
#[derive(clap::Args)]
pub struct EtcdLagArguments {
    /// Numbers of concurrent watchers, one for each measurement; each watcher has its own connection.
    #[arg(long, value_delimiter = ',', default_value = "1,50,200")]
    watchers: Vec<usize>,
    /// Purges per second.
    #[arg(long, default_value_t = 20.0)]
    rate: f64,
    /// Duration of each measurement, in seconds.
    #[arg(long, default_value_t = 5.0)]
    seconds: f64,
    /// Mean time between two breaks of the streams, in milliseconds; 0 disables breaks.
    #[arg(long, default_value_t = 300)]
    drop_ms: u64,
    /// Number of endpoint records at the start.
    #[arg(long, default_value_t = 100)]
    members: usize,
    /// Number of purge records at the start.
    #[arg(long, default_value_t = 0)]
    purges: usize,
    /// Seed of the random number generator.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

impl EtcdLagArguments {
    fn check(&self) -> CommandResult {
        let is_rate_valid = self.rate > 0.0 && self.rate <= MAX_PURGES_PER_S;
        let is_duration_valid = self.seconds > 0.0 && self.seconds <= MAX_SECONDS;
        if is_rate_valid && is_duration_valid {
            return Ok(());
        }
        Err(CommandError::CannotRun(
            "--rate must be above 0 and at most 1e5, --seconds above 0 and at most 600".into(),
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

/// Measures how late watchers receive purges, and prints a line for each number of watchers.
pub async fn etcd_lag(arguments: EtcdLagArguments) -> CommandResult {
    arguments.check()?;
    println!(
        "seed {}, {} purges per second for {} s, streams break every {} ms on average",
        arguments.seed, arguments.rate, arguments.seconds, arguments.drop_ms
    );
    let mut missing = 0;
    for &watchers in &arguments.watchers {
        let figures = measure_watch_lag(arguments.plan(watchers)).await?;
        print_figures(watchers, &figures);
        missing += figures.unreported;
    }
    negative_if(missing > 0)
}

fn print_figures(watchers: usize, figures: &Measurement) {
    let ms = |quantile: f64| figures.lag.value_at_quantile(quantile) as f64 / 1e3;
    println!(
        "{watchers:>4} watchers: {} writes, {} drops: lag p50 {:.1} ms, p99 {:.1} ms, longest {:.1} ms; {} not received, {} gaps; first view {:.0} ms, view after compaction {:.0} ms",
        figures.writes,
        figures.drops,
        ms(0.5),
        ms(0.99),
        figures.lag.max() as f64 / 1e3,
        figures.unreported,
        figures.missed_update_reports,
        figures.first_view.as_secs_f64() * 1e3,
        figures.view_after_compaction.as_secs_f64() * 1e3
    );
}
