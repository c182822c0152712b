//! Lists and purges through etcd, from the command line.
use crate::Failure;
use pointspindle_etcd::layout::{MemberRecord, PurgeRecord, State};
use pointspindle_etcd::{feed, writer, Access, Etcd, Output, View, Watcher, WatcherSettings};
use pointspindle_etcd_emulator::measure::{measure, Plan};
use pointspindle_protocol::{EndpointListForm, EndpointRecord};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

#[derive(clap::Args)]
pub struct EtcdArguments {
    /// Through etcd, for all dispatchers that follow it: http://ADDRESS:PORT, several with commas; https with --authority.
    #[arg(long, value_name = "URL", value_delimiter = ',')]
    pub etcd: Vec<String>,
    /// Keys begin with this, then /v1/.
    #[arg(long, default_value = "/pointspindle")]
    prefix: String,
    /// PEM of the authority of etcd's certificates.
    #[arg(long, value_name = "FILE")]
    authority: Option<PathBuf>,
    /// User, with the password in the first line of --password-file.
    #[arg(long, requires = "password_file")]
    user: Option<String>,
    #[arg(long, value_name = "FILE")]
    password_file: Option<PathBuf>,
}

impl EtcdArguments {
    fn open(&self) -> Result<Etcd, Failure> {
        let access = Access {
            endpoints: self.etcd.clone(),
            authority: self.authority.clone(),
            identity: None,
            user: self.user.clone().zip(self.password_file.clone()),
        };
        Ok(Etcd::new(&access, Duration::from_secs(3))?)
    }

    pub async fn purge(
        &self,
        object: Option<String>,
        group: u64,
        wait: bool,
    ) -> Result<(), Failure> {
        let etcd = self.open()?;
        let revision = writer::purge(&etcd, &self.prefix, &PurgeRecord { object, group }).await?;
        println!("purged at revision {revision}");
        // Asked after the write: who registers from now on has read it.
        let promise = writer::promise(&etcd, &self.prefix).await?;
        if promise.without.is_empty() && promise.dispatchers > 0 {
            println!(
                "in force at all {} dispatchers within {} ms of that, by their own promise",
                promise.dispatchers, promise.within_ms
            );
            if wait {
                tokio::time::sleep(Duration::from_millis(promise.within_ms)).await;
                println!("in force everywhere");
            }
            return Ok(());
        }
        let some: Vec<&str> = promise.without.iter().take(5).map(String::as_str).collect();
        let (all, none) = (promise.dispatchers, promise.without.len());
        println!(
            "no time can be told: {none} of {all} dispatchers promise none (purge_within_ms){}",
            match some[..] {
                [] => String::new(),
                _ => format!(": {} ...", some.join(", ")),
            }
        );
        if wait {
            return Err(Failure::No);
        }
        Ok(())
    }

    /// `change`: what a member's line is to become of what it was; none: it is taken away.
    pub async fn member(
        &self,
        address: &str,
        change: impl Fn(Option<MemberRecord>) -> Result<Option<MemberRecord>, String>,
    ) -> Result<(), Failure> {
        let etcd = self.open()?;
        let revision = writer::member(&etcd, &self.prefix, address, change).await?;
        println!("{address}: written at revision {revision}");
        Ok(())
    }

    /// Shows the view as dispatchers see it, once or for as long as it is looked at.
    pub async fn show(&self, go_on: bool) -> Result<(), Failure> {
        let etcd = self.open()?;
        let watcher = Watcher::new(
            &self.prefix,
            WatcherSettings::default(),
            0,
            std::process::id() as u64,
        );
        let mut shown: BTreeMap<String, EndpointRecord> = BTreeMap::new();
        let followed = feed::run(etcd, self.prefix.clone(), watcher, move |output| {
            match output {
                Output::EndpointList(head) => {
                    if head.form() == EndpointListForm::Full {
                        shown.clear();
                    }
                    for line in &head.endpoints {
                        shown.insert(line.address.clone(), line.clone());
                        print_line(line);
                    }
                    println!("list {}, {} members", head.seq, shown.len());
                    return go_on;
                }
                Output::Purge(head) => match head.object {
                    Some(object) => println!("purge of {object}"),
                    None => println!("purge of group {}", head.group),
                },
                Output::Dispatchers(all) => {
                    println!(
                        "dispatchers: {}",
                        all.keys().cloned().collect::<Vec<_>>().join(", ")
                    )
                }
                Output::UpdatesMissed { initial: false, .. } => {
                    println!("history is lost: everything counts as purged")
                }
                Output::InvalidKey(error) => println!("not used: {error}"),
                Output::View(View::Stale) => println!("the view is stale"),
                Output::View(View::Current) => println!("the view is current"),
                _ => {}
            }
            true
        });
        tokio::select! {
            () = followed => Ok(()),
            () = tokio::time::sleep(Duration::from_secs(5)), if !go_on => Err(Failure::CannotRun("etcd does not answer".into())),
            _ = tokio::signal::ctrl_c() => Ok(()),
        }
    }
}

