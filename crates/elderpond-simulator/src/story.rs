//! What goes wrong, drawn by a seed.

use std::fmt;

use elderpond_forage::Chance;

use crate::{Millis, Rule, play};

/// A trouble; the users' name of it in brackets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// A hive loses power right after it has acknowledged a configuration [after_ack_kill].
    AfterAckKill,
    /// The same, and its disk [after_ack_wipe].
    AfterAckWipe,
    /// A disk refuses writes.
    DiskFull,
    /// A disk is thirty times slower or more.
    DiskSlow,
    /// Writes hang.
    DiskStall,
    /// A hive is cut off from the others.
    CoreCut,
    /// A hive is not heard by the others but hears them, or the other way round.
    OneWay,
    /// Two hives of five are cut off from the others and reach each other; of three, one [core_cut, count].
    PairCut,
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
    /// A hive's machine stands still: what is sent to it waits and comes at once after it, or is lost; its
    /// clock goes on.
    HiveFreeze,
    /// A forager's machine stands still.
    ForagerFreeze,
    /// A hive's process ends, and its machine's time of day is another when it starts again.
    ClockStep,
    /// All processes of the core are killed [herd_kill].
    CoreKill,
    /// All machines of the core lose power [herd_kill, power].
    CorePower,
    /// Hives are exchanged for other machines one after the other, and the seeds with them.
    SeedTurnover,
    /// Configurations in quick succession.
    Storm,
    /// Two operators at once, with one number or two.
    Race,
    /// Invalid configurations.
    Bad,
    /// Another content under a number below the newest.
    Old,
    /// All workers are replaced, one after the other.
    Release,
    /// Some workers leave for good.
    ScaleIn,
    /// Some workers are gone two seconds after they were told so, and others come 4 s later [scale_in, spot].
    Spot,
    /// A hive is cut off, the new seeds begin with it, and some foragers are restarted [core_cut, seeds].
    SeedsCut,
    /// A hive is cut off and restarted, then the others are [core_cut, both].
    BothCut,
    /// A hive is cut off together with half of the foragers and the workers of its zone.
    SideCut,
    /// A hive loses power 5 to 400 ms after a change was sent to it [after_ack_kill, timed].
    TimedKill,
    /// The same, and its disk [after_ack_wipe, timed].
    TimedWipe,
    /// A hive loses power right after it has acknowledged a departure [after_ack_kill, taken].
    TakenKill,
    /// All machines of the core lose power right after a departure was acknowledged [herd_kill, taken].
    CoreTaken,
    /// Each hive in turn is told to end and comes back; `busy`: while it answers [roll_term].
    RollTerm,
    /// Answers to operators are lost once or twice an order; it is sent again, to any hive.
    LostAnswers,
    /// Eight orders at once, to all hives: same numbers, other contents, the same again.
    Eight,
    /// What was acknowledged is sent again, overtaken or not.
    Again,
    /// A change each 100 to 400 ms until the day grows calm.
    Stream,
    /// A machine is lost for good with its disk, and another comes.
    Replace,
    /// All connections of a hive are reset [reset_conns].
    Resets,
    /// The links of a hive to the others take up to 400 ms longer, each message as long as is drawn.
    SlowLinks,
    /// A disk is lost, and another one soon after it was repaired.
    SecondWipe,
    /// As many disks as may be are lost after an acknowledgement, and all others lose power, in mid-day.
    WipeAndPower,
    /// At the end, after an acknowledgement: all processes of the core are killed [kill_all].
    CloseKill,
    /// The same: all power is lost [power_off_all].
    ClosePower,
    /// The same: as many disks as may be are lost, and all others lose power [wipe_after_ack].
    CloseWipe,
    /// As `CloseKill`, 5 to 400 ms after a change was sent.
    CloseKillTimed,
    /// As `ClosePower`, 5 to 400 ms after a change was sent.
    ClosePowerTimed,
    /// As `CloseWipe`, 5 to 400 ms after a change was sent.
    CloseWipeTimed,
}

