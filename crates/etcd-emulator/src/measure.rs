//! How late dispatchers learn of what is written, by a stand-in whose streams break; and what a large view costs to read anew.
use super::EtcdEmulator;
use hdrhistogram::Histogram;
use pointspindle_etcd::layout::{purge_key, MemberRecord, PurgeRecord, State};
use pointspindle_etcd::proto::*;
use pointspindle_etcd::{feed, writer, Access, Etcd, Output, View, Watcher, WatcherSettings};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;

const PREFIX: &str = "/measure";

#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub watchers: usize,
    /// Purges a second, and for how long.
    pub rate: f64,
    pub seconds: f64,
    /// Streams break so often, on average; none: never.
    pub drop_every: Option<Duration>,
    /// Keys that are there from the start.
    pub members: usize,
    pub purges: usize,
    pub seed: u64,
}

#[derive(Clone, Debug)]
pub struct Figures {
    /// From a write's acknowledgement to a watcher's word, microseconds; over all watchers and writes.
    pub lag: Histogram<u64>,
    pub writes: usize,
    /// Words that were awaited and never came: a gap that was told counts as word.
    pub missing: usize,
    pub gaps: usize,
    pub drops: usize,
    /// From asking to a current view, at the start: the slowest watcher's.
    pub first_view: Duration,
    /// The same after all history was compacted away while streams were broken.
    pub again: Duration,
}

/// What one watcher has heard.
#[derive(Default)]
struct Heard {
    purges: HashMap<String, Instant>,
    gaps: Vec<Instant>,
    /// When the view was last found whole by a snapshot.
    lists: Vec<Instant>,
    current: Option<Instant>,
}

fn access(endpoint: &str) -> Access {
    Access {
        endpoints: vec![endpoint.to_owned()],
        ..Default::default()
    }
}

pub async fn measure(plan: Plan) -> Result<Figures, String> {
    let stand_in = EtcdEmulator::new(None);
    let endpoint = format!(
        "http://{}",
        stand_in.listen().await.map_err(|e| e.to_string())?
    );
    let patience = Duration::from_secs(10);
    let client = Etcd::new(&access(&endpoint), patience).map_err(|e| e.to_string())?;
    fill(&stand_in, plan);
    let began = Instant::now();
    let mut heard = Vec::new();
    for n in 0..plan.watchers {
        let ears = Arc::new(Mutex::new(Heard::default()));
        heard.push(ears.clone());
        // Each with a connection of its own, as a dispatcher's.
        let etcd = Etcd::new(&access(&endpoint), patience).map_err(|e| e.to_string())?;
        // A large view takes longer to read than silence is suffered.
        let rule = WatcherSettings {
            response_timeout_us: 10_000_000,
            ..WatcherSettings::default()
        };
        let watcher = Watcher::new(PREFIX, rule, 0, plan.seed + n as u64);
        tokio::spawn(feed::run(etcd, PREFIX.to_owned(), watcher, move |output| {
            let now = Instant::now();
            let mut ears = ears.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
            match output {
                Output::Purge(head) => {
                    ears.purges.insert(head.object.unwrap_or_default(), now);
                }
                Output::UpdatesMissed { initial: false, .. } => ears.gaps.push(now),
                Output::EndpointList(_) => ears.lists.push(now),
                Output::View(View::Current) => ears.current = Some(now),
                _ => {}
            }
            true
        }));
    }
    let first_view = all_current(&heard, |ears| ears.current.is_some(), began).await?;

    let dropping = plan.drop_every.map(|every| {
        let stand_in = stand_in.clone();
        let mut dice = StdRng::seed_from_u64(plan.seed);
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(every.mul_f64(dice.gen_range(0.5..1.5))).await;
                stand_in.drop_streams();
            }
        })
    });
    let (mut written, gap) = (Vec::new(), Duration::from_secs_f64(1.0 / plan.rate));
    let start = Instant::now();
    while start.elapsed().as_secs_f64() < plan.seconds {
        let due = start + gap.mul_f64(written.len() as f64);
        tokio::time::sleep_until(due).await;
        let object = format!("/o/{}", written.len());
        let record = PurgeRecord {
            object: Some(object.clone()),
            group: 1,
        };
        writer::purge(&client, PREFIX, &record)
            .await
            .map_err(|e| e.to_string())?;
        written.push((object, Instant::now()));
    }
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    if let Some(dropping) = dropping {
        dropping.abort();
    }
    let drops = *stand_in.inner.dropped.borrow() as usize;
    let mut lag = Histogram::new_with_bounds(1, 60_000_000, 3).map_err(|e| e.to_string())?;
    let (mut missing, mut gaps) = (0, 0);
    for ears in &heard {
        let ears = ears.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        gaps += ears.gaps.len();
        for (object, at) in &written {
            let word = ears
                .purges
                .get(object)
                .or_else(|| ears.gaps.iter().find(|gap| *gap >= at));
            match word {
                Some(word) => {
                    let _ =
                        lag.record((word.saturating_duration_since(*at).as_micros() as u64).max(1));
                }
                None => missing += 1,
            }
        }
    }
    // All history goes while everybody is away, and somebody writes meanwhile.
    stand_in.set_faults(|f| f.away = true);
    tokio::time::sleep(Duration::from_millis(100)).await;
    stand_in.change(|store, _| {
        for n in 0..3 {
            let _ = store.txn(&puts(vec![(
                purge_key(PREFIX, &format!("again-{n}")),
                purge(n),
            )]));
        }
    });
    stand_in.compact();
    let marks: Vec<usize> = heard
        .iter()
        .map(|e| e.lock().unwrap_or_else(|p| p.into_inner()).gaps.len())
        .collect();
    let back = Instant::now();
    stand_in.set_faults(|f| f.away = false);
    let mut mark = marks.into_iter();
    let marks: HashMap<usize, usize> = heard
        .iter()
        .map(|e| (Arc::as_ptr(e) as usize, mark.next().unwrap_or(0)))
        .collect();
    let again = loop {
        let done = heard.iter().all(|e| {
            let ears = e.lock().unwrap_or_else(|p| p.into_inner());
            let gap = ears.gaps.get(marks[&(Arc::as_ptr(e) as usize)]);
            gap.is_some_and(|gap| ears.lists.last() >= Some(gap))
        });
        if done {
            break back.elapsed();
        }
        if back.elapsed() > Duration::from_secs(60) {
            return Err("not every watcher has a view again within 60 s".into());
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    };
    Ok(Figures {
        lag,
        writes: written.len(),
        missing,
        gaps,
        drops,
        first_view,
        again,
    })
}

