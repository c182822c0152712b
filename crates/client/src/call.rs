//! One call, from its first try to its one outcome: a state machine without I/O, for both transports.
//!
//! The owner tells what happened with the time and carries the actions out in order. [`Action::Done`] comes exactly once
//! and last. Between events it calls [`Machine::wake`] at the moment that the last [`Action::WakeAt`] named.
//!
//! **At most one live attempt.** A try ends for certain when its dispatcher says so, or refuses, or when nothing was sent.
//! When its connection is lost instead, what it began may still run. The dispatcher lets go of it when it loses the
//! client; how long that takes at most it has told (the lease). Until that is over a next try goes to the same dispatcher
//! only, under the same key: it ends the old one before it begins the new. Another dispatcher is asked after it.
use crate::retry::{Micros, Retries};
use std::time::Duration;

/// What may happen if a piece of work runs twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Nothing.
    Safe,
    /// A repeat under the same key is thrown away for so long after the first.
    Keyed { window: Duration },
    /// It would be done twice.
    Unsafe,
}

/// How a call ended. There is one for each call, and no other end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Whole; every byte has been handed on.
    Served,
    /// Nothing was done that a retry would do twice.
    Refused { come_back: Option<Duration> },
    /// No promise; `may_have_run`: the work may have been done.
    Failed { may_have_run: bool },
}

/// How a try ended, as its transport saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Complete,
    /// The dispatcher's final word: refused.
    Refused {
        come_back: Option<Micros>,
    },
    /// The dispatcher's final word: failed.
    Failed {
        may_have_run: bool,
    },
    /// No connection, or no room on it: nothing was sent.
    NotSent,
    /// The connection is gone and its end was not said. The dispatcher lets go within the lease, if it told one.
    Lost {
        lease: Option<Micros>,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Ask this dispatcher; its client waits so long. An earlier try is over or cancelled.
    Try {
        number: u32,
        dispatcher: usize,
        left: Micros,
    },
    /// Cancel it; nothing of it is told any more.
    Abandon {
        number: u32,
    },
    WakeAt(Micros),
    Done(Outcome),
}

/// Clocks of two machines may run so much apart, and a word may be so long on its way.
const MARGIN: f64 = 1.5;
/// A retry with less time left than this is not worth its cost.
const LEAST: Micros = 5_000;

#[derive(Clone, Copy, Debug)]
struct Live {
    number: u32,
    dispatcher: usize,
    headed: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    /// A try is under way.
    Trying,
    /// Until then nothing is.
    Waiting(Micros),
    Done,
}

#[derive(Debug)]
pub struct Machine {
    effect: Effect,
    deadline: Micros,
    phase: Phase,
    tries: u32,
    live: Option<Live>,
    /// A try whose end is not known: where, and until when it may live.
    shadow: Option<(usize, Micros)>,
    /// When work may first have been done.
    ran: Option<Micros>,
    sent: Micros,
    come_back: Option<Micros>,
}

impl Machine {
    pub fn new(effect: Effect, deadline: Micros) -> Self {
        let (phase, shadow, ran) = (Phase::Waiting(0), None, None);
        Self {
            effect,
            deadline,
            phase,
            tries: 0,
            live: None,
            shadow,
            ran,
            sent: 0,
            come_back: None,
        }
    }

    /// How many tries were made so far.
    pub fn tries(&self) -> u32 {
        self.tries
    }

    pub fn start(&mut self, now: Micros, shared: &mut Retries, act: &mut Vec<Action>) {
        shared.called();
        self.next_try(now, shared, act);
    }

    /// A time that was asked for has come.
    pub fn wake(&mut self, now: Micros, shared: &mut Retries, act: &mut Vec<Action>) {
        match self.phase {
            Phase::Done => {}
            _ if now >= self.deadline => self.time_is_up(now, shared, act),
            Phase::Waiting(until) if now >= until => self.next_try(now, shared, act),
            Phase::Waiting(until) => act.push(Action::WakeAt(until.min(self.deadline))),
            Phase::Trying => act.push(Action::WakeAt(self.deadline)),
        }
    }

    /// The answer's head has come: from here on the call is this try's. True if it is to be handed on.
    pub fn head(&mut self, now: Micros, number: u32, shared: &mut Retries) -> bool {
        let Some(live) = self.live.as_mut().filter(|l| l.number == number) else {
            return false;
        };
        // In the same moment as the deadline: whichever was told first.
        if now >= self.deadline {
            return false;
        }
        live.headed = true;
        shared.heard(live.dispatcher);
        true
    }

