//! What a client has sent behind a request that is in hand.
//!
//! Whoever reads requests is handed one head at a time, so that it is known where the next one
//! begins. Whole heads that wait can be looked at meanwhile, in order.

/// Bytes that are held, at most.
const HELD: usize = 16 << 10;

/// Bytes of one connection that were not handed on yet.
#[derive(Debug, Default)]
pub struct Heads {
    held: Vec<u8>,
    /// What was handed on last, as far as the end of a head may depend on it.
    handed: Line,
    /// Bytes of the heads that were begun.
    begun: usize,
    /// Bytes behind these in which no head ends.
    looked: usize,
    look: Line,
    /// Where the next head ends, once that is known.
    next: Option<usize>,
    /// Whether the next head has to wait until it is handed on.
    waits: bool,
}

/// Whether a line has just begun.
#[derive(Clone, Copy, Debug, Default)]
enum Line {
    #[default]
    Within,
    Begun,
    /// Begun by a carriage return.
    Returned,
}

impl Line {
    /// Bytes up to the end of the first head, if it ends here.
    fn head(&mut self, bytes: &[u8]) -> Option<usize> {
        for (at, byte) in bytes.iter().enumerate() {
            *self = match (byte, *self) {
                (b'\n', Self::Begun | Self::Returned) => {
                    *self = Self::Within;
                    return Some(at + 1);
                }
                (b'\n', Self::Within) => Self::Begun,
                (b'\r', Self::Begun) => Self::Returned,
                _ => Self::Within,
            };
        }
        None
    }
}

impl Heads {
    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Bytes that may be added.
    pub fn room(&self) -> usize {
        HELD.saturating_sub(self.held.len())
    }

    /// Adds what was read.
    pub fn add(&mut self, bytes: &[u8]) {
        self.held.extend_from_slice(bytes);
    }

    /// Hands on up to `most` bytes, and none behind the end of a head.
    pub fn hand_on(&mut self, most: usize, to: impl FnOnce(&[u8])) {
        let most = most.min(self.held.len());
        let bytes = self.handed.head(&self.held[..most]).unwrap_or(most);
        self.drop(bytes, to);
    }

    /// Hands on up to `most` bytes, whatever they are.
    pub fn hand_all(&mut self, most: usize, to: impl FnOnce(&[u8])) {
        self.drop(most.min(self.held.len()), to);
    }

    fn drop(&mut self, bytes: usize, to: impl FnOnce(&[u8])) {
        to(&self.held[..bytes]);
        self.held.drain(..bytes);
        if self.begun == 0 {
            (self.looked, self.look, self.next) = (0, Line::Within, None);
            self.waits = false;
        }
        self.begun = self.begun.saturating_sub(bytes);
    }

    /// Takes back what was handed on of a head that has not ended.
    pub fn put_back(&mut self, bytes: &[u8]) {
        self.held.splice(..0, bytes.iter().copied());
        self.handed = Line::default();
        match self.begun {
            0 => (self.looked, self.look, self.next) = (0, Line::Within, None),
            _ => self.begun += bytes.len(),
        }
    }

    /// The next head that was not begun, if it is whole.
    pub fn next_whole(&mut self) -> Option<&[u8]> {
        if self.waits {
            return None;
        }
        if self.next.is_none() {
            let from = self.begun + self.looked;
            let end = self.look.head(&self.held[from..]);
            self.looked = self.held.len() - self.begun;
            self.next = end.map(|end| from + end - self.begun);
        }
        let end = self.begun + self.next?;
        Some(&self.held[self.begun..end])
    }

    /// The next head is begun.
    pub fn begin(&mut self) {
        self.begun += self.next.take().unwrap_or_default();
        (self.looked, self.look) = (0, Line::Within);
    }

    /// The next head, and what is behind it, waits until it is handed on.
    pub fn wait(&mut self) {
        self.waits = true;
    }
}
