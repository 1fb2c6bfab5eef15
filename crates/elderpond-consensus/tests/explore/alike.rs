//! Digests under other names of machines, so that states which differ by an exchange of machines that play
//! the same part are found to be one.
//!
//! The very state machines are hashed, by a hasher that knows a machine's address (a word of four bytes, as
//! it is kept or as a ballot has it) and the numbers that a machine drew (its lives and its disks), and puts
//! the new name in place. Sets and maps of machines are ordered by address: where a count of n is followed
//! by n entries, each an address and as many words, the entries are put in the new order. Each entry stays
//! in one piece, and no such list has a meaning in its order. Two states with one digest are therefore the
//! same but for the names; a map whose entries are wider may only keep two equal states apart.

use std::hash::{Hash, Hasher};

use crate::search::{digest, drawn};

/// The most machines that may be exchanged.
const MOST: usize = 8;

/// The words of the widest entry that is put in order: a peer that was never heard.
const WIDEST: usize = 5;

/// What each machine is called, by its place.
pub type Names = [u8; MOST];

pub const AS_THEY_ARE: Names = [0, 1, 2, 3, 4, 5, 6, 7];

/// Names by which one of the machines is marked, and the others are called the same.
pub fn marked(alike: &[usize], one: usize) -> Names {
    let mut names = AS_THEY_ARE;
    alike.iter().for_each(|&it| names[it] = 0xee);
    names[one] = 0xff;
    names
}

pub fn code(names: &Names) -> u64 {
    u64::from_le_bytes(*names)
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Word {
    Machine(u8),
    /// A number drawn by a machine: in which life, and which one.
    Drawn(u8, u64),
    Other(u64),
}

struct Renamed<'a> {
    names: &'a Names,
    words: Vec<Word>,
}

impl Renamed<'_> {
    fn address(&self, bytes: &[u8]) -> Option<u8> {
        let [10, 0, 0, place] = *bytes else {
            return None;
        };
        let place = usize::from(place).checked_sub(1)?;
        self.names.get(place).copied()
    }
}

impl Hasher for Renamed<'_> {
    fn write(&mut self, bytes: &[u8]) {
        for chunk in bytes.chunks(8) {
            let mut word = [0; 8];
            word[..chunk.len()].copy_from_slice(chunk);
            self.words.push(Word::Other(u64::from_le_bytes(word)));
        }
    }

    fn write_u32(&mut self, word: u32) {
        let name = self.address(&word.to_ne_bytes());
        match name.or_else(|| self.address(&word.to_be_bytes())) {
            Some(name) => self.words.push(Word::Machine(name)),
            None => self.write_u64(word.into()),
        }
    }

    fn write_u64(&mut self, word: u64) {
        let mine = u32::try_from(word).ok();
        let mine = mine.and_then(|word| self.address(&word.to_be_bytes()));
        let word = match (mine, drawn(word)) {
            (Some(name), _) => Word::Machine(name),
            (_, Some((node, which))) => Word::Drawn(self.names[node], which),
            _ => Word::Other(word),
        };
        self.words.push(word);
    }

    fn write_u8(&mut self, word: u8) {
        self.words.push(Word::Other(word.into()));
    }

    fn write_usize(&mut self, word: usize) {
        self.words.push(Word::Other(word as u64));
    }

    fn finish(&self) -> u64 {
        unreachable!("sorted first")
    }
}

/// How many entries of a list of machines follow its count here, and of how many words each is.
fn list(words: &[Word]) -> Option<(usize, usize)> {
    let (&Word::Other(count), rest) = words.split_first()? else {
        return None;
    };
    let count = usize::try_from(count).ok()?;
    if !(2..=MOST).contains(&count) {
        return None;
    }
    let is_name = |word: &Word| matches!(word, Word::Machine(_));
    // A ballot is no entry of a list.
    let is_drawn = |word: &Word| matches!(word, Word::Drawn(..));
    (1..=WIDEST)
        .map(|width| (count, width))
        .find(|&(count, width)| {
            let fits = |entry: &[Word]| {
                let others = &entry[1..];
                let plain = width <= 2 || !others.iter().any(is_drawn);
                is_name(&entry[0]) && plain && !others.iter().any(is_name)
            };
            let entries = rest.get(..count * width);
            entries.is_some_and(|it| it.chunks(width).all(fits))
        })
}

/// The digest of this with machines called by these names.
pub fn renamed(names: &Names, what: &impl Hash) -> u64 {
    let words = Vec::with_capacity(512);
    let mut hasher = Renamed { names, words };
    what.hash(&mut hasher);
    let mut words = hasher.words;
    let mut at = 0;
    while at < words.len() {
        if let Some((count, width)) = list(&words[at..]) {
            let list = &mut words[at + 1..=at + count * width];
            let mut entries: Vec<Vec<Word>> = list.chunks(width).map(<[Word]>::to_vec).collect();
            entries.sort_unstable();
            let sorted = entries.into_iter().flatten();
            list.iter_mut()
                .zip(sorted)
                .for_each(|(old, new)| *old = new);
            at += count * width;
        }
        at += 1;
    }
    digest(&words)
}
