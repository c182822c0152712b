//! Wire values to router values and back.
use crate::wire;
use pointspindle::*;
use std::collections::BTreeMap;

pub fn micros(ms: f64) -> Micros {
    (ms * 1000.0).round().max(0.0) as Micros
}

fn told(ms: Option<f64>) -> Micros {
    micros(ms.unwrap_or_default())
}

fn millis(us: Micros) -> f64 {
    us as f64 / 1000.0
}

/// The value of a list by class or zone, where it is that long.
fn at<T: Copy + Default>(list: &Option<Vec<T>>, i: usize) -> T {
    list.as_ref().and_then(|l| l.get(i)).copied().unwrap_or_default()
}

pub fn settings(c: &wire::Config) -> Result<Settings, String> {
    let (f, r) = (&c.family_info, &c.rules);
    let a = c.allowed.as_ref().ok_or("settings without Allowed")?;
    let mut classes = Vec::new();
    for (i, k) in c.classes.iter().flatten().enumerate() {
        let repeat = match k.repeat.as_deref() {
            Some("idempotent") => Repeat::Safe,
            Some("at_most_once") => Repeat::Unsafe,
            Some("deduplicated") => {
                let group = match k.group.as_deref() {
                    Some("all") => KeyGroup::All,
                    Some("zone") => KeyGroup::Zone,
                    Some("cell") => KeyGroup::Cell,
                    other => return Err(format!("unknown key group {other:?}")),
                };
                Repeat::Keyed { group, window: told(k.key_ttl_ms) }
            }
            other => return Err(format!("unknown Repeat {other:?}")),
        };
        classes.push(Class {
            aim: told(k.aim_ms),
            aim_stretch: k.aim_stretch.unwrap_or_default(),
            worth: k.worth.unwrap_or_default(),
            repeat,
            uncacheable: at(&f.never_kept, i),
            fresh: micros(at(&f.max_age_ms, i)),
            grace: micros(at(&f.usable_after_ms, i)),
        });
    }
    let zones = c.zones.iter().flatten().enumerate();
    let kind = |k: Option<i64>| k.and_then(|k| usize::try_from(k).ok());
    Ok(Settings {
        zone: c.zone.unwrap_or_default(),
        zones: zones.map(|(i, _)| Zone { routers: at(&f.instances_by_zone, i) }).collect(),
        routers: c.balancers.unwrap_or_default(),
        me: c.me,
        classes,
        parent_kind: kind(f.second_tier_kind),
        origin_kind: kind(f.master_kind),
        weights: match c.weight_source.as_deref() {
            Some("nominal") => Weights::Nominal,
            Some("rough") => Weights::Rough,
            Some("live") => Weights::Live,
            Some("none") | None => Weights::None,
            Some(other) => return Err(format!("unknown WeightSource {other:?}")),
        },
        notes: match f.tells.as_deref() {
            Some("all") => Notes::All,
            Some("hit") => Notes::HitOnly,
            Some("none") | None => Notes::None,
            Some(other) => return Err(format!("unknown Tells {other:?}")),
        },
        siblings: match f.neighbours.as_deref() {
            Some("any") => Siblings::Any,
            Some("location") => Siblings::OwnZone,
            Some("none") | None => Siblings::None,
            Some(other) => return Err(format!("unknown Neighbours {other:?}")),
        },
        straight: f.straight.unwrap_or_default(),
        joins: f.merges_fills.unwrap_or_default(),
        may_cancel: a.may_cancel.unwrap_or_default(),
        retry_after: a.retry_after.unwrap_or_default(),
        max_retry_after: told(a.max_retry_after_ms),
        max_attempts: a.max_attempts.unwrap_or_default(),
        stream_kb_per_s: f.stream_kb_per_s.unwrap_or_default(),
        cold_cache: ColdRule {
            start_share: r.start_capacity.unwrap_or_default(),
            warm_within: told(r.warm_within_ms),
            multiple: r.overload_factor.unwrap_or_default(),
            window: told(r.fall_ms),
        },
        cold_parent: ColdRule {
            start_share: f.parent_starts_at.unwrap_or_default(),
            warm_within: told(f.upper_cold_ms),
            multiple: f.parent_fall_multiple.unwrap_or_default(),
            window: told(r.fall_ms),
        },
        purge_done: told(f.gone_everywhere_ms),
    })
}

