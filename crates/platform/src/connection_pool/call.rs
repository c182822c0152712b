//! Sends one attempt over the line protocol and converts its response to response parts.
use super::{ConnectionPool, PlatformCore};
use crate::connection::{EncodedRequest, InFlightRequest, RequestError};
use bytes::{Bytes, BytesMut};
use pointspindle_dispatcher::core::AttemptEnd;
use pointspindle_dispatcher::net::core_handle::{AttemptId, EndpointTransport, UpstreamCall};
use pointspindle_platform_protocol::line_protocol::{CacheRequest, CacheResponse, ResponseStatus};
use pointspindle_protocol::{
    EndHead, ErrorHead, RequestHead, ResponseHead, WireCacheStatus, WireStatus,
};
use pointspindle_transport::{CallEnd, ResponsePart};
use std::sync::Arc;

/// Initial capacity for the encoded line of a request, which fits nearly all lines.
const REQUEST_LINE_BYTES: usize = 256;
const MICROS_PER_MILLI: u64 = 1_000;

/// An attempt whose response is passed on only when it is complete, so that another attempt is possible until then.
#[derive(Debug)]
pub struct LineProtocolCall {
    request: InFlightRequest,
    /// Validator of the client's copy, as it was sent to the endpoint.
    client_validator: String,
    has_response: bool,
    /// Parts of the response that are not passed on yet, in reverse order.
    remaining_parts: Vec<ResponsePart>,
}

impl EndpointTransport for ConnectionPool {
    type Call = LineProtocolCall;

    async fn call(
        core: &Arc<PlatformCore>,
        attempt: AttemptId,
        endpoint: &str,
        mut request: RequestHead,
        body: &Bytes,
    ) -> Result<LineProtocolCall, AttemptEnd> {
        // Cancellations that arrived while the process was paused are handled first, since they may end this attempt.
        core.transport.pause_detector.caught_up().await;
        // The endpoint of the previous attempt must have been told that it is given up.
        core.transport.cancellations.written(&request.trace).await;
        let connection = Self::acquire(core, attempt, endpoint, &request.trace).await?;
        let request_id = request.trace.clone();
        let client_validator = request.if_none_match.clone();
        let encoder_core = core.clone();
        let body = body.clone();
        let encode = Box::new(move || {
            encoder_core.begin_attempt(attempt)?.apply_to(&mut request);
            Some(encode_request(&request, &body))
        });
        let mut request = connection
            .send(&request_id, encode)
            .ok_or(AttemptEnd::NotSent)?;
        request.written().await.map_err(|_| AttemptEnd::NotSent)?;
        Ok(LineProtocolCall {
            request,
            client_validator,
            has_response: false,
            remaining_parts: Vec::new(),
        })
    }

    fn connect(&self, endpoint: String) {
        self.request_connection(endpoint);
    }
}

impl UpstreamCall for LineProtocolCall {
    async fn next(&mut self) -> Option<ResponsePart> {
        if !self.has_response {
            let result = self.request.response().await;
            self.has_response = true;
            self.remaining_parts = match result {
                Ok(response) => response_parts(response, &self.client_validator),
                Err(error) => vec![failure_part(error)],
            };
        }
        self.remaining_parts.pop()
    }

    fn try_next(&mut self) -> Option<ResponsePart> {
        self.remaining_parts.pop()
    }
}

fn encode_request(request: &RequestHead, body: &Bytes) -> EncodedRequest {
    let fetch = request.fetch.as_ref();
    let cache_request = CacheRequest {
        id: &request.trace,
        class: &request.class,
        object: &request.object,
        part: request.part,
        timeout_ms: (request.time_left_us / MICROS_PER_MILLI).max(1),
        idempotency_key: &request.idempotency_key,
        fill_source: fetch.map_or("", |f| &f.source),
        retention_rank: fetch.map_or(0, |f| f.retention_rank),
        max_age_ms: fetch.map_or(0, |f| max_age_ms(f.max_age_us)),
        coalesce: fetch.is_some_and(|f| f.coalesce),
        only_if_cached: fetch.is_some_and(|f| f.only_if_cached),
        revalidate: fetch.is_some_and(|f| f.revalidate),
        if_none_match: &request.if_none_match,
        body_bytes: body.len(),
    };
    let mut line = BytesMut::with_capacity(REQUEST_LINE_BYTES);
    cache_request.write_line(&mut line);
    EncodedRequest::new(line, body.clone())
}

/// Converts a largest age to milliseconds. It is rounded down, so that no copy is too old, but not to 0, which would
/// mean the freshness lifetime of the class.
fn max_age_ms(max_age_us: u64) -> u64 {
    match max_age_us {
        0 => 0,
        us => (us / MICROS_PER_MILLI).max(1),
    }
}

/// Converts a response to its parts, in reverse order.
fn response_parts(response: CacheResponse, client_validator: &str) -> Vec<ResponsePart> {
    let cache_status = WireCacheStatus::try_from(i32::from(response.cache_status_code))
        .unwrap_or(WireCacheStatus::Unreported);
    let error = |status, may_have_run| vec![error_part(status, may_have_run, cache_status)];
    match response.status {
        ResponseStatus::Served => content_parts(response, cache_status, false),
        // The client's copy is current only if the validator of the response is that of the client's copy.
        ResponseStatus::NotModified
            if !client_validator.is_empty() && response.validator == client_validator =>
        {
            content_parts(response, cache_status, true)
        }
        ResponseStatus::NotModified | ResponseStatus::Failed => error(WireStatus::Error, true),
        ResponseStatus::NotCached => error(WireStatus::Miss, false),
        ResponseStatus::Overloaded => error(WireStatus::Rejected, false),
        ResponseStatus::Cancelled | ResponseStatus::HealthCheckReply => {
            error(WireStatus::Unspecified, false)
        }
    }
}

/// Converts a successful response to its parts, in reverse order.
fn content_parts(
    response: CacheResponse,
    cache_status: WireCacheStatus,
    not_modified: bool,
) -> Vec<ResponsePart> {
    let bytes = response.body.len() as u64;
    let head = ResponseHead {
        cache_status: cache_status as i32,
        size: (!not_modified).then_some(bytes),
        validator: response.validator,
        not_modified,
        ..Default::default()
    };
    let mut parts = vec![ResponsePart::End(CallEnd::Complete(EndHead {
        bytes,
        load: None,
    }))];
    if !not_modified && !response.body.is_empty() {
        parts.push(ResponsePart::Data(response.body));
    }
    parts.push(ResponsePart::Head(head));
    parts
}

fn failure_part(error: RequestError) -> ResponsePart {
    match error {
        RequestError::ConnectionBroken => ResponsePart::End(CallEnd::Broken(
            "endpoint connection lost before the response was complete".to_owned(),
        )),
        RequestError::NotSent => {
            error_part(WireStatus::Unspecified, false, WireCacheStatus::Unreported)
        }
    }
}

fn error_part(
    status: WireStatus,
    may_have_run: bool,
    cache_status: WireCacheStatus,
) -> ResponsePart {
    ResponsePart::End(CallEnd::Error(ErrorHead {
        status: status as i32,
        cache_status: cache_status as i32,
        may_have_run,
        ..Default::default()
    }))
}
