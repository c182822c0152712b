//! What a cache host does with a request: served from what is held, filled, joined to a fill, made to wait, or turned away. Without I/O.
//!
//! The shell tells what is held ([`Held`]) and carries out the [`Verdict`]; it tells when a fill begins to bring its answer and when it
//! ends. Times are microseconds on one clock that never goes back.
//!
//! Kept: an entry for each fill under way (at most [`Rule::places`]) and one for each request that waits (at most [`Rule::queue`]),
//! forgotten with their ends. Nothing of a request that is served at once.
use pointspindle::Micros;
use pointspindle_protocol::{FetchHead, RequestHead};
use std::collections::{BTreeMap, VecDeque};

pub type FillId = u64;
pub type Waiter = u64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rule {
    /// Fills at once.
    pub places: usize,
    /// Requests that wait for a place; more are told so at once.
    pub queue: usize,
}

/// The copy that is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Held {
    /// Since the origin gave it out or confirmed it.
    pub age: Micros,
}

/// A request, as far as it decides.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Asked<K> {
    pub key: K,
    /// Oldest copy that will do; none: any.
    pub limit: Option<Micros>,
    /// Age from which a copy counts as old; none: never.
    pub fresh: Option<Micros>,
    /// Only what is held, here or (with a source) there.
    pub held_only: bool,
    /// Where a miss is filled from; none: nowhere.
    pub source: Option<String>,
    /// 0: passes through.
    pub keep: u32,
    pub join: bool,
    pub renew: bool,
}

impl<K> Asked<K> {
    /// As a request says; `fresh` is the class's, `own` the upstream of the host itself, `uncacheable` the class's nature.
    pub fn of(
        head: &RequestHead,
        key: K,
        fresh: Option<Micros>,
        own: Option<&str>,
        uncacheable: bool,
    ) -> Self {
        // A plain question of a cacheable class wants what is held; what runs at the origin is passed on.
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
        let limit = if uncacheable {
            Some(0)
        } else {
            (fetch.max_age_us > 0).then_some(fetch.max_age_us).or(fresh)
        };
        let keep = if uncacheable { 0 } else { fetch.retention_rank };
        let join = fetch.coalesce && !uncacheable;
        Self {
            key,
            limit,
            fresh,
            held_only: fetch.only_if_cached,
            source,
            keep,
            join,
            renew: fetch.revalidate,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// From what is held. `renew`: begin that fill behind it; `old`: past its fresh time.
    Serve { old: bool, renew: Option<FillId> },
    /// Begin this fill, and answer from it.
    Fill(FillId),
    /// Answer from a fill that is under way.
    Join(FillId),
    /// [`Desk::over`] tells when it is its turn.
    Wait(Waiter),
    /// Nothing suitable is held, and nothing is to be filled.
    Miss,
    /// Neither a place nor room to wait for one.
    Full,
}

/// A waiter's turn: it begins this fill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Turn {
    pub waiter: Waiter,
    pub fill: FillId,
}

#[derive(Debug)]
struct Fill<K> {
    key: K,
    /// None: it passes through, nobody joins it.
    joinable: bool,
    /// Oldest copy that its source may give.
    limit: Option<Micros>,
}

#[derive(Debug)]
pub struct Desk<K> {
    rule: Rule,
    fills: BTreeMap<FillId, Fill<K>>,
    /// Of fills that may be joined, the newest.
    by_key: BTreeMap<K, FillId>,
    waiting: VecDeque<(Waiter, Asked<K>)>,
    next: u64,
}

impl<K: Clone + Ord> Desk<K> {
    pub fn new(rule: Rule) -> Self {
        Self {
            rule,
            fills: BTreeMap::new(),
            by_key: BTreeMap::new(),
            waiting: VecDeque::new(),
            next: 0,
        }
    }