pub fn members(s: wire::Sync, names: &mut BTreeMap<MemberId, String>) -> Result<Event, String> {
    let update = match s.form.as_str() {
        "delta" => ListUpdate::Delta,
        "full" => ListUpdate::Full,
        "cached" => ListUpdate::Cached,
        "failed" => ListUpdate::Failed,
        other => return Err(format!("unknown Form {other:?}")),
    };
    let mut entries = Vec::new();
    for e in s.members.into_iter().flatten() {
        let id = MemberId::named(&e.host);
        let state = match e.availability.as_deref() {
            Some("IN") => MemberState::Ready,
            Some("LAME") => MemberState::Draining,
            Some("OUT") => MemberState::Gone,
            other => return Err(format!("unknown Availability {other:?}")),
        };
        entries.push(MemberEntry {
            id,
            state,
            weight: e.scale.unwrap_or_default(),
            zone: e.hall.unwrap_or_default(),
            kind: e.sku.unwrap_or_default(),
            cell: e.pod.unwrap_or_default(),
            started: told(e.came_up_ms),
        });
        names.insert(id, e.host);
    }
    Ok(Event::Members { update, entries })
}

pub fn request(r: wire::Incoming) -> Event {
    Event::Request(Request {
        id: RequestId(r.req),
        class: r.cls.unwrap_or_default(),
        object: ObjectId::named(r.content_id.as_deref().unwrap_or_default()),
        part: r.slice.unwrap_or_default() as u64,
        group: r.set_no.unwrap_or_default() as u64,
        left: told(r.expires_in_ms),
        kb: r.kbytes.filter(|kb| *kb > 0.0),
    })
}

pub fn purge(v: wire::Voided) -> Event {
    Event::Purge {
        object: v.content_id.as_deref().map(ObjectId::named),
        group: v.group.unwrap_or_default(),
        age: told(v.how_old_ms),
    }
}

pub fn outcome(o: wire::Ended) -> Result<Event, String> {
    let status = match o.state_code.as_str() {
        "pass" => Status::Ok,
        "fault" => Status::Error,
        "no_room" => Status::Full,
        "too_slow" => Status::Timeout,
        "no_route" => Status::ConnectFailed,
        "cut" => Status::Reset,
        "undone" => Status::Cancelled,
        "stale_send" => Status::Moot,
        "none_here" => Status::Miss,
        other => return Err(format!("unknown StateCode {other:?}")),
    };
    let note = match o.remark.unwrap_or_default() {
        1 => Note::Hit,
        2 => Note::Filled,
        3 => Note::FilledByOrigin,
        4 => Note::Joined,
        5 => Note::Old,
        6 => Note::SourceRefused,
        7 => Note::SourceUnreachable,
        8 => Note::SourceLacks,
        9 => Note::NoFillPlace,
        10 => Note::OriginFailed,
        _ => Note::Untold,
    };
    Ok(Event::Outcome(Outcome {
        request: RequestId(o.req),
        attempt: o.round_no.unwrap_or_default(),
        member: MemberId::named(&o.host),
        status,
        note,
        elapsed: told(o.elapsed_ms),
        kb: None,
        closed: o.over.unwrap_or_default(),
    }))
}

/// The wire's form of an action; none for a member whose address was never told.
pub fn action<'a>(
    dispatcher: u64,
    action: &Action,
    names: &'a BTreeMap<MemberId, String>,
) -> Option<wire::Outbound<'a>> {
    let host = |id: &MemberId| names.get(id).map(String::as_str);
    Some(match action {
        Action::Send { request, member, timeout, fetch } => {
            let mut send = wire::Send {
                dispatcher,
                req: request.0,
                host: host(member)?,
                timeout_ms: Some(millis(*timeout)),
                fill_from: None,
                store_as: None,
                switches: None,
                how_old_ms: None,
            };
            match fetch {
                None => wire::Outbound::Dispatch(send),
                Some(f) => {
                    send.fill_from = Some(host(&f.source)?);
                    send.store_as = Some(f.keep);
                    send.switches = Some(f.join as u8 + 2 * f.held_only as u8 + 8 * f.renew as u8);
                    send.how_old_ms = Some(millis(f.age));
                    wire::Outbound::AnswerFrom(send)
                }
            }
        }
        Action::Refuse { request, retry_after } => wire::Outbound::Bounce(wire::Final {
            dispatcher,
            req: request.0,
            come_back_ms: retry_after.map(millis),
        }),
        Action::Fail { request } => {
            wire::Outbound::DropRequest(wire::Final { dispatcher, req: request.0, come_back_ms: None })
        }
        Action::Cancel { request, attempt } => wire::Outbound::DropAttempt(wire::DropAttempt {
            dispatcher,
            req: request.0,
            round_no: *attempt,
        }),
        Action::Timer { after, token } => wire::Outbound::Schedule(wire::Schedule {
            dispatcher,
            after_ms: millis(*after),
            cookie: *token,
        }),
    })
}
