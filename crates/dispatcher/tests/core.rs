//! The core without sockets: what must hold whatever the moment.
use pointspindle_config::parse;
use pointspindle_dispatcher::core::{AddressedFetch, AttemptEnd};
use pointspindle_dispatcher::{ClientRequest, Core, Input, Output};
use pointspindle_protocol::*;

const MS: u64 = 1_000;
const T0: u64 = 1_000_000_000;

const SETTINGS: &str = "
[dispatcher]
zone = branch
number = 0
answer_slack_ms = 20
[listen]
http = 127.0.0.1:0
[zone hub]
[zone branch]
dispatchers = 1
[class video]
path_prefix = /video/
deadline_ms = 2000
[class submit]
deadline_ms = 2000
repeat = unsafe
uncacheable = yes
";

struct Stage {
    core: Core,
    now: u64,
}

fn line(address: &str, kind: &str, state: WireEndpointState) -> EndpointRecord {
    let zone = if kind == "cache" { "branch" } else { "hub" };
    EndpointRecord {
        address: address.into(),
        state: state as i32,
        weight: 8.0,
        zone: zone.into(),
        kind: kind.into(),
        ..Default::default()
    }
}

fn fleet() -> Vec<EndpointRecord> {
    let ready = WireEndpointState::Ready;
    vec![
        line("127.0.0.1:1", "cache", ready),
        line("127.0.0.1:2", "cache", ready),
        line("127.0.0.1:8", "parent", ready),
        line("127.0.0.1:9", "origin", ready),
    ]
}

impl Stage {
    fn new() -> Self {
        let settings = parse("test", SETTINGS).unwrap_or_else(|e| panic!("{e}"));
        let mut stage = Self {
            core: Core::new(&settings, 1),
            now: T0,
        };
        stage.list(EndpointListForm::Full, 1, fleet());
        stage
    }

    fn tell(&mut self, input: Input) -> Vec<Output> {
        let mut out = vec![];
        self.core.handle(self.now, input, &mut out);
        out
    }

    fn list(
        &mut self,
        form: EndpointListForm,
        seq: u64,
        endpoints: Vec<EndpointRecord>,
    ) -> Option<String> {
        let out = self.tell(Input::EndpointList(EndpointListHead {
            form: form as i32,
            seq,
            endpoints,
        }));
        out.into_iter().find_map(|o| {
            if let Output::EndpointListApplied(news) = o {
                news.resync_reason
            } else {
                None
            }
        })
    }

    fn ask(&mut self, id: u64, class: usize) -> Vec<Output> {
        let object = format!("/video/{id}");
        let ask = ClientRequest {
            class,
            object,
            group: 3,
            time_left: 2_000 * MS,
            ..Default::default()
        };
        self.tell(Input::Request(id, ask))
    }

    /// Lets time pass, timer by timer, up to a moment.
    fn to(&mut self, until: u64) -> Vec<Output> {
        let mut out = vec![];
        while let Some(at) = self.core.next_timer().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            out.extend(self.tell(Input::Tick));
        }
        self.now = until;
        out
    }
}

fn sent(out: &[Output]) -> Option<(u32, String, Option<AddressedFetch>)> {
    out.iter().find_map(|o| match o {
        Output::Send {
            attempt,
            endpoint,
            fetch,
            ..
        } => Some((*attempt, endpoint.clone(), fetch.clone())),
        _ => None,
    })
}

fn finals(out: &[Output]) -> usize {
    let is_final = |o: &&Output| {
        matches!(
            o,
            Output::Reject { .. }
                | Output::Fail { .. }
                | Output::AbortResponse { .. }
                | Output::ForwardResponse { .. }
        )
    };
    out.iter().filter(is_final).count()
}

