//! The promise of purges, without I/O: the watcher's proofs and the core's holding back, against a store that is cut off, slow and one-sided.
//! Of a purge acknowledged at t, no attempt that begins at t + promise or later may use a copy from before t, unless the purge is known
//! here (and then the decisions see to it).
use pointspindle_config::parse;
use pointspindle_dispatcher::{ClientRequest, Core, Input as CoreInput, Output as CoreOutput};
use pointspindle_etcd::layout::purge_key;
use pointspindle_etcd::watcher::{
    Header, Input, KeyValue, Output, WatchEvent, Watcher, WatcherSettings,
};
use pointspindle_protocol::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::VecDeque;

const PREFIX: &str = "/edge";
const MS: u64 = 1_000;
const PROMISE: u64 = 1_500 * MS;
const T0: u64 = 1_000_000_000;

const SETTINGS: &str =
    "[dispatcher]\nzone = b\n[listen]\nhttp = 127.0.0.1:0\n[zone b]\ndispatchers = 1\n\
    [etcd]\nendpoints = http://127.0.0.1:1\npurge_within_ms = 1500\n\
    [class page]\npath_prefix = /page/\nfresh_ms = 60000\ngrace_ms = 60000\n\
    [class spared]\npath_prefix = /spared/\nfresh_ms = 60000\npurge_exempt = yes\n";

fn core(now: u64) -> Core {
    let mut core = Core::new(
        &parse("test", SETTINGS).unwrap_or_else(|e| panic!("{e}")),
        1,
    );
    let line = |address: &str, kind: &str| EndpointRecord {
        address: address.into(),
        state: WireEndpointState::Ready as i32,
        weight: 5_000.0,
        zone: "b".into(),
        kind: kind.into(),
        ..Default::default()
    };
    let members = vec![line("127.0.0.1:2", "cache"), line("127.0.0.1:9", "origin")];
    let list = EndpointListHead {
        form: EndpointListForm::Full as i32,
        seq: 1,
        endpoints: members,
    };
    core.handle(now, CoreInput::EndpointList(list), &mut Vec::new());
    core
}

/// Begins an attempt for a request of this class; how old its copy may be, and whether it was held back.
fn begin(core: &mut Core, now: u64, id: u64, class: usize) -> Option<(u64, bool)> {
    let mut out = Vec::new();
    let ask = ClientRequest {
        class,
        object: format!("/o/{id}"),
        group: 1,
        time_left: 2_000_000,
        ..Default::default()
    };
    core.handle(now, CoreInput::Request(id, ask), &mut out);
    let attempt = out.iter().find_map(|o| match o {
        CoreOutput::Send {
            request, attempt, ..
        } if *request == id => Some(*attempt),
        _ => None,
    })?;
    let terms = core.begin(now, id, attempt);
    core.handle(now, CoreInput::ClientDisconnected(id), &mut out);
    terms.map(|t| (t.age, t.held))
}

#[test]
fn copies_are_used_as_ever_for_half_of_the_promise_from_each_proof_and_held_back_after() {
    let mut core = core(T0);
    let held = |core: &mut Core, now, id, class| begin(core, now, id, class).expect("an attempt").1;
    assert!(held(&mut core, T0, 1, 0), "nothing is proven at the start");
    assert_eq!(begin(&mut core, T0, 2, 0), Some((PROMISE / 2, true)));
    assert!(!held(&mut core, T0, 3, 1), "the operator's word by class");
    core.handle(
        T0,
        CoreInput::PurgesConfirmed { ago: 100 * MS },
        &mut Vec::new(),
    );
    assert!(!held(&mut core, T0 + 649 * MS, 4, 0));
    assert!(
        held(&mut core, T0 + 650 * MS, 5, 0),
        "the lease runs from the question, not from its answer"
    );
    // An older proof that comes late takes nothing back and gives nothing.
    core.handle(
        T0 + 660 * MS,
        CoreInput::PurgesConfirmed { ago: 800 * MS },
        &mut Vec::new(),
    );
    assert!(held(&mut core, T0 + 660 * MS, 6, 0));
    core.handle(
        T0 + 700 * MS,
        CoreInput::PurgesConfirmed { ago: 0 },
        &mut Vec::new(),
    );
    assert!(!held(&mut core, T0 + 700 * MS, 7, 0));
    // Stood still for ten seconds, and goes on with a request before anything else is told.
    assert!(held(&mut core, T0 + 10_700 * MS, 8, 0));
}

fn rule() -> WatcherSettings {
    WatcherSettings {
        purge_confirmation_interval_us: PROMISE / 6,
        ..WatcherSettings::default()
    }
}

