//! Random numbers: one stream for each purpose, so that what a manager orders changes no draw of
//! another kind. With the same seed the same requests come, whoever decides.

use rand::{RngExt, SeedableRng};
use rand_distr::Distribution;
use rand_distr::weighted::WeightedAliasIndex;
use rand_xoshiro::Xoshiro256PlusPlus;

/// What a stream of random numbers is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Sizes, speeds and limits that are drawn once.
    Build = 1,
    /// When requests come, and what they are.
    Clients = 2,
    /// What proxies pick.
    Proxies = 3,
    /// Delays of lists, reports, messages and streams.
    Platform = 4,
    /// What strikes whom.
    Troubles = 5,
    /// Waits of clients before they try again.
    Retries = 7,
    /// Which requests a failing worker fails.
    Workers = 6,
}

/// A stream of random numbers that is the same on every machine.
#[derive(Clone, Debug)]
pub struct Chance(Xoshiro256PlusPlus);

impl Chance {
    /// The stream of a seed for one purpose.
    pub fn new(seed: u64, purpose: Purpose) -> Self {
        let mixed = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (purpose as u64) << 56;
        Self(Xoshiro256PlusPlus::seed_from_u64(mixed))
    }

    /// A number from 0 to less than 1.
    pub fn unit(&mut self) -> f64 {
        self.0.random()
    }

    /// A number between two.
    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.unit()
    }

    /// A whole number below `end`; 0 where that is 0.
    pub fn below(&mut self, end: usize) -> usize {
        self.0.random_range(0..end.max(1))
    }

    /// True with probability `part`.
    pub fn happens(&mut self, part: f64) -> bool {
        part > 0.0 && self.unit() < part
    }

    /// A number of 64 bits.
    pub fn bits(&mut self) -> u64 {
        self.0.random()
    }

    /// An exponential draw of mean 1.
    pub fn exponential(&mut self) -> f64 {
        rand_distr::Exp1.sample(&mut self.0)
    }

    /// A draw of a distribution.
    pub fn draw<T>(&mut self, law: &impl Distribution<T>) -> T {
        law.sample(&mut self.0)
    }

    /// `count` of these places, drawn without putting back, in rising order.
    pub fn some_of(&mut self, mut places: Vec<usize>, count: usize) -> Vec<usize> {
        while places.len() > count {
            let out = self.below(places.len());
            places.swap_remove(out);
        }
        places.sort_unstable();
        places
    }
}

/// Draws indices by weight in constant time.
#[derive(Clone, Debug)]
pub struct Wheel(Option<WeightedAliasIndex<f64>>);

impl Wheel {
    /// A wheel of these weights. Without any above 0 nothing can be drawn.
    pub fn new(weights: Vec<f64>) -> Self {
        Self(WeightedAliasIndex::new(weights).ok())
    }

    /// An index, if there is any weight.
    pub fn spin(&self, chance: &mut Chance) -> Option<usize> {
        self.0.as_ref().map(|wheel| chance.draw(wheel))
    }
}

/// A distribution of work, in milliseconds of a core of speed 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Law {
    /// Always the same.
    Fixed(f64),
    /// Evenly between two values.
    Uniform(f64, f64),
    /// Exponential, by its mean.
    Exponential(f64),
    /// Log-normal, by its median and the spread of its logarithm.
    LogNormal(f64, f64),
    /// Pareto, by its least value and its tail index: the mean exists above 1, the variance above 2.
    Pareto(f64, f64),
}

impl Law {
    /// One draw, in milliseconds.
    pub fn sample(&self, chance: &mut Chance) -> f64 {
        match *self {
            Self::Fixed(value) => value,
            Self::Uniform(low, high) => chance.between(low, high),
            Self::Exponential(mean) => mean * chance.exponential(),
            Self::LogNormal(median, spread) => {
                let normal: f64 = chance.draw(&rand_distr::StandardNormal);
                median * (spread * normal).exp()
            }
            Self::Pareto(least, index) => least * (1.0 - chance.unit()).powf(-1.0 / index),
        }
    }

    /// The mean, in milliseconds; none where it does not exist.
    pub fn mean(&self) -> Option<f64> {
        match *self {
            Self::Fixed(value) | Self::Exponential(value) => Some(value),
            Self::Uniform(low, high) => Some((low + high) / 2.0),
            Self::LogNormal(median, spread) => Some(median * (spread * spread / 2.0).exp()),
            Self::Pareto(least, index) => (index > 1.0).then(|| least * index / (index - 1.0)),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn draws_have_the_means_of_their_laws() {
        for law in [
            Law::Fixed(7.0),
            Law::Uniform(220.0, 300.0),
            Law::Exponential(40.0),
            Law::LogNormal(20.0, 0.8),
            Law::Pareto(10.0, 3.0),
        ] {
            let mut chance = Chance::new(1, Purpose::Clients);
            let sum: f64 = (0..400_000).map(|_| law.sample(&mut chance)).sum();
            let (mean, drawn) = (law.mean().unwrap(), sum / 400_000.0);
            assert!(
                (drawn / mean - 1.0).abs() < 0.01,
                "{law:?}: {drawn} for {mean}"
            );
        }
        assert_eq!(Law::Pareto(1.0, 0.9).mean(), None);
    }

    #[test]
    fn streams_are_their_own_and_the_same_each_time() {
        let first = |seed, purpose| Chance::new(seed, purpose).bits();
        assert_eq!(first(1, Purpose::Clients), first(1, Purpose::Clients));
        assert_ne!(first(1, Purpose::Clients), first(1, Purpose::Proxies));
        assert_ne!(first(1, Purpose::Clients), first(2, Purpose::Clients));
    }

    #[test]
    fn a_wheel_without_weight_gives_nothing() {
        let mut chance = Chance::new(1, Purpose::Proxies);
        assert_eq!(Wheel::new(vec![]).spin(&mut chance), None);
        assert_eq!(Wheel::new(vec![0.0, 0.0]).spin(&mut chance), None);
        assert_eq!(Wheel::new(vec![0.0, 2.0]).spin(&mut chance), Some(1));
    }
}