    /// A try is over.
    pub fn ended(
        &mut self,
        now: Micros,
        number: u32,
        end: End,
        shared: &mut Retries,
        act: &mut Vec<Action>,
    ) {
        let Some(live) = self.live.filter(|l| l.number == number) else {
            return;
        };
        self.live = None;
        match end {
            End::NotSent | End::Lost { .. } if !live.headed => shared.silent(now, live.dispatcher),
            _ => shared.heard(live.dispatcher),
        }
        if !matches!(
            end,
            End::NotSent
                | End::Refused { .. }
                | End::Failed {
                    may_have_run: false
                }
        ) {
            self.ran.get_or_insert(self.sent);
        }
        match end {
            End::Complete => return self.finish(Outcome::Served, act),
            // Bytes have been handed on: nobody else's answer can take their place.
            _ if live.headed => return self.finish(Outcome::Failed { may_have_run: true }, act),
            End::Lost { lease } => {
                // Without a lease it lives as long as its client would have waited.
                let until = lease.map_or(self.deadline, |l| now + (l as f64 * MARGIN) as Micros);
                self.shadow = Some((live.dispatcher, until));
            }
            _ => self.shadow = self.shadow.filter(|(_, until)| *until > now),
        }
        self.come_back = if let End::Refused { come_back } = end {
            come_back
        } else {
            None
        };
        self.after(now, live.dispatcher, end, shared, act);
    }

    /// Goes on after a try that gave nothing.
    fn after(
        &mut self,
        now: Micros,
        at: usize,
        end: End,
        shared: &mut Retries,
        act: &mut Vec<Action>,
    ) {
        let nothing_sent = end == End::NotSent;
        if !self.may_repeat(now) || self.tries >= shared.rules().most {
            return self.give_up(act);
        }
        // Where nothing was sent, another dispatcher is no load on anybody.
        let others = nothing_sent && self.shadow.is_none();
        if others {
            if let Some(other) = shared.choose(now, &[at]) {
                return self.send(now, other, act);
            }
        }
        if !nothing_sent && !shared.may_retry() {
            return self.give_up(act);
        }
        let told = if let End::Refused { come_back } = end {
            come_back
        } else {
            None
        };
        let mut until = now + shared.wait(self.tries, told);
        if let (Some((dispatcher, over)), true) = (self.shadow, nothing_sent) {
            // The one that may still be at it cannot be reached: the others are asked when it must have let go.
            if dispatcher == at {
                until = until.max(over);
            }
        }
        self.wait(now, until, act);
    }

    fn wait(&mut self, now: Micros, until: Micros, act: &mut Vec<Action>) {
        if until + LEAST >= self.deadline || now >= self.deadline {
            return self.give_up(act);
        }
        self.phase = Phase::Waiting(until);
        act.push(Action::WakeAt(until));
    }

    /// Whether a next try does no harm by its effect.
    fn may_repeat(&self, now: Micros) -> bool {
        match (self.ran, self.effect) {
            (None, _) | (_, Effect::Safe) => true,
            (Some(_), Effect::Unsafe) => false,
            (Some(first), Effect::Keyed { window }) => {
                now + LEAST < first + (window.as_micros() as f64 / MARGIN) as Micros
            }
        }
    }

    fn next_try(&mut self, now: Micros, shared: &mut Retries, act: &mut Vec<Action>) {
        if !self.may_repeat(now) {
            return self.give_up(act);
        }
        self.shadow = self.shadow.filter(|(_, until)| *until > now);
        let choice = match self.shadow {
            Some((dispatcher, _)) => shared.may_ask(now, dispatcher).then_some(dispatcher),
            None => shared.choose(now, &[]),
        };
        match (choice, self.shadow) {
            (Some(dispatcher), _) => self.send(now, dispatcher, act),
            (None, Some((_, until))) => self.wait(now, until, act),
            (None, None) => {
                let until = shared.next_open().unwrap_or(now).max(now + LEAST);
                self.wait(now, until, act);
            }
        }
    }

    fn send(&mut self, now: Micros, dispatcher: usize, act: &mut Vec<Action>) {
        if now + LEAST >= self.deadline {
            return self.give_up(act);
        }
        let number = self.tries;
        self.tries += 1;
        (self.phase, self.sent) = (Phase::Trying, now);
        self.live = Some(Live {
            number,
            dispatcher,
            headed: false,
        });
        act.push(Action::Try {
            number,
            dispatcher,
            left: self.deadline - now,
        });
        act.push(Action::WakeAt(self.deadline));
    }

    fn time_is_up(&mut self, now: Micros, shared: &mut Retries, act: &mut Vec<Action>) {
        if let Some(live) = self.live.take() {
            if !live.headed {
                shared.silent(now, live.dispatcher);
            }
            self.ran.get_or_insert(self.sent);
            act.push(Action::Abandon {
                number: live.number,
            });
            return self.finish(Outcome::Failed { may_have_run: true }, act);
        }
        self.give_up(act);
    }

