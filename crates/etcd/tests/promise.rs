//! Tests the purge promise without I/O: the watcher's confirmations and the dispatcher core's age limits, with a store behind slow
//! and partitioned links. If a purge was acknowledged at time t, an attempt that begins at t + promise or later must not use a copy
//! from before t. A purge that the dispatcher has received is exempt from this check, because the dispatcher core applies it.
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
/// Microseconds per millisecond.
const MS: u64 = 1_000;
const PROMISE_US: u64 = 1_500 * MS;
/// Start time of the tests in microseconds.
const START_US: u64 = 1_000_000_000;

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
    let endpoint = |address: &str, kind: &str| EndpointRecord {
        address: address.into(),
        state: WireEndpointState::Ready as i32,
        weight: 5_000.0,
        zone: "b".into(),
        kind: kind.into(),
        ..Default::default()
    };
    let endpoints = vec![
        endpoint("127.0.0.1:2", "cache"),
        endpoint("127.0.0.1:9", "origin"),
    ];
    let list = EndpointListHead {
        form: EndpointListForm::Full as i32,
        seq: 1,
        endpoints,
    };
    core.handle(now, CoreInput::EndpointList(list), &mut Vec::new());
    core
}

/// Begins an attempt for a request of this class. Returns the maximum age of a cached copy, and whether the purge lease limits it.
fn begin(core: &mut Core, now: u64, id: u64, class: usize) -> Option<(u64, bool)> {
    let mut out = Vec::new();
    let request = ClientRequest {
        class,
        object: format!("/o/{id}"),
        group: 1,
        time_left: 2_000_000,
        ..Default::default()
    };
    core.handle(now, CoreInput::Request(id, request), &mut out);
    let attempt = out.iter().find_map(|o| match o {
        CoreOutput::Send {
            request, attempt, ..
        } if *request == id => Some(*attempt),
        _ => None,
    })?;
    let terms = core.begin(now, id, attempt);
    core.handle(now, CoreInput::ClientDisconnected(id), &mut out);
    terms.map(|t| (t.max_age, t.limited_by_purge_lease))
}

#[test]
fn cached_copies_after_purge_lease_expiry_are_age_limited() {
    let mut core = core(START_US);
    let is_age_limited = |core: &mut Core, now, id, class| {
        begin(core, now, id, class).expect("no attempt was sent").1
    };
    assert!(
        is_age_limited(&mut core, START_US, 1, 0),
        "no purges are confirmed at the start"
    );
    assert_eq!(
        begin(&mut core, START_US, 2, 0),
        Some((PROMISE_US / 2, true))
    );
    assert!(
        !is_age_limited(&mut core, START_US, 3, 1),
        "the class is exempt from purges"
    );
    core.handle(
        START_US,
        CoreInput::PurgesConfirmed { age_us: 100 * MS },
        &mut Vec::new(),
    );
    assert!(!is_age_limited(&mut core, START_US + 649 * MS, 4, 0));
    assert!(
        is_age_limited(&mut core, START_US + 650 * MS, 5, 0),
        "the lease runs from the read request, not from its response"
    );
    // A late confirmation of an earlier read does not extend the lease.
    core.handle(
        START_US + 660 * MS,
        CoreInput::PurgesConfirmed { age_us: 800 * MS },
        &mut Vec::new(),
    );
    assert!(is_age_limited(&mut core, START_US + 660 * MS, 6, 0));
    core.handle(
        START_US + 700 * MS,
        CoreInput::PurgesConfirmed { age_us: 0 },
        &mut Vec::new(),
    );
    assert!(!is_age_limited(&mut core, START_US + 700 * MS, 7, 0));
    // The process was suspended for ten seconds, and the first input afterwards is a request.
    assert!(is_age_limited(&mut core, START_US + 10_700 * MS, 8, 0));
}

fn watcher_settings() -> WatcherSettings {
    WatcherSettings {
        purge_confirmation_interval_us: PROMISE_US / 6,
        ..WatcherSettings::default()
    }
}

fn header(revision: i64) -> Header {
    Header {
        cluster: 1,
        revision,
    }
}

fn purge_put(id: &str, mod_revision: i64) -> WatchEvent {
    WatchEvent::Put(KeyValue {
        key: purge_key(PREFIX, id).into_bytes(),
        value: br#"{"group":1}"#.to_vec(),
        mod_revision,
    })
}

fn handle(watcher: &mut Watcher, now: u64, input: Input) -> Vec<Output> {
    let mut outputs = Vec::new();
    watcher.handle(now, 0, input, &mut outputs);
    outputs
}

/// Returns the response to a purge mark read, with the mark at revision 7.
fn mark_read(requested_at: u64, cluster: u64) -> Input {
    Input::PurgeMarkRead {
        requested_at,
        mark: Some((cluster, 7)),
    }
}