const DAILY: [Kind; 43] = [
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
    Kind::Spot,
    Kind::SeedsCut,
    Kind::BothCut,
    Kind::SideCut,
    Kind::PairCut,
    Kind::TimedKill,
    Kind::TimedWipe,
    Kind::TakenKill,
    Kind::CoreTaken,
    Kind::RollTerm,
    Kind::LostAnswers,
    Kind::Eight,
    Kind::Again,
    Kind::Stream,
    Kind::Replace,
    Kind::Resets,
    Kind::SlowLinks,
    Kind::SecondWipe,
    Kind::WipeAndPower,
];

const CLOSING: [Kind; 6] = [
    Kind::CloseKill,
    Kind::ClosePower,
    Kind::CloseWipe,
    Kind::CloseKillTimed,
    Kind::ClosePowerTimed,
    Kind::CloseWipeTimed,
];

/// Days that hold each pair of troubles once, each with itself too.
pub const PAIRS: u64 = (DAILY.len() * (DAILY.len() + 1) / 2) as u64;

impl Kind {
    /// Every trouble, those that close a day last.
    pub fn all() -> impl Iterator<Item = Self> {
        DAILY.into_iter().chain(CLOSING)
    }

    /// Whether it closes a day.
    #[must_use]
    pub fn closes(self) -> bool {
        CLOSING.contains(&self)
    }
}

/// Which machine it strikes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Aim {
    /// One that was drawn.
    #[default]
    Drawn,
    /// The hive that acknowledged last.
    Leader,
    /// The hive that answered a read last.
    Reader,
    /// A seed.
    Seed,
}

/// What is met at a cut.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Cut {
    /// Silence.
    #[default]
    Silent,
    /// Connections are reset, new ones refused.
    Reset,
    /// Connections hang, new ones are refused.
    Refuse,
}

/// The manner of a trouble.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct How {
    /// Which machine.
    pub aim: Aim,
    /// What is met at a cut.
    pub cut: Cut,
    /// A change is sent to that machine as it returns, and during a cut.
    pub meet: bool,
    /// Two such at once, on one number.
    pub race: bool,
    /// Again and again until it answers.
    pub hard: bool,
    /// Workers of its zone leave soon after it is back.
    pub drain: bool,
    /// A forager of its zone starts meanwhile, and again at the end of it.
    pub starts: bool,
    /// It is told to end while it answers.
    pub busy: bool,
    /// The other machines lose power too; a one-way cut goes the other way.
    pub power: bool,
}

impl How {
    fn drawn(chance: &mut Chance) -> Self {
        let mut one_in = |of: usize| chance.below(of) == 0;
        let meet = one_in(3);
        Self {
            meet,
            race: meet && one_in(2),
            hard: meet && one_in(3),
            drain: one_in(4),
            starts: one_in(3),
            busy: one_in(2),
            power: one_in(2),
            aim: [Aim::Drawn, Aim::Drawn, Aim::Leader, Aim::Reader, Aim::Seed][chance.below(5)],
            cut: [Cut::Silent, Cut::Silent, Cut::Reset, Cut::Refuse][chance.below(4)],
        }
    }

    /// What of it is set, by name.
    pub fn names(self) -> impl Iterator<Item = &'static str> {
        let aim = ["", "leader", "reader", "seed"][self.aim as usize];
        let cut = ["", "reset", "refuse"][self.cut as usize];
        let flags = [
            (self.meet, "meet"),
            (self.race, "race"),
            (self.hard, "hard"),
            (self.drain, "drain"),
            (self.starts, "starts"),
            (self.busy, "busy"),
            (self.power, "power"),
        ];
        let flags = flags
            .into_iter()
            .map(|(set, name)| if set { name } else { "" });
        ([aim, cut].into_iter().chain(flags)).filter(|name| !name.is_empty())
    }

    /// With one thing less, in each way.
    fn simpler(self) -> Vec<Self> {
        let mut all = vec![
            Self {
                aim: Aim::Drawn,
                ..self
            },
            Self {
                cut: Cut::Silent,
                ..self
            },
            Self {
                meet: false,
                race: false,
                hard: false,
                ..self
            },
            Self {
                race: false,
                ..self
            },
            Self {
                hard: false,
                ..self
            },
            Self {
                drain: false,
                ..self
            },
            Self {
                starts: false,
                ..self
            },
            Self {
                busy: false,
                ..self
            },
            Self {
                power: false,
                ..self
            },
        ];
        all.retain(|it| *it != self);
        all
    }
}

