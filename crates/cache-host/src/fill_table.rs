//! Decides, without I/O, whether a cache host serves a request from cache, starts or joins a fill, queues the request
//! or rejects it.
//!
//! The caller looks up the stored copy ([`CachedCopy`]), carries out the [`RequestDecision`] and reports the end of
//! each fill ([`FillTable::fill_ended`]). Times are in microseconds.
//!
//! The state is bounded: one entry for each running fill (at most [`FillLimits::max_fills`]) and one for each queued
//! request (at most [`FillLimits::max_waiting`]), removed when the fill or the wait ends. A request that is served from
//! cache leaves no state.
use pointspindle::Micros;
use pointspindle_protocol::{FetchHead, RequestHead};
use std::collections::{BTreeMap, VecDeque};

/// Identifier of a fill.
pub type FillId = u64;
/// Identifier of a queued request.
pub type WaiterId = u64;

/// Limits of a [`FillTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FillLimits {
    /// Maximum number of concurrent fills.
    pub max_fills: usize,
    /// Maximum number of requests queued for a fill; further ones are rejected.
    pub max_waiting: usize,
}

/// A stored copy of the requested object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CachedCopy {
    /// Time since the origin generated or confirmed the copy.
    pub age: Micros,
}

/// The properties of a request that matter to the decision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheRequest<K> {
    /// Key of the object.
    pub key: K,
    /// Age up to which a copy is acceptable; `None` accepts any age.
    pub max_age: Option<Micros>,
    /// Age beyond which a copy is stale; with `None` it never is.
    pub freshness_lifetime: Option<Micros>,
    /// Whether only stored copies may be used: a source, if there is one, returns its own copy or a miss and does not
    /// fetch from the origin.
    pub only_if_cached: bool,
    /// Source from which a miss is filled; with `None` it is not filled.
    pub source: Option<String>,
    /// Rank of the response for retention in the store, relative to other responses; 0 if it is not stored.
    pub retention_rank: u32,
    /// Whether the request may be answered from a running fill.
    pub coalesce: bool,
    /// Whether a stale copy that is served is revalidated in the background.
    pub revalidate: bool,
}

impl<K> CacheRequest<K> {
    /// Derives the properties from the head of a request. `freshness_lifetime` is that of the stored copy or of the
    /// class, `uncacheable` says whether responses of the class must not be cached, and `default_source` is the source
    /// of a fill if the request names none.
    pub fn from_head(
        head: &RequestHead,
        key: K,
        freshness_lifetime: Option<Micros>,
        default_source: Option<&str>,
        uncacheable: bool,
    ) -> Self {
        // A request without a fetch directive is answered from a stored copy only, unless it executes at the origin.
        let fetch = head.fetch.clone().unwrap_or(FetchHead {
            only_if_cached: !uncacheable,
            ..FetchHead::default()
        });
        let source = match fetch.source.as_str() {
            "" if fetch.only_if_cached => None,
            "" => default_source.map(str::to_owned),
            named => Some(named.to_owned()),
        };
        let max_age = if uncacheable {
            Some(0)
        } else if fetch.max_age_us > 0 {
            Some(fetch.max_age_us)
        } else {
            freshness_lifetime
        };
        let retention_rank = if uncacheable { 0 } else { fetch.retention_rank };
        Self {
            key,
            max_age,
            freshness_lifetime,
            only_if_cached: fetch.only_if_cached,
            source,
            retention_rank,
            coalesce: fetch.coalesce && !uncacheable,
            revalidate: fetch.revalidate,
        }
    }

    fn accepts(&self, cached: &CachedCopy) -> bool {
        self.max_age.is_none_or(|max_age| cached.age <= max_age)
    }

    fn is_stale(&self, cached: &CachedCopy) -> bool {
        self.freshness_lifetime
            .is_some_and(|lifetime| cached.age > lifetime)
    }
}

/// What to do with a request. The caller must call [`FillTable::fill_ended`] for each fill that begins.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestDecision {
    /// Serve the stored copy.
    Serve {
        /// Whether the copy is past its freshness lifetime.
        stale: bool,
        /// Fill to begin in the background, if the copy is to be revalidated.
        revalidate: Option<FillId>,
    },
    /// Begin this fill and answer from it.
    Fill(FillId),
    /// Answer from this running fill.
    Join(FillId),
    /// Queue the request until [`FillTable::fill_ended`] returns it. The caller must call [`FillTable::cancel_wait`] if
    /// the request ends before that.
    Wait(WaiterId),
    /// Answer with a miss: no acceptable copy is stored, and the request must not be filled.
    Miss,
    /// Reject the request: the maximum number of fills is running and the queue is full.
    Reject,
}

/// The fill that a queued request begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedFill {
    /// The request that leaves the queue.
    pub waiter: WaiterId,
    /// The fill that the request begins.
    pub fill: FillId,
}