    pub fn filling(&self) -> usize {
        self.fills.len()
    }

    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    pub fn ask(&mut self, asked: Asked<K>, held: Option<Held>) -> Verdict {
        let young = |h: &Held| asked.limit.is_none_or(|limit| h.age <= limit);
        if let Some(held) = held.filter(young) {
            let old = asked.fresh.is_some_and(|fresh| held.age > fresh);
            // One renewal of a copy at a time, and only where there is a place to spare: it is nobody's answer.
            let behind = old
                && asked.renew
                && asked.source.is_some()
                && !self.by_key.contains_key(&asked.key);
            let renew = (behind && self.fills.len() < self.rule.places).then(|| self.begin(&asked));
            return Verdict::Serve { old, renew };
        }
        if asked.source.is_none() {
            return Verdict::Miss;
        }
        if let Some(fill) = self.joinable(&asked) {
            return Verdict::Join(fill);
        }
        if self.fills.len() < self.rule.places {
            return Verdict::Fill(self.begin(&asked));
        }
        if self.waiting.len() >= self.rule.queue {
            return Verdict::Full;
        }
        self.next += 1;
        self.waiting.push_back((self.next, asked));
        Verdict::Wait(self.next)
    }

    /// A fill under way that brings a copy no older than wanted.
    fn joinable(&self, asked: &Asked<K>) -> Option<FillId> {
        let id = *self.by_key.get(&asked.key).filter(|_| asked.join)?;
        let fill = self.fills.get(&id)?;
        let enough = match (asked.limit, fill.limit) {
            (None, _) => true,
            (Some(_), None) => false,
            (Some(wanted), Some(given)) => given <= wanted,
        };
        (enough && fill.joinable).then_some(id)
    }

    fn begin(&mut self, asked: &Asked<K>) -> FillId {
        self.next += 1;
        let joinable = asked.keep > 0 && !asked.held_only;
        let fill = Fill {
            key: asked.key.clone(),
            joinable,
            limit: asked.limit,
        };
        self.fills.insert(self.next, fill);
        if joinable {
            self.by_key.insert(asked.key.clone(), self.next);
        }
        self.next
    }

    /// Nobody may join it any more: a purge of its object came while it was under way.
    pub fn shut(&mut self, key: &K) {
        if let Some(fill) = self
            .by_key
            .remove(key)
            .and_then(|id| self.fills.get_mut(&id))
        {
            fill.joinable = false;
        }
    }

    /// A fill has ended, well or not: whose turn it is now.
    pub fn over(&mut self, fill: FillId) -> Option<Turn> {
        let ended = self.fills.remove(&fill)?;
        if self.by_key.get(&ended.key) == Some(&fill) {
            self.by_key.remove(&ended.key);
        }
        let (waiter, asked) = self.waiting.pop_front()?;
        Some(Turn {
            waiter,
            fill: self.begin(&asked),
        })
    }

