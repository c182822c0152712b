//! The watcher against a model of etcd's truth: thousands of seeded scripts of writes, broken streams, fragments cut apart,
//! compactions, silence and restored clusters. The view is the truth at the revision that it claims, always; no purge is missed
//! without a gap being told; a list as a dispatcher has it is the view.
use pointspindle_etcd::layout::{member_key, purge_key, MemberRecord, PurgeRecord, State};
use pointspindle_etcd::*;
use pointspindle_protocol::{EndpointListForm, WireEndpointState};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

const PREFIX: &str = "/edge";

type Keys = BTreeMap<Vec<u8>, (Vec<u8>, Revision)>;

/// One history of a store; a restored cluster begins another.
#[derive(Clone)]
struct Truth {
    /// The keys at each revision, from 1 on.
    states: Vec<Keys>,
    log: Vec<Vec<WatchEvent>>,
    compacted: Revision,
}

impl Truth {
    fn revision(&self) -> Revision {
        self.states.len() as Revision
    }

    fn at(&self, revision: Revision) -> &Keys {
        &self.states[revision as usize - 1]
    }

    fn commit(&mut self, writes: Vec<(Vec<u8>, Option<Vec<u8>>)>) {
        let revision = self.revision() + 1;
        let mut keys = self.states.last().cloned().unwrap_or_default();
        let mut changes = Vec::new();
        for (key, value) in writes {
            match value {
                Some(value) => {
                    keys.insert(key.clone(), (value.clone(), revision));
                    changes.push(WatchEvent::Put(KeyValue {
                        key,
                        value,
                        mod_revision: revision,
                    }));
                }
                None if keys.remove(&key).is_some() => {
                    changes.push(WatchEvent::Delete {
                        key,
                        mod_revision: revision,
                    });
                }
                None => {}
            }
        }
        self.states.push(keys);
        self.log.push(changes);
    }
}

struct Play {
    dice: StdRng,
    truths: Vec<Truth>,
    watcher: Watcher,
    now: u64,
    /// Asked and not answered.
    reading: bool,
    /// The open stream: the next revision that it sends, and fragments on their way.
    stream: Option<(Revision, bool)>,
    fragments: Vec<Vec<WatchEvent>>,
    /// Which history the view is of.
    epoch: usize,
    /// Purges written: history, revision, object, when; taken off when they are told.
    written: Vec<(usize, Revision, String, u64)>,
    told: Vec<String>,
    list: BTreeMap<String, i32>,
    bad: usize,
    counts: [usize; 5],
}

impl Play {
    fn new(seed: u64) -> Self {
        let first = Truth {
            states: vec![Keys::new()],
            log: vec![vec![]],
            compacted: 0,
        };
        Self {
            dice: StdRng::seed_from_u64(seed),
            truths: vec![first],
            watcher: Watcher::new(PREFIX, WatcherSettings::default(), 1_000_000, seed),
            now: 1_000_000,
            reading: false,
            stream: None,
            fragments: Vec::new(),
            epoch: 0,
            written: Vec::new(),
            told: Vec::new(),
            list: BTreeMap::new(),
            bad: 0,
            counts: [0; 5],
        }
    }

    fn truth(&mut self) -> &mut Truth {
        self.truths.last_mut().unwrap()
    }

