//! The clauses, request by request, on the books of both ends.
use super::books::*;
use super::plan::Plan;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Each limit of time holds with so much.
const SLACK: Duration = ms(50);
/// Up to so much after its time an answer only earns nothing.
const LOST_AFTER: Duration = ms(500);
const CROSSING: Duration = ms(50);
const AFTER_LEAVING: Duration = ms(100);
const MS_SLACK: Duration = ms(150);
const DRAIN_GRACE: Duration = ms(1_000);
const PURGE_GRACE: Duration = ms(500);
/// Copies from before a purge are gone everywhere.
const PURGE_DONE: Duration = ms(6_000);
/// How long before a pull a purge is planted: within `PURGE_DONE`, after any delay of a board.
const PLANTED_PURGE_AGE: Duration = ms(5_000);
/// What a board that is down or silent would have told counts as told so long after that began.
const TOLD_AT_THE_LATEST: Duration = ms(4_000);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Clause {
    Answered,
    InTime,
    Once,
    AfterLeaving,
    TimeLeft,
    OneAttemptAtOnce,
    NoEffectTwice,
    Refusals,
    Drains,
    Purges,
    NoCrash,
}

#[derive(Clone, Debug)]
pub struct Violation {
    pub clause: Clause,
    pub txn: String,
    pub why: String,
}

struct Judge<'a> {
    plan: &'a Plan,
    book: &'a Book,
    found: Vec<Violation>,
}

/// All that the books show, by clause and request.
pub fn judge(plan: &Plan, book: &Book) -> Vec<Violation> {
    let mut judge = Judge {
        plan,
        book,
        found: Vec::new(),
    };
    let mut pulls: BTreeMap<&str, Vec<&Pull>> = BTreeMap::new();
    for pull in &book.pulls {
        pulls.entry(&pull.txn).or_default().push(pull);
    }
    for (txn, asked) in &book.asked {
        let of = pulls
            .get(txn.as_str())
            .map(Vec::as_slice)
            .unwrap_or_default();
        judge.answer(txn, asked, of);
        judge.attempts(txn, asked, of);
    }
    for crash in &book.crashes {
        judge.find(Clause::NoCrash, "", crash.clone());
    }
    judge.found
}

