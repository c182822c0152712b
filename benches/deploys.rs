//! What a decision costs after many deploys: each brings twenty new caches and takes the twenty before away.
//!
//! `cargo bench --bench deploys`
use pointspindle::*;
use std::time::Instant;

const S: Micros = 1_000_000;

fn entry(name: &str, kind: usize, state: MemberState) -> MemberEntry {
    let (id, zone) = (MemberId::named(name), usize::from(kind == 0));
    MemberEntry {
        id,
        state,
        weight: 8.0,
        zone,
        kind,
        cell: 0,
        started: 0,
    }
}

fn settings() -> Settings {
    let cold = ColdRule {
        start_share: 0.2,
        warm_within: 10 * S,
        multiple: 2.0,
        window: S,
    };
    let class = Class {
        aim: 300_000,
        aim_stretch: 2.0,
        worth: 1.0,
        repeat: Repeat::Safe,
        uncacheable: false,
        fresh: 0,
        grace: 0,
    };
    Settings {
        zone: 1,
        zones: vec![Zone { routers: 0 }, Zone { routers: 1 }],
        routers: 1,
        me: Some(0),
        classes: vec![class],
        parent_kind: Some(1),
        origin_kind: Some(2),
        weights: Weights::Nominal,
        notes: Notes::All,
        siblings: Siblings::Any,
        straight: false,
        joins: true,
        may_cancel: true,
        retry_after: true,
        max_retry_after: S,
        max_attempts: 6,
        stream_kb_per_s: 6000.0,
        cold_cache: cold,
        cold_parent: cold,
        purge_done: 6 * S,
    }
}

fn main() {
    let mut router = Router::new(settings(), 1);
    let mut actions = Vec::new();
    let mut now = 1_000 * S;
    let upper = [("p1", 1), ("p2", 1), ("origin", 2)];
    let entries = upper.map(|(n, k)| entry(n, k, MemberState::Ready)).to_vec();
    router.handle(
        now,
        Event::Members {
            update: ListUpdate::Full,
            entries,
        },
        &mut actions,
    );
    let mut id = 0;
    println!("| deploys | us a request, with its outcome |\n| --- | --- |");
    for deploy in 0..=1_000_usize {
        let of = |d: usize, state| (0..20).map(move |n| entry(&format!("d{d}-{n}"), 0, state));
        let mut entries: Vec<MemberEntry> = of(deploy, MemberState::Ready).collect();
        if let Some(before) = deploy.checked_sub(1) {
            entries.extend(of(before, MemberState::Gone));
        }
        router.handle(
            now,
            Event::Members {
                update: ListUpdate::Delta,
                entries,
            },
            &mut actions,
        );
        now += 120 * S;
        if ![1, 10, 100, 400, 1_000].contains(&deploy) {
            continue;
        }
        const REQUESTS: u32 = 20_000;
        let began = Instant::now();
        for n in 0..REQUESTS {
            id += 1;
            now += 1_000;
            actions.clear();
            let object = ObjectId(u64::from(n % 500));
            let request = Request {
                id: RequestId(id),
                class: 0,
                object,
                part: 0,
                group: 0,
                left: 3 * S,
                kb: Some(60.0),
            };
            router.handle(now, Event::Request(request), &mut actions);
            let sent = actions.iter().find_map(|a| {
                if let Action::Send { member, .. } = a {
                    Some(*member)
                } else {
                    None
                }
            });
            let Some(member) = sent else { continue };
            let outcome = Outcome {
                request: RequestId(id),
                attempt: 0,
                member,
                status: Status::Ok,
                note: Note::Hit,
                elapsed: 10_000,
                kb: None,
                closed: true,
            };
            router.handle(now, Event::Outcome(outcome), &mut actions);
        }
        println!(
            "| {deploy} | {:.2} |",
            began.elapsed().as_secs_f64() * 1e6 / f64::from(REQUESTS)
        );
    }
}
