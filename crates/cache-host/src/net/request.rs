//! One request: what the fill_table says of it is carried out, from the store or from a fill.
use super::fill_sources::{SourceFailure, SourceResponse, HOST_ORIGIN};
use super::fill_stream::{FillEnd, FillStream, FillStreamPart, FillStreamReader};
use super::Shared;
use crate::fill_table::{CacheRequest, CachedCopy, FillId, RequestDecision};
use bytes::Bytes;
use pointspindle::Micros;
use pointspindle_config::Role;
use pointspindle_protocol::http::matches_validator;
use pointspindle_protocol::range::{Range, ResolvedRange};
use pointspindle_protocol::*;
use pointspindle_store::{Fill, Found, Key, Meta};
use pointspindle_transport::Responder;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// A request that was joined to a fill and missed its beginning asks again, so often.
const MAX_DECISIONS: usize = 3;

/// Counts a request that is open.
struct OpenRequest(Arc<Shared>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.lock().open -= 1;
    }
}

/// Gives the place of a fill back also when its task is aborted.
struct ActiveFill {
    shared: Arc<Shared>,
    fill: FillId,
    fill_stream: Arc<FillStream>,
}

impl Drop for ActiveFill {
    fn drop(&mut self) {
        let error = failed(
            WireStatus::Error,
            WireCacheStatus::SourceUnreachable,
            true,
            "the fill was given up",
        );
        self.fill_stream.end(FillEnd::Failed(Box::new(error)));
        self.shared.fill_over(self.fill);
    }
}

fn failed(
    status: WireStatus,
    note: WireCacheStatus,
    may_have_run: bool,
    detail: &str,
) -> ErrorHead {
    let (status, note, detail) = (status as i32, note as i32, detail.to_owned());
    ErrorHead {
        status,
        cache_status: note,
        may_have_run,
        detail,
        ..ErrorHead::default()
    }
}

pub(super) async fn run(shared: Arc<Shared>, head: RequestHead, responder: Responder) {
    // A way that was selection off for a while brings a request and its cancel together: nothing of it is begun.
    if responder.is_cancelled() {
        return;
    }
    let came = Instant::now();
    let room = {
        let mut locked = shared.lock();
        locked.open += 1;
        locked.open <= shared.settings.max_requests
    };
    let _open = OpenRequest(shared.clone());
    let error = match room {
        true => {
            Request {
                shared: shared.clone(),
                head,
                came,
            }
            .run(responder)
            .await
        }
        false => Some((
            responder,
            failed(
                WireStatus::Rejected,
                WireCacheStatus::Unreported,
                false,
                "too many requests",
            ),
        )),
    };
    if let Some((responder, error)) = error {
        let load = Some(shared.load());
        let elapsed_us = came.elapsed().as_micros() as u64;
        shared.count(|c| match error.status() {
            WireStatus::Rejected => c.turned_away += 1,
            WireStatus::Miss => c.misses += 1,
            _ => c.failed += 1,
        });
        let _ = responder
            .error(ErrorHead {
                load,
                elapsed_us,
                ..error
            })
            .await;
    }
}

struct Request {
    shared: Arc<Shared>,
    head: RequestHead,
    came: Instant,
}

type Unanswered = Option<(Responder, ErrorHead)>;

impl Request {
    fn key(&self) -> Key {
        Meta {
            object: self.head.object.clone(),
            part: self.head.part,
            ..Meta::default()
        }
        .key()
    }

