//! Translation between wire messages and the events and actions of a router.
use crate::wire;
use pointspindle::*;
use pointspindle_platform_protocol::settings::micros_or_zero;
use std::collections::BTreeMap;

fn millis(us: Micros) -> f64 {
    us as f64 / 1000.0
}

/// Translates an update of the endpoint list, and records the address of each endpoint in `names`.
pub fn endpoints(s: wire::Sync, names: &mut BTreeMap<EndpointId, String>) -> Result<Event, String> {
    let update = match s.form.as_str() {
        "delta" => ListUpdate::Delta,
        "full" => ListUpdate::Full,
        "cached" => ListUpdate::Cached,
        "failed" => ListUpdate::Failed,
        other => {
            return Err(format!(
                "unknown Form {other:?}, expected \"delta\", \"full\", \"cached\" or \"failed\""
            ))
        }
    };
    let mut entries = Vec::new();
    for e in s.members.into_iter().flatten() {
        let id = EndpointId::named(&e.host);
        let state = match e.availability.as_deref() {
            Some("IN") => EndpointState::Ready,
            Some("LAME") => EndpointState::Draining,
            Some("OUT") => EndpointState::Removed,
            other => {
                return Err(format!(
                    "unknown Availability {other:?}, expected \"IN\", \"LAME\" or \"OUT\""
                ))
            }
        };
        entries.push(EndpointEntry {
            id,
            state,
            weight: e.scale.unwrap_or_default(),
            zone: e.hall.unwrap_or_default(),
            kind: e.sku.unwrap_or_default(),
            cell: e.pod.unwrap_or_default(),
            started_at: micros_or_zero(e.came_up_ms),
        });
        names.insert(id, e.host);
    }
    Ok(Event::EndpointList { update, entries })
}

/// Translates a client's request.
pub fn request(r: wire::Incoming) -> Event {
    Event::Request(Request {
        id: RequestId(r.req),
        class: r.cls.unwrap_or_default(),
        object: ObjectId::named(r.content_id.as_deref().unwrap_or_default()),
        part: r.slice.unwrap_or_default() as u64,
        group: r.set_no.unwrap_or_default() as u64,
        time_left: micros_or_zero(r.expires_in_ms),
        size_kb: r.kbytes.filter(|kb| *kb > 0.0),
        idempotency_key: None,
    })
}

/// Translates a purge of an object, or of a group of objects.
pub fn purge(v: wire::Voided) -> Event {
    Event::Purge {
        object: v.content_id.as_deref().map(ObjectId::named),
        group: v.group.unwrap_or_default(),
        age: micros_or_zero(v.how_old_ms),
    }
}

/// Translates the outcome of an attempt.
pub fn outcome(o: wire::Ended) -> Result<Event, String> {
    let status = match o.state_code.as_str() {
        "pass" => AttemptStatus::Ok,
        "fault" => AttemptStatus::Error,
        "no_room" => AttemptStatus::Rejected,
        "too_slow" => AttemptStatus::Timeout,
        "no_route" => AttemptStatus::ConnectFailed,
        "cut" => AttemptStatus::Reset,
        "undone" => AttemptStatus::Cancelled,
        "stale_send" => AttemptStatus::NotSent,
        "none_here" => AttemptStatus::Miss,
        other => return Err(format!("unknown StateCode {other:?} in a message ENDED")),
    };
    let cache_status = match o.remark.unwrap_or_default() {
        1 => CacheStatus::Hit,
        2 => CacheStatus::Filled,
        3 => CacheStatus::FilledByOrigin,
        4 => CacheStatus::Coalesced,
        5 => CacheStatus::Stale,
        6 => CacheStatus::SourceRejected,
        7 => CacheStatus::SourceUnreachable,
        8 => CacheStatus::SourceMiss,
        9 => CacheStatus::FillLimitReached,
        10 => CacheStatus::OriginFailed,
        _ => CacheStatus::Unreported,
    };
    Ok(Event::Outcome(AttemptOutcome {
        request: RequestId(o.req),
        attempt: o.round_no.unwrap_or_default(),
        endpoint: EndpointId::named(&o.host),
        status,
        cache_status,
        elapsed: micros_or_zero(o.elapsed_ms),
        size_kb: None,
        request_closed: o.over.unwrap_or_default(),
    }))
}

/// Translates an action to a wire message. Returns `None` for an endpoint whose address has not been received.
pub fn action<'a>(
    dispatcher: u64,
    action: &Action,
    names: &'a BTreeMap<EndpointId, String>,
) -> Option<wire::Outbound<'a>> {
    Some(match action {
        Action::Send {
            request,
            endpoint,
            timeout,
            fetch,
        } => {
            let name = |id: &EndpointId| names.get(id).map(String::as_str);
            let send = wire::Send {
                dispatcher,
                req: request.0,
                host: name(endpoint)?,
                timeout_ms: Some(millis(*timeout)),
                fill_from: None,
                store_as: None,
                switches: None,
                how_old_ms: None,
            };
            match fetch {
                None => wire::Outbound::Dispatch(send),
                Some(fetch) => {
                    wire::Outbound::AnswerFrom(with_fetch(send, fetch, name(&fetch.source)?))
                }
            }
        }
        Action::Reject {
            request,
            retry_after,
        } => wire::Outbound::Bounce(wire::Final {
            dispatcher,
            req: request.0,
            come_back_ms: retry_after.map(millis),
        }),
        Action::Fail { request } => wire::Outbound::DropRequest(wire::Final {
            dispatcher,
            req: request.0,
            come_back_ms: None,
        }),
        Action::Cancel { request, attempt } => wire::Outbound::DropAttempt(wire::DropAttempt {
            dispatcher,
            req: request.0,
            round_no: *attempt,
        }),
        Action::SetTimer { after, token } => wire::Outbound::Schedule(wire::Schedule {
            dispatcher,
            after_ms: millis(*after),
            cookie: *token,
        }),
    })
}

/// Bits of the `Switches` field of a send.
const COALESCE_BIT: u8 = 1;
const ONLY_IF_CACHED_BIT: u8 = 2;
const REVALIDATE_BIT: u8 = 8;

/// Adds the fetch directive of a cache to a send.
fn with_fetch<'a>(send: wire::Send<'a>, fetch: &FetchDirective, source: &'a str) -> wire::Send<'a> {
    let bit = |is_set: bool, bit: u8| if is_set { bit } else { 0 };
    wire::Send {
        fill_from: Some(source),
        store_as: Some(fetch.retention_rank),
        switches: Some(
            bit(fetch.coalesce, COALESCE_BIT)
                | bit(fetch.only_if_cached, ONLY_IF_CACHED_BIT)
                | bit(fetch.revalidate, REVALIDATE_BIT),
        ),
        how_old_ms: Some(millis(fetch.max_age)),
        ..send
    }
}
