//! The model of members: fills that are joined, die, or are crossed by a purge; an origin that tips over.
use pointspindle_cache_model::cold::WarmUpSpec;
use pointspindle_cache_model::*;
use pointspindle_protocol::WireCacheStatus;
use std::sync::Arc;

const MS: u64 = 1_000;
const T0: u64 = 1_000_000_000;
const CACHE: HostId = 0;
const PARENT: HostId = 1;
const ORIGIN: HostId = 2;

fn host(address: &str, role: Role, zone: usize) -> HostSpec {
    HostSpec {
        address: address.into(),
        role,
        zone,
        weight: 4.0,
        concurrency: 8,
        queue: 4,
        crowding_loss: 0.0,
        store_bytes: 1 << 20,
        fill_concurrency: 8,
        fill_timeout: 500 * MS,
        fill_retries: 0,
        abort_fill: false,
        coalesces_fills: true,
        warm_up: WarmUpSpec {
            initial_share: 0.25,
            duration: 10_000 * MS,
            overload_factor: 2.0,
            overload_window: 1_000 * MS,
        },
        service_time: 0,
        load_report_interval: 100 * MS,
        pause_interval: 0,
        pause: 0,
        overload_multiple: if role == Role::Origin { 2.0 } else { 0.0 },
        overload_window: 1_000 * MS,
        overload_downtime: 3_000 * MS,
    }
}

/// A world whose fills are carried by hand, or passed on at once.
struct Stage {
    world: CacheModel,
    now: u64,
    next: u64,
    /// Fills that wait for their source: at whom, number, source, what.
    fills: Vec<(HostId, FillId, String, ModelRequest)>,
    /// What each request came to.
    ends: Vec<(JobId, String)>,
}

impl Stage {
    fn new() -> Self {
        let class = ClassModel {
            name: "page".into(),
            freshness_lifetime: 10_000 * MS,
            mean_transfer_time: 100 * MS,
            uncacheable: false,
            deduplicates: false,
        };
        let zones = vec![
            ZoneSpec {
                name: "b".into(),
                link: 0.0,
            },
            ZoneSpec {
                name: "h".into(),
                link: 0.0,
            },
        ];
        let spec = CacheModelSettings {
            classes: vec![class],
            zones,
            bytes_per_s: 1e6,
            fill_speedup: 2.0,
            idempotency_window: 2_000 * MS,
        };
        let hosts = vec![
            host("c", Role::Cache, 0),
            host("p", Role::Parent, 1),
            host("o", Role::Origin, 1),
        ];
        let world = CacheModel::new(spec, hosts, Box::new(|_| Some(100_000)), 1);
        Self {
            world,
            now: T0,
            next: 0,
            fills: vec![],
            ends: vec![],
        }
    }

    fn tell(&mut self, input: ModelInput) {
        let mut out = vec![];
        self.world.handle(self.now, input, &mut out);
        for wish in out {
            match wish {
                ModelOutput::ResponseStart {
                    job,
                    response: answer,
                    ..
                } => {
                    self.ends.push((
                        job,
                        format!("start {:?} v{}", answer.cache_status, answer.copy.version),
                    ));
                }
                ModelOutput::ResponseEnd { job, .. } => self.ends.push((job, "finish".into())),
                ModelOutput::Reject {
                    job,
                    status,
                    cache_status: note,
                    ..
                } => self.ends.push((job, format!("{status:?} {note:?}"))),
                ModelOutput::Disconnect { job, .. } => self.ends.push((job, "cut".into())),
                ModelOutput::StartFill {
                    host,
                    fill,
                    source,
                    request: wanted,
                } => self.fills.push((host, fill, source, wanted)),
                ModelOutput::CancelFill { fill, .. } => self.fills.retain(|f| f.1 != fill),
                ModelOutput::HostDown { host, reason: why } => {
                    self.ends.push((u64::MAX, format!("down {host} {why}")))
                }
                ModelOutput::HostUp { .. } => {}
            }
        }
    }