    async fn run(self, responder: Responder) -> Unanswered {
        let shared = self.shared.clone();
        let Some(class) = shared
            .settings
            .classes
            .iter()
            .find(|c| c.name == self.head.class)
            .cloned()
        else {
            let why = format!("no class {:?} here", self.head.class);
            return Some((
                responder,
                failed(WireStatus::Error, WireCacheStatus::Unreported, false, &why),
            ));
        };
        let key = self.key();
        for _ in 0..MAX_DECISIONS {
            let found = self.find(&key, class.uncacheable).await;
            let fresh = (class.fresh_for_us > 0).then_some(class.fresh_for_us);
            let fresh = found
                .as_ref()
                .map_or(fresh, |f| freshness_lifetime_of(&f.meta).or(fresh));
            // A cache host fills from named sources only: asked without one, it is to give what it holds.
            let tier = shared.settings.role != Role::Cache;
            let own = (tier && shared.settings.origin.is_some()).then_some(HOST_ORIGIN);
            let mut cache_request =
                CacheRequest::of(&self.head, key, fresh, own, class.uncacheable);
            if shared.store.is_none() {
                cache_request.retention_rank = 0;
            }
            let held = found.as_ref().map(|f| CachedCopy {
                age: shared.age(&f.meta),
            });
            let (verdict, turn) = shared.decide(&cache_request, self.head.group, held);
            match verdict {
                RequestDecision::Serve { stale, revalidate } => {
                    let Some(found) = found else { continue };
                    if let Some(fill) = revalidate {
                        let known = Some(found.meta.validator.clone());
                        self.spawn_fill(fill, &cache_request, known, class.uncacheable, true);
                    }
                    shared.hit(true);
                    shared.count(|c| if stale { c.old += 1 } else { c.hits += 1 });
                    let note = if stale {
                        WireCacheStatus::Stale
                    } else {
                        WireCacheStatus::Hit
                    };
                    return self.serve_cached(responder, found, note).await;
                }
                RequestDecision::Miss => {
                    shared.hit(false);
                    return Some((
                        responder,
                        failed(
                            WireStatus::Miss,
                            WireCacheStatus::Unreported,
                            false,
                            "not held",
                        ),
                    ));
                }
                RequestDecision::Full => {
                    let why = "every fill has its place taken, and so has the line";
                    return Some((
                        responder,
                        failed(
                            WireStatus::Rejected,
                            WireCacheStatus::FillLimitReached,
                            false,
                            why,
                        ),
                    ));
                }
                RequestDecision::Join(fill) => {
                    let fill_stream = shared
                        .lock()
                        .fill_streams
                        .get(&fill)
                        .map(|(.., fill_stream)| fill_stream.clone());
                    let Some(fill_stream) = fill_stream else {
                        continue;
                    };
                    shared.hit(false);
                    match fill_stream.reader() {
                        Some(reader) => {
                            shared.count(|c| c.joined += 1);
                            return self
                                .serve_from_fill(
                                    responder,
                                    reader,
                                    Some(WireCacheStatus::Coalesced),
                                )
                                .await;
                        }
                        // Its beginning has gone by: the copy is there when it has ended.
                        None => tokio::select! {
                            _ = fill_stream.over() => {}
                            () = responder.cancelled() => return None,
                        },
                    }
                }
                RequestDecision::Fill(fill) => {
                    return self
                        .fill(responder, fill, &cache_request, found, class.uncacheable)
                        .await
                }
                RequestDecision::Wait(waiter) => {
                    let Some(mut turn) = turn else { continue };
                    let fill = tokio::select! {
                        fill = &mut turn => fill.ok(),
                        () = responder.cancelled() => None,
                        () = tokio::time::sleep(Duration::from_micros(self.left())) => None,
                    };
                    let late = {
                        let mut locked = shared.lock();
                        locked.fill_table.cancel_wait(waiter);
                        locked.turns.remove(&waiter).is_some()
                    };
                    // Its turn may have come in the instant in which it gave up: the place goes on.
                    if let Some(fill) = turn.try_recv().ok().filter(|_| fill.is_none()) {
                        shared.fill_over(fill);
                    }
                    match fill {
                        Some(fill) => {
                            return self
                                .fill(responder, fill, &cache_request, found, class.uncacheable)
                                .await
                        }
                        None if responder.is_cancelled() || !late => return None,
                        None => {
                            let why = "no place for a fill in time";
                            let error = failed(
                                WireStatus::Rejected,
                                WireCacheStatus::FillLimitReached,
                                false,
                                why,
                            );
                            return Some((responder, error));
                        }
                    }
                }
            }
        }
        let why = "the copy was gone again each time";
        Some((
            responder,
            failed(
                WireStatus::Error,
                WireCacheStatus::SourceUnreachable,
                true,
                why,
            ),
        ))
    }

    /// Time that the asker still waits.
    fn left(&self) -> Micros {
        let most = self.shared.settings.fill_timeout_us;
        let told = if self.head.time_left_us == 0 {
            most
        } else {
            self.head.time_left_us.min(most)
        };
        told.saturating_sub(self.came.elapsed().as_micros() as Micros)
    }

