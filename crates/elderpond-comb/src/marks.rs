//! Marks, joined by union: per key the largest of (order, value); the oldest are forgotten beyond the bound.

use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

use hashbrown::HashMap;
use xxhash_rust::xxh3::xxh3_64;

use crate::types::Mark;

#[derive(Clone, Default)]
pub(crate) struct Marks {
    by_key: HashMap<String, Mark>,
    by_age: BTreeSet<(u64, String)>,
    digest: u64,
    pub(crate) dirty: BTreeSet<String>,
    pub(crate) dropped: BTreeSet<String>,
}

impl Hash for Marks {
    fn hash<H: Hasher>(&self, state: &mut H) {
        (self.digest, &self.dirty, &self.dropped).hash(state);
    }
}

impl Marks {
    /// Adds the mark; whether its value is new here.
    pub(crate) fn join(&mut self, mark: Mark, bound: usize) -> bool {
        let mut news = true;
        if let Some(old) = self.by_key.get(&mark.key) {
            if (old.order, &old.value) >= (mark.order, &mark.value) {
                return false;
            }
            news = old.value != mark.value;
        } else if self.by_key.len() >= bound {
            let oldest = self.by_age.first().expect("as many as keys");
            if (mark.order, &mark.key) < (oldest.0, &oldest.1) {
                return false;
            }
            let key = oldest.1.clone();
            self.remove(&key);
            self.dirty.remove(&key);
            self.dropped.insert(key);
        }
        self.remove(&mark.key.clone());
        self.digest ^= digest(&mark);
        self.by_age.insert((mark.order, mark.key.clone()));
        self.dropped.remove(&mark.key);
        self.dirty.insert(mark.key.clone());
        self.by_key.insert(mark.key.clone(), mark);
        news
    }

    fn remove(&mut self, key: &str) {
        if let Some(old) = self.by_key.remove(key) {
            self.digest ^= digest(&old);
            self.by_age.remove(&(old.order, old.key));
        }
    }

    pub(crate) fn get(&self, key: &str) -> Option<&Mark> {
        self.by_key.get(key)
    }

    pub(crate) fn next_order(&self) -> u64 {
        self.by_age.last().map_or(1, |(order, _)| order + 1)
    }

    pub(crate) fn all(&self) -> Vec<Mark> {
        self.by_age
            .iter()
            .filter_map(|(_, key)| self.by_key.get(key).cloned())
            .collect()
    }

    pub(crate) fn digest(&self) -> u64 {
        self.digest
    }

    pub(crate) fn len(&self) -> usize {
        self.by_key.len()
    }
}

/// Of order, key and value in one piece: short pieces as each other's seeds cancel out.
fn digest(mark: &Mark) -> u64 {
    let mut bytes = Vec::with_capacity(16 + mark.key.len() + mark.value.len());
    bytes.extend(mark.order.to_le_bytes());
    bytes.extend((mark.key.len() as u64).to_le_bytes());
    bytes.extend(mark.key.as_bytes());
    bytes.extend(&mark.value);
    xxh3_64(&bytes)
}