    fn tell(&mut self, input: Input) {
        let mut out = vec![];
        self.watcher
            .handle(self.now, 1_700_000_000_000, input, &mut out);
        for output in out {
            match output {
                Output::ReadSnapshot => {
                    assert!(
                        !self.reading && self.stream.is_none(),
                        "one thing is asked at a time"
                    );
                    self.reading = true;
                }
                Output::StartWatch { from } => {
                    assert!(self.stream.is_none(), "two watches");
                    self.stream = Some((from, false));
                }
                Output::RequestProgress => {}
                Output::CancelRequest => self.cut(),
                Output::EndpointList(head) => {
                    if head.form() == EndpointListForm::Full {
                        self.list.clear();
                    }
                    for line in head.endpoints {
                        match line.state() {
                            WireEndpointState::Gone => drop(self.list.remove(&line.address)),
                            _ => drop(self.list.insert(line.address, line.state)),
                        }
                    }
                }
                Output::Purge(head) => self.told.push(head.object.unwrap()),
                Output::UpdatesMissed { age_us, .. } => {
                    self.counts[3] += 1;
                    let since = self.now - age_us;
                    // Whatever was purged in the gap counts as told.
                    self.written.retain(|(.., at)| *at < since);
                }
                Output::InvalidKey(e) => {
                    assert!(e.to_string().contains("members/odd"), "{e}");
                    self.bad += 1;
                }
                Output::View(_) | Output::Dispatchers(_) => {}
                Output::ReadPurgeMark { .. } | Output::PurgesConfirmed { .. } => {
                    unreachable!("nothing is to be proven here")
                }
            }
        }
        self.check();
    }

    fn cut(&mut self) {
        (self.reading, self.stream) = (false, None);
        self.fragments.clear();
    }

    fn check(&mut self) {
        let revision = self.watcher.revision();
        if revision == 0 {
            return;
        }
        let keys = self.truths[self.epoch].at(revision);
        let members: Vec<String> = keys
            .keys()
            .filter_map(|k| {
                std::str::from_utf8(k)
                    .unwrap()
                    .strip_prefix("/edge/v1/members/")
                    .map(str::to_owned)
            })
            .filter(|a| a != "odd")
            .collect();
        let viewed: Vec<String> = self.watcher.members().keys().cloned().collect();
        assert_eq!(viewed, members, "at revision {revision}");
        for (address, record) in self.watcher.members() {
            let truth: MemberRecord =
                serde_json::from_slice(&keys[member_key(PREFIX, address).as_bytes()].0).unwrap();
            assert_eq!(*record, truth);
        }
        let listed: Vec<String> = self.list.keys().cloned().collect();
        assert_eq!(listed, members, "the list as told");
        let (epoch, told) = (self.epoch, &self.told);
        for (of, at, object, _) in &self.written {
            if *of == epoch && *at <= revision {
                assert!(
                    told.contains(object),
                    "purge of {object} at {at} missed by revision {revision}"
                );
            }
        }
    }

    /// One step of the world or of etcd.
    fn step(&mut self) {
        self.now += self.dice.gen_range(0..120_000);
        match self.dice.gen_range(0..100) {
            0..=39 => self.write(),
            40..=69 => self.answer(),
            70..=79 => {
                if self.reading || self.stream.is_some() {
                    self.counts[0] += 1;
                    self.cut();
                    self.tell(Input::Failed);
                }
            }
            80..=83 => {
                let to = self.truth().revision();
                let compacted = self.dice.gen_range(0..=to);
                let truth = self.truth();
                truth.compacted = truth.compacted.max(compacted);
                self.counts[1] += 1;
            }
            84 if self.dice.gen::<f64>() < 0.3 => {
                // Restored from an older copy: streams break, revisions go back.
                let back = self.truth().revision();
                let to = self.dice.gen_range(1..=back) as usize;
                let mut other = self.truth().clone();
                other.states.truncate(to);
                other.log.truncate(to);
                other.compacted = other.compacted.min(to as Revision);
                self.truths.push(other);
                self.counts[2] += 1;
                self.cut();
                self.tell(Input::Failed);
            }
            _ => {
                let next = self.watcher.next();
                if next <= self.now {
                    self.tell(Input::Tick);
                }
            }
        }
    }