impl Judge<'_> {
    fn find(&mut self, clause: Clause, txn: &str, why: impl Into<String>) {
        self.found.push(Violation {
            clause,
            txn: txn.to_owned(),
            why: why.into(),
        });
    }

    fn answer(&mut self, txn: &str, asked: &Asked, pulls: &[&Pull]) {
        if asked.answers > 1 {
            self.find(Clause::Once, txn, format!("{} answers", asked.answers));
        }
        match asked.end {
            End::Answered(at, status) => {
                let limit = asked.ttl + SLACK + LOST_AFTER;
                if asked.left.is_none() && at > asked.sent + limit {
                    self.find(
                        Clause::InTime,
                        txn,
                        format!("answered after {:?}", at - asked.sent),
                    );
                }
                self.refusal(txn, asked, status, pulls);
            }
            End::Left => {}
            End::Closed { at, new } => {
                let crossed = at <= asked.sent + CROSSING;
                // In a crowd new connections may be shut unread.
                let unread = self.plan.crowd && new && pulls.is_empty();
                if !crossed && !unread {
                    let ending = self.book.endings.iter().any(|e| {
                        e.dispatcher == asked.dispatcher
                            && at + SLACK >= e.killed
                            && at <= e.killed + ms(500)
                    });
                    let why = if ending {
                        "killed before its answer"
                    } else {
                        "closed without an answer"
                    };
                    self.find(Clause::Answered, txn, why);
                }
            }
            End::Open => self.find(Clause::Answered, txn, "never answered"),
        }
    }

    /// A refusal tells that trying again is harmless.
    fn refusal(&mut self, txn: &str, asked: &Asked, status: u16, pulls: &[&Pull]) {
        let unsafe_class = asked.class == Class::Submit && self.plan.effect == "at_most_once";
        let may_have_run = pulls
            .iter()
            .any(|p| !matches!(p.over, Some((_, Over::Refused))));
        if status == 503 && unsafe_class && may_have_run {
            self.find(
                Clause::Refusals,
                txn,
                "refused, and an attempt may have run",
            );
        }
    }

    fn attempts(&mut self, txn: &str, asked: &Asked, pulls: &[&Pull]) {
        for pull in pulls {
            if asked
                .left
                .is_some_and(|left| pull.at > left + AFTER_LEAVING + SLACK)
            {
                self.find(
                    Clause::AfterLeaving,
                    txn,
                    "an attempt after its client has left",
                );
            }
            let left = (asked.sent + asked.ttl).saturating_duration_since(pull.at);
            if ms(pull.ms) > left + MS_SLACK {
                let why = format!("ms={} told, {left:?} left", pull.ms);
                self.find(Clause::TimeLeft, txn, why);
            }
            self.told(txn, asked, pull);
        }
        for pair in pulls.windows(2) {
            let (first, second) = (pair[0], pair[1]);
            let over = first.over.map(|(at, _)| at);
            if over.is_none_or(|over| over > second.at + SLACK) {
                self.find(
                    Clause::OneAttemptAtOnce,
                    txn,
                    "a second attempt while the first was out",
                );
            }
        }
        let ran = pulls
            .iter()
            .find(|p| !matches!(p.over, Some((_, Over::Refused))));
        let Some(ran) = ran.filter(|_| asked.class == Class::Submit) else {
            return;
        };
        let window = match self.plan.effect {
            "at_most_once" => Duration::ZERO,
            "deduplicated" => self.plan.key_window + SLACK,
            _ => return,
        };
        for pull in pulls.iter().filter(|p| p.at > ran.at) {
            if window.is_zero() || pull.at > ran.at + window {
                self.find(
                    Clause::NoEffectTwice,
                    txn,
                    format!("again after {:?}", pull.at - ran.at),
                );
            }
        }
    }

    /// When something counts as told to all dispatchers.
    fn in_force(&self, told: Instant, grace: Duration) -> Instant {
        let trouble = self.book.board_troubles.iter();
        let late = trouble.filter(|(from, to)| *from <= told + SLACK && told <= *to + SLACK);
        late.map(|(from, _)| *from + TOLD_AT_THE_LATEST)
            .fold(told, Instant::max)
            + grace
            + SLACK
    }

    fn told(&mut self, txn: &str, asked: &Asked, pull: &Pull) {
        for (at, told) in &self.book.told {
            match told {
                Told::Drained { host }
                    if *host == pull.host && pull.at > self.in_force(*at, DRAIN_GRACE) =>
                {
                    self.find(
                        Clause::Drains,
                        txn,
                        format!("sent to host {host}, which drains"),
                    );
                }
                Told::Purged { object, at: purged } if *object == asked.object => {
                    let matters = asked.class == Class::Page && pull.at < *purged + PURGE_DONE;
                    let since = pull.at.saturating_duration_since(*purged);
                    let fits = pull.cap > 0 && ms(pull.cap) <= since + SLACK;
                    if matters && pull.at > self.in_force(*at, PURGE_GRACE) && !fits {
                        let why = format!("a copy of {} ms, purged {since:?} ago", pull.cap);
                        self.find(Clause::Purges, txn, why);
                    }
                }
                _ => {}
            }
        }
    }
}

/// The whole way of a request, for whoever traces it.
pub fn way(book: &Book, txn: &str, start: Instant) -> String {
    let at = |at: Instant| format!("{:.3}", at.saturating_duration_since(start).as_secs_f64());
    let mut lines = Vec::new();
    if let Some(asked) = book.asked.get(txn) {
        lines.push(format!("{} asked: {asked:?}", at(asked.sent)));
        let told = book.told.iter().filter(|(_, told)| match told {
            Told::Purged { object, .. } => *object == asked.object,
            Told::Drained { host } => book.pulls.iter().any(|p| p.txn == txn && p.host == *host),
        });
        lines.extend(told.map(|(when, told)| format!("{} told: {told:?}", at(*when))));
        let endings = book
            .endings
            .iter()
            .filter(|e| e.dispatcher == asked.dispatcher);
        lines.extend(endings.map(|e| format!("{} killed: {e:?}", at(e.killed))));
    }
    let pulls = book.pulls.iter().filter(|p| p.txn == txn);
    lines.extend(pulls.map(|p| format!("{} pull: {p:?}", at(p.at))));
    lines.join("\n    ")
}