/// Whichever of the two comes first in the same moment, there is one final answer and the other does nothing.
#[test]
fn an_answer_and_the_deadline_in_the_same_moment_give_one_final_answer() {
    for answer_first in [true, false] {
        let mut stage = Stage::new();
        let (attempt, ..) = sent(&stage.ask(1, 0)).unwrap();
        let mut out = stage.to(T0 + 1_979 * MS);
        stage.now = T0 + 1_980 * MS;
        let head = Input::ResponseStarted {
            request: 1,
            attempt,
            cache_status: WireCacheStatus::Hit,
            size: None,
        };
        if answer_first {
            out.extend(stage.tell(head));
            out.extend(stage.tell(Input::AttemptEnded {
                request: 1,
                attempt,
                end: AttemptEnd::Complete,
            }));
            out.extend(stage.tell(Input::Tick));
        } else {
            out.extend(stage.tell(Input::Tick));
            out.extend(stage.tell(head));
            out.extend(stage.tell(Input::AttemptEnded {
                request: 1,
                attempt,
                end: AttemptEnd::Complete,
            }));
        }
        assert_eq!(finals(&out), 1, "answer first: {answer_first}: {out:?}");
        assert_eq!(
            matches!(out.last(), Some(Output::ForwardResponse { .. })),
            answer_first
        );
        assert_eq!(stage.core.open_requests(), 0);
    }
}

#[test]
fn every_request_is_answered_before_its_deadline_when_members_say_nothing() {
    let mut stage = Stage::new();
    for id in 1..=50 {
        stage.ask(id, (id % 2) as usize);
    }
    let out = stage.to(T0 + 2_000 * MS - 1);
    assert_eq!(finals(&out), 50);
    assert_eq!(stage.core.open_requests(), 0);
}

/// After the head was passed on there is no other attempt: the client would get two answers in one.
#[test]
fn a_break_after_the_first_byte_ends_the_request_as_broken_off() {
    let mut stage = Stage::new();
    let (attempt, ..) = sent(&stage.ask(1, 0)).unwrap();
    assert_eq!(
        finals(&stage.tell(Input::ResponseStarted {
            request: 1,
            attempt,
            cache_status: WireCacheStatus::Hit,
            size: None
        })),
        1
    );
    let out = stage.tell(Input::AttemptEnded {
        request: 1,
        attempt,
        end: AttemptEnd::Broken,
    });
    assert_eq!(out, [Output::AbortResponse { request: 1 }]);
    let late = stage.to(T0 + 3_000 * MS);
    assert!(late.is_empty(), "{late:?}");
}

/// Found in virtual time: a member hangs in mid-body, others sent to it are overdue, and it is given up with all that
/// it holds. The answer that had begun must end too, or its client waits for ever.
#[test]
fn an_answer_under_way_at_a_member_that_is_given_up_is_broken_off() {
    let mut stage = Stage::new();
    stage.list(
        EndpointListForm::Delta,
        2,
        vec![line("127.0.0.1:2", "cache", WireEndpointState::Gone)],
    );
    let (attempt, ..) = sent(&stage.ask(1, 0)).unwrap();
    stage.now += MS;
    stage.tell(Input::ResponseStarted {
        request: 1,
        attempt,
        cache_status: WireCacheStatus::Hit,
        size: None,
    });
    stage.now += MS;
    for id in 2..5 {
        assert_eq!(sent(&stage.ask(id, 0)).unwrap().1, "127.0.0.1:1");
    }
    let out = stage.to(T0 + 1_800 * MS);
    let given_up = out
        .iter()
        .position(|o| {
            *o == Output::CancelAttempt {
                request: 1,
                attempt,
            }
        })
        .expect("given up");
    assert_eq!(out[given_up + 1], Output::AbortResponse { request: 1 });
    stage.to(T0 + 3_000 * MS);
    assert_eq!(stage.core.open_requests(), 0);
}

#[test]
fn a_client_that_leaves_while_its_answer_streams_ends_the_attempt_and_nothing_follows() {
    let mut stage = Stage::new();
    let (attempt, ..) = sent(&stage.ask(1, 0)).unwrap();
    stage.tell(Input::ResponseStarted {
        request: 1,
        attempt,
        cache_status: WireCacheStatus::Hit,
        size: None,
    });
    let out = stage.tell(Input::ClientDisconnected(1));
    assert_eq!(
        out,
        [Output::CancelAttempt {
            request: 1,
            attempt
        }]
    );
    assert!(stage.to(T0 + 3_000 * MS).is_empty());
    assert_eq!(stage.core.open_requests(), 0);
}