    /// No further try: refused where a retry by somebody else does no harm, else failed.
    fn give_up(&mut self, act: &mut Vec<Action>) {
        let come_back = self.come_back.map(Duration::from_micros);
        let harmless = self.ran.is_none() || self.effect == Effect::Safe;
        self.finish(
            if harmless {
                Outcome::Refused { come_back }
            } else {
                Outcome::Failed { may_have_run: true }
            },
            act,
        );
    }

    fn finish(&mut self, outcome: Outcome, act: &mut Vec<Action>) {
        if self.phase != Phase::Done {
            self.phase = Phase::Done;
            act.push(Action::Done(outcome));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::retry::RetryRules;
    use rand::rngs::StdRng;
    use rand::{Rng, SeedableRng};

    const S: Micros = 1_000_000;

    fn shared(dispatchers: usize) -> Retries {
        Retries::new(RetryRules::default(), dispatchers, 1)
    }

    fn begin(effect: Effect, r: &mut Retries) -> (Machine, Vec<Action>) {
        let mut m = Machine::new(effect, 2 * S);
        let mut act = vec![];
        m.start(0, r, &mut act);
        (m, act)
    }

    fn tried(act: &[Action]) -> Option<(u32, usize)> {
        act.iter().find_map(|a| match a {
            Action::Try {
                number, dispatcher, ..
            } => Some((*number, *dispatcher)),
            _ => None,
        })
    }

    fn done(act: &[Action]) -> Vec<Outcome> {
        act.iter()
            .filter_map(|a| {
                if let Action::Done(o) = a {
                    Some(*o)
                } else {
                    None
                }
            })
            .collect()
    }

    fn woken_at(act: &[Action]) -> Option<Micros> {
        act.iter().rev().find_map(|a| {
            if let Action::WakeAt(at) = a {
                Some(*at)
            } else {
                None
            }
        })
    }

    /// Each order of an answer and the deadline in the same instant ends the call once.
    #[test]
    fn the_deadline_and_the_answer_in_one_instant_give_one_outcome() {
        for answer_first in [true, false] {
            let mut r = shared(1);
            let (mut m, _) = begin(Effect::Unsafe, &mut r);
            let mut act = vec![];
            if answer_first {
                m.ended(2 * S, 0, End::Complete, &mut r, &mut act);
                m.wake(2 * S, &mut r, &mut act);
                assert_eq!(done(&act), [Outcome::Served]);
            } else {
                m.wake(2 * S, &mut r, &mut act);
                m.ended(2 * S, 0, End::Complete, &mut r, &mut act);
                assert_eq!(done(&act), [Outcome::Failed { may_have_run: true }]);
                assert!(act.contains(&Action::Abandon { number: 0 }));
            }
        }
    }

    #[test]
    fn a_lost_try_goes_on_at_the_same_dispatcher_and_elsewhere_only_after_its_lease() {
        let mut r = shared(2);
        let (mut m, act) = begin(Effect::Safe, &mut r);
        assert_eq!(tried(&act), Some((0, 0)));
        let mut act = vec![];
        m.ended(
            S / 10,
            0,
            End::Lost {
                lease: Some(200_000),
            },
            &mut r,
            &mut act,
        );
        let at = woken_at(&act).unwrap();
        let mut act = vec![];
        m.wake(at, &mut r, &mut act);
        assert_eq!(
            tried(&act),
            Some((1, 0)),
            "the same one: it ends the old try first"
        );
        let mut act = vec![];
        m.ended(at + 1_000, 1, End::NotSent, &mut r, &mut act);
        let over = woken_at(&act).unwrap();
        assert!(
            over >= S / 10 + 300_000,
            "cannot be reached: the lease and its margin are waited for ({over})"
        );
        let mut act = vec![];
        m.wake(over, &mut r, &mut act);
        assert_eq!(tried(&act).map(|t| t.1), Some(1));
    }

    #[test]
    fn what_may_have_run_is_tried_again_by_its_effect_only() {
        let lost = End::Lost { lease: Some(1_000) };
        let window = Duration::from_millis(600);
        for (effect, at, again) in [
            (Effect::Safe, S, true),
            (Effect::Unsafe, 1_000, false),
            (Effect::Keyed { window }, 100_000, true),
            (Effect::Keyed { window }, 500_000, false),
        ] {
            let mut r = shared(2);
            let (mut m, _) = begin(effect, &mut r);
            let mut act = vec![];
            m.ended(at, 0, lost, &mut r, &mut act);
            assert_eq!(done(&act).is_empty(), again, "{effect:?} at {at}: {act:?}");
            if !again {
                assert_eq!(done(&act), [Outcome::Failed { may_have_run: true }]);
            }
        }
        let mut r = shared(2);
        let (mut m, _) = begin(Effect::Unsafe, &mut r);
        let mut act = vec![];
        m.ended(1_000, 0, End::NotSent, &mut r, &mut act);
        assert_eq!(
            tried(&act).map(|t| t.1),
            Some(1),
            "nothing was sent: the other one at once"
        );
    }

    #[test]
    fn a_time_to_come_back_beyond_the_deadline_is_handed_on() {
        let mut r = shared(1);
        let (mut m, _) = begin(Effect::Safe, &mut r);
        let mut act = vec![];
        m.ended(
            S,
            0,
            End::Refused {
                come_back: Some(5 * S),
            },
            &mut r,
            &mut act,
        );
        assert_eq!(
            done(&act),
            [Outcome::Refused {
                come_back: Some(Duration::from_secs(5))
            }]
        );
    }

    /// Any mix of ends, at any times, with any effect: exactly one outcome, no try while another lives, none elsewhere
    /// within a lease, none after the deadline, and none that would do the work twice.
    #[test]
    fn whatever_happens_there_is_one_outcome_and_never_two_live_tries() {
        for seed in 0..20_000_u64 {
            let mut dice = StdRng::seed_from_u64(seed);
            let mut r = Retries::new(RetryRules::default(), dice.gen_range(1..4), seed);
            let window = Duration::from_millis(500);
            let effect =
                [Effect::Safe, Effect::Keyed { window }, Effect::Unsafe][dice.gen_range(0..3)];
            let mut m = Machine::new(effect, 2 * S);
            let (mut now, mut act) = (0, vec![]);
            m.start(now, &mut r, &mut act);
            let (mut live, mut wake, mut outcomes) = (None, None, 0);
            let (mut shadow, mut first_ran): (Option<(usize, Micros)>, Option<Micros>) =
                (None, None);
            let mut asked = 0;
            for _ in 0..200 {
                for a in std::mem::take(&mut act) {
                    assert_eq!(outcomes, 0, "seed {seed}: {a:?} after the outcome");
                    match a {
                        Action::Try {
                            number,
                            dispatcher,
                            left,
                        } => {
                            assert!(live.is_none(), "seed {seed}: two live tries");
                            assert!(now < 2 * S && left == 2 * S - now);
                            if let Some((at, until)) = shadow.filter(|s| now < s.1) {
                                assert_eq!(
                                    at,
                                    dispatcher,
                                    "seed {seed}: elsewhere {} us early",
                                    until - now
                                );
                            }
                            match (effect, first_ran) {
                                (Effect::Unsafe, Some(_)) => {
                                    panic!("seed {seed}: may be done twice")
                                }
                                (Effect::Keyed { .. }, Some(at)) => {
                                    assert!(now < at + 500_000, "seed {seed}")
                                }
                                _ => {}
                            }
                            asked += 1;
                            live = Some((number, dispatcher, now));
                        }
                        Action::Abandon { number } => {
                            assert_eq!(live.map(|l| l.0), Some(number));
                            live = None;
                        }
                        Action::WakeAt(at) => wake = Some(at),
                        Action::Done(_) => outcomes += 1,
                    }
                }
                if outcomes > 0 && live.is_none() {
                    break;
                }
                let Some((number, dispatcher, sent)) = live.filter(|_| dice.gen::<f64>() < 0.9)
                else {
                    now = wake.unwrap_or(now).max(now);
                    m.wake(now, &mut r, &mut act);
                    continue;
                };
                now += dice.gen_range(0..400_000);
                if now >= 2 * S {
                    m.wake(now, &mut r, &mut act);
                    continue;
                }
                let lease = [None, Some(100_000), Some(400_000)][dice.gen_range(0..3)];
                let end = match dice.gen_range(0..6) {
                    0 => End::Complete,
                    1 => End::Refused {
                        come_back: dice.gen::<bool>().then_some(300_000),
                    },
                    2 => End::Failed {
                        may_have_run: dice.gen(),
                    },
                    3 => End::NotSent,
                    _ => End::Lost { lease },
                };
                if dice.gen::<f64>() < 0.2 {
                    m.head(now, number, &mut r);
                }
                live = None;
                if let End::Lost { lease } = end {
                    shadow = Some((dispatcher, lease.map_or(2 * S, |l| now + l)));
                }
                if matches!(end, End::Lost { .. } | End::Failed { may_have_run: true }) {
                    first_ran.get_or_insert(sent);
                }
                m.ended(now, number, end, &mut r, &mut act);
                // A second end of the same try changes nothing.
                m.ended(now, number, End::Complete, &mut r, &mut act);
            }
            assert_eq!(outcomes, 1, "seed {seed}");
            assert!(asked <= 4, "seed {seed}: {asked} tries");
        }
    }
}
