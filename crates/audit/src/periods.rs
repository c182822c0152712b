//! Periods of time during which a condition held, such as a dispatcher being down or a host being partitioned.
use pointspindle::Micros;
use std::collections::HashMap;
use std::hash::Hash;

/// A period of time with both ends included, in microseconds since the start of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Span {
    pub from: Micros,
    pub to: Micros,
}

impl Span {
    /// Returns the period that consists of one moment.
    pub fn at(moment: Micros) -> Self {
        Self {
            from: moment,
            to: moment,
        }
    }

    /// Whether two periods overlap, or are at most `tolerance` apart.
    pub fn overlaps(self, other: Self, tolerance: Micros) -> bool {
        self.from <= other.to + tolerance && other.from <= self.to + tolerance
    }
}

/// The periods of each subject, built from events that begin and end them.
#[derive(Clone, Debug)]
pub(crate) struct Periods<K> {
    open: HashMap<K, Micros>,
    ended: HashMap<K, Vec<Span>>,
}

impl<K> Default for Periods<K> {
    fn default() -> Self {
        Self {
            open: HashMap::new(),
            ended: HashMap::new(),
        }
    }
}

impl<K: Eq + Hash + Clone> Periods<K> {
    /// Begins a period; discards the subject's open period, if there is one.
    pub fn begin(&mut self, subject: K, at: Micros) {
        self.open.insert(subject, at);
    }

    /// Begins a period unless the subject has an open one.
    pub fn begin_if_none(&mut self, subject: K, at: Micros) {
        self.open.entry(subject).or_insert(at);
    }

    /// Ends the subject's open period, if there is one.
    pub fn end(&mut self, subject: &K, at: Micros) {
        if let Some((subject, from)) = self.open.remove_entry(subject) {
            let span = Span { from, to: at };
            self.ended.entry(subject).or_default().push(span);
        }
    }

    /// Ends every open period.
    pub fn end_all(&mut self, at: Micros) {
        for (subject, from) in std::mem::take(&mut self.open) {
            let span = Span { from, to: at };
            self.ended.entry(subject).or_default().push(span);
        }
    }

    /// Returns the subject's ended periods, in the order of their ends.
    pub fn of<Q>(&self, subject: &Q) -> &[Span]
    where
        K: std::borrow::Borrow<Q>,
        Q: Eq + Hash + ?Sized,
    {
        self.ended.get(subject).map_or(&[], Vec::as_slice)
    }

    /// Returns every subject with its ended periods, in arbitrary order.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &[Span])> {
        self.ended
            .iter()
            .map(|(subject, spans)| (subject, spans.as_slice()))
    }
}