fn print_line(m: &EndpointRecord) {
    let state = format!("{:?}", m.state()).to_lowercase();
    println!(
        "  {:<22} {state:<9} {:<7} {:<12} weight {}",
        m.address, m.kind, m.zone, m.weight
    );
}

/// A record after a change of its state, as `members --set` words it.
pub fn changed(
    known: Option<MemberRecord>,
    state: &str,
    new: impl FnOnce() -> Result<MemberRecord, String>,
    weight: Option<f64>,
    cold: bool,
) -> Result<Option<MemberRecord>, String> {
    let state = match state {
        "ready" => State::Ready,
        "draining" => State::Draining,
        _ => return Ok(None),
    };
    let mut record = match known {
        Some(record) => record,
        None => new()?,
    };
    record.state = state;
    record.weight = weight.unwrap_or(record.weight);
    if cold {
        record.start += 1;
        record.started_unix_ms = Some(pointspindle_clock::wall_clock_unix_ms());
    }
    Ok(Some(record))
}

#[derive(clap::Args)]
pub struct MeasureArguments {
    /// Watchers at once, each with a connection of its own.
    #[arg(long, value_delimiter = ',', default_value = "1,50,200")]
    watchers: Vec<usize>,
    /// Purges a second.
    #[arg(long, default_value_t = 20.0)]
    rate: f64,
    #[arg(long, default_value_t = 5.0)]
    seconds: f64,
    /// Streams break so often on average, milliseconds; 0: never.
    #[arg(long, default_value_t = 300)]
    drop_ms: u64,
    /// Keys that are there from the start.
    #[arg(long, default_value_t = 100)]
    members: usize,
    #[arg(long, default_value_t = 0)]
    purges: usize,
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// `pointspindle lab etcd`.
pub async fn lag(a: MeasureArguments) -> Result<(), Failure> {
    if !(a.rate > 0.0 && a.rate <= 1e5 && a.seconds > 0.0 && a.seconds <= 600.0) {
        return Err(Failure::CannotRun(
            "--rate above 0 and up to 1e5, --seconds above 0 and up to 600".into(),
        ));
    }
    println!(
        "seed {}, {} purges a second for {} s, streams break every {} ms on average",
        a.seed, a.rate, a.seconds, a.drop_ms
    );
    let mut whole = true;
    for watchers in a.watchers {
        let plan = Plan {
            watchers,
            rate: a.rate,
            seconds: a.seconds,
            drop_every: (a.drop_ms > 0).then(|| Duration::from_millis(a.drop_ms)),
            members: a.members,
            purges: a.purges,
            seed: a.seed,
        };
        let f = measure(plan).await?;
        let ms = |q: f64| f.lag.value_at_quantile(q) as f64 / 1e3;
        println!(
            "{watchers:>4} watchers: {} writes, {} drops: lag p50 {:.1} ms, p99 {:.1} ms, longest {:.1} ms; {} never heard, {} gaps; first view {:.0} ms, again after compaction {:.0} ms",
            f.writes,
            f.drops,
            ms(0.5),
            ms(0.99),
            f.lag.max() as f64 / 1e3,
            f.missing,
            f.gaps,
            f.first_view.as_secs_f64() * 1e3,
            f.again.as_secs_f64() * 1e3
        );
        whole &= f.missing == 0;
    }
    whole.then_some(()).ok_or(Failure::No)
}
