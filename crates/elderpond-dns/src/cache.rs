//! Record sets and how long they are relied on.

use std::collections::BTreeMap;

use crate::found::Found;
use crate::message::Question;

/// Bounds of lifetimes, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lifetimes {
    /// None is shorter: also of records that say 0.
    pub floor_ms: f64,
    /// None is longer.
    pub ceiling_ms: f64,
    /// A set is relied on for so long past its end while nothing newer can be had (RFC 8767).
    pub stale_ms: f64,
}

impl Lifetimes {
    /// A lifetime within the bounds.
    pub fn bound(&self, lifetime_ms: f64) -> f64 {
        lifetime_ms.clamp(self.floor_ms, self.ceiling_ms.max(self.floor_ms))
    }
}

/// Sets by question. Those that are asked for no longer go when they are past all use.
#[derive(Clone, Debug)]
pub struct Cache {
    lifetimes: Lifetimes,
    sets: BTreeMap<Question, (f64, Found)>,
    most: usize,
}

impl Cache {
    /// A cache of so many sets at the most.
    pub fn new(lifetimes: Lifetimes, most: usize) -> Self {
        Self {
            lifetimes,
            sets: BTreeMap::new(),
            most,
        }
    }

    /// Keeps what was found.
    pub fn put(&mut self, now: f64, question: Question, found: Found) {
        let lifetime_ms = match &found {
            Found::Records(_, lifetime_ms) | Found::Alias(_, lifetime_ms) => *lifetime_ms,
            Found::Nothing { lifetime_ms, .. } => *lifetime_ms,
        };
        let ends = now + self.lifetimes.bound(lifetime_ms);
        self.sets.insert(question, (ends, found));
        if self.sets.len() > self.most {
            let stale_ms = self.lifetimes.stale_ms;
            self.sets.retain(|_, (ends, _)| now <= *ends + stale_ms);
        }
        while self.sets.len() > self.most {
            let first = self.sets.iter().min_by(|a, b| a.1.0.total_cmp(&b.1.0));
            let Some(first) = first.map(|(question, _)| question.clone()) else {
                return;
            };
            self.sets.remove(&first);
        }
    }

    /// What is relied on still, and what is left of its lifetime, in milliseconds.
    pub fn get(&self, now: f64, question: &Question) -> Option<(&Found, f64)> {
        let (ends, found) = self.sets.get(question)?;
        (now < *ends).then_some((found, ends - now))
    }

    /// What was found, past its end within the bound: for when nothing newer can be had. Denials are
    /// not relied on past theirs.
    pub fn stale(&self, now: f64, question: &Question) -> Option<&Found> {
        let (ends, found) = self.sets.get(question)?;
        let usable =
            !matches!(found, Found::Nothing { .. }) && now < ends + self.lifetimes.stale_ms;
        usable.then_some(found)
    }

    /// Sets kept.
    pub fn len(&self) -> usize {
        self.sets.len()
    }

    /// Whether none is kept.
    pub fn is_empty(&self) -> bool {
        self.sets.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use hickory_proto::rr::{Name, RecordType};

    use super::*;

    const LIFETIMES: Lifetimes = Lifetimes {
        floor_ms: 1000.0,
        ceiling_ms: 60_000.0,
        stale_ms: 30_000.0,
    };

    fn question(number: usize) -> Question {
        let name = Name::from_ascii(format!("n{number}.example.org.")).unwrap();
        Question::new(&name, RecordType::A)
    }

    #[test]
    fn sets_live_between_floor_and_ceiling_and_go_on_stale() {
        let mut cache = Cache::new(LIFETIMES, 10);
        for (lifetime_ms, ends) in [(0.0, 1000.0), (5000.0, 5000.0), (1e9, 60_000.0)] {
            cache.put(0.0, question(1), Found::Records(Vec::new(), lifetime_ms));
            assert_eq!(
                cache.get(ends - 1.0, &question(1)).map(|(_, left)| left),
                Some(1.0)
            );
            assert!(cache.get(ends, &question(1)).is_none());
            assert!(cache.stale(ends + 29_999.0, &question(1)).is_some());
            assert!(cache.stale(ends + 30_000.0, &question(1)).is_none());
        }
        cache.put(
            0.0,
            question(1),
            Found::Nothing {
                no_name: true,
                lifetime_ms: 5000.0,
            },
        );
        assert!(cache.get(4999.0, &question(1)).is_some());
        assert!(cache.stale(5001.0, &question(1)).is_none());
    }

    #[test]
    fn no_more_sets_are_kept_than_may_be() {
        let mut cache = Cache::new(LIFETIMES, 10);
        for number in 0..50 {
            cache.put(
                number as f64,
                question(number),
                Found::Records(Vec::new(), 5000.0),
            );
        }
        assert_eq!(cache.len(), 10);
        assert!(
            cache.get(50.0, &question(49)).is_some() && cache.get(50.0, &question(0)).is_none()
        );
    }
}