/// One trouble of a story. It waits for as long as more would be lost at once than may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Trouble {
    /// Which.
    pub kind: Kind,
    /// In what manner.
    pub how: How,
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
    /// Foragers say that they have nothing when they join a hive, and take an older version than they have.
    TakesOlder,
    /// A hive forgets what it told: an order that was acknowledged is refused when it comes again.
    RefusesAgain,
    /// A hive says that it is done where it refused.
    TakesRefused,
    /// A hive answers some calls twice.
    AnswersTwice,
    /// A hive answers some calls late.
    AnswersLate,
    /// Every order is refused for want of a majority, though there is one.
    NeverAcknowledges,
    /// Departures are not acknowledged.
    NeverLetsGo,
    /// A hive that was restarted hears nothing of others for six seconds.
    DeafAtStart,
    /// Every hive says that it reaches a majority, though it does not.
    SaysMajority,
    /// A fault of the consensus.
    Consensus(elderpond_consensus::Mutant),
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
    /// How long it lasts (ms); the last 18 s are calm.
    pub length: Millis,
    /// What goes wrong.
    pub troubles: Vec<Trouble>,
    /// Whether what happens is printed.
    pub tell: bool,
    /// Rules whose breach does not end the day: for trials that look past a known fault.
    pub past: Vec<Rule>,
    /// Nothing but tests sets one.
    #[doc(hidden)]
    pub mutant: Option<Mutant>,
}

/// The pair of this number: each pair comes once, those of the first troubles first.
fn pair(number: u64) -> (usize, usize) {
    let mut number = (number % PAIRS) as usize;
    let mut later = 0;
    while number > later {
        number -= later + 1;
        later += 1;
    }
    (number, later)
}

impl Story {
    /// A day of this seed that holds three to five of these troubles, close to each other.
    #[must_use]
    pub fn among(seed: u64, kinds: &[Kind]) -> Self {
        let mut chance = Chance::new(seed ^ 0x616d_6f6e_6721);
        let (mut at, mut troubles) = (9_000 + chance.below(8_000) as Millis, Vec::new());
        for _ in 0..3 + chance.below(3) {
            troubles.push(Trouble {
                kind: kinds[chance.below(kinds.len())],
                how: How::drawn(&mut chance),
                at,
                span: 300 + chance.below(6_000) as Millis,
                target: chance.below(5),
            });
            at += chance.below(3_000) as Millis;
        }
        Self {
            troubles,
            length: 60_000,
            ..Self::of(seed)
        }
    }

