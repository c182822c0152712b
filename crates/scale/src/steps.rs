//! The phases of a scale run at one size: start, rest, purges, ten times the purges, changes of the list, a storm of purges,
//! restarts, a site's worth killed at once, the control store away, compacted, and its streams broken. After each, what it cost.
use super::parts::{now_us, object, Ask, Heard, Part, Say, LAST_WORDS, PREFIX};
use super::Target;
use pointspindle_dispatcher::StateCounts;
use pointspindle_etcd::layout::{MemberRecord, PurgeRecord};
use pointspindle_etcd::{writer, Access, Etcd};
use pointspindle_etcd_emulator::traffic::TrafficCounts;
use pointspindle_testbed::idle::usage;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::Stdio;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::process::{Child, ChildStdin, ChildStdout, Command};
use tokio::time::{timeout, Instant};

/// Longest wait for a process's word, and for all views to be current again.
const PATIENCE: Duration = Duration::from_secs(60);
/// A registration's lease lasts so long: restarts are told by then.
const LEASE: Duration = Duration::from_secs(6);

#[derive(Debug, thiserror::Error)]
pub enum ScaleError {
    /// The rig's own failure.
    #[error("the rig: {0}")]
    Rig(String),
    #[error("{0}")]
    Bound(String),
}

fn rig(e: impl std::fmt::Display) -> ScaleError {
    ScaleError::Rig(e.to_string())
}

/// Of a distribution of times from writing to in force.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Lag {
    pub written: u64,
    pub heard: u64,
    /// Words that never came.
    pub never: u64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub longest_ms: f64,
}

/// Of one kind of process.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Cost {
    /// Share of a core, of all processes of the kind together, and resident memory.
    pub cores: f64,
    pub memory_mb: f64,
    pub descriptors: u64,
}

/// One phase.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Phase {
    pub name: String,
    pub seconds: f64,
    /// At the control store, within the phase.
    pub traffic: TrafficCounts,
    pub store: Cost,
    pub dispatchers: Cost,
    pub hosts: Cost,
    pub purges: Option<Lag>,
    pub changes: Option<Lag>,
    /// Until every view was current (again), in milliseconds; none: not asked for.
    pub whole_ms: Option<f64>,
    /// What one dispatcher keeps, on the mean.
    pub items: StateCounts,
}

/// One size.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Step {
    pub dispatchers: usize,
    pub hosts: usize,
    pub phases: Vec<Phase>,
    /// Start to ready when all start at once, and after a restart: p50, p90, longest.
    pub ready_ms: [f64; 3],
    pub restart_ready_ms: [f64; 3],
}

struct Process {
    child: Child,
    asks: ChildStdin,
    says: Lines<BufReader<ChildStdout>>,
}

impl Process {
    async fn start(program: &PathBuf, part: &Part) -> Result<(Self, Say), ScaleError> {
        let mut child = Command::new(program)
            .args(["--log", "error", "lab", "scale-part"])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .map_err(rig)?;
        let asks = child
            .stdin
            .take()
            .ok_or_else(|| rig("no way to a process"))?;
        let says = child
            .stdout
            .take()
            .ok_or_else(|| rig("no way from a process"))?;
        let mut process = Self {
            child,
            asks,
            says: BufReader::new(says).lines(),
        };
        process.tell(part).await?;
        let up = process.hear().await?;
        Ok((process, up))
    }

    async fn tell(&mut self, what: &impl Serialize) -> Result<(), ScaleError> {
        let line = serde_json::to_string(what).map_err(rig)? + "\n";
        self.asks.write_all(line.as_bytes()).await.map_err(rig)
    }

    async fn hear(&mut self) -> Result<Say, ScaleError> {
        let line = timeout(PATIENCE, self.says.next_line()).await;
        let line = line
            .map_err(|_| rig("a process says nothing"))?
            .map_err(rig)?;
        let line =
            line.ok_or_else(|| rig("a process of the rig died; what it stood for is not judged"))?;
        serde_json::from_str(&line).map_err(rig)
    }

