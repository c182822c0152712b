//! What a cache host does with a request: served from what is cached, filled, joined to a fill, made to wait, or turned away. Without I/O.
//!
//! The shell tells what is cached ([`CachedCopy`]) and carries out the [`RequestDecision`]; it tells when a fill begins to bring its answer and when it
//! ends. Times are microseconds on one clock that never goes back.
//!
//! Kept: an entry for each fill under way (at most [`FillLimits::max_fills`]) and one for each request that waits (at most [`FillLimits::max_waiting`]),
//! forgotten with their ends. Nothing of a request that is served at once.
use pointspindle::Micros;
use pointspindle_protocol::{FetchHead, RequestHead};
use std::collections::{BTreeMap, VecDeque};

pub type FillId = u64;
pub type WaiterId = u64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FillLimits {
    /// Fills at once.
    pub max_fills: usize,
    /// Requests that wait for a place; more are told so at once.
    pub max_waiting: usize,
}

/// The copy that is cached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CachedCopy {
    /// Since the origin gave it out or confirmed it.
    pub age: Micros,
}

/// A request, as far as it decides.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheRequest<K> {
    pub key: K,
    /// Oldest copy that will do; none: any.
    pub max_age: Option<Micros>,
    /// Age from which a copy counts as stale; none: never.
    pub freshness_lifetime: Option<Micros>,
    /// Only what is cached, here or (with a source) there.
    pub only_if_cached: bool,
    /// Where a miss is filled from; none: nowhere.
    pub source: Option<String>,
    /// 0: passes through.
    pub retention_rank: u32,
    pub coalesce: bool,
    pub revalidate: bool,
}

