//! Tests of the model's hosts: coalesced, failed and purged fills, warm-up, hangs, and an overloaded origin.
use pointspindle_cache_model::*;
use pointspindle_protocol::WireCacheStatus;
use std::sync::Arc;

const MS: u64 = 1_000;
/// Start of each test, microseconds.
const START: u64 = 1_000_000_000;
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
        queue_limit: 4,
        congestion_loss: 0.0,
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
        pause_duration: 0,
        overload: OverloadSpec {
            overload_factor: if role == Role::Origin { 2.0 } else { 0.0 },
            window: 1_000 * MS,
            downtime: 3_000 * MS,
        },
    }
}

/// A fill that waits for the response of its source.
struct PendingFill {
    host: HostId,
    fill: FillId,
}

/// A step in the handling of a request, as text.
struct Outcome {
    job: JobId,
    text: String,
}

/// The job id of outcomes that belong to a host.
const NO_JOB: JobId = u64::MAX;

/// A model of a cache host, a parent and an origin; the test provides the responses to fills.
struct Fixture {
    model: CacheModel,
    now: u64,
    last_job: JobId,
    fills: Vec<PendingFill>,
    outcomes: Vec<Outcome>,
}

impl Fixture {
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
                link_capacity: 0.0,
            },
            ZoneSpec {
                name: "h".into(),
                link_capacity: 0.0,
            },
        ];
        let settings = CacheModelSettings {
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
        Self {
            model: CacheModel::new(settings, hosts, Box::new(|_| Some(100_000)), 1),
            now: START,
            last_job: 0,
            fills: vec![],
            outcomes: vec![],
        }
    }

    fn handle(&mut self, input: ModelInput) {
        let mut outputs = vec![];
        self.model.handle(self.now, input, &mut outputs);
        for output in outputs {
            self.record(output);
        }
    }

    fn record(&mut self, output: ModelOutput) {
        match output {
            ModelOutput::ResponseStart { job, response, .. } => {
                let version = response.copy.version;
                let text = format!("start {:?} v{version}", response.cache_status);
                self.outcomes.push(Outcome { job, text });
            }
            ModelOutput::ResponseEnd { job, .. } => self.add_outcome(job, "finish"),
            ModelOutput::Reject {
                job,
                status,
                cache_status,
                ..
            } => self.add_outcome(job, &format!("{status:?} {cache_status:?}")),
            ModelOutput::Disconnect { job, .. } => self.add_outcome(job, "disconnect"),
            ModelOutput::StartFill { host, fill, .. } => {
                self.fills.push(PendingFill { host, fill });
            }
            ModelOutput::CancelFill { fill, .. } => {
                self.fills.retain(|pending| pending.fill != fill);
            }
            ModelOutput::HostDown { host, reason } => {
                self.add_outcome(NO_JOB, &format!("down {host} {reason}"));
            }
            ModelOutput::HostUp { .. } => {}
        }
    }

    fn add_outcome(&mut self, job: JobId, text: &str) {
        let text = text.to_owned();
        self.outcomes.push(Outcome { job, text });
    }

    fn advance_to(&mut self, until: u64) {
        while let Some(at) = self.model.next_timer().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            self.handle(ModelInput::Tick);
        }
        self.now = until;
    }

    fn advance_ms(&mut self, ms: u64) {
        self.advance_to(self.now + ms * MS);
    }

    fn request_with(&mut self, host: HostId, change: impl FnOnce(&mut ModelRequest)) -> JobId {
        self.last_job += 1;
        let mut request = ModelRequest {
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
        change(&mut request);
        let job = self.last_job;
        self.handle(ModelInput::Arrive { host, job, request });
        job
    }

    fn request(&mut self) -> JobId {
        self.request_with(CACHE, |_| {})
    }

    /// Responds to the oldest pending fill with a copy that the origin validates now.
    fn answer_fill(&mut self) {
        let PendingFill { host, fill } = self.fills.remove(0);
        let copy = CachedCopy {
            version: self.model.current_version(7, 3),
            size: 100_000,
            validated_at: self.now,
        };
        let response = filled(copy);
        self.handle(ModelInput::FillResponse {
            host,
            fill,
            response,
        });
        self.handle(ModelInput::FillEnded {
            host,
            fill,
            outcome: FillOutcome::Complete,
        });
    }

    /// Returns the outcomes of a request, in order.
    fn outcomes_of(&self, job: JobId) -> Vec<&str> {
        self.outcomes
            .iter()
            .filter(|outcome| outcome.job == job)
            .map(|outcome| outcome.text.as_str())
            .collect()
    }

    /// Returns the outcomes of all requests, in order.
    fn all_outcomes(&self) -> Vec<&str> {
        let texts = self.outcomes.iter();
        texts.map(|outcome| outcome.text.as_str()).collect()
    }
}