async fn all_current(
    heard: &[Arc<Mutex<Heard>>],
    is: impl Fn(&Heard) -> bool,
    began: Instant,
) -> Result<Duration, String> {
    while !heard
        .iter()
        .all(|e| is(&e.lock().unwrap_or_else(|p| p.into_inner())))
    {
        if began.elapsed() > Duration::from_secs(60) {
            return Err("not every watcher has a view within 60 s".into());
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    Ok(began.elapsed())
}

fn purge(n: usize) -> Vec<u8> {
    let record = PurgeRecord {
        object: Some(format!("/before/{n}")),
        group: n as u64,
    };
    serde_json::to_vec(&record).unwrap_or_default()
}

fn puts(all: Vec<(String, Vec<u8>)>) -> TxnRequest {
    let put = |(key, value): (String, Vec<u8>)| RequestOp {
        request: Some(request_op::Request::Put(PutRequest {
            key: key.into_bytes(),
            value,
            ..Default::default()
        })),
    };
    TxnRequest {
        success: all.into_iter().map(put).collect(),
        ..Default::default()
    }
}

fn fill(stand_in: &EtcdEmulator, plan: Plan) {
    let member = |n: usize| {
        let record = MemberRecord {
            state: State::Ready,
            weight: 8.0,
            zone: format!("branch-{}", n % 50),
            kind: "cache".into(),
            cell: 0,
            start: 1,
            started_unix_ms: None,
        };
        let address = format!("10.{}.{}.{}:9000", n / 65_536, n / 256 % 256, n % 256);
        let key = pointspindle_etcd::layout::member_key(PREFIX, &address);
        (key, serde_json::to_vec(&record).unwrap_or_default())
    };
    stand_in.change(|store, _| {
        let _ = store.txn(&puts((0..plan.members).map(member).collect()));
        let keys =
            (0..plan.purges).map(|n| (purge_key(PREFIX, &format!("before-{n:07}")), purge(n)));
        let _ = store.txn(&puts(keys.collect()));
    });
}