#[test]
fn an_unsafe_request_goes_on_only_when_nothing_ran() {
    let mut stage = Stage::new();
    let (attempt, ..) = sent(&stage.ask(1, 1)).unwrap();
    let out = stage.tell(Input::AttemptEnded {
        request: 1,
        attempt,
        end: AttemptEnd::ConnectFailed,
    });
    let (attempt, ..) = sent(&out).expect("nothing ran: sent again");
    let told = AttemptEnd::ErrorReported {
        status: WireStatus::Rejected,
        cache_status: WireCacheStatus::Unreported,
        may_have_run: true,
    };
    let out = stage.tell(Input::AttemptEnded {
        request: 1,
        attempt,
        end: told,
    });
    assert_eq!(
        out,
        [Output::Fail { request: 1 }],
        "a status that promises more than its frame is not believed"
    );
}

/// A drain must not wait for the list that was lost before it.
#[test]
fn a_delta_after_a_gap_is_used_and_the_whole_list_asked_for() {
    let mut stage = Stage::new();
    let drain = line("127.0.0.1:1", "cache", WireEndpointState::Draining);
    let wanted = stage.list(EndpointListForm::Delta, 5, vec![drain.clone()]);
    assert!(wanted.is_some());
    for id in 1..=6 {
        let (_, endpoint, _) = sent(&stage.ask(id, 0)).unwrap();
        assert_eq!(endpoint, "127.0.0.1:2");
    }
    // One from the past must not bring it back.
    stage.list(
        EndpointListForm::Delta,
        4,
        vec![line("127.0.0.1:1", "cache", WireEndpointState::Ready)],
    );
    assert_eq!(sent(&stage.ask(40, 0)).unwrap().1, "127.0.0.1:2");
    assert_eq!(stage.list(EndpointListForm::Full, 9, vec![drain]), None);
    assert_eq!(stage.core.endpoint_list_seq(), 9);
}

#[test]
fn a_purge_for_an_object_under_way_binds_the_next_attempt() {
    let mut stage = Stage::new();
    let (attempt, _, fetch) = sent(&stage.ask(1, 0)).unwrap();
    assert_eq!(fetch.unwrap().max_age, 0, "good until purged");
    stage.tell(Input::Purge(PurgeHead {
        object: None,
        group: 3,
        age_us: 30 * MS,
        seq: 1,
    }));
    stage.now += 10 * MS;
    let out = stage.tell(Input::AttemptEnded {
        request: 1,
        attempt,
        end: AttemptEnd::ConnectFailed,
    });
    let (_, _, fetch) = sent(&out).unwrap();
    let fetch = fetch.unwrap();
    assert!(
        (1..=40 * MS).contains(&fetch.max_age) && !fetch.coalesce,
        "{fetch:?}"
    );
}

/// Told ages jitter; the same start must not look like another process, and another start must.
#[test]
fn a_member_is_the_same_process_while_its_start_is() {
    let mut stage = Stage::new();
    let cold = |start, ago| EndpointRecord {
        incarnation: start,
        started_ago_us: Some(ago),
        ..line("127.0.0.1:1", "cache", WireEndpointState::Ready)
    };
    stage.list(EndpointListForm::Delta, 2, vec![cold(1, 500 * MS)]);
    stage.now += 1_000 * MS;
    stage.list(EndpointListForm::Delta, 3, vec![cold(1, 1_700 * MS)]);
    let ago = |stage: &mut Stage| {
        let list = stage.core.endpoint_list(stage.now);
        list.endpoints
            .iter()
            .find(|m| m.address == "127.0.0.1:1")
            .unwrap()
            .started_ago_us
    };
    assert_eq!(ago(&mut stage), Some(1_500 * MS), "as first told");
    stage.list(EndpointListForm::Delta, 4, vec![cold(2, 100 * MS)]);
    assert_eq!(ago(&mut stage), Some(100 * MS), "another start");
}

