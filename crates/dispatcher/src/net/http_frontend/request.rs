//! Conversion of an HTTP request: determines its class, object, part and purge group.
use super::super::exchange::IncomingRequest;
use crate::core::ClientRequest;
use bytes::Bytes;
use pointspindle::ObjectId;
use pointspindle_config::DispatcherSettings;
use pointspindle_protocol::http::{HttpRequest, Method};
use pointspindle_protocol::RequestHead;

/// Returns the request for the core, or `None` if no class serves the path.
pub(super) fn incoming_request(
    settings: &DispatcherSettings,
    request: &HttpRequest,
) -> Option<IncomingRequest> {
    let class = class_of(settings, &request.path)?;
    let class_settings = &settings.classes[class];
    let (object, part) = object_and_part(request);
    let group = group_of(&request.path, settings.purge_group_segments);
    let class_deadline = class_settings.deadline_us;
    let time_left = request.deadline_ms.map_or(class_deadline, |ms| {
        ms.saturating_mul(1000).min(class_deadline)
    });
    let client_request = ClientRequest {
        class,
        object: object.clone(),
        part,
        group,
        time_left,
        size: None,
        idempotency_key: None,
    };
    let head_template = RequestHead {
        object,
        part,
        group,
        class: class_settings.name.clone(),
        trace: request.trace.clone().unwrap_or_default(),
        head_only: request.method == Method::Head,
        if_none_match: request.if_none_match.clone().unwrap_or_default(),
        range: request.range.clone().unwrap_or_default(),
        if_range: request.if_range.clone().unwrap_or_default(),
        ..Default::default()
    };
    Some(IncomingRequest {
        request: client_request,
        head_template,
        body: Bytes::new(),
    })
}

/// Returns the index of the class whose prefix of the path is longest; the first one if several are equally long.
fn class_of(settings: &DispatcherSettings, path: &str) -> Option<usize> {
    let mut longest: Option<(usize, usize)> = None;
    for (class, class_settings) in settings.classes.iter().enumerate() {
        let Some(prefix) = &class_settings.path_prefix else {
            continue;
        };
        let is_longer = longest.is_none_or(|(length, _)| prefix.len() > length);
        if path.starts_with(prefix) && is_longer {
            longest = Some((prefix.len(), class));
        }
    }
    longest.map(|(_, class)| class)
}

/// Returns the object and the number of its part. A query of the form `part=N` selects a part; any other query belongs to
/// the object's name.
fn object_and_part(request: &HttpRequest) -> (String, u64) {
    if request.query.is_empty() {
        return (request.path.clone(), 0);
    }
    let part = request
        .query
        .strip_prefix("part=")
        .and_then(|n| n.parse().ok());
    match part {
        Some(part) => (request.path.clone(), part),
        None => (format!("{}?{}", request.path, request.query), 0),
    }
}

/// Returns the purge group of an HTTP path: the hash of its first segments, as `purge --group-of` computes it.
fn group_of(path: &str, segments: usize) -> u64 {
    let mut segment_ends = path.match_indices('/').map(|(at, _)| at).skip(1);
    let end = segment_ends.nth(segments - 1).unwrap_or(path.len());
    ObjectId::named(&path[..end]).0
}