    /// The day of this seed: every pair of troubles comes within [`PAIRS`] seeds.
    #[must_use]
    pub fn of(seed: u64) -> Self {
        let mut chance = Chance::new(seed ^ 0x6d65_6164_6f77);
        // Spread, so that a few days in a row hold many troubles.
        let (first, second) = pair(seed % PAIRS * 409);
        let mut kinds = vec![DAILY[first]];
        if second != first || chance.below(2) == 0 {
            kinds.push(DAILY[second]);
        }
        if chance.below(4) == 0 {
            kinds.push(DAILY[chance.below(DAILY.len())]);
        }
        let long = kinds.contains(&Kind::Stream) && chance.below(4) == 0;
        let length = if long {
            100_000 + 1_000 * chance.below(61) as Millis
        } else {
            60_000
        };
        let mut troubles = Vec::new();
        let (target, apart) = (chance.below(5), chance.below(2));
        // The second one often strikes while the first lasts, or just after.
        let close = chance.below(2) == 0;
        let more = if long { 2 + chance.below(4) } else { 0 };
        for nth in 0..kinds.len() + more {
            let of = |nth: usize| kinds.get(nth).copied();
            let kind = of(nth).unwrap_or_else(|| DAILY[chance.below(DAILY.len())]);
            let window = match (close, troubles.first(), of(nth)) {
                (_, _, None) => 9_000..length - 25_000,
                (true, Some(Trouble { at, span, .. }), _) => *at..(at + span + 2_000).min(38_000),
                _ => 9_000..23_000,
            };
            let spread = (window.end - window.start).max(1) as usize;
            troubles.push(Trouble {
                kind,
                how: How::drawn(&mut chance),
                at: window.start + chance.below(spread) as Millis,
                span: match chance.below(5) {
                    0 => 9_000 + chance.below(13_000) as Millis,
                    _ => 300 + chance.below(9_000) as Millis,
                },
                target: target + nth * apart,
            });
        }
        if chance.below(3) == 0 {
            let (span, how) = (300 + chance.below(9_000) as Millis, How::drawn(&mut chance));
            let kind = CLOSING[chance.below(CLOSING.len())];
            let at = length - 26_000;
            troubles.push(Trouble {
                kind,
                how,
                at,
                span,
                target,
            });
        }
        Self {
            seed,
            hives: if seed.is_multiple_of(4) { 5 } else { 3 },
            foragers: 4,
            length,
            troubles,
            tell: false,
            past: Vec::new(),
            mutant: None,
        }
    }
}

impl fmt::Display for Story {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "seed {}, {} hives, {} foragers, {} s",
            self.seed,
            self.hives,
            self.foragers,
            self.length / 1_000
        )?;
        self.troubles.iter().try_for_each(|it| {
            let Trouble {
                kind,
                how,
                at,
                span,
                target,
            } = it;
            let how: Vec<&str> = how.names().collect();
            writeln!(
                f,
                "  {at} ms: {kind:?} [{}] at {target} for {span} ms",
                how.join(" ")
            )
        })
    }
}

/// The story without any two of its troubles: of two that undo each other neither can go alone.
fn without_two(story: &Story) -> Vec<Story> {
    let mut shorter = Vec::new();
    for later in 0..story.troubles.len() {
        for earlier in 0..later {
            let mut without = story.clone();
            without.troubles.remove(later);
            without.troubles.remove(earlier);
            shorter.push(without);
        }
    }
    shorter
}

/// The shortest story found that still breaks the same rule, and how: troubles are dropped one by one, then
/// what they do beside is, then spans are halved, and at last two troubles are dropped at once.
#[must_use]
pub fn shortest(story: &Story, fault: String) -> (Story, String) {
    let rule = |fault: &str| fault.split(':').next().map(str::to_owned);
    let broken = rule(&fault);
    let (mut story, mut fault) = (story.clone(), fault);
    loop {
        let mut shorter = Vec::new();
        for at in 0..story.troubles.len() {
            let mut without = story.clone();
            without.troubles.remove(at);
            shorter.push(without);
        }
        if story.length > 60_000 && story.troubles.iter().all(|it| it.at < 35_000) {
            let length = 60_000;
            shorter.push(Story {
                length,
                ..story.clone()
            });
        }
        for at in 0..story.troubles.len() {
            for how in story.troubles[at].how.simpler() {
                let mut simpler = story.clone();
                simpler.troubles[at].how = how;
                shorter.push(simpler);
            }
            let mut halved = story.clone();
            halved.troubles[at].span /= 2;
            if halved.troubles[at].span >= 100 {
                shorter.push(halved);
            }
        }
        shorter.extend(without_two(&story));
        let still = |it: Story| match play(&it) {
            Err(fault) if rule(&fault) == broken => Some((it, fault)),
            _ => None,
        };
        match shorter.into_iter().find_map(still) {
            Some(found) => (story, fault) = found,
            None => return (story, fault),
        }
    }
}