mod state {
    use super::*;
    use pointspindle_clock::BootMoment;
    use pointspindle_dispatcher::core::state::{Snapshot, StateError};
    use std::time::Duration;

    #[test]
    fn a_state_is_told_after_a_restart_with_its_ages_grown() {
        let mut stage = Stage::new();
        stage.tell(Input::Purge(PurgeHead {
            object: Some("/video/1".into()),
            group: 3,
            age_us: 5 * MS,
            seq: 1,
        }));
        let moment = |boot: &str, ms: u64| BootMoment {
            boot: boot.into(),
            since: Duration::from_millis(ms),
        };
        let bytes = stage
            .core
            .snapshot(stage.now)
            .to_bytes(1_000_000, Some(&moment("one", 1_000)));
        let after =
            |now: Option<BootMoment>| Snapshot::from_bytes(&bytes).unwrap().restore(now.as_ref());
        let restored = after(Some(moment("one", 3_000)));
        let list = restored.endpoint_list;
        assert_eq!(
            (list.form(), list.endpoints.len(), list.seq),
            (EndpointListForm::Cached, 4, 1)
        );
        assert_eq!(restored.purges[0].age_us, 2_005 * MS);
        // Where it is not known for how long, a purge counts as young as it was, never as older than it is.
        for unknown in [Some(moment("another", 3_000)), None] {
            assert_eq!(after(unknown).purges[0].age_us, 5 * MS);
        }
    }

    #[test]
    fn a_torn_or_foreign_file_is_told_from_a_good_one() {
        let mut stage = Stage::new();
        let good = stage.core.snapshot(stage.now).to_bytes(1, None);
        for cut in [0, 5, 20, 40, good.len() - 1] {
            assert!(Snapshot::from_bytes(&good[..cut]).is_err(), "cut at {cut}");
        }
        for at in 0..good.len() {
            let mut wrong = good.clone();
            wrong[at] ^= 1;
            assert!(Snapshot::from_bytes(&wrong).is_err(), "byte {at} changed");
        }
        assert_eq!(
            Snapshot::from_bytes(b"[dispatcher]\nname = x\n"),
            Err(StateError::Foreign)
        );
        let later = String::from_utf8(good)
            .unwrap()
            .replacen("state 1", "state 2", 1);
        assert_eq!(
            Snapshot::from_bytes(later.as_bytes()),
            Err(StateError::Version(2))
        );
    }

    #[test]
    fn more_purges_than_are_kept_one_by_one_are_kept_by_group() {
        let mut stage = Stage::new();
        for n in 0..20_000 {
            let object = Some(format!("/video/{n}"));
            stage.tell(Input::Purge(PurgeHead {
                object,
                group: n % 7,
                age_us: 0,
                seq: 1,
            }));
        }
        let purges = stage.core.snapshot(stage.now).restore(None).purges;
        let whole: Vec<u64> = purges
            .iter()
            .filter(|p| p.object.is_none())
            .map(|p| p.group)
            .collect();
        assert_eq!(whole, (0..7).collect::<Vec<u64>>());
        stage.now += 60_000 * MS;
        assert!(
            stage
                .core
                .snapshot(stage.now)
                .restore(None)
                .purges
                .is_empty(),
            "forgotten in time"
        );
    }
}

fn hello(stage: &mut Stage, process: u64, ago: Option<u64>) -> bool {
    let hello = HelloHead {
        incarnation: process,
        started_ago_us: ago,
        ..Default::default()
    };
    let out = stage.tell(Input::Hello {
        endpoint: "127.0.0.1:1".into(),
        hello,
    });
    matches!(out[..], [Output::HelloApplied { replaced: true }])
}