    fn to(&mut self, until: u64) {
        while let Some(at) = self.world.next_timer().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            self.tell(ModelInput::Tick);
        }
        self.now = until;
    }

    fn pass(&mut self, ms: u64) {
        self.to(self.now + ms * MS);
    }

    fn ask_as(&mut self, host: HostId, change: impl FnOnce(&mut ModelRequest)) -> JobId {
        self.next += 1;
        let mut wanted = ModelRequest {
            object: Arc::from("/page/a"),
            object_number: 7,
            part: 0,
            group: 3,
            class: 0,
            source: Some("p".into()),
            retention_rank: 1,
            max_age: 0,
            coalesce: true,
            only_if_cached: false,
            revalidate: false,
            cached_version: None,
            idempotency_key: Arc::from(""),
            trace: Arc::from(""),
            attempt: 0,
        };
        change(&mut wanted);
        self.tell(ModelInput::Arrive {
            host,
            job: self.next,
            request: wanted,
        });
        self.next
    }

    fn ask(&mut self) -> JobId {
        self.ask_as(CACHE, |_| {})
    }

    /// Carries the oldest fill to the origin and back at once, with a copy of this moment.
    fn answer_fill(&mut self) {
        let (host, fill, ..) = self.fills.remove(0);
        let copy = CachedCopy {
            version: self.world.current_version(7, 3),
            size: 100_000,
            validated_at: self.now,
        };
        let answer = filled(copy);
        self.tell(ModelInput::FillResponse {
            host,
            fill,
            response: answer,
        });
        self.tell(ModelInput::FillEnded {
            host,
            fill,
            outcome: FillOutcome::Complete,
        });
    }

    fn of(&self, job: JobId) -> Vec<&str> {
        self.ends
            .iter()
            .filter(|(j, _)| *j == job)
            .map(|(_, e)| e.as_str())
            .collect()
    }
}

/// A source's answer to a fill, with this copy.
fn filled(copy: CachedCopy) -> ModelResponse {
    ModelResponse {
        cache_status: WireCacheStatus::Filled,
        copy,
        age: 0,
        freshness_left: None,
        not_modified: false,
        load: Default::default(),
        status_code: 200,
    }
}

#[test]
fn a_fill_joined_by_ten_is_one_fill_and_each_is_answered() {
    let mut stage = Stage::new();
    let jobs: Vec<JobId> = (0..8).map(|_| stage.ask()).collect();
    assert_eq!(stage.fills.len(), 1);
    stage.answer_fill();
    stage.pass(1_000);
    assert!(
        stage.of(jobs[0])[0].starts_with("start FilledByOrigin"),
        "{:?}",
        stage.ends
    );
    for job in &jobs[1..] {
        assert_eq!(stage.of(*job), ["start Coalesced v0", "finish"]);
    }
    let hit = stage.ask();
    stage.pass(1_000);
    assert_eq!(stage.of(hit), ["start Hit v0", "finish"]);
}

#[test]
fn when_the_source_of_a_joined_fill_dies_each_who_waits_is_told() {
    let mut stage = Stage::new();
    let jobs: Vec<JobId> = (0..8).map(|_| stage.ask()).collect();
    let (host, fill, ..) = stage.fills.remove(0);
    stage.tell(ModelInput::FillEnded {
        host,
        fill,
        outcome: FillOutcome::Unreachable,
    });
    for job in jobs {
        assert_eq!(stage.of(job), ["Error SourceUnreachable"]);
    }
    // A silent source is given up after the fill's time.
    let job = stage.ask();
    stage.pass(501);
    assert_eq!(stage.of(job), ["Error SourceUnreachable"]);
    assert!(stage.fills.is_empty(), "and nothing more of it is wanted");
}