    async fn ask(&mut self, what: Ask) -> Result<Say, ScaleError> {
        self.tell(&what).await?;
        self.hear().await
    }

    fn pid(&self) -> u32 {
        self.child.id().unwrap_or_default()
    }

    async fn end(mut self) {
        drop(self.asks);
        if timeout(LAST_WORDS, self.child.wait()).await.is_err() {
            let _ = self.child.kill().await;
        }
    }
}

/// Processor seconds, resident megabytes and descriptors of a process.
fn used(pid: u32) -> (f64, f64, u64) {
    let (cpu, bytes) = usage(pid);
    let open = std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, |d| d.count() as u64);
    (cpu.as_secs_f64(), bytes as f64 / 1024.0 / 1024.0, open)
}

/// The machine's memory; 0: it does not say.
pub fn machine_mb() -> f64 {
    let info = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let kb = info.lines().find_map(|l| l.strip_prefix("MemTotal:"));
    kb.and_then(|l| l.trim().trim_end_matches(" kB").parse::<f64>().ok())
        .unwrap_or(0.0)
        / 1024.0
}

/// A fleet at one size.
struct Fleet {
    program: PathBuf,
    target: Target,
    sites: usize,
    store: Process,
    at: String,
    etcd: Etcd,
    dispatchers: Vec<(Process, usize, usize)>,
    hosts: Vec<Process>,
    listed: Vec<(String, MemberRecord)>,
    seen: TrafficCounts,
    cpu: [f64; 3],
    since: Instant,
    /// Processor time of processes that ended within the phase is not lost.
    ended: f64,
}

impl Fleet {
    async fn start(
        program: &std::path::Path,
        target: &Target,
        n: usize,
    ) -> Result<Self, ScaleError> {
        let program = program.to_owned();
        let (store, up) = Process::start(&program, &Part::Store).await?;
        let Say::Store { at, .. } = up else {
            return Err(rig("not the store's word"));
        };
        let access = Access {
            endpoints: vec![at.clone()],
            ..Default::default()
        };
        let etcd = Etcd::new(&access, Duration::from_secs(30)).map_err(rig)?;
        let sites = target.sites.min(n).max(1);
        let count = (target.hosts * n).div_ceil(target.dispatchers).max(1);
        let mut fleet = Self {
            program,
            target: target.clone(),
            sites,
            store,
            at,
            etcd,
            dispatchers: Vec::new(),
            hosts: Vec::new(),
            listed: Vec::new(),
            seen: TrafficCounts::default(),
            cpu: [0.0; 3],
            since: Instant::now(),
            ended: 0.0,
        };
        for first in (0..count).step_by(target.hosts_each) {
            let part = Part::Hosts {
                first,
                count: target.hosts_each.min(count - first),
                sites,
            };
            let (process, up) = Process::start(&fleet.program, &part).await?;
            let Say::Hosts(listed) = up else {
                return Err(rig("not hosts' word"));
            };
            fleet.listed.extend(listed);
            fleet.hosts.push(process);
        }
        for (address, record) in fleet.listed.clone() {
            fleet.write(&address, &record).await?;
        }
        Ok(fleet)
    }

    async fn write(&self, address: &str, record: &MemberRecord) -> Result<(), ScaleError> {
        let written =
            writer::member(&self.etcd, PREFIX, address, |_| Ok(Some(record.clone()))).await;
        written.map(|_| ()).map_err(rig)
    }

    async fn purge(&self, number: usize) -> Result<(), ScaleError> {
        let record = PurgeRecord {
            object: Some(object(number)),
            group: number as u64,
        };
        writer::purge(&self.etcd, PREFIX, &record)
            .await
            .map(|_| ())
            .map_err(rig)
    }