/// Requests that the only cache host is given at once; the rest are refused.
fn given(stage: &mut Stage, from: u64) -> usize {
    let ask = |stage: &mut Stage, id: u64| {
        let size = Some(6_000_000);
        let ask = ClientRequest {
            class: 0,
            object: format!("/video/{id}"),
            time_left: 2_000 * MS,
            size,
            ..Default::default()
        };
        sent(&stage.tell(Input::Request(id, ask))).is_some()
    };
    let took: Vec<u64> = (from..from + 60).filter(|id| ask(stage, *id)).collect();
    for id in &took {
        stage.tell(Input::ResponseStarted {
            request: *id,
            attempt: 0,
            cache_status: WireCacheStatus::Hit,
            size: None,
        });
        stage.tell(Input::AttemptEnded {
            request: *id,
            attempt: 0,
            end: AttemptEnd::Complete,
        });
    }
    took.len()
}

fn alone() -> Stage {
    let settings = parse("test", SETTINGS).unwrap_or_else(|e| panic!("{e}"));
    let mut stage = Stage {
        core: Core::new(&settings, 1),
        now: T0,
    };
    let ready = WireEndpointState::Ready;
    let lines = vec![
        line("127.0.0.1:1", "cache", ready),
        line("127.0.0.1:9", "origin", ready),
    ];
    stage.list(EndpointListForm::Full, 1, lines);
    stage.to(T0 + 120_000 * MS);
    stage
}

#[test]
fn another_identity_is_a_restart_whatever_its_clock_and_a_late_list_say() {
    let mut stage = alone();
    let day = Some(86_400_000 * MS);
    assert!(!hello(&mut stage, 7, day), "met for the first time");
    stage.now += 1_000 * MS;
    assert!(
        !hello(&mut stage, 7, day),
        "the same process on another connection"
    );
    let warm = given(&mut stage, 100);
    stage.now += 5_000 * MS;
    assert!(hello(&mut stage, 8, day), "another one, whose clock lies");
    let cold = given(&mut stage, 200);
    assert!(cold < warm / 2, "{cold} of {warm}");
    // Told before the restart, come after it.
    let old = EndpointRecord {
        incarnation: 1,
        started_ago_us: Some(300_000 * MS),
        ..line("127.0.0.1:1", "cache", WireEndpointState::Ready)
    };
    stage.list(EndpointListForm::Delta, 2, vec![old]);
    stage.now += 3_000 * MS;
    let still = given(&mut stage, 300);
    assert!(still < warm / 2, "{still} of {warm}");
}

#[test]
fn a_hello_of_somebody_who_is_not_listed_changes_nothing() {
    let mut stage = alone();
    let warm = given(&mut stage, 100);
    let hello = HelloHead {
        incarnation: 3,
        started_ago_us: Some(0),
        ..Default::default()
    };
    stage.tell(Input::Hello {
        endpoint: "127.0.0.1:77".into(),
        hello,
    });
    stage.now += 5_000 * MS;
    assert!(given(&mut stage, 200) + 5 > warm);
}

fn lease(work_ms: u64, by_asking: bool, answers: bool) -> Input {
    let lease = LeaseHead {
        work_us: work_ms * MS,
        duration_us: 125 * MS,
        on_request: by_asking,
        in_reply: answers,
    };
    Input::Lease {
        endpoint: "127.0.0.1:1".into(),
        lease,
    }
}

