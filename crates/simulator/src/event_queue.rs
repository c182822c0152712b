//! The event queue, ordered by time; events of the same time are ordered as they were scheduled.
use pointspindle::Micros;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

struct Scheduled<E> {
    at: Micros,
    sequence: u64,
    event: E,
}

impl<E> PartialEq for Scheduled<E> {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl<E> Eq for Scheduled<E> {}

impl<E> PartialOrd for Scheduled<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Scheduled<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// A priority queue of events.
pub(crate) struct EventQueue<E> {
    heap: BinaryHeap<Reverse<Scheduled<E>>>,
    scheduled: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self {
            heap: BinaryHeap::new(),
            scheduled: 0,
        }
    }
}

impl<E> EventQueue<E> {
    /// Schedules an event for `at`, in microseconds since the start of the run.
    pub fn schedule(&mut self, at: Micros, event: E) {
        self.scheduled += 1;
        self.heap.push(Reverse(Scheduled {
            at,
            sequence: self.scheduled,
            event,
        }));
    }

    /// Returns the time of the next event.
    pub fn next_at(&self) -> Option<Micros> {
        self.heap.peek().map(|next| next.0.at)
    }

    /// Removes and returns the next event if it is due by `now`.
    pub fn pop_due(&mut self, now: Micros) -> Option<E> {
        if self.next_at()? > now {
            return None;
        }
        self.heap.pop().map(|next| next.0.event)
    }

    /// Returns the number of events scheduled so far.
    pub fn scheduled(&self) -> u64 {
        self.scheduled
    }
}

#[cfg(test)]
mod tests;