fn is_confirmed(outputs: &[Output]) -> bool {
    let confirmation = |output: &Output| matches!(output, Output::PurgesConfirmed { .. });
    outputs.iter().any(confirmation)
}

fn position(outputs: &[Output], matches: impl Fn(&Output) -> bool) -> usize {
    outputs
        .iter()
        .position(matches)
        .expect("the expected output is missing")
}

#[test]
fn purge_confirmation_before_view_reaches_mark_is_withheld() {
    let mut watcher = Watcher::new(PREFIX, watcher_settings(), 0, 1);
    let outputs = handle(&mut watcher, 0, Input::Tick);
    assert!(outputs.contains(&Output::ReadPurgeMark { requested_at: 0 }));
    let outputs = handle(&mut watcher, 5, mark_read(0, 1));
    assert!(!is_confirmed(&outputs), "there is no view yet");
    let snapshot = Input::Snapshot {
        header: header(5),
        keys: vec![],
    };
    handle(&mut watcher, 10, snapshot);
    let created = Input::WatchCreated { header: header(5) };
    handle(&mut watcher, 20, created);
    assert!(
        !is_confirmed(&handle(&mut watcher, 30, Input::Tick)),
        "the purge of revision 7 is not in the view"
    );
    let events = Input::WatchEvents {
        header: header(7),
        events: vec![purge_put("a", 7)],
        fragment: false,
    };
    let outputs = handle(&mut watcher, 40, events);
    let purge = position(&outputs, |o| matches!(o, Output::Purge(_)));
    let confirmation = position(&outputs, |o| *o == Output::PurgesConfirmed { age_us: 40 });
    assert!(
        purge < confirmation,
        "the purge must be reported before its confirmation"
    );
    // The late response to an abandoned read is not taken as the response to the next read.
    let interval = watcher_settings().purge_confirmation_interval_us;
    let second = interval;
    let outputs = handle(&mut watcher, second, Input::Tick);
    assert!(outputs.contains(&Output::ReadPurgeMark {
        requested_at: second
    }));
    let third = second + 3 * interval;
    let outputs = handle(&mut watcher, third, Input::Tick);
    assert!(outputs.contains(&Output::ReadPurgeMark {
        requested_at: third
    }));
    let outputs = handle(&mut watcher, third + 1, mark_read(second, 1));
    assert!(!is_confirmed(&outputs));
    let outputs = handle(&mut watcher, third + 2, mark_read(third, 2));
    assert!(
        !is_confirmed(&outputs),
        "the mark is from a different cluster"
    );
    // Responses to mark reads do not hide an unresponsive watch.
    let mut now = third + 2;
    for _ in 0..200 {
        now += 10 * MS;
        handle(&mut watcher, now, Input::Tick);
        handle(&mut watcher, now, mark_read(now, 1));
    }
    assert_eq!(watcher.view(), pointspindle_etcd::ViewFreshness::Stale);
}

/// A dispatcher and a store, connected by links that may be slow or partitioned in one direction.
struct Simulation {
    rng: StdRng,
    now: u64,
    core: Core,
    watcher: Watcher,
    /// Time at which each purge was acknowledged. The revision of a purge is its index + 2.
    purges: Vec<u64>,
    /// Number of purges that the dispatcher has received.
    known_purges: usize,
    /// Watch events in flight to the dispatcher: arrival time, and number of purges written up to the event.
    events: VecDeque<(u64, usize)>,
    /// Responses in flight to the dispatcher, with their arrival times.
    responses: Vec<(u64, Input)>,
    downlink_cut_until: u64,
    uplink_cut_until: u64,
    /// Whether every mark read returns revision 0 and is confirmed as of now: the violation that the simulation must detect.
    confirms_without_evidence: bool,
    /// Numbers of attempts without an age limit, attempts with one, and checks against overdue unknown purges.
    checked: [usize; 3],
    next_request: u64,
}

impl Simulation {
    fn new(seed: u64, confirms_without_evidence: bool) -> Self {
        let now = START_US;
        let mut watcher = Watcher::new(PREFIX, watcher_settings(), now, seed);
        handle(&mut watcher, now, Input::Tick);
        let snapshot = Input::Snapshot {
            header: header(1),
            keys: vec![],
        };
        handle(&mut watcher, now, snapshot);
        handle(&mut watcher, now, Input::WatchCreated { header: header(1) });
        Self {
            rng: StdRng::seed_from_u64(seed),
            now,
            core: core(now),
            watcher,
            purges: Vec::new(),
            known_purges: 0,
            events: VecDeque::new(),
            responses: Vec::new(),
            downlink_cut_until: 0,
            uplink_cut_until: 0,
            confirms_without_evidence,
            checked: [0; 3],
            next_request: 0,
        }
    }

    /// Returns the arrival time of a message that is sent now over a link that is partitioned until `cut_until`.
    fn arrival(&mut self, cut_until: u64) -> u64 {
        let max_delay = if self.rng.gen_bool(0.05) {
            600 * MS
        } else {
            20 * MS
        };
        self.now.max(cut_until) + self.rng.gen_range(0..max_delay)
    }

