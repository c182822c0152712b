//! Calls of clients by name, so that a call that is tried again never has two live attempts here: a decision without I/O.
//!
//! A client that lost its connection does not know whether its dispatcher has noticed. It tries again under the same name.
//! The try before it is ended first, and the new one begins when that end is known. One whose answer was complete, small
//! and of work that must not run twice is answered from what was kept of it.
//!
//! Kept: a name for each running call, and for [`KeysRule::keep`] after its end; answers of at most
//! [`KeysRule::answer_bytes`] together. With more names than may be, a new one is refused: what runs is not forgotten for it.
use pointspindle::Micros;
use std::collections::{HashMap, VecDeque};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeysRule {
    /// Names at once, running or remembered.
    pub most: usize,
    /// How long a call is remembered after its end.
    pub keep: Micros,
    pub answer_bytes: usize,
}

pub type Ticket = u64;

/// What becomes of a try.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Begin<A> {
    Run,
    /// These are to be ended; its turn comes with [`Keys::over`].
    After(Vec<Ticket>),
    /// The call was answered, and this was it.
    Answered(A),
    Full,
}

#[derive(Debug)]
enum Entry<A> {
    Running {
        ticket: Ticket,
        next: Option<Ticket>,
    },
    Over {
        at: Micros,
        answer: Option<(A, usize)>,
    },
}

#[derive(Debug)]
pub struct Keys<A> {
    rule: KeysRule,
    calls: HashMap<String, Entry<A>>,
    /// Ends in order, to be forgotten.
    ends: VecDeque<(Micros, String)>,
    bytes: usize,
}

impl<A: Clone> Keys<A> {
    pub fn new(rule: KeysRule) -> Self {
        Self {
            rule,
            calls: HashMap::new(),
            ends: VecDeque::new(),
            bytes: 0,
        }
    }

    pub fn len(&self) -> usize {
        self.calls.len()
    }

    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// A try of a call comes, under a ticket of its own.
    pub fn begin(&mut self, now: Micros, call: &str, ticket: Ticket) -> Begin<A> {
        self.forget(now);
        let full = self.calls.len() >= self.rule.most;
        match self.calls.get_mut(call) {
            Some(Entry::Running {
                ticket: running,
                next,
            }) => {
                let end = next.replace(ticket).into_iter().chain([*running]).collect();
                return Begin::After(end);
            }
            Some(Entry::Over {
                answer: Some((answer, _)),
                ..
            }) => return Begin::Answered(answer.clone()),
            Some(Entry::Over { answer: None, .. }) => {}
            None if full => return Begin::Full,
            None => {}
        }
        self.calls
            .insert(call.to_owned(), Entry::Running { ticket, next: None });
        Begin::Run
    }

    /// A try is over: its attempt's end is known. Whose turn it is then.
    pub fn over(
        &mut self,
        now: Micros,
        call: &str,
        ticket: Ticket,
        answer: Option<(A, usize)>,
    ) -> Option<Ticket> {
        let Some(Entry::Running {
            ticket: running,
            next,
        }) = self.calls.get_mut(call)
        else {
            return None;
        };
        if *running != ticket {
            // It only waited for its turn.
            next.take_if(|waiting| *waiting == ticket);
            return None;
        }
        let answer = answer.filter(|(_, size)| self.bytes + size <= self.rule.answer_bytes);
        let waiting = next.take();
        if let (Some(next), None) = (waiting, &answer) {
            *running = next;
            return Some(next);
        }
        // Answered in the moment in which it was tried again: the one that waits finds the answer at its turn.
        self.bytes += answer.as_ref().map_or(0, |a| a.1);
        self.calls
            .insert(call.to_owned(), Entry::Over { at: now, answer });
        self.ends.push_back((now, call.to_owned()));
        waiting
    }

    /// What was kept of a call that is over.
    pub fn answered(&self, call: &str) -> Option<A> {
        match self.calls.get(call) {
            Some(Entry::Over {
                answer: Some((answer, _)),
                ..
            }) => Some(answer.clone()),
            _ => None,
        }
    }

