//! Marks, joined by union: per key the largest of (order, value); the oldest are forgotten beyond the bound.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::ops::Bound;

use xxhash_rust::xxh3::xxh3_64;

use crate::types::{Mark, Place};

/// Marks whose keys have the same first byte of their hash, and the sum of their digests.
#[derive(Clone, Default)]
struct Bucket {
    sum: u64,
    by_key: BTreeMap<String, Mark>,
}

#[derive(Clone, Default)]
pub(crate) struct Marks {
    buckets: BTreeMap<u8, Bucket>,
    by_age: BTreeSet<(u64, String)>,
    digest: u64,
    /// Of all marks, as [`weight`] has it.
    bytes: usize,
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
        if let Some(old) = self.get(&mark.key) {
            if (old.order, &old.value) >= (mark.order, &mark.value) {
                return false;
            }
            news = old.value != mark.value;
        } else if self.len() >= bound {
            let oldest = self.by_age.first().expect("as many as keys");
            if (mark.order, &mark.key) < (oldest.0, &oldest.1) {
                return false;
            }
            let key = oldest.1.clone();
            self.remove(&key);
            self.dirty.remove(&key);
            self.dropped.insert(key);
        }
        self.remove(&mark.key);
        let bucket = self.buckets.entry(place(&mark.key)).or_default();
        bucket.sum ^= digest(&mark);
        self.digest ^= digest(&mark);
        self.bytes += weight(&mark);
        self.by_age.insert((mark.order, mark.key.clone()));
        self.dropped.remove(&mark.key);
        self.dirty.insert(mark.key.clone());
        bucket.by_key.insert(mark.key.clone(), mark);
        news
    }

    fn remove(&mut self, key: &str) {
        let Some(bucket) = self.buckets.get_mut(&place(key)) else {
            return;
        };
        if let Some(old) = bucket.by_key.remove(key) {
            bucket.sum ^= digest(&old);
            self.digest ^= digest(&old);
            self.bytes -= weight(&old);
            self.by_age.remove(&(old.order, old.key));
        }
    }

    pub(crate) fn get(&self, key: &str) -> Option<&Mark> {
        self.buckets.get(&place(key))?.by_key.get(key)
    }

    /// Whether each of these is among those, or a newer value of its key.
    pub(crate) fn are_all_in(&self, those: &[Mark]) -> bool {
        let those: BTreeMap<&str, _> = those
            .iter()
            .map(|mark| (mark.key.as_str(), (mark.order, &mark.value)))
            .collect();
        let here = self.buckets.values().flat_map(|it| it.by_key.values());
        here.into_iter().all(|mark| {
            let theirs = those.get(mark.key.as_str());
            theirs.is_some_and(|theirs| *theirs >= (mark.order, &mark.value))
        })
    }

    pub(crate) fn next_order(&self) -> u64 {
        self.by_age.last().map_or(1, |(order, _)| order + 1)
    }

    /// The sums of all buckets that are not empty.
    pub(crate) fn sums(&self) -> Vec<(u8, u64)> {
        let kept = self.buckets.iter().filter(|it| !it.1.by_key.is_empty());
        kept.map(|(&at, bucket)| (at, bucket.sum)).collect()
    }

    /// Marks of buckets that differ from these sums, after that place, to about so many bytes and one at
    /// least; and the place of the last one, if there are more.
    pub(crate) fn page(
        &self,
        sums: &[(u8, u64)],
        after: Option<&Place>,
        bytes: usize,
    ) -> (Vec<Mark>, Option<Place>) {
        let sums: BTreeMap<u8, u64> = sums.iter().copied().collect();
        let (mut marks, mut left) = (Vec::<Mark>::new(), bytes);
        for (&at, bucket) in self.buckets.range(after.map_or(0, |after| after.0)..) {
            if sums.get(&at) == Some(&bucket.sum) {
                continue;
            }
            let begun = after.filter(|after| after.0 == at);
            let begin = begun.map_or(Bound::Unbounded, |(_, key)| Bound::Excluded(key.as_str()));
            for mark in bucket.by_key.range::<str, _>((begin, Bound::Unbounded)) {
                if let (Some(last), true) = (marks.last(), weight(mark.1) > left) {
                    let next = Some((place(&last.key), last.key.clone()));
                    return (marks, next);
                }
                left = left.saturating_sub(weight(mark.1));
                marks.push(mark.1.clone());
            }
        }
        (marks, None)
    }

    pub(crate) fn digest(&self) -> u64 {
        self.digest
    }

    pub(crate) fn len(&self) -> usize {
        self.by_age.len()
    }

    /// About what all marks take in a message, in bytes.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }
}

fn weight(mark: &Mark) -> usize {
    mark.key.len() + mark.value.len() + 12
}

/// The bucket of a key.
fn place(key: &str) -> u8 {
    xxh3_64(key.as_bytes()).to_le_bytes()[0]
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