    async fn find(&self, key: &Key, uncacheable: bool) -> Option<Found> {
        let (shared, key) = (self.shared.clone(), *key);
        if uncacheable || shared.store.is_none() {
            return None;
        }
        let found = tokio::task::spawn_blocking(move || shared.held(&key))
            .await
            .ok()??;
        // Another object under the same number has never been seen, and would be served to nobody.
        (found.meta.object == self.head.object).then_some(found)
    }

    fn elapsed(&self) -> u64 {
        self.came.elapsed().as_micros() as u64
    }

    async fn serve_cached(
        &self,
        mut responder: Responder,
        found: Found,
        note: WireCacheStatus,
    ) -> Unanswered {
        let age_us = self.shared.age(&found.meta);
        let head = ResponseHead {
            cache_status: note as i32,
            size: Some(found.meta.size),
            age_us,
            validator: found.meta.validator.clone(),
            content_type: found.meta.content_type.clone(),
            fresh_left_us: freshness_lifetime_of(&found.meta)
                .map(|fresh| fresh.saturating_sub(age_us)),
            ..ResponseHead::default()
        };
        let (head, selection) = select_bytes(head, &self.head);
        let load = self.shared.load();
        let head = ResponseHead {
            elapsed_us: self.elapsed(),
            load: Some(load),
            ..head
        };
        let block = self
            .shared
            .settings
            .store
            .as_ref()
            .map_or(1, |s| u64::from(s.block));
        let found = Arc::new(found);
        let (mut at, end) = (selection.from, selection.from + selection.len);
        // The first block before the head: a copy that cannot be read is no answer, and another one may be had.
        let mut begun = Some(head);
        while at < end || begun.is_some() {
            let mut piece = Bytes::new();
            if at < end {
                let n = (at / block) as usize;
                let read = match found.in_memory(n) {
                    Some(bytes) => Ok(bytes),
                    None => {
                        let found = found.clone();
                        let read = tokio::task::spawn_blocking(move || found.read(n)).await;
                        read.map_err(|e| e.to_string())
                            .and_then(|r| r.map_err(|e| e.to_string()))
                    }
                };
                let bytes = match read {
                    Ok(bytes) => bytes,
                    Err(why) => {
                        tracing::error!(object = %self.head.object, why, "a copy is not what it should be");
                        let status = if begun.is_some() {
                            WireStatus::Miss
                        } else {
                            WireStatus::Error
                        };
                        return Some((
                            responder,
                            failed(status, WireCacheStatus::Unreported, false, &why),
                        ));
                    }
                };
                let from = (at % block) as usize;
                let to = ((end - n as u64 * block).min(block) as usize).min(bytes.len());
                if to <= from {
                    let why = "a copy is shorter than it says";
                    return Some((
                        responder,
                        failed(WireStatus::Error, WireCacheStatus::Unreported, false, why),
                    ));
                }
                piece = bytes.slice(from..to);
                at += piece.len() as u64;
            }
            if let Some(head) = begun.take() {
                if responder.head(head).await.is_err() {
                    return None;
                }
            }
            self.shared.count(|c| c.bytes_out += piece.len() as u64);
            if responder.data(piece).await.is_err() {
                return None;
            }
        }
        let _ = responder.end(Some(self.shared.load())).await;
        None
    }

    /// Begins a fill of its own, reads from it as any other does.
    async fn fill(
        &self,
        responder: Responder,
        fill: FillId,
        cache_request: &CacheRequest<Key>,
        found: Option<Found>,
        uncacheable: bool,
    ) -> Unanswered {
        self.shared.hit(false);
        let validator = found
            .map(|f| f.meta.validator.clone())
            .filter(|v| !v.is_empty());
        let conditional = validator.is_some();
        let Some(reader) = self.spawn_fill(fill, cache_request, validator, uncacheable, false)
        else {
            let why = "the fill was over before it was read";
            return Some((
                responder,
                failed(WireStatus::Error, WireCacheStatus::Unreported, true, why),
            ));
        };
        if conditional {
            // Confirmed: what is held is the answer.
            if let Ok(head) = reader.head().await {
                if head.not_modified {
                    let key = self.key();
                    if let Some(found) = self.find(&key, uncacheable).await {
                        let note = WireCacheStatus::try_from(head.cache_status)
                            .unwrap_or(WireCacheStatus::Filled);
                        return self.serve_cached(responder, found, note).await;
                    }
                }
            }
        }
        self.serve_from_fill(responder, reader, None).await
    }