    fn write(&mut self) {
        let mut writes = Vec::new();
        for _ in 0..self.dice.gen_range(1..4) {
            let n = self.dice.gen_range(0..6);
            let key = member_key(PREFIX, &format!("10.0.0.{n}:80"));
            match self.dice.gen_range(0..10) {
                0..=3 => {
                    let state = if self.dice.gen() {
                        State::Ready
                    } else {
                        State::Draining
                    };
                    let start = self.dice.gen_range(0..9);
                    let record = MemberRecord {
                        state,
                        weight: 5.0,
                        zone: "b".into(),
                        kind: "cache".into(),
                        cell: 0,
                        start,
                        started_unix_ms: None,
                    };
                    writes.push((key.into_bytes(), Some(serde_json::to_vec(&record).unwrap())));
                }
                // Put and deleted in one revision is the last of both; the model's keys are a map as etcd's are.
                4..=5 => writes.push((key.into_bytes(), None)),
                6 => writes.push((
                    member_key(PREFIX, "odd").into_bytes(),
                    Some(b"no record".to_vec()),
                )),
                7 => {
                    // Somebody takes purges away early.
                    let purge = self
                        .truth()
                        .states
                        .last()
                        .unwrap()
                        .keys()
                        .find(|k| std::str::from_utf8(k).unwrap().contains("/purges/"));
                    if let Some(key) = purge.cloned() {
                        writes.push((key, None));
                    }
                }
                _ => {
                    let object = format!("/o/{}", self.dice.gen::<u32>());
                    let record = PurgeRecord {
                        object: Some(object.clone()),
                        group: 1,
                    };
                    let key = purge_key(PREFIX, &object.replace('/', "-"));
                    writes.push((key.into_bytes(), Some(serde_json::to_vec(&record).unwrap())));
                    let (epoch, revision) = (self.truths.len() - 1, self.truth().revision() + 1);
                    self.written.push((epoch, revision, object, self.now));
                }
            }
        }
        // One key once in a revision, as a transaction of etcd has it.
        let mut seen = std::collections::BTreeSet::new();
        writes.retain(|(key, _)| seen.insert(key.clone()));
        self.truth().commit(writes);
    }

    fn answer(&mut self) {
        let epoch = self.truths.len() - 1;
        let (revision, compacted) = (self.truth().revision(), self.truth().compacted);
        // A restored cluster is a new one to its clients, with old revisions.
        let header = Header {
            cluster: epoch as u64 + 1,
            revision,
        };
        if self.reading {
            self.reading = false;
            let keys = self.truth().at(revision).iter();
            let keys = keys.map(|(k, (v, at))| KeyValue {
                key: k.clone(),
                value: v.clone(),
                mod_revision: *at,
            });
            let keys = keys.collect();
            self.epoch = epoch;
            return self.tell(Input::Snapshot { header, keys });
        }
        let Some((from, created)) = self.stream else {
            return;
        };
        if !created {
            if from <= compacted {
                self.stream = None;
                self.counts[4] += 1;
                return self.tell(Input::Compacted);
            }
            self.stream = Some((from, true));
            return self.tell(Input::WatchCreated { header });
        }
        if let Some(events) = (!self.fragments.is_empty()).then(|| self.fragments.remove(0)) {
            let fragment = !self.fragments.is_empty();
            return self.tell(Input::WatchEvents {
                header,
                events,
                fragment,
            });
        }
        if from > revision {
            return self.tell(Input::Progress { header });
        }
        // Some revisions at once, whole; cut into fragments now and then.
        let to = self.dice.gen_range(from..=revision);
        let events: Vec<WatchEvent> = (from..=to)
            .flat_map(|r| self.truth().log[r as usize - 1].clone())
            .collect();
        self.stream = Some((to + 1, true));
        if events.len() > 1 && self.dice.gen::<f64>() < 0.3 {
            let at = self.dice.gen_range(1..events.len());
            let (first, second) = events.split_at(at);
            self.fragments = vec![second.to_vec()];
            self.tell(Input::WatchEvents {
                header,
                events: first.to_vec(),
                fragment: true,
            });
        } else {
            self.tell(Input::WatchEvents {
                header,
                events,
                fragment: false,
            });
        }
    }