    /// Who waited has left.
    pub fn leave(&mut self, waiter: Waiter) {
        self.waiting.retain(|(w, _)| *w != waiter);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Micros = 1_000_000;

    fn asked(key: &'static str) -> Asked<&'static str> {
        Asked {
            key,
            limit: Some(10 * S),
            fresh: Some(10 * S),
            held_only: false,
            source: Some("parent".into()),
            keep: 1,
            join: true,
            renew: false,
        }
    }

    #[test]
    fn an_age_limit_is_kept_to_the_microsecond_and_old_copies_are_renewed_once() {
        let mut desk = Desk::new(Rule {
            places: 4,
            queue: 1,
        });
        let held = |age| Some(Held { age });
        assert_eq!(
            desk.ask(asked("a"), held(10 * S)),
            Verdict::Serve {
                old: false,
                renew: None
            }
        );
        assert!(matches!(
            desk.ask(asked("a"), held(10 * S + 1)),
            Verdict::Fill(_)
        ));
        let grace = Asked {
            limit: Some(30 * S),
            renew: true,
            ..asked("b")
        };
        let Verdict::Serve {
            old: true,
            renew: Some(fill),
        } = desk.ask(grace.clone(), held(20 * S))
        else {
            panic!()
        };
        // Many ask meanwhile: one renewal.
        assert_eq!(
            desk.ask(grace.clone(), held(20 * S)),
            Verdict::Serve {
                old: true,
                renew: None
            }
        );
        desk.over(fill);
        assert!(matches!(
            desk.ask(grace, held(20 * S)),
            Verdict::Serve { renew: Some(_), .. }
        ));
    }

    #[test]
    fn fills_are_joined_where_they_bring_what_is_wanted() {
        let mut desk = Desk::new(Rule {
            places: 9,
            queue: 0,
        });
        let Verdict::Fill(first) = desk.ask(asked("a"), None) else {
            panic!()
        };
        assert_eq!(desk.ask(asked("a"), None), Verdict::Join(first));
        // Younger than what the first may bring, or alone by its own wish.
        assert!(matches!(
            desk.ask(
                Asked {
                    limit: Some(S),
                    ..asked("a")
                },
                None
            ),
            Verdict::Fill(_)
        ));
        assert!(matches!(
            desk.ask(
                Asked {
                    join: false,
                    ..asked("a")
                },
                None
            ),
            Verdict::Fill(_)
        ));
        let Verdict::Fill(last) = desk.ask(asked("b"), None) else {
            panic!()
        };
        desk.shut(&"b");
        assert!(matches!(desk.ask(asked("b"), None), Verdict::Fill(n) if n != last));
        // What passes through is one request's own.
        let through = Asked {
            keep: 0,
            ..asked("c")
        };
        assert!(matches!(desk.ask(through.clone(), None), Verdict::Fill(_)));
        assert!(matches!(desk.ask(through, None), Verdict::Fill(_)));
    }

    #[test]
    fn places_and_the_queue_are_bounded_and_turns_come_in_order() {
        let mut desk = Desk::new(Rule {
            places: 1,
            queue: 2,
        });
        let Verdict::Fill(fill) = desk.ask(asked("a"), None) else {
            panic!()
        };
        let Verdict::Wait(b) = desk.ask(asked("b"), None) else {
            panic!()
        };
        let Verdict::Wait(c) = desk.ask(asked("c"), None) else {
            panic!()
        };
        assert_eq!(desk.ask(asked("d"), None), Verdict::Full);
        assert_eq!(
            desk.ask(
                Asked {
                    source: None,
                    ..asked("d")
                },
                None
            ),
            Verdict::Miss
        );
        desk.leave(b);
        let turn = desk.over(fill).unwrap();
        assert_eq!((turn.waiter, desk.filling(), desk.waiting()), (c, 1, 0));
        assert_eq!(desk.over(turn.fill), None);
        assert_eq!(desk.filling(), 0);
    }

    #[test]
    fn a_source_gives_what_it_holds_and_asks_nobody() {
        let mut head = RequestHead {
            object: "/a".into(),
            ..Default::default()
        };
        let of = |head: &RequestHead, uncacheable| {
            Asked::of(head, (), None, Some("origin"), uncacheable)
        };
        assert_eq!(
            of(&head, false).source,
            None,
            "a plain question wants what is held"
        );
        assert_eq!(
            of(&head, true).source.as_deref(),
            Some("origin"),
            "what must run is passed on"
        );
        head.fetch = Some(FetchHead {
            only_if_cached: true,
            ..Default::default()
        });
        assert_eq!(of(&head, false).source, None);
        head.fetch = Some(FetchHead {
            retention_rank: 2,
            ..Default::default()
        });
        assert_eq!(of(&head, false).source.as_deref(), Some("origin"));
        head.fetch = Some(FetchHead {
            source: "p:1".into(),
            only_if_cached: true,
            ..Default::default()
        });
        assert_eq!(
            of(&head, false).source.as_deref(),
            Some("p:1"),
            "its source is asked for what it holds"
        );
    }
}
