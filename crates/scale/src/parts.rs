//! The processes of a scale run. Each is told what it is by one line of JSON, says one line when it is up, and then answers each
//! line that it is told with one; it ends with its standard input.
use hdrhistogram::Histogram;
use pointspindle_cache_host::Host;
use pointspindle_clock::wall_clock_unix_ms;
use pointspindle_config::{parse, parse_cache_host};
use pointspindle_dispatcher::{
    ControlObserver, ControlUpdate, HollowDispatcher, PreparedDispatcher, StateCounts,
};
use pointspindle_etcd::layout::{MemberRecord, State};
use pointspindle_etcd::EtcdSource;
use pointspindle_etcd_emulator::traffic::TrafficCounts;
use pointspindle_etcd_emulator::EtcdEmulator;
use pointspindle_transport::Network;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncBufReadExt, BufReader, Lines, Stdin};
use tokio::time::Instant;

/// Keys of a scale run begin with this.
pub const PREFIX: &str = "/scale";

/// What a process is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Part {
    /// The control store's stand-in.
    Store,
    /// Hollow dispatchers with these numbers, over so many sites.
    Dispatchers {
        store: String,
        first: usize,
        count: usize,
        sites: usize,
        promise_ms: f64,
    },
    /// Hollow cache hosts: no store, no bodies.
    Hosts {
        first: usize,
        count: usize,
        sites: usize,
    },
}

/// What a process is told.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Ask {
    Figures,
    /// What was heard is counted anew.
    Forget,
    Away(bool),
    Compact,
    Drop,
}

/// What a process says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Say {
    Store {
        at: String,
        traffic: TrafficCounts,
    },
    Dispatchers(Heard),
    /// Addresses, with the records that the list has of them.
    Hosts(Vec<(String, MemberRecord)>),
    Done,
}

/// What hollow dispatchers have heard, together.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Heard {
    /// Those with a current view, and how long each took to its first one, in milliseconds.
    pub current: usize,
    pub ready_ms: Vec<f64>,
    /// From writing to in force, by milliseconds and how many; of purges and of list changes.
    pub purges: Vec<(u64, u64)>,
    pub changes: Vec<(u64, u64)>,
    pub items: StateCounts,
}

/// Microseconds since 1970: all processes are on one machine.
pub fn now_us() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_micros() as u64)
}

/// The object of a purge that is written now.
pub fn object(number: usize) -> String {
    format!("/scale/{number}/{}", now_us())
}

fn written_us(object: &str) -> Option<u64> {
    object
        .strip_prefix("/scale/")?
        .split_once('/')?
        .1
        .parse()
        .ok()
}

struct Ear {
    began: Instant,
    ready: Vec<f64>,
    first: HashMap<usize, bool>,
    current: HashMap<usize, bool>,
    purges: Histogram<u64>,
    changes: Histogram<u64>,
}

impl Ear {
    fn new() -> Option<Self> {
        let histogram = || Histogram::new_with_bounds(1, 3_600_000_000, 3).ok();
        Some(Self {
            began: Instant::now(),
            ready: Vec::new(),
            first: HashMap::new(),
            current: HashMap::new(),
            purges: histogram()?,
            changes: histogram()?,
        })
    }
}

fn lock(ear: &Mutex<Ear>) -> MutexGuard<'_, Ear> {
    ear.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

fn told(lines: &Histogram<u64>) -> Vec<(u64, u64)> {
    lines
        .iter_recorded()
        .map(|v| (v.value_iterated_to(), v.count_since_last_iteration()))
        .collect()
}

type Words = Lines<BufReader<Stdin>>;

async fn ask(words: &mut Words) -> Option<Ask> {
    let line = words.next_line().await.ok()??;
    serde_json::from_str(&line).ok()
}

fn say(what: &Say) {
    println!("{}", serde_json::to_string(what).unwrap_or_default());
}

/// Runs the part that the first line of standard input names, until that ends.
pub async fn run() -> Result<(), String> {
    let mut words = BufReader::new(tokio::io::stdin()).lines();
    let line = words
        .next_line()
        .await
        .map_err(|e| e.to_string())?
        .ok_or("nothing was asked for")?;
    match serde_json::from_str(&line).map_err(|e| format!("{line}: {e}"))? {
        Part::Store => store(words).await,
        Part::Dispatchers {
            store,
            first,
            count,
            sites,
            promise_ms,
        } => dispatchers(words, &store, first..first + count, sites, promise_ms).await,
        Part::Hosts {
            first,
            count,
            sites,
        } => hosts(words, first, count, sites).await,
    }
}

async fn store(mut words: Words) -> Result<(), String> {
    let store = EtcdEmulator::new(None);
    let at = format!(
        "http://{}",
        store.listen().await.map_err(|e| e.to_string())?
    );
    let figures = || Say::Store {
        at: at.clone(),
        traffic: store.traffic().counts(),
    };
    say(&figures());
    while let Some(asked) = ask(&mut words).await {
        match asked {
            Ask::Away(away) => store.set_faults(|f| f.unavailable = away),
            Ask::Compact => store.compact(),
            Ask::Drop => store.drop_streams(),
            Ask::Figures | Ask::Forget => {}
        }
        say(&figures());
    }
    Ok(())
}

