//! Events in virtual time: by moment, and in one moment in the order in which they were planned.
use pointspindle::Micros;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

struct Planned<E> {
    at: Micros,
    number: u64,
    event: E,
}

impl<E> PartialEq for Planned<E> {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl<E> Eq for Planned<E> {}

impl<E> PartialOrd for Planned<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Planned<E> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

pub struct Queue<E> {
    heap: BinaryHeap<Reverse<Planned<E>>>,
    number: u64,
}

impl<E> Default for Queue<E> {
    fn default() -> Self {
        Self {
            heap: BinaryHeap::new(),
            number: 0,
        }
    }
}

impl<E> Queue<E> {
    pub fn plan(&mut self, at: Micros, event: E) {
        self.number += 1;
        self.heap.push(Reverse(Planned {
            at,
            number: self.number,
            event,
        }));
    }

    pub fn next_at(&self) -> Option<Micros> {
        self.heap.peek().map(|p| p.0.at)
    }

    pub fn pop(&mut self) -> Option<(Micros, E)> {
        self.heap.pop().map(|p| (p.0.at, p.0.event))
    }

    /// Events planned so far.
    pub fn planned(&self) -> u64 {
        self.number
    }
}