    fn forget(&mut self, now: Micros) {
        while self
            .ends
            .front()
            .is_some_and(|(at, _)| *at + self.rule.keep <= now)
        {
            let Some((ended, call)) = self.ends.pop_front() else {
                return;
            };
            // Tried again since, it has another end to come or had one later.
            if let Some(Entry::Over { at, answer }) = self.calls.get(&call) {
                if *at == ended {
                    self.bytes -= answer.as_ref().map_or(0, |a| a.1);
                    self.calls.remove(&call);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const RULE: KeysRule = KeysRule {
        most: 3,
        keep: 100,
        answer_bytes: 10,
    };

    #[test]
    fn a_second_try_ends_the_first_and_begins_when_that_end_is_known() {
        let mut k = Keys::<&str>::new(RULE);
        assert_eq!(k.begin(0, "a", 1), Begin::Run);
        assert_eq!(k.begin(1, "a", 2), Begin::After(vec![1]));
        assert_eq!(
            k.begin(2, "a", 3),
            Begin::After(vec![2, 1]),
            "a third ends who waits as well"
        );
        assert_eq!(k.over(3, "a", 2, None), None, "it only waited");
        assert_eq!(k.over(4, "a", 1, None), Some(3));
        assert_eq!(k.over(5, "a", 1, None), None, "once");
        assert_eq!(k.over(6, "a", 3, None), None);
        assert_eq!(k.begin(7, "a", 4), Begin::Run, "nothing was kept of it");
    }

    #[test]
    fn an_answer_is_kept_for_a_while_and_within_its_bytes() {
        let mut k = Keys::new(RULE);
        assert_eq!(k.begin(0, "a", 1), Begin::Run);
        assert_eq!(k.begin(0, "b", 2), Begin::Run);
        k.over(10, "a", 1, Some(("six", 6)));
        k.over(10, "b", 2, Some(("also six", 6)));
        assert_eq!(k.begin(20, "a", 3), Begin::Answered("six"));
        assert_eq!(k.begin(20, "b", 4), Begin::Run, "no room for its answer");
        k.over(30, "b", 4, None);
        assert_eq!(k.begin(111, "a", 5), Begin::Run, "forgotten");
        k.over(112, "a", 5, None);
        assert_eq!(k.begin(1_000, "c", 6), Begin::Run);
        k.over(1_000, "c", 6, None);
        assert_eq!(k.begin(2_000, "d", 7), Begin::Run);
        assert_eq!(
            (k.len(), k.bytes, k.ends.len()),
            (1, 0, 0),
            "nothing is left of what is over"
        );
    }

    /// The answer was complete just as its client came back for it.
    #[test]
    fn a_try_that_waits_when_the_answer_comes_has_its_turn_and_finds_it() {
        let mut k = Keys::new(RULE);
        k.begin(0, "a", 1);
        assert_eq!(k.begin(1, "a", 2), Begin::After(vec![1]));
        assert_eq!(k.over(2, "a", 1, Some(("done", 4))), Some(2));
        assert_eq!(k.answered("a"), Some("done"));
        assert_eq!(k.over(3, "a", 2, None), None);
        assert_eq!(
            k.answered("a"),
            Some("done"),
            "its own end takes nothing away"
        );
    }

    #[test]
    fn full_refuses_new_names_and_no_known_one() {
        let mut k = Keys::<&str>::new(RULE);
        for (n, call) in ["a", "b", "c"].into_iter().enumerate() {
            assert_eq!(k.begin(0, call, n as u64), Begin::Run);
        }
        assert_eq!(k.begin(0, "d", 9), Begin::Full);
        assert_eq!(k.begin(0, "a", 10), Begin::After(vec![0]));
        k.over(1, "b", 1, None);
        assert_eq!(k.begin(50, "d", 11), Begin::Full, "remembered");
        assert_eq!(k.begin(200, "d", 12), Begin::Run);
    }
}