    /// The fill's task, and its first reader.
    fn spawn_fill(
        &self,
        fill: FillId,
        cache_request: &CacheRequest<Key>,
        validator: Option<String>,
        uncacheable: bool,
        renewing: bool,
    ) -> Option<FillStreamReader> {
        let fill_stream = self
            .shared
            .lock()
            .fill_streams
            .get(&fill)
            .map(|(.., fill_stream)| fill_stream.clone())?;
        let reader = fill_stream.reader();
        let place = ActiveFill {
            shared: self.shared.clone(),
            fill,
            fill_stream,
        };
        let shape = &self.head;
        let fetch = FetchHead {
            source: String::new(),
            retention_rank: cache_request.retention_rank,
            // Behind an old copy the newest is wanted: the source's may be as old.
            max_age_us: if renewing {
                1
            } else {
                cache_request.max_age.unwrap_or(0)
            },
            coalesce: cache_request.coalesce && !renewing,
            only_if_cached: cache_request.only_if_cached,
            revalidate: false,
        };
        let request = RequestHead {
            object: shape.object.clone(),
            part: shape.part,
            group: shape.group,
            class: shape.class.clone(),
            time_left_us: self.shared.settings.fill_timeout_us,
            fetch: Some(fetch),
            trace: shape.trace.clone(),
            attempt: shape.attempt,
            idempotency_key: shape.idempotency_key.clone(),
            if_none_match: validator.unwrap_or_default(),
            head_only: uncacheable && shape.head_only,
            ..RequestHead::default()
        };
        let filling = FillTask {
            source: cache_request.source.clone().unwrap_or_default(),
            keep: cache_request.retention_rank,
            key: cache_request.key,
            uncacheable,
            request,
        };
        tokio::spawn(filling.run(place));
        reader
    }

    async fn serve_from_fill(
        &self,
        mut responder: Responder,
        reader: FillStreamReader,
        note: Option<WireCacheStatus>,
    ) -> Unanswered {
        let left = Duration::from_micros(self.left());
        let head = tokio::select! {
            head = reader.head() => head,
            () = responder.cancelled() => return None,
            () = tokio::time::sleep(left) => {
                let why = "no answer of the source in time";
                return Some((responder, failed(WireStatus::Error, WireCacheStatus::SourceUnreachable, true, why)));
            }
        };
        let head = match head {
            Ok(head) => head,
            Err(FillEnd::Failed(error)) => return Some((responder, *error)),
            Err(FillEnd::Complete) => {
                let why = "an answer without a head";
                return Some((
                    responder,
                    failed(WireStatus::Error, WireCacheStatus::Unreported, true, why),
                ));
            }
        };
        let mut head = ResponseHead::clone(&head);
        if let Some(note) = note {
            head.cache_status = note as i32;
        }
        let (head, selection) = select_bytes(head, &self.head);
        let bodyless = head.not_modified || head.unsatisfiable || self.head.head_only;
        let load = Some(self.shared.load());
        let head = ResponseHead {
            elapsed_us: self.elapsed(),
            load,
            ..head
        };
        let (mut at, end) = (0_u64, selection.from.saturating_add(selection.len));
        if responder.head(head).await.is_err() {
            return None;
        }
        while !(bodyless || at >= end && selection.known) {
            let part = tokio::select! {
                part = reader.next() => part,
                () = responder.cancelled() => return None,
            };
            match part {
                FillStreamPart::Data(data) => {
                    let (from, to) = (at, at + data.len() as u64);
                    at = to;
                    let first = selection.from.clamp(from, to) - from;
                    let last = end.clamp(from, to) - from;
                    let piece = data.slice(first as usize..last as usize);
                    self.shared.count(|c| c.bytes_out += piece.len() as u64);
                    if !piece.is_empty() && responder.data(piece).await.is_err() {
                        return None;
                    }
                }
                FillStreamPart::End(FillEnd::Complete) => break,
                FillStreamPart::End(FillEnd::Failed(error)) => return Some((responder, *error)),
                FillStreamPart::Lost => {
                    let why = "too slow for those who read the same fill";
                    return Some((
                        responder,
                        failed(WireStatus::Error, WireCacheStatus::Unreported, false, why),
                    ));
                }
            }
        }
        let _ = responder.end(Some(self.shared.load())).await;
        None
    }
}

/// Which bytes of the body are sent.
struct ByteSelection {
    from: u64,
    len: u64,
    /// The whole's size is known.
    known: bool,
}