/// Returns a source's response to a fill with a copy.
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
fn coalesced_fill_is_sent_once_and_answers_every_request() {
    let mut fixture = Fixture::new();
    let jobs: Vec<JobId> = (0..8).map(|_| fixture.request()).collect();
    assert_eq!(fixture.fills.len(), 1);
    fixture.answer_fill();
    fixture.advance_ms(1_000);
    assert!(
        fixture.outcomes_of(jobs[0])[0].starts_with("start FilledByOrigin"),
        "{:?}",
        fixture.all_outcomes()
    );
    for job in &jobs[1..] {
        assert_eq!(fixture.outcomes_of(*job), ["start Coalesced v0", "finish"]);
    }
    let hit = fixture.request();
    fixture.advance_ms(1_000);
    assert_eq!(fixture.outcomes_of(hit), ["start Hit v0", "finish"]);
}

#[test]
fn coalesced_fill_with_unreachable_or_silent_source_fails_every_request() {
    let mut fixture = Fixture::new();
    let jobs: Vec<JobId> = (0..8).map(|_| fixture.request()).collect();
    let PendingFill { host, fill } = fixture.fills.remove(0);
    fixture.handle(ModelInput::FillEnded {
        host,
        fill,
        outcome: FillOutcome::Unreachable,
    });
    for job in jobs {
        assert_eq!(fixture.outcomes_of(job), ["Error SourceUnreachable"]);
    }
    // A fill whose source does not respond fails after the fill timeout.
    let job = fixture.request();
    fixture.advance_ms(501);
    assert_eq!(fixture.outcomes_of(job), ["Error SourceUnreachable"]);
    assert!(
        fixture.fills.is_empty(),
        "the request of the timed-out fill is cancelled"
    );
}

/// A copy that was purged during its fill may answer requests that arrived before the purge, but is not stored.
#[test]
fn purge_during_fill_keeps_old_copy_out_of_store_and_later_responses() {
    let mut fixture = Fixture::new();
    let before = fixture.request();
    let PendingFill { host, fill } = fixture.fills.remove(0);
    let validated_at = fixture.now;
    fixture.advance_ms(50);
    fixture.handle(ModelInput::OriginUpdate {
        object: None,
        group: 3,
    });
    let at = fixture.now;
    fixture.handle(ModelInput::Purge {
        host: CACHE,
        object: None,
        group: 3,
        at,
    });
    let response = filled(CachedCopy {
        version: 0,
        size: 100_000,
        validated_at,
    });
    fixture.handle(ModelInput::FillResponse {
        host,
        fill,
        response,
    });
    // A request that accepts no copy older than the purge is not answered with the old copy by joining the fill.
    let after = fixture.request_with(CACHE, |request| request.max_age = 1);
    fixture.handle(ModelInput::FillEnded {
        host,
        fill,
        outcome: FillOutcome::Complete,
    });
    fixture.advance_ms(300);
    assert!(
        fixture.outcomes_of(before)[0].starts_with("start"),
        "{:?}",
        fixture.all_outcomes()
    );
    assert!(
        fixture.outcomes_of(after).is_empty(),
        "{:?}",
        fixture.all_outcomes()
    );
    fixture.answer_fill();
    fixture.advance_ms(500);
    assert_eq!(
        fixture.outcomes_of(after),
        ["start FilledByOrigin v1", "finish"]
    );
}