    async fn start_dispatchers(&mut self, first: usize, count: usize) -> Result<(), ScaleError> {
        let (store, sites) = (self.at.clone(), self.sites);
        let promise_ms = if self.target.promise {
            self.target.purge_ms
        } else {
            0.0
        };
        let part = Part::Dispatchers {
            store,
            first,
            count,
            sites,
            promise_ms,
        };
        let (process, _) = Process::start(&self.program, &part).await?;
        self.dispatchers.push((process, first, count));
        Ok(())
    }

    async fn heard(&mut self, what: Ask) -> Result<Vec<Heard>, ScaleError> {
        let mut all = Vec::new();
        for (process, ..) in &mut self.dispatchers {
            match process.ask(what.clone()).await? {
                Say::Dispatchers(heard) => all.push(heard),
                other => return Err(rig(format!("not dispatchers' word: {other:?}"))),
            }
        }
        Ok(all)
    }

    fn count(&self) -> usize {
        self.dispatchers.iter().map(|(_, _, count)| count).sum()
    }

    /// Until every view is current and, where asked, everybody has registered; how long it took.
    async fn whole(&mut self) -> Result<f64, ScaleError> {
        let began = Instant::now();
        let count = self.count();
        loop {
            let heard = self.heard(Ask::Figures).await?;
            let current: usize = heard.iter().map(|h| h.current).sum();
            let roster: usize = heard.iter().map(|h| h.items.dispatchers).sum();
            if current == count && roster >= count * count {
                return Ok(began.elapsed().as_secs_f64() * 1e3);
            }
            if began.elapsed() > PATIENCE {
                let why = format!("{current} of {count} views current, {roster} registrations known in all, after a minute");
                return Err(rig(why));
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    fn costs(&self) -> ([f64; 3], [Cost; 3]) {
        let sum = |pids: Vec<u32>| {
            let mut cost = Cost::default();
            let mut seconds = 0.0;
            for (s, mb, open) in pids.into_iter().map(used) {
                seconds += s;
                cost.memory_mb += mb;
                cost.descriptors += open;
            }
            (seconds, cost)
        };
        let store = sum(vec![self.store.pid()]);
        let dispatchers = sum(self.dispatchers.iter().map(|(p, ..)| p.pid()).collect());
        let hosts = sum(self.hosts.iter().map(Process::pid).collect());
        (
            [store.0, dispatchers.0, hosts.0],
            [store.1, dispatchers.1, hosts.1],
        )
    }

    /// A phase begins.
    async fn begin(&mut self) -> Result<(), ScaleError> {
        self.heard(Ask::Forget).await?;
        let Say::Store { traffic, .. } = self.store.ask(Ask::Figures).await? else {
            return Err(rig("not the store's word"));
        };
        self.seen = traffic;
        self.cpu = self.costs().0;
        self.ended = 0.0;
        self.since = Instant::now();
        Ok(())
    }

    async fn end_of(
        &mut self,
        name: &str,
        purges: Option<u64>,
        changes: Option<u64>,
    ) -> Result<Phase, ScaleError> {
        let seconds = self.since.elapsed().as_secs_f64();
        let (cpu, [mut store, mut dispatchers, mut hosts]) = self.costs();
        let Say::Store { traffic, .. } = self.store.ask(Ask::Figures).await? else {
            return Err(rig("not the store's word"));
        };
        store.cores = (cpu[0] - self.cpu[0]) / seconds;
        dispatchers.cores = ((cpu[1] - self.cpu[1] + self.ended) / seconds).max(0.0);
        hosts.cores = (cpu[2] - self.cpu[2]) / seconds;
        let heard = self.heard(Ask::Figures).await?;
        let count = self.count() as u64;
        let lag = |written: u64, of: fn(&Heard) -> &Vec<(u64, u64)>| {
            let mut all: BTreeMap<u64, u64> = BTreeMap::new();
            heard
                .iter()
                .flat_map(of)
                .for_each(|(us, n)| *all.entry(*us).or_default() += n);
            let got: u64 = all.values().sum();
            let at = |q: f64| {
                let mut left = (q * got as f64).ceil() as u64;
                let found = all.iter().find(|(_, n)| {
                    let here = **n >= left;
                    left = left.saturating_sub(**n);
                    here
                });
                found
                    .or(all.iter().next_back())
                    .map_or(0.0, |(us, _)| *us as f64 / 1e3)
            };
            let never = (written * count).saturating_sub(got);
            Lag {
                written,
                heard: got,
                never,
                p50_ms: at(0.5),
                p99_ms: at(0.99),
                longest_ms: at(1.0),
            }
        };
        let mean = |of: fn(&StateCounts) -> usize| {
            heard.iter().map(|h| of(&h.items)).sum::<usize>() / (count.max(1) as usize)
        };
        Ok(Phase {
            name: name.to_owned(),
            seconds,
            traffic: traffic.since(&self.seen),
            store,
            dispatchers,
            hosts,
            purges: purges.map(|written| lag(written, |h| &h.purges)),
            changes: changes.map(|written| lag(written, |h| &h.changes)),
            whole_ms: None,
            items: StateCounts {
                endpoints: mean(|i| i.endpoints),
                purges: mean(|i| i.purges),
                dispatchers: mean(|i| i.dispatchers),
                connections: mean(|i| i.connections),
            },
        })
    }

    /// Writes at a pace for so long; how many.
    async fn write_purges(&self, rate: f64, from: usize) -> Result<u64, ScaleError> {
        let began = Instant::now();
        let mut written = 0;
        while began.elapsed().as_secs_f64() < self.target.seconds {
            tokio::time::sleep_until(began + Duration::from_secs_f64(written as f64 / rate)).await;
            self.purge(from + written).await?;
            written += 1;
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
        Ok(written as u64)
    }

    /// Until all have heard of so many purges, or nobody hears of any more.
    async fn all_heard(&mut self, written: u64) -> Result<(), ScaleError> {
        let mut before = 0;
        loop {
            tokio::time::sleep(Duration::from_secs(1)).await;
            let heard = self.heard(Ask::Figures).await?;
            let heard = heard.iter().flat_map(|h| &h.purges).map(|(_, n)| n).sum();
            if heard >= written * self.count() as u64 || heard == before {
                return Ok(());
            }
            before = heard;
        }
    }

    async fn end(self) {
        for process in self
            .dispatchers
            .into_iter()
            .map(|d| d.0)
            .chain(self.hosts)
            .chain([self.store])
        {
            process.end().await;
        }
    }
}

fn quantiles(mut all: Vec<f64>) -> [f64; 3] {
    all.sort_by(f64::total_cmp);
    let at = |q: f64| {
        let place = (q * all.len() as f64).ceil() as usize;
        all.get(place.saturating_sub(1)).copied().unwrap_or(0.0)
    };
    [at(0.5), at(0.9), at(1.0)]
}

/// Half of the machine's memory is the bound.
fn bounded(phase: &Phase) -> Result<(), ScaleError> {
    let used = phase.store.memory_mb + phase.dispatchers.memory_mb + phase.hosts.memory_mb;
    let most = machine_mb() / 2.0;
    if most > 0.0 && used > most {
        return Err(ScaleError::Bound(format!(
            "the fleet holds {used:.0} MB, over half of the machine's memory ({most:.0} MB): stopped here"
        )));
    }
    Ok(())
}

/// Plays all phases at one size. `tell` hears of each.
pub async fn play(
    program: &std::path::Path,
    target: &Target,
    n: usize,
    mut tell: impl FnMut(&str),
) -> Result<Step, ScaleError> {
    let mut fleet = Fleet::start(program, target, n).await?;
    let mut step = Step {
        dispatchers: n,
        hosts: fleet.listed.len(),
        ..Step::default()
    };
    let played = phases(&mut fleet, &mut step, n, &mut tell).await;
    fleet.end().await;
    played.map(|()| step)
}

async fn phases(
    fleet: &mut Fleet,
    step: &mut Step,
    n: usize,
    tell: &mut impl FnMut(&str),
) -> Result<(), ScaleError> {
    let target = fleet.target.clone();
    let rest = Duration::from_secs_f64(target.seconds);
    let mut keep = |phase: Phase| {
        tell(&phase.name);
        bounded(&phase)?;
        step.phases.push(phase);
        Ok::<(), ScaleError>(())
    };
    // All start at once.
    fleet.begin().await?;
    for first in (0..n).step_by(target.each) {
        fleet
            .start_dispatchers(first, target.each.min(n - first))
            .await?;
    }
    let whole = fleet.whole().await?;
    let mut phase = fleet.end_of("start", None, None).await?;
    phase.whole_ms = Some(whole);
    keep(phase)?;
    step_ready(fleet, &mut step.ready_ms, 0).await?;
    // Connections to hosts and their first words are over by then.
    tokio::time::sleep(Duration::from_secs(1)).await;

    fleet.begin().await?;
    tokio::time::sleep(rest).await;
    keep(fleet.end_of("rest", None, None).await?)?;

    let mut purged = 0;
    for (name, rate) in [
        ("purges", target.purges_per_s),
        ("purges x10", 10.0 * target.purges_per_s),
    ] {
        fleet.begin().await?;
        let written = fleet.write_purges(rate, purged).await?;
        purged += written as usize;
        keep(fleet.end_of(name, Some(written), None).await?)?;
    }

    // Changes of a member's line, one after another.
    fleet.begin().await?;
    let mut changed = 0;
    while fleet.since.elapsed() < rest {
        let (address, record) = fleet.listed[changed % fleet.listed.len()].clone();
        fleet
            .write(
                &address,
                &MemberRecord {
                    start: now_us(),
                    ..record
                },
            )
            .await?;
        changed += 1;
        tokio::time::sleep(Duration::from_millis(250)).await;
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    keep(fleet.end_of("changes", None, Some(changed as u64)).await?)?;

    fleet.begin().await?;
    for number in 0..target.storm {
        fleet.purge(purged + number).await?;
    }
    fleet.all_heard(target.storm as u64).await?;
    keep(
        fleet
            .end_of("storm", Some(target.storm as u64), None)
            .await?,
    )?;

    // A process's worth of dispatchers is killed and started again, before and after their leases have ended.
    fleet.begin().await?;
    let last = fleet.dispatchers.len() - 1;
    let (mut killed, first, count) = fleet.dispatchers.remove(last);
    fleet.ended = used(killed.pid()).0;
    killed.child.kill().await.map_err(rig)?;
    tokio::time::sleep(LEASE).await;
    fleet.start_dispatchers(first, count).await?;
    let whole = fleet.whole().await?;
    let mut phase = fleet.end_of("restart", None, None).await?;
    phase.whole_ms = Some(whole);
    keep(phase)?;
    step_ready(fleet, &mut step.restart_ready_ms, last).await?;

    // The store is away, then back; then all history is compacted while everybody is away.
    for (name, compacted) in [("store away", false), ("compacted", true)] {
        fleet.begin().await?;
        fleet.store.ask(Ask::Away(true)).await?;
        tokio::time::sleep(Duration::from_secs_f64(target.away_s)).await;
        if compacted {
            fleet.store.ask(Ask::Compact).await?;
        }
        fleet.store.ask(Ask::Away(false)).await?;
        let whole = fleet.whole().await?;
        let mut phase = fleet.end_of(name, None, None).await?;
        phase.whole_ms = Some(whole);
        keep(phase)?;
    }

    fleet.begin().await?;
    fleet.store.ask(Ask::Drop).await?;
    let whole = fleet.whole().await?;
    let mut phase = fleet.end_of("streams broken", None, None).await?;
    phase.whole_ms = Some(whole);
    keep(phase)
}

async fn step_ready(fleet: &mut Fleet, into: &mut [f64; 3], from: usize) -> Result<(), ScaleError> {
    let heard = fleet.heard(Ask::Figures).await?;
    *into = quantiles(
        heard
            .into_iter()
            .skip(from)
            .flat_map(|h| h.ready_ms)
            .collect(),
    );
    Ok(())
}
