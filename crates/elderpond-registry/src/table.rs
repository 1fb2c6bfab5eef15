//! The table of workers that foragers follow, and its differences.

use std::net::SocketAddrV4;

use ahash::RandomState;
use hashbrown::HashMap;
use serde::{Deserialize, Serialize};

use crate::{Life, Number, State};

/// A line of the table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// As the worker names itself.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Where it is reached.
    pub address: SocketAddrV4,
    /// Its zone.
    pub zone: String,
    /// Requests that it works on at once.
    pub slots: u16,
    /// Milliseconds for which it is still slow from its start, when this was sent.
    pub cold_ms: u32,
    /// Its published weight in hundredths.
    pub weight: u8,
}

impl Entry {
    /// For a life that takes work.
    pub fn of(life: &Life, weight: u8) -> Self {
        Self {
            id: life.id.clone(),
            service: life.service.clone(),
            address: life.address,
            zone: life.zone.clone(),
            slots: life.slots,
            cold_ms: life.cold_ms,
            weight,
        }
    }
}

/// What differs from the table sent before.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Lines that are new, or new as a whole.
    pub lines: Vec<Entry>,
    /// New weights in hundredths.
    pub weights: Vec<(Number, u8)>,
    /// Lives that have come this far and are not sent to any more.
    pub departed: Vec<(Number, State)>,
    /// Lives that nobody has heard of for long; they may come back.
    pub silent: Vec<Number>,
}

impl Change {
    /// Whether it says nothing.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
            && self.weights.is_empty()
            && self.departed.is_empty()
            && self.silent.is_empty()
    }
}

/// A forager's table. A life that was told to leave stays out, whoever lists it later.
#[derive(Debug, Default)]
pub struct Table {
    lines: HashMap<Number, Entry, RandomState>,
    departed: HashMap<Number, State, RandomState>,
    order: std::collections::VecDeque<Number>,
}

/// How many departed lives a table remembers.
const REMEMBERED: usize = 4096;

impl Table {
    /// Takes in differences.
    pub fn apply(&mut self, change: &Change) {
        for (number, state) in &change.departed {
            self.depart(*number, *state);
        }
        for number in &change.silent {
            self.lines.remove(number);
        }
        for line in &change.lines {
            let number = Number::of(&line.id);
            if !self.departed.contains_key(&number) {
                self.lines.insert(number, line.clone());
            }
        }
        for (number, weight) in &change.weights {
            if let Some(line) = self.lines.get_mut(number) {
                line.weight = *weight;
            }
        }
    }

    /// Takes in a whole table; lines that it lacks are dropped if `settled`, else they stay.
    pub fn replace(&mut self, settled: bool, whole: &Change) {
        if settled {
            self.lines.clear();
        }
        self.apply(whole);
    }

    /// Takes in that a life has come this far; whether it was news.
    pub fn depart(&mut self, number: Number, state: State) -> bool {
        self.lines.remove(&number);
        match self.departed.get_mut(&number) {
            Some(known) => {
                let news = state > *known;
                *known = state.max(*known);
                news
            }
            None => {
                if self.order.len() >= REMEMBERED
                    && let Some(oldest) = self.order.pop_front()
                {
                    self.departed.remove(&oldest);
                }
                self.order.push_back(number);
                self.departed.insert(number, state);
                true
            }
        }
    }

    /// A life's line.
    pub fn line(&self, number: Number) -> Option<&Entry> {
        self.lines.get(&number)
    }

    /// The lines, in no order.
    pub fn lines(&self) -> impl Iterator<Item = (&Number, &Entry)> {
        self.lines.iter()
    }

    /// The newest departed lives, `most` at the most.
    pub fn departed(&self, most: usize) -> Vec<(Number, State)> {
        let newest = self.order.iter().rev().take(most);
        newest
            .map(|number| (*number, self.departed[number]))
            .collect()
    }

    /// How many lines there are.
    pub fn len(&self) -> usize {
        self.lines.len()
    }

    /// Whether there is no line.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }
}
