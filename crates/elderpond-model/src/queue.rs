//! Events in the order of their times; those of one moment in the order they were set.
//!
//! Most spans of a run are constants: latencies between two zones, time-outs of a class. Events that
//! are set the same span ahead fall due in the order they were set, so each such span is a *lane*, a
//! plain queue; the heap holds one entry a lane and what is left.

use std::cmp::Reverse;
use std::collections::binary_heap::PeekMut;
use std::collections::{BinaryHeap, VecDeque};

use crate::time::Time;

/// Number of a lane.
pub type Lane = usize;

/// Lanes are few.
type Number = u16;

struct Entry<E> {
    at: Time,
    order: u64,
    what: What<E>,
}

enum What<E> {
    Event(E),
    Lane(Number),
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}
impl<E> Eq for Entry<E> {}
impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl<E> Ord for Entry<E> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// Events that are to come.
pub struct Queue<E> {
    heap: BinaryHeap<Reverse<Entry<E>>>,
    lanes: Vec<VecDeque<(Time, u64, E)>>,
    order: u64,
    length: usize,
}

impl<E> Default for Queue<E> {
    fn default() -> Self {
        let (heap, lanes) = (BinaryHeap::new(), Vec::new());
        Self {
            heap,
            lanes,
            order: 0,
            length: 0,
        }
    }
}

impl<E> Queue<E> {
    /// A new lane: for events that are always set the same span ahead.
    pub fn lane(&mut self) -> Lane {
        self.lanes.push(VecDeque::new());
        self.lanes.len() - 1
    }

    /// Sets an event.
    pub fn push(&mut self, at: Time, event: E) {
        self.order += 1;
        self.length += 1;
        let (order, what) = (self.order, What::Event(event));
        self.heap.push(Reverse(Entry { at, order, what }));
    }

    /// Sets an event in a lane; one that falls due before the last one in it goes beside it.
    pub fn push_in(&mut self, lane: Lane, at: Time, event: E) {
        let last = self.lanes[lane].back();
        if last.is_some_and(|(last, ..)| at < *last) {
            self.push(at, event);
            return;
        }
        self.order += 1;
        self.length += 1;
        let order = self.order;
        if self.lanes[lane].is_empty() {
            self.heap.push(Reverse(Entry {
                at,
                order,
                what: What::Lane(lane as Number),
            }));
        }
        self.lanes[lane].push_back((at, order, event));
    }

    /// When the next event falls due.
    pub fn next_at(&self) -> Option<Time> {
        self.heap.peek().map(|Reverse(entry)| entry.at)
    }

    /// Takes the next event.
    pub fn pop(&mut self) -> Option<(Time, E)> {
        let mut top = self.heap.peek_mut()?;
        self.length -= 1;
        if let What::Lane(lane) = top.0.what {
            let lane = &mut self.lanes[usize::from(lane)];
            let (at, _, event) = lane.pop_front()?;
            match lane.front() {
                // In its place: the heap is gone over once, not twice.
                Some((at, order, _)) => (top.0.at, top.0.order) = (*at, *order),
                None => drop(PeekMut::pop(top)),
            }
            return Some((at, event));
        }
        let Reverse(entry) = PeekMut::pop(top);
        match entry.what {
            What::Event(event) => Some((entry.at, event)),
            What::Lane(_) => None,
        }
    }

    /// Events that are set.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether none is set.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    proptest! {
        #[test]
        fn events_come_by_time_then_as_they_were_set(
            sets in proptest::collection::vec((0u64..50, proptest::option::of(0usize..3)), 0..200)
        ) {
            let mut queue = Queue::default();
            let lanes: Vec<Lane> = (0..3).map(|_| queue.lane()).collect();
            for (number, (at, lane)) in sets.iter().enumerate() {
                match lane {
                    Some(lane) => queue.push_in(lanes[*lane], *at, number),
                    None => queue.push(*at, number),
                }
            }
            prop_assert_eq!(queue.len(), sets.len());
            let taken: Vec<(Time, usize)> = std::iter::from_fn(|| queue.pop()).collect();
            let mut expected: Vec<(Time, usize)> =
                sets.iter().enumerate().map(|(number, (at, _))| (*at, number)).collect();
            expected.sort();
            prop_assert_eq!(taken, expected);
            prop_assert!(queue.is_empty());
        }
    }
}
