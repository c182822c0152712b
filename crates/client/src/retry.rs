//! Whether a client may try again, when, and where: decisions without I/O, shared by all calls of one client.
//!
//! * **Budget**: retries are a share of calls. Each call earns a part of a retry, each retry costs one, so a crowd whose every
//!   call fails asks little more than once each, however long the outage lasts.
//! * **Back-off**: doubled with each try, jittered to between half and one and a half.
//! * **Breaker**: a dispatcher that answers nothing several times in a row is left alone for a while, then met by one call.
//!
//! Kept: one number, and a line for each dispatcher of the client's list.
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// Microseconds on the client's own clock.
pub type Micros = u64;

/// See the module.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryRules {
    /// Tries of one call, the first included.
    pub most: u32,
    /// Retries that a call earns.
    pub share: f64,
    /// Retries that may be saved up, and are there at the start.
    pub saved: f64,
    pub back_off: Duration,
    pub longest_back_off: Duration,
    /// Tries without any answer after which a dispatcher is left alone, and for how long at first and at most.
    pub silent: u32,
    pub pause: Duration,
    pub longest_pause: Duration,
}

impl Default for RetryRules {
    fn default() -> Self {
        Self {
            most: 4,
            share: 0.2,
            saved: 10.0,
            back_off: Duration::from_millis(50),
            longest_back_off: Duration::from_secs(2),
            silent: 3,
            pause: Duration::from_millis(500),
            longest_pause: Duration::from_secs(8),
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Breaker {
    silent: u32,
    /// When the last one was counted.
    counted: Option<Micros>,
    trips: u32,
    open_until: Micros,
    /// After a pause one call tries it; the others wait for what becomes of it, until then.
    trial_until: Micros,
}

/// What all calls of a client share.
#[derive(Debug)]
pub struct Retries {
    rules: RetryRules,
    tokens: f64,
    breakers: Vec<Breaker>,
    next: usize,
    dice: StdRng,
}

fn us(d: Duration) -> Micros {
    d.as_micros() as Micros
}

impl Retries {
    pub fn new(rules: RetryRules, dispatchers: usize, seed: u64) -> Self {
        let breakers = vec![Breaker::default(); dispatchers];
        let dice = StdRng::seed_from_u64(seed);
        Self {
            rules,
            tokens: rules.saved,
            breakers,
            next: 0,
            dice,
        }
    }

    pub fn rules(&self) -> &RetryRules {
        &self.rules
    }

    /// A call begins: it earns its part.
    pub fn called(&mut self) {
        self.tokens = (self.tokens + self.rules.share).min(self.rules.saved);
    }

    /// Takes a retry off the budget, if there is one.
    pub fn may_retry(&mut self) -> bool {
        let may = self.tokens >= 1.0;
        if may {
            self.tokens -= 1.0;
        }
        may
    }

    /// How long to wait before try `n` (from 1), and at least as long as it was told.
    pub fn wait(&mut self, n: u32, told: Option<Micros>) -> Micros {
        let whole = us(self.rules.back_off) << n.saturating_sub(1).min(16);
        let whole = whole.min(us(self.rules.longest_back_off)) as f64;
        // Also what was told is spread: a crowd that was refused together must not come back together.
        let told = told.map_or(0.0, |t| t as f64 * (1.0 + 0.2 * self.dice.gen::<f64>()));
        (whole * (0.5 + self.dice.gen::<f64>())).max(told) as Micros
    }

    /// A dispatcher that may be asked now: in turn, without those in `not`. None: all are left alone.
    pub fn choose(&mut self, now: Micros, not: &[usize]) -> Option<usize> {
        let count = self.breakers.len();
        let found = (0..count).map(|n| (self.next + n) % count).find(|n| {
            let b = &self.breakers[*n];
            !not.contains(n) && now >= b.open_until && (b.trips == 0 || now >= b.trial_until)
        })?;
        self.next = (found + 1) % count;
        self.ask(now, found);
        Some(found)
    }

    /// Whether this one may be asked now, outside its turn.
    pub fn may_ask(&mut self, now: Micros, dispatcher: usize) -> bool {
        let open = self
            .breakers
            .get(dispatcher)
            .is_some_and(|b| now >= b.open_until);
        if open {
            self.ask(now, dispatcher);
        }
        open
    }

    fn ask(&mut self, now: Micros, dispatcher: usize) {
        let pause = us(self.rules.pause);
        let b = &mut self.breakers[dispatcher];
        if b.trips > 0 {
            b.trial_until = now + pause;
        }
    }

    /// When the first of those that are left alone may be asked again.
    pub fn next_open(&self) -> Option<Micros> {
        self.breakers
            .iter()
            .map(|b| b.open_until.max(b.trial_until))
            .min()
    }

    /// Word from a dispatcher, whatever it says.
    pub fn heard(&mut self, dispatcher: usize) {
        self.breakers[dispatcher] = Breaker::default();
    }

    /// A try that ended without any word from it.
    pub fn silent(&mut self, now: Micros, dispatcher: usize) {
        let spread = 0.5 + self.dice.gen::<f64>();
        let once = us(self.rules.back_off);
        let b = &mut self.breakers[dispatcher];
        // Many calls share a connection: those that it takes with it say one thing, and once.
        if now < b.open_until || b.counted.is_some_and(|at| now < at + once) {
            return;
        }
        (b.silent, b.counted) = (b.silent + 1, Some(now));
        if b.silent >= self.rules.silent || b.trips > 0 {
            let pause = us(self.rules.pause) << b.trips.min(10);
            let pause = pause.min(us(self.rules.longest_pause)) as f64 * spread;
            (b.trips, b.open_until) = (b.trips + 1, now + pause as Micros);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn retries(dispatchers: usize) -> Retries {
        Retries::new(RetryRules::default(), dispatchers, 1)
    }

    /// The crowd of an outage: every call fails and would be tried four times.
    #[test]
    fn retries_are_a_share_of_calls_however_many_fail() {
        let mut r = retries(1);
        let mut tries = 0;
        for _ in 0..1_000 {
            r.called();
            tries += 1;
            for _ in 1..r.rules().most {
                tries += r.may_retry() as u32;
            }
        }
        assert!(
            (1_190..=1_215).contains(&tries),
            "{tries} tries of 1,000 calls"
        );
    }

    #[test]
    fn waits_grow_are_spread_and_never_shorter_than_told() {
        let mut r = retries(1);
        let mut spread = |n, told| (0..200).map(|_| r.wait(n, told)).collect::<Vec<Micros>>();
        let (first, third, told) = (spread(1, None), spread(3, None), spread(1, Some(1_000_000)));
        let range = |w: &[Micros]| (*w.iter().min().unwrap(), *w.iter().max().unwrap());
        assert!(
            range(&first).0 >= 25_000 && range(&first).1 <= 75_000,
            "{:?}",
            range(&first)
        );
        assert!(
            range(&third).0 >= 100_000 && range(&third).1 <= 300_000,
            "{:?}",
            range(&third)
        );
        assert!(
            range(&told).0 >= 1_000_000 && range(&told).1 > 1_100_000,
            "{:?}",
            range(&told)
        );
    }

    #[test]
    fn a_dispatcher_that_answers_nothing_is_left_alone_and_then_met_by_one() {
        let mut r = retries(2);
        for n in 0..3 {
            // A hundred calls on one connection that is cut.
            (0..100).for_each(|_| r.silent(n * 100_000, 0));
            let left_alone = r.choose(n * 100_000 + 1, &[1]).is_none();
            assert_eq!(left_alone, n == 2, "after {} cuts", n + 1);
        }
        let now = 200_001;
        assert!((0..10).all(|_| r.choose(now, &[]) == Some(1)));
        let again = r.breakers[0].open_until;
        assert!(again < now + 800_000, "one pause, not a hundred");
        let met = (0..10).filter(|_| r.choose(again, &[1]) == Some(0)).count();
        assert_eq!(met, 1, "one trial at a time");
        r.heard(0);
        assert_eq!(r.choose(again, &[1]), Some(0));
        assert_eq!(r.choose(again, &[1]), Some(0));
    }

    #[test]
    fn those_that_answer_are_asked_in_turn() {
        let mut r = retries(3);
        let asked: Vec<_> = (0..6).filter_map(|_| r.choose(0, &[])).collect();
        assert_eq!(asked, [0, 1, 2, 0, 1, 2]);
    }
}
