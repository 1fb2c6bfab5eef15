//! What goes wrong, drawn by a seed.

use std::fmt;

use elderpond_forage::Chance;

use crate::{Millis, play};

/// A trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A hive loses power right after it has acknowledged a configuration.
    AfterAckKill,
    /// The same, and its disk.
    AfterAckWipe,
    /// A disk refuses writes.
    DiskFull,
    /// A disk is thirty times slower or more.
    DiskSlow,
    /// Writes hang.
    DiskStall,
    /// A hive is cut off from the others.
    CoreCut,
    /// A hive is not heard by the others, but hears them.
    OneWay,
    /// A hive is cut off from all.
    HiveCut,
    /// A forager is cut off from all.
    ForagerCut,
    /// A hive's process is killed.
    HiveKill,
    /// A hive's process is told to end, and comes back.
    HiveTerm,
    /// A forager's process is killed.
    ForagerKill,
    /// A hive's machine stands still: it handles nothing, what is sent to it waits or is lost, and its clock
    /// goes on.
    HiveFreeze,
    /// A forager's machine stands still.
    ForagerFreeze,
    /// A hive's process ends, and its machine's time of day is another when it starts again.
    ClockStep,
    /// All processes of the core are killed.
    CoreKill,
    /// All machines of the core lose power.
    CorePower,
    /// Hives are exchanged for other machines one after the other, and the seeds with them.
    SeedTurnover,
    /// Configurations in quick succession.
    Storm,
    /// Two operators at once, with one number or two.
    Race,
    /// Invalid configurations.
    Bad,
    /// Older versions than the newest.
    Old,
    /// All workers are replaced, one after the other.
    Release,
    /// Some workers leave for good.
    ScaleIn,
    /// At the end, after an acknowledgement: all processes of the core are killed.
    CloseKill,
    /// The same: all power is lost.
    ClosePower,
    /// The same: as many disks as may be are lost, and all others lose power.
    CloseWipe,
}

const DAILY: [Kind; 24] = [
    Kind::HiveFreeze,
    Kind::ForagerFreeze,
    Kind::ClockStep,
    Kind::AfterAckKill,
    Kind::AfterAckWipe,
    Kind::DiskFull,
    Kind::DiskSlow,
    Kind::DiskStall,
    Kind::CoreCut,
    Kind::OneWay,
    Kind::HiveCut,
    Kind::ForagerCut,
    Kind::HiveKill,
    Kind::HiveTerm,
    Kind::ForagerKill,
    Kind::CoreKill,
    Kind::CorePower,
    Kind::SeedTurnover,
    Kind::Storm,
    Kind::Race,
    Kind::Bad,
    Kind::Old,
    Kind::Release,
    Kind::ScaleIn,
];

const CLOSING: [Kind; 3] = [Kind::CloseKill, Kind::ClosePower, Kind::CloseWipe];

/// One trouble of a story. It waits for as long as more would be lost at once than may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Trouble {
    /// Which.
    pub kind: Kind,
    /// When it begins (ms).
    pub at: Millis,
    /// How long it lasts (ms).
    pub span: Millis,
    /// Which machine, counted round.
    pub target: usize,
}

/// A fault put in on purpose, which the days have to notice.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    /// Disks say that a write is durable 200 ms before it is.
    DurableTooSoon,
    /// Foragers drop what they are told of departures.
    DeafToDepartures,
    /// Foragers drop every second version.
    DeafToVersions,
}

/// A day.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Story {
    /// Draws all else.
    pub seed: u64,
    /// Machines with a disk; of three one may be lost at once, of five two.
    pub hives: usize,
    /// Foragers.
    pub foragers: usize,
    /// What goes wrong.
    pub troubles: Vec<Trouble>,
    /// Whether what happens is printed.
    pub tell: bool,
    /// Nothing but tests sets one.
    #[doc(hidden)]
    pub mutant: Option<Mutant>,
}

impl Story {
    /// The day of this seed: every pair of troubles comes within 576 seeds.
    #[must_use]
    pub fn of(seed: u64) -> Self {
        let mut chance = Chance::new(seed ^ 0x6d65_6164_6f77);
        let first = DAILY[seed as usize % DAILY.len()];
        let second = DAILY[seed as usize / DAILY.len() % DAILY.len()];
        let mut kinds = vec![first];
        if second != first {
            kinds.push(second);
        }
        if chance.below(4) == 0 {
            kinds.push(DAILY[chance.below(DAILY.len())]);
        }
        if chance.below(3) == 0 {
            kinds.push(CLOSING[chance.below(CLOSING.len())]);
        }
        let target = chance.below(5);
        let apart = chance.below(2);
        let troubles = kinds.into_iter().enumerate().map(|(nth, kind)| Trouble {
            kind,
            at: match CLOSING.contains(&kind) {
                true => 34_000,
                false => 9_000 + chance.below(14_000) as Millis,
            },
            span: 300 + chance.below(9_000) as Millis,
            target: target + nth * apart,
        });
        let troubles = troubles.collect();
        let hives = if seed.is_multiple_of(4) { 5 } else { 3 };
        Self {
            seed,
            hives,
            foragers: 4,
            troubles,
            tell: false,
            mutant: None,
        }
    }
}

impl fmt::Display for Story {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "seed {}, {} hives, {} foragers",
            self.seed, self.hives, self.foragers
        )?;
        self.troubles.iter().try_for_each(|it| {
            let Trouble {
                kind,
                at,
                span,
                target,
            } = it;
            writeln!(f, "  {at} ms: {kind:?} at {target} for {span} ms")
        })
    }
}

/// The shortest story found that still breaks a promise, and what it breaks: troubles are dropped one by one,
/// then spans are halved.
#[must_use]
pub fn shortest(story: &Story, fault: String) -> (Story, String) {
    let (mut story, mut fault) = (story.clone(), fault);
    loop {
        let mut shorter = Vec::new();
        for at in 0..story.troubles.len() {
            let mut without = story.clone();
            without.troubles.remove(at);
            shorter.push(without);
        }
        for at in 0..story.troubles.len() {
            let mut halved = story.clone();
            halved.troubles[at].span /= 2;
            if halved.troubles[at].span >= 100 {
                shorter.push(halved);
            }
        }
        let found = shorter
            .into_iter()
            .find_map(|it| play(&it).err().map(|fault| (it, fault)));
        match found {
            Some(found) => (story, fault) = found,
            None => return (story, fault),
        }
    }
}