#[test]
fn a_proof_needs_a_view_that_has_reached_what_was_read_of_the_same_history() {
    let header = |revision| Header {
        cluster: 1,
        revision,
    };
    let mut w = Watcher::new(PREFIX, rule(), 0, 1);
    let mut out = vec![];
    let mut tell = |w: &mut Watcher, now, input| -> Vec<Output> {
        out.clear();
        w.handle(now, 0, input, &mut out);
        out.clone()
    };
    let proven = |out: &[Output]| {
        out.iter().find_map(|o| {
            if let Output::PurgesConfirmed { ago } = o {
                Some(*ago)
            } else {
                None
            }
        })
    };
    let asked = tell(&mut w, 0, Input::Tick);
    assert!(asked.contains(&Output::ReadPurgeMark { requested_at: 0 }));
    // Before anything is known nothing is proven.
    assert_eq!(
        proven(&tell(
            &mut w,
            5,
            Input::PurgeMarkRead {
                requested_at: 0,
                mark: Some((1, 7))
            }
        )),
        None
    );
    tell(
        &mut w,
        10,
        Input::Snapshot {
            header: header(5),
            keys: vec![],
        },
    );
    tell(&mut w, 20, Input::WatchCreated { header: header(5) });
    assert_eq!(
        proven(&tell(&mut w, 30, Input::Tick)),
        None,
        "the purge of revision 7 is not in the view"
    );
    let purge = WatchEvent::Put(KeyValue {
        key: purge_key(PREFIX, "a").into_bytes(),
        value: br#"{"group":1}"#.to_vec(),
        mod_revision: 7,
    });
    let told = tell(
        &mut w,
        40,
        Input::WatchEvents {
            header: header(7),
            events: vec![purge],
            fragment: false,
        },
    );
    let purge_at = told
        .iter()
        .position(|o| matches!(o, Output::Purge(_)))
        .expect("the purge");
    let proof_at = told
        .iter()
        .position(|o| matches!(o, Output::PurgesConfirmed { ago: 40 }))
        .expect("the proof");
    assert!(purge_at < proof_at, "in force before it is said to be");
    // A question that was given up: its late answer is none to the next one.
    let second = rule().purge_confirmation_interval_us;
    assert!(
        tell(&mut w, second, Input::Tick).contains(&Output::ReadPurgeMark {
            requested_at: second
        })
    );
    let third = second + 3 * rule().purge_confirmation_interval_us;
    assert!(
        tell(&mut w, third, Input::Tick).contains(&Output::ReadPurgeMark {
            requested_at: third
        })
    );
    assert_eq!(
        proven(&tell(
            &mut w,
            third + 1,
            Input::PurgeMarkRead {
                requested_at: second,
                mark: Some((1, 7))
            }
        )),
        None
    );
    assert_eq!(
        proven(&tell(
            &mut w,
            third + 2,
            Input::PurgeMarkRead {
                requested_at: third,
                mark: Some((2, 7))
            }
        )),
        None,
        "another cluster"
    );
    // Silence of the watch is not hidden by answers to the mark.
    let mut now = third + 2;
    for _ in 0..200 {
        now += 10 * MS;
        tell(&mut w, now, Input::Tick);
        tell(
            &mut w,
            now,
            Input::PurgeMarkRead {
                requested_at: now,
                mark: Some((1, 7)),
            },
        );
    }
    assert_eq!(w.view(), pointspindle_etcd::View::Stale);
}

/// A dispatcher and a store with ways in between that are slow, cut, one-sided; and what it may do at any moment.
struct Play {
    dice: StdRng,
    now: u64,
    core: Core,
    watcher: Watcher,
    /// Purges: when each was acknowledged; its revision is its place + 1.
    purges: Vec<u64>,
    known: usize,
    /// Streams and answers on their way to the dispatcher, by the moment at which they come.
    events: VecDeque<(u64, usize)>,
    answers: Vec<(u64, Input)>,
    cut_down: u64,
    cut_up: u64,
    lies: bool,
    checked: [usize; 3],
    next: u64,
}

impl Play {
    fn new(seed: u64, lies: bool) -> Self {
        let (now, known, next) = (T0, 0, 0);
        let mut watcher = Watcher::new(PREFIX, rule(), now, seed);
        let header = Header {
            cluster: 1,
            revision: 1,
        };
        let mut out = Vec::new();
        watcher.handle(now, 0, Input::Tick, &mut out);
        watcher.handle(
            now,
            0,
            Input::Snapshot {
                header,
                keys: vec![],
            },
            &mut out,
        );
        watcher.handle(now, 0, Input::WatchCreated { header }, &mut out);
        Self {
            dice: StdRng::seed_from_u64(seed),
            now,
            core: core(now),
            watcher,
            purges: Vec::new(),
            known,
            events: VecDeque::new(),
            answers: Vec::new(),
            cut_down: 0,
            cut_up: 0,
            lies,
            checked: [0; 3],
            next,
        }
    }

    /// A way's time, behind a cut if there is one.
    fn way(&mut self, cut: u64) -> u64 {
        let slow = if self.dice.gen_bool(0.05) {
            600 * MS
        } else {
            20 * MS
        };
        self.now.max(cut) + self.dice.gen_range(0..slow)
    }

