//! The lives that a hive knows, folded from what it is told.

use ahash::RandomState;
use hashbrown::HashMap;

use crate::{Life, Millis, Number, State};

/// Spans of the fold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// A life not heard of for this long is not listed, until it is heard again.
    pub silence: Millis,
    /// A life not heard of for this long is over.
    pub end: Millis,
    /// How long it is remembered that a life is over.
    pub remember: Millis,
    /// Lives kept at most.
    pub most: usize,
}

impl Pace {
    /// For workers that beat each `beat` milliseconds.
    pub fn of(beat: Millis) -> Self {
        Self {
            silence: beat * 7 / 2,
            end: beat * 20,
            remember: 120_000,
            most: 20_000,
        }
    }
}

#[derive(Debug)]
struct Kept {
    life: Life,
    heard_at: Millis,
    warm_at: Millis,
    listed: bool,
}

/// All lives that are known.
#[derive(Debug)]
pub struct Registry {
    pace: Pace,
    lives: HashMap<Number, Kept, RandomState>,
    changed: Vec<Number>,
    /// Where the last search for silent lives ended, as time.
    swept_at: Millis,
}

impl Registry {
    /// One that knows nobody.
    pub fn new(pace: Pace) -> Self {
        Self {
            pace,
            lives: HashMap::default(),
            changed: Vec::new(),
            swept_at: 0,
        }
    }

    /// Takes in what a beat, a hive or a forager says of a life. Whether it was news: a life, a
    /// state or a place not known before.
    pub fn learn(&mut self, now: Millis, said: &Life) -> bool {
        let number = Number::of(&said.id);
        let heard_at = now.saturating_sub(said.silent_ms.into());
        let warm_at = now + Millis::from(said.cold_ms);
        let Some(kept) = self.lives.get_mut(&number) else {
            if self.lives.len() >= self.pace.most {
                return false;
            }
            let kept = Kept {
                life: said.clone(),
                heard_at,
                warm_at,
                listed: false,
            };
            self.lives.insert(number, kept);
            self.list(now, number);
            return true;
        };
        let state = kept.life.state.max(said.state);
        let mut news = state != kept.life.state;
        if said.sequence > kept.life.sequence || kept.life.id.is_empty() {
            news |= said.address != kept.life.address || said.service != kept.life.service;
            kept.life = said.clone();
            kept.warm_at = warm_at;
        }
        kept.life.state = state;
        kept.heard_at = kept.heard_at.max(heard_at);
        news |= !kept.listed && state == State::Ready;
        if news {
            self.list(now, number);
        }
        news
    }

    /// Takes in that a life has come this far; whether it was news. Of one that is not known,
    /// its identifier alone is remembered.
    pub fn raise(&mut self, now: Millis, id: &str, state: State) -> bool {
        self.raise_known(now, Number::of(id), id, state)
    }

    /// As [`Registry::raise`], for a life of which the number alone is known. Until a beat tells more,
    /// its identifier is empty.
    pub fn raise_number(&mut self, now: Millis, number: Number, state: State) -> bool {
        self.raise_known(now, number, "", state)
    }

    fn raise_known(&mut self, now: Millis, number: Number, id: &str, state: State) -> bool {
        let Some(kept) = self.lives.get_mut(&number) else {
            self.unknown(now, number, id, state);
            return true;
        };
        let news = kept.life.state < state;
        if news {
            kept.life.state = state;
            self.list(now, number);
        }
        news
    }

    fn unknown(&mut self, now: Millis, number: Number, id: &str, state: State) {
        if self.lives.len() >= self.pace.most {
            return;
        }
        let life = Life {
            id: id.to_owned(),
            service: String::new(),
            address: std::net::SocketAddrV4::new(std::net::Ipv4Addr::UNSPECIFIED, 0),
            zone: String::new(),
            slots: 1,
            state,
            sequence: 0,
            silent_ms: 0,
            cold_ms: 0,
        };
        let kept = Kept {
            life,
            heard_at: now,
            warm_at: now,
            listed: false,
        };
        self.lives.insert(number, kept);
        self.list(now, number);
    }

    /// Notes a beat that says nothing new, told by number.
    pub fn heard(&mut self, now: Millis, number: Number, silent_ms: u32) {
        if let Some(kept) = self.lives.get_mut(&number) {
            kept.heard_at = kept.heard_at.max(now.saturating_sub(silent_ms.into()));
            if !kept.listed && kept.life.state == State::Ready {
                self.list(now, number);
            }
        }
    }

    /// Looks for lives that have gone silent; at most once in a fifth of that span all are gone
    /// over.
    pub fn tick(&mut self, now: Millis) {
        if now < self.swept_at + self.pace.silence / 10 {
            return;
        }
        self.swept_at = now;
        let mut turned = Vec::new();
        let pace = self.pace;
        self.lives.retain(|number, kept| {
            let silent = now.saturating_sub(kept.heard_at);
            if kept.listed && silent > pace.silence {
                turned.push(*number);
            }
            if silent > pace.end {
                kept.life.state = State::Gone;
            }
            silent <= pace.end + pace.remember
        });
        for number in turned {
            self.list(now, number);
        }
    }

    fn list(&mut self, now: Millis, number: Number) {
        if let Some(kept) = self.lives.get_mut(&number) {
            let silent = now.saturating_sub(kept.heard_at) > self.pace.silence;
            kept.listed = kept.life.state == State::Ready && !silent;
            self.changed.push(number);
        }
    }

    /// The lives that are new, changed or silent since the last call, once each.
    pub fn changed(&mut self) -> Vec<Number> {
        let mut changed = std::mem::take(&mut self.changed);
        changed.sort_unstable();
        changed.dedup();
        changed
    }

    /// Whether a life takes work and is heard of.
    pub fn listed(&self, number: Number) -> bool {
        self.lives.get(&number).is_some_and(|kept| kept.listed)
    }

    /// What is known of a life, as of now.
    pub fn life(&self, now: Millis, number: Number) -> Option<Life> {
        self.lives.get(&number).map(|kept| kept.at(now))
    }

    /// Every life, as of now.
    pub fn all(&self, now: Millis) -> impl Iterator<Item = (Number, Life)> {
        self.lives
            .iter()
            .map(move |(number, kept)| (*number, kept.at(now)))
    }

    /// How many take work and are heard of.
    pub fn ready(&self) -> usize {
        self.lives.values().filter(|kept| kept.listed).count()
    }
}

impl Kept {
    fn at(&self, now: Millis) -> Life {
        let span = |from: Millis, to: Millis| to.saturating_sub(from).min(u32::MAX.into()) as u32;
        Life {
            silent_ms: span(self.heard_at, now),
            cold_ms: span(now, self.warm_at),
            ..self.life.clone()
        }
    }
}