/// A dispatcher's settings, as one in service has them, but for doors.
pub fn dispatcher_settings(store: &str, number: usize, sites: usize, promise_ms: f64) -> String {
    let zones: String = (0..sites).map(|n| format!("[zone site-{n}]\n")).collect();
    format!(
        "[dispatcher]\nname = d-{number}\nzone = site-{}\n[listen]\nhttp = 127.0.0.1:0\n\
         [etcd]\nendpoints = {store}\nprefix = {PREFIX}\ntimeout_ms = 5000\npurge_within_ms = {promise_ms}\n{zones}\
         [class page]\npath_prefix = /\n",
        number % sites
    )
}

async fn dispatchers(
    mut words: Words,
    store: &str,
    numbers: std::ops::Range<usize>,
    sites: usize,
    promise_ms: f64,
) -> Result<(), String> {
    let ear = Arc::new(Mutex::new(Ear::new().ok_or("no histogram")?));
    let mut hollow = Vec::new();
    for number in numbers {
        let settings = dispatcher_settings(store, number, sites, promise_ms);
        hollow.push(hollow_one(&settings, number, ear.clone()).await?);
    }
    say(&Say::Done);
    while let Some(asked) = ask(&mut words).await {
        let mut ear = lock(&ear);
        if asked == Ask::Forget {
            ear.purges.clear();
            ear.changes.clear();
        }
        let mut items = StateCounts::default();
        for of in hollow.iter().map(HollowDispatcher::state_counts) {
            items.endpoints += of.endpoints;
            items.purges += of.purges;
            items.dispatchers += of.dispatchers;
            items.connections += of.connections;
        }
        say(&Say::Dispatchers(Heard {
            current: ear.current.values().filter(|c| **c).count(),
            ready_ms: ear.ready.clone(),
            purges: told(&ear.purges),
            changes: told(&ear.changes),
            items,
        }));
    }
    Ok(())
}

/// One hollow dispatcher: the program's own control code, and an ear for what comes into force.
async fn hollow_one(
    settings: &str,
    number: usize,
    ear: Arc<Mutex<Ear>>,
) -> Result<HollowDispatcher, String> {
    let settings = parse("hollow", settings).map_err(|e| e.to_string())?;
    let seed = number as u64 + 1;
    let source = EtcdSource::of(&settings, seed)
        .map_err(|e| e.to_string())?
        .ok_or("no control store")?;
    let prepared = PreparedDispatcher::new(Network::Tcp, settings, seed).await;
    let ears: ControlObserver = Arc::new(move |told| {
        let now = now_us();
        let mut ear = lock(&ear);
        match told {
            ControlUpdate::Purge(head) => {
                if let Some(at) = head.object.as_deref().and_then(written_us) {
                    let _ = ear.purges.record(now.saturating_sub(at).max(1));
                }
            }
            // A change writes its moment as the member's start.
            ControlUpdate::EndpointList(head) if head.endpoints.len() == 1 => {
                let at = head.endpoints[0].incarnation;
                if at > 1_000_000_000_000_000 {
                    let _ = ear.changes.record(now.saturating_sub(at).max(1));
                }
            }
            ControlUpdate::EndpointList(_) => {}
            ControlUpdate::Freshness(current) => {
                ear.current.insert(number, current);
                if current && ear.first.insert(number, true).is_none() {
                    let ready = ear.began.elapsed().as_secs_f64() * 1e3;
                    ear.ready.push(ready);
                }
            }
        }
    });
    Ok(prepared.into_hollow(source, ears))
}

/// A hollow cache host's settings: all of a host's but a store.
fn host_settings(number: usize) -> String {
    format!(
        "[cache]\nname = h-{number}\nrole = cache\n[listen]\nframed = 127.0.0.1:0\n\
         [class page]\n[origin]\naddress = 127.0.0.1:9\n[store]\npath = hollow\n"
    )
}

pub fn record(number: usize, sites: usize) -> MemberRecord {
    MemberRecord {
        state: State::Ready,
        weight: 50.0,
        zone: format!("site-{}", number % sites),
        kind: "cache".into(),
        cell: number as u64,
        start: 1,
        started_unix_ms: Some(wall_clock_unix_ms().saturating_sub(600_000)),
    }
}

async fn hosts(mut words: Words, first: usize, count: usize, sites: usize) -> Result<(), String> {
    let mut running = Vec::new();
    let mut listed = Vec::new();
    for number in first..first + count {
        let mut settings =
            parse_cache_host("hollow", &host_settings(number)).map_err(|e| e.to_string())?;
        settings.store = None;
        let host = Host::start(settings, Network::Tcp)
            .await
            .map_err(|e| e.to_string())?;
        listed.push((host.bound().framed.to_string(), record(number, sites)));
        running.push(host);
    }
    say(&Say::Hosts(listed.clone()));
    while ask(&mut words).await.is_some() {
        say(&Say::Hosts(Vec::new()));
    }
    drop(running);
    Ok(())
}

/// Told to a process that is to end.
pub const LAST_WORDS: Duration = Duration::from_secs(2);