/// The sum of the requests of two dispatchers counts against the budget.
#[test]
fn warming_host_crashes_above_its_budget_and_not_at_it() {
    // The budget of the first second is 2 x 0.25 x 4 transfers = 2 s of work, or 20 requests of 0.1 s.
    for (requests_each, crashes) in [(10, false), (11, true)] {
        let mut fixture = Fixture::new();
        fixture.handle(ModelInput::Fault {
            host: PARENT,
            fault: Fault::Crash,
        });
        fixture.advance_ms(1_000);
        fixture.handle(ModelInput::Fault {
            host: PARENT,
            fault: Fault::Restart,
        });
        for _dispatcher in 0..2 {
            for _ in 0..requests_each {
                fixture.request_with(PARENT, |request| request.source = None);
                fixture.advance_ms(1);
            }
        }
        let outcomes = fixture.all_outcomes();
        let crashed = outcomes.iter().any(|text| text.contains("pushed over"));
        assert_eq!(
            crashed, crashes,
            "{requests_each} requests from each of two dispatchers"
        );
        assert_eq!(fixture.model.is_up(PARENT), !crashes);
    }
}

#[test]
fn overloaded_origin_hangs_for_its_downtime_and_resumes() {
    let mut fixture = Fixture::new();
    // The limit is 2 x 4 transfers x 1 s = 8 s of work, or 80 requests of 0.1 s.
    for n in 0..81 {
        fixture.request_with(ORIGIN, |request| request.object_number = n);
    }
    let late = fixture.request_with(ORIGIN, |request| request.object_number = 999);
    fixture.advance_ms(2_900);
    assert!(fixture.outcomes_of(late).is_empty(), "the origin hangs");
    fixture.advance_ms(3_000);
    assert!(
        !fixture.outcomes_of(late).is_empty(),
        "{:?}",
        fixture.all_outcomes()
    );
}

#[test]
fn hanging_host_answers_uncancelled_requests_afterwards() {
    let mut fixture = Fixture::new();
    let first = fixture.request();
    fixture.answer_fill();
    fixture.advance_ms(1_000);
    assert_eq!(fixture.outcomes_of(first).len(), 2);
    let until = fixture.now + 1_000 * MS;
    fixture.handle(ModelInput::Fault {
        host: CACHE,
        fault: Fault::Hang { until },
    });
    let waiting = fixture.request();
    let cancelled = fixture.request();
    fixture.advance_ms(900);
    assert!(fixture.outcomes_of(waiting).is_empty());
    fixture.handle(ModelInput::Cancel {
        host: CACHE,
        job: cancelled,
    });
    fixture.advance_ms(1_000);
    assert_eq!(fixture.outcomes_of(waiting), ["start Hit v0", "finish"]);
    assert!(fixture.outcomes_of(cancelled).is_empty());
}

#[test]
fn host_with_full_slots_and_queue_rejects_at_once() {
    let mut fixture = Fixture::new();
    fixture.request();
    fixture.answer_fill();
    fixture.advance_ms(1_000);
    let jobs: Vec<JobId> = (0..13).map(|_| fixture.request()).collect();
    assert_eq!(
        fixture.outcomes_of(jobs[12]),
        ["Rejected Unreported"],
        "8 slots and a queue of 4 are full"
    );
    fixture.advance_ms(5_000);
    let outcomes = fixture.all_outcomes();
    assert_eq!(
        outcomes.iter().filter(|text| **text == "finish").count(),
        13
    );
}