#[derive(Debug)]
struct Fill<K> {
    key: K,
    /// Whether other requests may be answered from this fill.
    joinable: bool,
    /// Maximum age of the copy that the source may return; `None` if any age is acceptable.
    max_age: Option<Micros>,
}

/// Running fills and queued requests.
#[derive(Debug)]
pub struct FillTable<K> {
    limits: FillLimits,
    fills: BTreeMap<FillId, Fill<K>>,
    /// The newest joinable fill of each key.
    by_key: BTreeMap<K, FillId>,
    waiting: VecDeque<(WaiterId, CacheRequest<K>)>,
    /// Last identifier assigned; fills and queued requests share one sequence.
    last_id: u64,
}

impl<K: Clone + Ord> FillTable<K> {
    /// Creates an empty table.
    pub fn new(limits: FillLimits) -> Self {
        Self {
            limits,
            fills: BTreeMap::new(),
            by_key: BTreeMap::new(),
            waiting: VecDeque::new(),
            last_id: 0,
        }
    }

    /// Returns the number of running fills.
    pub fn active_fills(&self) -> usize {
        self.fills.len()
    }

    /// Returns the number of queued requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn has_free_fill(&self) -> bool {
        self.fills.len() < self.limits.max_fills
    }

    /// Decides what to do with a request, given the stored copy.
    pub fn decide(
        &mut self,
        request: CacheRequest<K>,
        cached: Option<CachedCopy>,
    ) -> RequestDecision {
        if let Some(cached) = cached.filter(|cached| request.accepts(cached)) {
            let stale = request.is_stale(&cached);
            let revalidates = stale && self.may_revalidate(&request);
            return RequestDecision::Serve {
                stale,
                revalidate: revalidates.then(|| self.begin_fill(&request)),
            };
        }
        if request.source.is_none() {
            return RequestDecision::Miss;
        }
        if let Some(fill) = self.joinable_fill(&request) {
            return RequestDecision::Join(fill);
        }
        if self.has_free_fill() {
            return RequestDecision::Fill(self.begin_fill(&request));
        }
        if self.waiting.len() >= self.limits.max_waiting {
            return RequestDecision::Reject;
        }
        self.last_id += 1;
        self.waiting.push_back((self.last_id, request));
        RequestDecision::Wait(self.last_id)
    }

    /// Whether a revalidation may start now. It never waits for a free fill, and a key has at most one at a time.
    fn may_revalidate(&self, request: &CacheRequest<K>) -> bool {
        request.revalidate
            && request.source.is_some()
            && !self.by_key.contains_key(&request.key)
            && self.has_free_fill()
    }

    /// Returns a running fill whose response is acceptable for the request.
    fn joinable_fill(&self, request: &CacheRequest<K>) -> Option<FillId> {
        if !request.coalesce {
            return None;
        }
        let id = *self.by_key.get(&request.key)?;
        let fill = self.fills.get(&id)?;
        let is_recent_enough = match (request.max_age, fill.max_age) {
            (None, _) => true,
            (Some(_), None) => false,
            (Some(accepted), Some(fill_max_age)) => fill_max_age <= accepted,
        };
        (is_recent_enough && fill.joinable).then_some(id)
    }

    fn begin_fill(&mut self, request: &CacheRequest<K>) -> FillId {
        self.last_id += 1;
        let joinable = request.retention_rank > 0 && !request.only_if_cached;
        let fill = Fill {
            key: request.key.clone(),
            joinable,
            max_age: request.max_age,
        };
        self.fills.insert(self.last_id, fill);
        if joinable {
            self.by_key.insert(request.key.clone(), self.last_id);
        }
        self.last_id
    }

    /// Lets no further request join the running fill of a key, because its object was purged.
    pub fn stop_coalescing(&mut self, key: &K) {
        let Some(id) = self.by_key.remove(key) else {
            return;
        };
        if let Some(fill) = self.fills.get_mut(&id) {
            fill.joinable = false;
        }
    }

    /// Removes a fill that has completed or failed. Returns the fill that the first queued request begins.
    pub fn fill_ended(&mut self, fill: FillId) -> Option<QueuedFill> {
        let ended = self.fills.remove(&fill)?;
        if self.by_key.get(&ended.key) == Some(&fill) {
            self.by_key.remove(&ended.key);
        }
        let (waiter, request) = self.waiting.pop_front()?;
        Some(QueuedFill {
            waiter,
            fill: self.begin_fill(&request),
        })
    }

    /// Removes a request from the queue.
    pub fn cancel_wait(&mut self, waiter: WaiterId) {
        self.waiting.retain(|(queued, _)| *queued != waiter);
    }
}

#[cfg(test)]
mod tests;