    fn step(&mut self) {
        self.now += self.rng.gen_range(1..40 * MS);
        match self.rng.gen_range(0..100) {
            0 => self.downlink_cut_until = self.now + self.rng.gen_range(0..8_000 * MS),
            1 => self.uplink_cut_until = self.now + self.rng.gen_range(0..8_000 * MS),
            // The process is suspended.
            2 => self.now += self.rng.gen_range(0..10_000 * MS),
            3..=12 => {
                self.purges.push(self.now);
                let arrives_at = self
                    .arrival(self.downlink_cut_until)
                    .max(self.events.back().map_or(0, |e| e.0));
                self.events.push_back((arrives_at, self.purges.len()));
            }
            _ => {}
        }
        // A request may arrive before or after the other inputs of the same time.
        if self.rng.gen_bool(0.5) {
            self.check_attempt();
        }
        self.deliver_due_events();
        self.deliver_due_responses();
        // A progress notification at each step prevents that the watch is cancelled as unresponsive.
        self.handle(Input::Progress {
            header: header(self.watcher.revision()),
        });
        self.handle(Input::Tick);
        self.check_attempt();
    }

    fn deliver_due_events(&mut self) {
        while let Some((_, number)) = self
            .events
            .front()
            .copied()
            .filter(|(at, _)| *at <= self.now)
        {
            self.events.pop_front();
            let revision = number as i64 + 1;
            self.handle(Input::WatchEvents {
                header: header(revision),
                events: vec![purge_put(&number.to_string(), revision)],
                fragment: false,
            });
        }
    }

    fn deliver_due_responses(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.responses)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.responses = later;
        due.into_iter().for_each(|(_, input)| self.handle(input));
    }

    fn handle(&mut self, input: Input) {
        let mut out = Vec::new();
        self.watcher.handle(self.now, 0, input, &mut out);
        for output in out {
            match output {
                Output::Purge(head) => {
                    self.known_purges += 1;
                    self.core
                        .handle(self.now, CoreInput::Purge(head), &mut Vec::new());
                }
                Output::PurgesConfirmed { age_us } => {
                    let age_us = if self.confirms_without_evidence {
                        0
                    } else {
                        age_us
                    };
                    self.core.handle(
                        self.now,
                        CoreInput::PurgesConfirmed { age_us },
                        &mut Vec::new(),
                    );
                }
                Output::ReadPurgeMark { requested_at } => {
                    // The mark is read when the request reaches the store; the response has a separate delay.
                    let read_at = self.arrival(self.uplink_cut_until);
                    let written = self.purges.iter().filter(|at| **at <= read_at).count() as i64;
                    let arrives_at =
                        read_at.max(self.downlink_cut_until) + self.rng.gen_range(0..20 * MS);
                    let revision = if self.confirms_without_evidence || written == 0 {
                        0
                    } else {
                        written + 1
                    };
                    self.responses.push((
                        arrives_at,
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

    /// Checks one attempt against every overdue purge that the dispatcher has not received.
    fn check_attempt(&mut self) {
        self.next_request += 1;
        let Some((max_age, is_limited)) = begin(&mut self.core, self.now, self.next_request, 0)
        else {
            return;
        };
        self.checked[is_limited as usize] += 1;
        let overdue = self.purges[self.known_purges..]
            .iter()
            .filter(|at| **at + PROMISE_US <= self.now);
        for at in overdue {
            self.checked[2] += 1;
            let since = self.now - at;
            assert!(
                max_age > 0 && max_age <= since,
                "a purge of {} ms ago was not received, and copies of up to {} ms are used",
                since / MS,
                max_age / MS
            );
        }
    }
}

#[test]
fn attempts_under_partitions_never_use_copies_past_purge_promise() {
    let mut sums = [0; 3];
    for seed in 0..300 {
        let mut simulation = Simulation::new(seed, false);
        let passed = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            (0..800).for_each(|_| simulation.step())
        }));
        assert!(passed.is_ok(), "the simulation failed with seed {seed}");
        sums.iter_mut()
            .zip(simulation.checked)
            .for_each(|(sum, n)| *sum += n);
    }
    let [unlimited, limited, overdue] = sums;
    println!("{unlimited} attempts without an age limit, {limited} with one, {overdue} checks against overdue unknown purges");
    assert!(
        unlimited > 10_000 && limited > 10_000 && overdue > 10_000,
        "{sums:?}"
    );
}

/// Validates the simulation: it must detect a dispatcher that confirms purges without evidence.
#[test]
fn confirmation_without_evidence_violates_purge_promise() {
    let found = (0..50).any(|seed| {
        let mut simulation = Simulation::new(seed, true);
        std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            (0..800).for_each(|_| simulation.step())
        }))
        .is_err()
    });
    assert!(found);
}