/// Faults put into good books, one for each clause: the judge has to find it.
pub fn plants(plan: &Plan, book: &Book) -> Vec<(Clause, Book)> {
    let mut planted = Vec::new();
    let mut plant = |clause, change: &dyn Fn(&mut Book) -> bool| {
        let mut book = book.clone();
        if change(&mut book) {
            planted.push((clause, book));
        }
    };
    let served: Vec<String> = {
        let answered = book
            .asked
            .iter()
            .filter(|(_, a)| matches!(a.end, End::Answered(_, 200)));
        let pulled: BTreeSet<&str> = book.pulls.iter().map(|p| p.txn.as_str()).collect();
        answered
            .filter(|(txn, _)| pulled.contains(txn.as_str()))
            .map(|(txn, _)| txn.clone())
            .collect()
    };
    let page = served
        .iter()
        .find(|txn| book.asked[*txn].class == Class::Page)
        .cloned();
    let submit = served
        .iter()
        .find(|txn| book.asked[*txn].class == Class::Submit)
        .cloned();
    let (Some(page), Some(submit)) = (page, submit) else {
        return planted;
    };
    let asked = |book: &mut Book, txn: &str, change: &dyn Fn(&mut Asked)| {
        book.asked.get_mut(txn).map(change).is_some()
    };
    let again = |book: &mut Book, txn: &str, after: Duration| {
        let Some(first) = book.pulls.iter().find(|p| p.txn == txn).cloned() else {
            return false;
        };
        let at = first.at + after;
        book.pulls.push(Pull {
            at,
            ms: 0,
            over: Some((at, Over::Served)),
            ..first
        });
        true
    };
    plant(Clause::Answered, &|b| {
        asked(b, &page, &|a| a.end = End::Open)
    });
    plant(Clause::Answered, &|b| {
        asked(b, &page, &|a| {
            a.end = End::Closed {
                at: a.sent + ms(500),
                new: false,
            }
        })
    });
    plant(Clause::InTime, &|b| {
        asked(b, &page, &|a| {
            a.end = End::Answered(a.sent + a.ttl + ms(700), 200)
        })
    });
    plant(Clause::Once, &|b| asked(b, &page, &|a| a.answers += 1));
    plant(Clause::AfterLeaving, &|b| {
        asked(b, &page, &|a| a.left = Some(a.sent - ms(300)))
    });
    plant(Clause::TimeLeft, &|b| {
        b.pulls
            .iter_mut()
            .find(|p| p.txn == page)
            .map(|p| p.ms += 60_000)
            .is_some()
    });
    plant(Clause::OneAttemptAtOnce, &|b| {
        let Some(first) = b.pulls.iter_mut().find(|p| p.txn == page) else {
            return false;
        };
        first.over = None;
        again(b, &page, ms(1))
    });
    plant(Clause::NoEffectTwice, &|b| {
        plan.effect != "idempotent" && again(b, &submit, plan.key_window + ms(200))
    });
    plant(Clause::Refusals, &|b| {
        plan.effect == "at_most_once"
            && asked(b, &submit, &|a| a.end = End::Answered(a.sent + ms(1), 503))
    });
    plant(Clause::Drains, &|b| {
        let Some(pull) = b.pulls.iter().find(|p| p.txn == page).cloned() else {
            return false;
        };
        b.told
            .push((pull.at - ms(9_000), Told::Drained { host: pull.host }));
        true
    });
    plant(Clause::Purges, &|b| {
        // A pull with a cap below the age of the planted purge keeps that purge: nothing would be wrong with it.
        let serves_older_copies = |p: &Pull| p.cap == 0 || ms(p.cap) > PLANTED_PURGE_AGE + SLACK;
        let is_page = |p: &Pull| served.contains(&p.txn) && b.asked[&p.txn].class == Class::Page;
        let pull = b
            .pulls
            .iter()
            .find(|p| is_page(p) && serves_older_copies(p));
        let Some(pull) = pull.cloned() else {
            return false;
        };
        let object = b.asked[&pull.txn].object;
        let at = pull.at - PLANTED_PURGE_AGE;
        b.told.push((at, Told::Purged { object, at }));
        true
    });
    plant(Clause::NoCrash, &|b| {
        b.crashes.push("planted".into());
        true
    });
    planted
}