/// The head with the range and the validator that were asked for applied (RFC 9110, sections 13 and 14).
fn select_bytes(mut head: ResponseHead, request: &RequestHead) -> (ResponseHead, ByteSelection) {
    let whole = head.size;
    let mut selection = ByteSelection {
        from: 0,
        len: whole.unwrap_or(u64::MAX),
        known: whole.is_some(),
    };
    let same =
        !head.validator.is_empty() && matches_validator(&request.if_none_match, &head.validator);
    if same && head.origin_status == 0 {
        head.not_modified = true;
    }
    // A weak validator holds no range together (13.1.5).
    let strong = !head.validator.starts_with("W/");
    let wanted = !request.range.is_empty()
        && (request.if_range.is_empty() || (strong && request.if_range == head.validator));
    let range = Range::parse(&request.range)
        .filter(|_| wanted && head.origin_status == 0 && !head.not_modified);
    match (range, whole) {
        (Some(range), Some(whole)) => match range.apply(whole) {
            ResolvedRange::Part(first, last) => {
                (selection.from, selection.len) = (first, last + 1 - first);
                (head.size, head.range_first, head.complete_size) =
                    (Some(selection.len), Some(first), Some(whole));
            }
            ResolvedRange::Unsatisfiable => {
                selection.len = 0;
                (head.size, head.complete_size, head.unsatisfiable) = (Some(0), Some(whole), true);
            }
        },
        _ if head.not_modified => head.size = None,
        _ => {}
    }
    if head.not_modified || request.head_only {
        (selection.len, selection.known) = (0, true);
    }
    (head, selection)
}

/// How long a copy is fresh from its birth, where its origin said so.
fn freshness_lifetime_of(meta: &Meta) -> Option<Micros> {
    (meta.fresh_until_ms > 0).then(|| meta.fresh_until_ms.saturating_sub(meta.born_ms) * 1_000)
}

struct FillTask {
    source: String,
    keep: u32,
    key: Key,
    uncacheable: bool,
    request: RequestHead,
}

impl FillTask {
    async fn run(self, place: ActiveFill) {
        let longest = Duration::from_micros(place.shared.settings.fill_timeout_us);
        place.shared.count(|c| c.fills += 1);
        let asked_ms = place.shared.clock.steady_ms();
        // Begun before it is asked for: a purge in between strikes what the source may have taken before it.
        let begun = place
            .shared
            .store
            .as_ref()
            .map(|store| store.begin(Meta::default()));
        let asking = place
            .shared
            .sources
            .ask(&self.source, self.request.clone(), self.uncacheable);
        let began = match tokio::time::timeout(longest, asking).await {
            Ok(Ok(began)) => began,
            Ok(Err(why)) => {
                return place
                    .fill_stream
                    .end(FillEnd::Failed(Box::new(self.error(why))))
            }
            Err(_) => {
                let why = SourceFailure::Broke(format!("{}: no answer in time", self.source));
                return place
                    .fill_stream
                    .end(FillEnd::Failed(Box::new(self.error(why))));
            }
        };
        let end = match tokio::time::timeout(
            longest,
            self.relay_response(&place, began, begun, asked_ms),
        )
        .await
        {
            Ok(Ok(())) => FillEnd::Complete,
            Ok(Err(why)) => FillEnd::Failed(Box::new(self.error(why))),
            Err(_) => FillEnd::Failed(Box::new(
                self.error(SourceFailure::Broke("not complete in time".into())),
            )),
        };
        place.fill_stream.end(end);
    }

    /// How a source's failure is told: whose it is, and whether the work may have run.
    fn error(&self, why: SourceFailure) -> ErrorHead {
        let origin = self.source == HOST_ORIGIN;
        match why {
            SourceFailure::Unreachable(why) => {
                let note = if origin {
                    WireCacheStatus::OriginFailed
                } else {
                    WireCacheStatus::SourceUnreachable
                };
                failed(WireStatus::Error, note, false, &why)
            }
            SourceFailure::Broke(why) => {
                let note = if origin {
                    WireCacheStatus::OriginFailed
                } else {
                    WireCacheStatus::SourceUnreachable
                };
                failed(WireStatus::Error, note, true, &why)
            }
            SourceFailure::Told(e) => {
                let note = match (e.status(), e.cache_status()) {
                    (WireStatus::Miss, _) => WireCacheStatus::SourceMiss,
                    (_, WireCacheStatus::OriginFailed) => WireCacheStatus::OriginFailed,
                    (WireStatus::Rejected, _) => WireCacheStatus::SourceRejected,
                    _ => WireCacheStatus::SourceUnreachable,
                };
                failed(WireStatus::Error, note, e.may_have_run, &e.detail)
            }
        }
    }