/// A member that gives its work by asking: the request waits for its word, and goes by it; without a word it goes on
/// without, and a client that leaves meanwhile leaves nothing.
#[test]
fn a_request_asks_a_warming_member_first_and_is_decided_by_its_word() {
    let mut stage = alone();
    hello(&mut stage, 7, Some(60_000_000 * MS));
    hello(&mut stage, 8, Some(0));
    stage.now += 3_000 * MS;
    stage.tell(lease(0, true, false));
    let ask = |stage: &mut Stage, id: u64| {
        let ask = ClientRequest {
            class: 0,
            object: format!("/video/{id}"),
            time_left: 2_000 * MS,
            size: Some(6_000),
            ..Default::default()
        };
        stage.tell(Input::Request(id, ask))
    };
    let wanted = |out: &[Output]| {
        out.iter()
            .filter(|o| matches!(o, Output::RequestWork { .. }))
            .count()
    };
    let out = ask(&mut stage, 1);
    assert_eq!(
        (wanted(&out), sent(&out), finals(&out)),
        (1, None, 0),
        "{out:?}"
    );
    let Some(Output::RequestWork { work_us, .. }) = out.first() else {
        panic!("{out:?}")
    };
    let work_ms = work_us.div_ceil(MS);
    stage.now += MS;
    let out = stage.tell(lease(work_ms, true, true));
    assert_eq!(
        sent(&out).map(|s| s.1),
        Some("127.0.0.1:1".into()),
        "given: {out:?}"
    );
    stage.tell(Input::ResponseStarted {
        request: 1,
        attempt: 0,
        cache_status: WireCacheStatus::Hit,
        size: None,
    });
    stage.tell(Input::AttemptEnded {
        request: 1,
        attempt: 0,
        end: AttemptEnd::Complete,
    });

    ask(&mut stage, 2);
    let out = stage.tell(lease(0, true, true));
    assert_eq!(
        (sent(&out), finals(&out)),
        (None, 1),
        "not given, and nobody else is there: {out:?}"
    );

    ask(&mut stage, 3);
    assert_eq!(wanted(&stage.tell(Input::ClientDisconnected(3))), 0);
    let next = stage.now + 20 * MS;
    let out = ask(&mut stage, 4);
    assert_eq!(wanted(&out), 1);
    let out = stage.to(next + MS);
    assert_eq!(
        finals(&out),
        1,
        "no word came: decided without one: {out:?}"
    );
    assert_eq!(stage.core.open_requests(), 0);

    stage.tell(lease(0, false, false));
    assert_eq!(wanted(&ask(&mut stage, 5)), 0, "it gives otherwise");
}

/// Between the order and the first byte: whatever happens then, the attempt does not begin, and what never began is told as
/// harmless also where it may not run twice.
#[test]
fn an_attempt_begins_only_if_all_still_allows_it() {
    let delta = |seq, address: &str, kind: &str, state| {
        (
            EndpointListForm::Delta,
            seq,
            vec![line(address, kind, state)],
        )
    };
    // The client leaves.
    let mut stage = Stage::new();
    let (attempt, ..) = sent(&stage.ask(1, 0)).unwrap();
    assert!(stage.core.may_begin(T0, 1, attempt));
    stage.tell(Input::ClientDisconnected(1));
    assert_eq!(stage.core.begin(T0, 1, attempt), None);
    // The member, or the source of its fill, drains or is gone: it goes elsewhere, and the first one is over.
    for state in [WireEndpointState::Draining, WireEndpointState::Gone] {
        for of_source in [false, true] {
            let mut stage = Stage::new();
            let (attempt, endpoint, fetch) = sent(&stage.ask(1, 0)).unwrap();
            let source = fetch
                .and_then(|f| f.source)
                .expect("a fill names its source");
            let (struck, kind) = if of_source {
                (source, "parent")
            } else {
                (endpoint, "cache")
            };
            let (form, seq, endpoints) = delta(2, &struck, kind, state);
            stage.list(form, seq, endpoints);
            assert_eq!(
                stage.core.begin(T0, 1, attempt),
                None,
                "{state:?}, source: {of_source}"
            );
            let out = stage.tell(Input::AttemptEnded {
                request: 1,
                attempt,
                end: AttemptEnd::NotSent,
            });
            let (next, to, fetch) = sent(&out).expect("another attempt");
            assert!(to != struck && fetch.is_none_or(|f| f.source.as_ref() != Some(&struck)));
            assert!(
                stage.core.begin(T0, 1, next).is_some()
                    && stage.core.begin(T0, 1, attempt).is_none()
            );
        }
    }
    // The time is up.
    let mut stage = Stage::new();
    let (attempt, ..) = sent(&stage.ask(1, 0)).unwrap();
    let late = T0 + 1_000 * MS;
    assert_eq!(
        stage.core.begin(late, 1, attempt).map(|b| b.left),
        Some(980 * MS),
        "less is left by then"
    );
    assert_eq!(stage.core.begin(T0 + 1_980 * MS, 1, attempt), None);
    // At its time-out: one that began may have run, one that did not has not.
    for began in [true, false] {
        let mut stage = Stage::new();
        let (attempt, ..) = sent(&stage.ask(1, 1)).unwrap();
        assert!(!began || stage.core.begin(T0, 1, attempt).is_some());
        let out = stage.to(T0 + 2_000 * MS);
        assert_eq!(out.contains(&Output::Fail { request: 1 }), began, "{out:?}");
        assert_eq!(
            out.iter().any(|o| matches!(o, Output::Reject { .. })),
            !began,
            "{out:?}"
        );
        // A member to which nothing could be written in time counts as one that was not reached.
        let end = if began { "timeout" } else { "connect_failed" };
        assert_eq!(stage.core.take_attempt_counts().get(end), Some(&1));
    }
}