    fn step(&mut self) {
        self.now += self.dice.gen_range(1..40 * MS);
        match self.dice.gen_range(0..100) {
            0 => self.cut_down = self.now + self.dice.gen_range(0..8_000 * MS),
            1 => self.cut_up = self.now + self.dice.gen_range(0..8_000 * MS),
            // Stands still.
            2 => self.now += self.dice.gen_range(0..10_000 * MS),
            3..=12 => {
                self.purges.push(self.now);
                let comes = self
                    .way(self.cut_down)
                    .max(self.events.back().map_or(0, |e| e.0));
                self.events.push_back((comes, self.purges.len()));
            }
            _ => {}
        }
        // A request may come before or after what else has come in this moment.
        if self.dice.gen_bool(0.5) {
            self.look();
        }
        while let Some((_, number)) = self
            .events
            .front()
            .copied()
            .filter(|(at, _)| *at <= self.now)
        {
            self.events.pop_front();
            let revision = number as i64 + 1;
            let key = purge_key(PREFIX, &number.to_string()).into_bytes();
            let put = KeyValue {
                key,
                value: br#"{"group":1}"#.to_vec(),
                mod_revision: revision,
            };
            let header = Header {
                cluster: 1,
                revision,
            };
            self.tell(Input::WatchEvents {
                header,
                events: vec![WatchEvent::Put(put)],
                fragment: false,
            });
        }
        let due: Vec<Input> = {
            let now = self.now;
            let (due, later) = std::mem::take(&mut self.answers)
                .into_iter()
                .partition(|(at, _)| *at <= now);
            self.answers = later;
            Vec::into_iter(due).map(|(_, input)| input).collect()
        };
        due.into_iter().for_each(|input| self.tell(input));
        // A stream that stands and says nothing is no matter of this test: it never hangs up.
        self.tell(Input::Progress {
            header: Header {
                cluster: 1,
                revision: self.watcher.revision(),
            },
        });
        self.tell(Input::Tick);
        self.look();
    }

    fn tell(&mut self, input: Input) {
        let mut out = Vec::new();
        self.watcher.handle(self.now, 0, input, &mut out);
        for output in out {
            match output {
                Output::Purge(head) => {
                    self.known += 1;
                    self.core
                        .handle(self.now, CoreInput::Purge(head), &mut Vec::new());
                }
                Output::PurgesConfirmed { ago } => {
                    let ago = if self.lies { 0 } else { ago };
                    self.core.handle(
                        self.now,
                        CoreInput::PurgesConfirmed { ago },
                        &mut Vec::new(),
                    );
                }
                Output::ReadPurgeMark { requested_at } => {
                    // Read when it reaches the store; its answer takes its own way back.
                    let reached = self.way(self.cut_up);
                    let written = self.purges.iter().filter(|at| **at <= reached).count() as i64;
                    let comes = reached.max(self.cut_down) + self.dice.gen_range(0..20 * MS);
                    let revision = if self.lies || written == 0 {
                        0
                    } else {
                        written + 1
                    };
                    self.answers.push((
                        comes,
                        Input::PurgeMarkRead {
                            requested_at,
                            mark: Some((1, revision)),
                        },
                    ));
                }
                _ => {}
            }
        }
    }

    /// One attempt, held against every purge.
    fn look(&mut self) {
        self.next += 1;
        let Some((age, held)) = begin(&mut self.core, self.now, self.next, 0) else {
            return;
        };
        self.checked[held as usize] += 1;
        let owed = self.purges[self.known..]
            .iter()
            .filter(|at| **at + PROMISE <= self.now);
        for at in owed {
            self.checked[2] += 1;
            let since = self.now - at;
            assert!(
                age > 0 && age <= since,
                "a purge of {} ms ago is not known, and copies of up to {} ms are used",
                since / MS,
                age / MS
            );
        }
    }
}

#[test]
fn no_attempt_uses_what_a_purge_struck_a_promise_ago_whatever_is_cut() {
    let mut sums = [0; 3];
    for seed in 0..300 {
        let mut play = Play::new(seed, false);
        let kept = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            (0..800).for_each(|_| play.step())
        }));
        assert!(kept.is_ok(), "seed {seed}");
        sums.iter_mut()
            .zip(play.checked)
            .for_each(|(sum, n)| *sum += n);
    }
    let [free, held, owed] = sums;
    println!("{free} attempts as ever, {held} held back, {owed} times an unknown purge was over its time");
    assert!(free > 10_000 && held > 10_000 && owed > 10_000, "{sums:?}");
}

/// The plant: one that says it is current and is not.
#[test]
fn a_process_that_lies_about_being_current_is_found() {
    let found = (0..50).any(|seed| {
        let mut play = Play::new(seed, true);
        std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            (0..800).for_each(|_| play.step())
        }))
        .is_err()
    });
    assert!(found);
}