    async fn relay_response(
        &self,
        place: &ActiveFill,
        began: SourceResponse,
        begun: Option<Fill>,
        asked_ms: u64,
    ) -> Result<(), SourceFailure> {
        let shared = &place.shared;
        let SourceResponse {
            head,
            no_store,
            mut answer,
        } = began;
        // No younger than the question (RFC 9111, 4.2.3): its source may have taken it long before its head came.
        let now_ms = shared
            .store
            .as_ref()
            .map_or(asked_ms, |s| s.now_ms(asked_ms));
        let born_ms = now_ms.saturating_sub(head.age_us.div_ceil(1_000));
        let fresh_until_ms = head.fresh_left_us.map_or(0, |left| {
            (born_ms + (head.age_us + left) / 1_000).max(born_ms + 1)
        });
        let note = match head.cache_status() {
            WireCacheStatus::FilledByOrigin => WireCacheStatus::FilledByOrigin,
            _ => WireCacheStatus::Filled,
        };
        let meta = Meta {
            object: self.request.object.clone(),
            part: self.request.part,
            group: self.request.group,
            validator: head.validator.clone(),
            content_type: head.content_type.clone(),
            size: head.size.unwrap_or(0),
            born_ms,
            fresh_until_ms,
            rank: self.keep,
            ..Meta::default()
        };
        let kept = self.keep > 0 && !no_store && !self.uncacheable && head.origin_status == 0;
        if head.not_modified {
            let renewed = shared.store.is_some() && self.renew(shared, meta).await;
            shared.count(|c| c.renewed += u64::from(renewed));
            place.fill_stream.head(ResponseHead {
                cache_status: note as i32,
                ..head
            });
            while answer.next().await?.is_some() {}
            return Ok(());
        }
        let mut fill = begun.filter(|_| kept);
        if let Some(fill) = &mut fill {
            fill.describe(meta);
        }
        place.fill_stream.head(ResponseHead {
            cache_status: note as i32,
            range_first: None,
            ..head
        });
        let slow = Duration::from_micros(shared.settings.slow_reader_timeout_us);
        while let Some(data) = answer.next().await? {
            shared.count(|c| c.bytes_in += data.len() as u64);
            if let Some(mut filling) = fill.take() {
                let bytes = data.clone();
                let written =
                    tokio::task::spawn_blocking(move || filling.write(&bytes).map(|()| filling))
                        .await;
                // No room, or a disk that fails: it passes through.
                match written {
                    Ok(Ok(filling)) => fill = Some(filling),
                    Ok(Err(e)) => tracing::debug!(error = %e, "not kept"),
                    Err(e) => tracing::error!(error = %e, "not kept"),
                }
            }
            if !place.fill_stream.has_readers() && fill.is_none() {
                return Err(SourceFailure::Broke("nobody wants it any more".into()));
            }
            place.fill_stream.data(data, slow).await;
        }
        if let Some(filling) = fill {
            let clock = shared.clock;
            let committed =
                tokio::task::spawn_blocking(move || filling.commit(clock.steady_ms())).await;
            if let Ok(Err(e)) = committed {
                tracing::debug!(object = %self.request.object, error = %e, "not kept");
            }
        }
        Ok(())
    }

    async fn renew(&self, shared: &Arc<Shared>, meta: Meta) -> bool {
        let (shared, key) = (shared.clone(), self.key);
        let renewed = tokio::task::spawn_blocking(move || {
            let found = shared.held(&key)?;
            // Another copy than the one that was asked about.
            if !meta.validator.is_empty() && meta.validator != found.meta.validator {
                return Some(false);
            }
            let meta = Meta {
                validator: found.meta.validator.clone(),
                content_type: found.meta.content_type.clone(),
                size: found.meta.size,
                rank: meta.rank.max(found.meta.rank),
                ..meta
            };
            shared
                .store
                .as_ref()?
                .renew(&found, meta, shared.clock.steady_ms())
                .ok()
        });
        renewed.await.ok().flatten().unwrap_or(false)
    }
}
