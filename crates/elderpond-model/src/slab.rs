//! Records in reused places. A key names a record and the use of its place, so that a key kept too
//! long finds nothing.

/// Names a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    place: u32,
    turn: u32,
}

impl Key {
    /// Names no record.
    pub const NONE: Self = Self {
        place: u32::MAX,
        turn: 0,
    };
}

/// Records by key.
pub struct Slab<T> {
    places: Vec<(u32, Option<T>)>,
    free: Vec<u32>,
}

impl<T> Default for Slab<T> {
    fn default() -> Self {
        let (places, free) = (Vec::new(), Vec::new());
        Self { places, free }
    }
}

impl<T> Slab<T> {
    /// Enters a record.
    pub fn insert(&mut self, record: T) -> Key {
        if let Some(place) = self.free.pop() {
            let (turn, kept) = &mut self.places[place as usize];
            *kept = Some(record);
            return Key { place, turn: *turn };
        }
        self.places.push((0, Some(record)));
        let place = (self.places.len() - 1) as u32;
        Key { place, turn: 0 }
    }

    /// The record of a key, if it is there still.
    pub fn get(&self, key: Key) -> Option<&T> {
        let (turn, kept) = self.places.get(key.place as usize)?;
        kept.as_ref().filter(|_| *turn == key.turn)
    }

    /// The same, to change it.
    pub fn get_mut(&mut self, key: Key) -> Option<&mut T> {
        let (turn, kept) = self.places.get_mut(key.place as usize)?;
        kept.as_mut().filter(|_| *turn == key.turn)
    }

    /// Takes a record out.
    pub fn remove(&mut self, key: Key) -> Option<T> {
        let (turn, kept) = self.places.get_mut(key.place as usize)?;
        if *turn != key.turn {
            return None;
        }
        let record = kept.take()?;
        *turn = turn.wrapping_add(1);
        self.free.push(key.place);
        Some(record)
    }

    /// Records in it.
    pub fn len(&self) -> usize {
        self.places.len() - self.free.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_key_kept_too_long_finds_nothing() {
        let mut slab = Slab::default();
        let (a, b) = (slab.insert("a"), slab.insert("b"));
        assert_eq!(
            (slab.remove(a), slab.remove(a), slab.len()),
            (Some("a"), None, 1)
        );
        let c = slab.insert("c");
        assert_eq!(
            (slab.get(a), slab.get(b), slab.get(c)),
            (None, Some(&"b"), Some(&"c"))
        );
        assert!(slab.get(Key::NONE).is_none() && !slab.is_empty());
    }
}
