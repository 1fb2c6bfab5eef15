//! Numbers drawn for picking; no secrets are made of them.

/// A small generator (SplitMix64).
#[derive(Clone, Debug)]
pub struct Chance(u64);

impl Chance {
    /// From a seed.
    pub fn new(seed: u64) -> Self {
        Self(seed)
    }

    /// The next number.
    pub fn draw(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Evenly from 0 up to 1.
    pub fn unit(&mut self) -> f64 {
        (self.draw() >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Evenly below `end`; 0 where that is 0.
    pub fn below(&mut self, end: usize) -> usize {
        (self.unit() * end as f64) as usize
    }
}