    /// Everything heals: the view becomes the newest truth.
    fn settle(&mut self) {
        for _ in 0..400 {
            self.now += 20_000;
            self.answer();
            if self.watcher.next() <= self.now {
                self.tell(Input::Tick);
            }
        }
        assert_eq!(
            self.epoch,
            self.truths.len() - 1,
            "it has found the new history"
        );
        let newest = self.truth().revision();
        assert_eq!(self.watcher.revision(), newest);
        assert_eq!(self.watcher.view(), View::Current);
    }
}

#[test]
fn the_view_is_the_truth_whatever_happens_to_the_streams() {
    let mut sums = [0; 5];
    for seed in 0..600 {
        let mut play = Play::new(seed);
        let failed = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            (0..250).for_each(|_| play.step());
            play.settle();
        }));
        assert!(failed.is_ok(), "seed {seed}");
        sums.iter_mut()
            .zip(play.counts)
            .for_each(|(sum, n)| *sum += n);
    }
    let [broken, compactions, restored, gaps, lost] = sums;
    println!("{broken} streams broken, {compactions} compactions, {restored} restored, {gaps} gaps, {lost} watches refused");
    assert!(
        broken > 2_000 && compactions > 2_000 && restored > 100 && gaps > 100 && lost > 50,
        "{sums:?}"
    );
}

/// The stream is there and says nothing: found within the rule's time, and the view is stale before a drain can be late.
#[test]
fn a_silent_watch_is_asked_given_up_and_the_view_is_told_to_be_stale() {
    let rule = WatcherSettings::default();
    let mut w = Watcher::new(PREFIX, rule, 0, 1);
    let mut out = vec![];
    let header = Header {
        cluster: 1,
        revision: 5,
    };
    w.handle(0, 0, Input::Tick, &mut out);
    w.handle(
        10,
        0,
        Input::Snapshot {
            header,
            keys: vec![],
        },
        &mut out,
    );
    w.handle(20, 0, Input::WatchCreated { header }, &mut out);
    assert!(
        out.contains(&Output::View(View::Current)) && out.contains(&Output::StartWatch { from: 6 })
    );
    let (mut asked, mut hung, mut stale) = (None, None, None);
    let mut now = 20;
    while stale.is_none() && now < 2_000_000 {
        now = w.next().max(now + 1);
        let mut out = vec![];
        w.handle(now, 0, Input::Tick, &mut out);
        for output in out {
            match output {
                Output::RequestProgress => drop(asked.get_or_insert(now)),
                Output::CancelRequest => drop(hung.get_or_insert(now)),
                Output::View(View::Stale) => stale = Some(now),
                _ => {}
            }
        }
    }
    assert!(asked.unwrap() < 200_000 && hung.unwrap() < 400_000 && stale.unwrap() <= 510_000);
}

/// Thousands of dispatchers lose etcd together: they do not ask again together, nor ever more often than the longest wait.
#[test]
fn asking_again_waits_longer_each_time_and_apart() {
    let first = |seed| {
        let mut w = Watcher::new(PREFIX, WatcherSettings::default(), 0, seed);
        let mut waits = vec![];
        let mut now = 0;
        for _ in 0..12 {
            let mut out = vec![];
            w.handle(now, 0, Input::Tick, &mut out);
            assert_eq!(out, [Output::ReadSnapshot]);
            w.handle(now, 0, Input::Failed, &mut out);
            waits.push(w.next() - now);
            now = w.next();
        }
        waits
    };
    let all: Vec<Vec<u64>> = (0..200).map(first).collect();
    let firsts: std::collections::BTreeSet<u64> = all.iter().map(|w| w[0]).collect();
    assert!(firsts.len() > 190, "{} of 200 apart", firsts.len());
    assert!(all.iter().all(|w| w[11] >= 500_000 && w[11] <= 1_500_000));
}