/// A purge that is told between the order and the first byte, of the object or of its group: no copy from before it will do.
#[test]
fn a_purge_told_before_the_first_byte_holds_for_the_attempt() {
    for object in [Some("/video/1".to_owned()), None] {
        let mut stage = Stage::new();
        let (attempt, ..) = sent(&stage.ask(1, 0)).unwrap();
        let before = stage.core.begin(T0, 1, attempt).unwrap().age;
        let mut stage = Stage::new();
        let (attempt, ..) = sent(&stage.ask(1, 0)).unwrap();
        stage.now = T0 + 300 * MS;
        let other = PurgeHead {
            object: Some("/video/2".into()),
            group: 3,
            age_us: 7 * MS,
            seq: 1,
        };
        stage.tell(Input::Purge(other));
        assert_eq!(
            stage.core.begin(stage.now, 1, attempt).map(|b| b.age),
            Some(before),
            "another object's"
        );
        let mut stage = Stage::new();
        let (attempt, ..) = sent(&stage.ask(1, 0)).unwrap();
        stage.now = T0 + 300 * MS;
        stage.tell(Input::Purge(PurgeHead {
            object,
            group: 3,
            age_us: 7 * MS,
            seq: 1,
        }));
        let begin = stage.core.begin(stage.now, 1, attempt).unwrap();
        assert!(
            begin.age > 0 && begin.age <= 7 * MS && !begin.join,
            "{begin:?} ({before} before)"
        );
    }
}

/// A hundred thousand purges and ten thousand restarts of others leave nothing behind but what is there.
#[test]
fn what_is_kept_of_purges_and_of_other_dispatchers_is_bounded() {
    let mut s = Stage::new();
    let mut out = Vec::new();
    let mut most = 0;
    for n in 0..100_000u64 {
        let head = PurgeHead {
            object: Some(format!("/video/{n}")),
            group: n % 1_000,
            age_us: 0,
            seq: 0,
        };
        s.core.handle(s.now + n, Input::Purge(head), &mut out);
        if n % 1_000 == 0 {
            most = most.max(s.core.state_counts(s.now + n).purges);
        }
        out.clear();
    }
    println!("{most} purges kept at most");
    // The log's own bound: beyond it purges are kept by group.
    assert!(most <= 16 * 1024, "{most}");
    s.now += 100_000;
    for restart in 0..10_000u64 {
        let name = |n: u64| {
            if n == restart % 50 {
                format!("d-{n}-{restart}")
            } else {
                format!("d-{n}")
            }
        };
        let roster = (0..50).map(|n| (name(n), "branch".to_owned())).collect();
        s.now += MS;
        s.core.handle(s.now, Input::Roster(roster), &mut out);
        out.clear();
    }
    assert_eq!(s.core.state_counts(s.now).dispatchers, 50);
    // What could still be older than a purge is gone after a while, and so is the purge.
    s.now += 600_000 * MS;
    assert_eq!(s.core.state_counts(s.now).purges, 0);
}