/// The copy of a fill that a purge crossed may answer those who asked before, and is not kept.
#[test]
fn a_purge_that_lands_during_a_fill_leaves_no_old_copy_behind() {
    let mut stage = Stage::new();
    let before = stage.ask();
    let (host, fill, ..) = stage.fills.remove(0);
    let birth = stage.now;
    stage.pass(50);
    stage.tell(ModelInput::OriginUpdate {
        object: None,
        group: 3,
    });
    let at = stage.now;
    stage.tell(ModelInput::Purge {
        host: CACHE,
        object: None,
        group: 3,
        at,
    });
    let copy = CachedCopy {
        version: 0,
        size: 100_000,
        validated_at: birth,
    };
    let answer = filled(copy);
    stage.tell(ModelInput::FillResponse {
        host,
        fill,
        response: answer,
    });
    // One that asks for nothing older than the purge does not get the old copy by joining.
    let after = stage.ask_as(CACHE, |w| w.max_age = 1);
    stage.tell(ModelInput::FillEnded {
        host,
        fill,
        outcome: FillOutcome::Complete,
    });
    stage.pass(300);
    assert!(stage.of(before)[0].starts_with("start"), "{:?}", stage.ends);
    assert!(stage.of(after).is_empty(), "{:?}", stage.ends);
    stage.answer_fill();
    stage.pass(500);
    assert_eq!(stage.of(after), ["start FilledByOrigin v1", "finish"]);
}

/// Two dispatchers, each within its part, are together too much.
#[test]
fn a_cold_member_falls_over_by_exactly_too_much_in_sum_and_not_by_just_less() {
    // Budget of the first second: 2 x 0.25 x 4 transfers = 2 s of work, 20 requests of 0.1 s.
    for (each, falls) in [(10, false), (11, true)] {
        let mut stage = Stage::new();
        stage.tell(ModelInput::Fault {
            host: PARENT,
            fault: Fault::Crash,
        });
        stage.pass(1_000);
        stage.tell(ModelInput::Fault {
            host: PARENT,
            fault: Fault::Restart,
        });
        for _dispatcher in 0..2 {
            for _ in 0..each {
                stage.ask_as(PARENT, |w| w.source = None);
                stage.pass(1);
            }
        }
        let fell = stage.ends.iter().any(|(_, e)| e.contains("pushed over"));
        assert_eq!(fell, falls, "{each} from each of two");
        assert_eq!(stage.world.is_up(PARENT), !falls);
    }
}

#[test]
fn an_origin_that_is_pushed_too_far_stops_for_a_while_and_comes_back() {
    let mut stage = Stage::new();
    // 2 x 4 transfers x 1 s = 80 requests of 0.1 s.
    for n in 0..81 {
        stage.ask_as(ORIGIN, |w| w.object_number = n);
    }
    let late = stage.ask_as(ORIGIN, |w| w.object_number = 999);
    stage.pass(2_900);
    assert!(stage.of(late).is_empty(), "it answers nothing");
    stage.pass(3_000);
    assert!(!stage.of(late).is_empty(), "{:?}", stage.ends);
}

#[test]
fn a_host_that_hangs_answers_after_it_what_was_not_cancelled() {
    let mut stage = Stage::new();
    let held = stage.ask();
    stage.answer_fill();
    stage.pass(1_000);
    assert_eq!(stage.of(held).len(), 2);
    let until = stage.now + 1_000 * MS;
    stage.tell(ModelInput::Fault {
        host: CACHE,
        fault: Fault::Hang { until },
    });
    let (kept, given_up) = (stage.ask(), stage.ask());
    stage.pass(900);
    assert!(stage.of(kept).is_empty());
    stage.tell(ModelInput::Cancel {
        host: CACHE,
        job: given_up,
    });
    stage.pass(1_000);
    assert_eq!(stage.of(kept), ["start Hit v0", "finish"]);
    assert!(stage.of(given_up).is_empty());
}

#[test]
fn with_its_places_and_queue_full_a_member_turns_away_at_once() {
    let mut stage = Stage::new();
    stage.ask();
    stage.answer_fill();
    stage.pass(1_000);
    let jobs: Vec<JobId> = (0..13).map(|_| stage.ask()).collect();
    assert_eq!(
        stage.of(jobs[12]),
        ["Rejected Unreported"],
        "8 places and 4 that wait"
    );
    stage.pass(5_000);
    assert_eq!(stage.ends.iter().filter(|(_, e)| e == "finish").count(), 13);
}