impl<K> CacheRequest<K> {
    /// As a request says; `freshness_lifetime` is the class's, `own` the upstream of the host itself, `uncacheable` the class's nature.
    pub fn of(
        head: &RequestHead,
        key: K,
        freshness_lifetime: Option<Micros>,
        own: Option<&str>,
        uncacheable: bool,
    ) -> Self {
        // A plain question of a cacheable class wants what is cached; what runs at the origin is passed on.
        let plain = FetchHead {
            only_if_cached: !uncacheable,
            ..FetchHead::default()
        };
        let fetch = head.fetch.clone().unwrap_or(plain);
        // A source of a fill asks nobody else when it is to give what it holds.
        let inner = fetch.only_if_cached && fetch.source.is_empty();
        let source = match fetch.source.as_str() {
            "" => own.map(str::to_owned).filter(|_| !inner),
            named => Some(named.to_owned()),
        };
        let max_age = if uncacheable {
            Some(0)
        } else {
            (fetch.max_age_us > 0)
                .then_some(fetch.max_age_us)
                .or(freshness_lifetime)
        };
        let retention_rank = if uncacheable { 0 } else { fetch.retention_rank };
        let coalesce = fetch.coalesce && !uncacheable;
        Self {
            key,
            max_age,
            freshness_lifetime,
            only_if_cached: fetch.only_if_cached,
            source,
            retention_rank,
            coalesce,
            revalidate: fetch.revalidate,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestDecision {
    /// From what is cached. `revalidate`: begin that fill behind it; `stale`: past its freshness_lifetime time.
    Serve {
        stale: bool,
        revalidate: Option<FillId>,
    },
    /// Begin this fill, and answer from it.
    Fill(FillId),
    /// Answer from a fill that is under way.
    Join(FillId),
    /// [`FillTable::fill_ended`] tells when it is its turn.
    Wait(WaiterId),
    /// Nothing suitable is cached, and nothing is to be filled.
    Miss,
    /// Neither a place nor room to wait for one.
    Reject,
}

/// A waiter's turn: it begins this fill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedFill {
    pub waiter: WaiterId,
    pub fill: FillId,
}

#[derive(Debug)]
struct Fill<K> {
    key: K,
    /// None: it passes through, nobody joins it.
    joinable: bool,
    /// Oldest copy that its source may give.
    max_age: Option<Micros>,
}

#[derive(Debug)]
pub struct FillTable<K> {
    rule: FillLimits,
    fills: BTreeMap<FillId, Fill<K>>,
    /// Of fills that may be joined, the newest.
    by_key: BTreeMap<K, FillId>,
    waiting: VecDeque<(WaiterId, CacheRequest<K>)>,
    next: u64,
}

impl<K: Clone + Ord> FillTable<K> {
    pub fn new(rule: FillLimits) -> Self {
        Self {
            rule,
            fills: BTreeMap::new(),
            by_key: BTreeMap::new(),
            waiting: VecDeque::new(),
            next: 0,
        }
    }

    pub fn active_fills(&self) -> usize {
        self.fills.len()
    }

    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    pub fn decide(
        &mut self,
        request: CacheRequest<K>,
        cached: Option<CachedCopy>,
    ) -> RequestDecision {
        let young = |h: &CachedCopy| request.max_age.is_none_or(|max_age| h.age <= max_age);
        if let Some(cached) = cached.filter(young) {
            let stale = request
                .freshness_lifetime
                .is_some_and(|freshness_lifetime| cached.age > freshness_lifetime);
            // One renewal of a copy at a time, and only where there is a place to spare: it is nobody's answer.
            let behind = stale
                && request.revalidate
                && request.source.is_some()
                && !self.by_key.contains_key(&request.key);
            let revalidate =
                (behind && self.fills.len() < self.rule.max_fills).then(|| self.begin(&request));
            return RequestDecision::Serve { stale, revalidate };
        }
        if request.source.is_none() {
            return RequestDecision::Miss;
        }
        if let Some(fill) = self.joinable(&request) {
            return RequestDecision::Join(fill);
        }
        if self.fills.len() < self.rule.max_fills {
            return RequestDecision::Fill(self.begin(&request));
        }
        if self.waiting.len() >= self.rule.max_waiting {
            return RequestDecision::Reject;
        }
        self.next += 1;
        self.waiting.push_back((self.next, request));
        RequestDecision::Wait(self.next)
    }

    /// A fill under way that brings a copy no older than wanted.
    fn joinable(&self, request: &CacheRequest<K>) -> Option<FillId> {
        let id = *self.by_key.get(&request.key).filter(|_| request.coalesce)?;
        let fill = self.fills.get(&id)?;
        let enough = match (request.max_age, fill.max_age) {
            (None, _) => true,
            (Some(_), None) => false,
            (Some(wanted), Some(given)) => given <= wanted,
        };
        (enough && fill.joinable).then_some(id)
    }

    fn begin(&mut self, request: &CacheRequest<K>) -> FillId {
        self.next += 1;
        let joinable = request.retention_rank > 0 && !request.only_if_cached;
        let fill = Fill {
            key: request.key.clone(),
            joinable,
            max_age: request.max_age,
        };
        self.fills.insert(self.next, fill);
        if joinable {
            self.by_key.insert(request.key.clone(), self.next);
        }
        self.next
    }

    /// Nobody may coalesce it any more: a purge of its object came while it was under way.
    pub fn stop_coalescing(&mut self, key: &K) {
        if let Some(fill) = self
            .by_key
            .remove(key)
            .and_then(|id| self.fills.get_mut(&id))
        {
            fill.joinable = false;
        }
    }

    /// A fill has ended, well or not: whose turn it is now.
    pub fn fill_ended(&mut self, fill: FillId) -> Option<QueuedFill> {
        let ended = self.fills.remove(&fill)?;
        if self.by_key.get(&ended.key) == Some(&fill) {
            self.by_key.remove(&ended.key);
        }
        let (waiter, request) = self.waiting.pop_front()?;
        Some(QueuedFill {
            waiter,
            fill: self.begin(&request),
        })
    }

    /// Who waited has left.
    pub fn cancel_wait(&mut self, waiter: WaiterId) {
        self.waiting.retain(|(w, _)| *w != waiter);
    }
}

#[cfg(test)]
mod tests;
