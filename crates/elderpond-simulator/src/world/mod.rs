//! The world: clock, network, machines, and what operators and workers do.

mod checks;
mod foragers;
mod hives;
mod operators;
mod troubles;
mod workers;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::Ipv4Addr;

use bytes::Bytes;
use elderpond_consensus::Record;
use elderpond_control_wire::{Frames, FromForager, FromHive, Hello, HiveToHive, unpack};
use elderpond_flora::Routes;
use elderpond_forage::{Chance, ControlNodeChoice, Step};
use elderpond_hive::{Action, Answer, Command, ErrorKind, Event, Hive, LinkId, Place, Ticket};
use elderpond_registry::{Change, State};

use crate::Millis;
use crate::ledger::{
    ACKNOWLEDGE, ANSWER, APPLY, CATCH_UP, CONTACT, CURRENT, DRAIN, Ledger, PULSE, Rule,
};
use crate::parts::{Disk, DiskCondition, Forager, Heard, Machine, Order, Worker, configuration};
use crate::story::{Aim, Cut, How, Kind, Mutant, Story, Trouble};

const BEAT: Millis = 1_500;
const ZONES: [&str; 3] = ["a", "b", "c"];
const WORKERS: usize = 6;
/// Packets that wait for a process which does not read them; further ones are lost.
const PACKETS: usize = 200;
/// The end of a day, in which no trouble begins.
const CALM: Millis = 18_000;
/// A hive with a majority that a forager could reach for so long was within reach.
const REACH: Millis = 1_000;
/// A process that was told to end is killed after this.
const GRACE: Millis = 6_000;

fn ip(hive: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, hive as u8 + 1)
}

fn at(node: Ipv4Addr) -> usize {
    usize::from(node.octets()[3]) - 1
}

/// A place in the network: machines first, then foragers.
type Endpoint = usize;
/// Whose way this is: workers and operators are where nothing is cut.
const FORAGERS: Endpoint = 100;

#[derive(Clone)]
enum Coming {
    Packet {
        from: usize,
        to: usize,
        datagram: Bytes,
    },
    /// The way to a hive: by which dial.
    Linked {
        from: usize,
        to: usize,
        dial: u64,
    },
    Frame {
        from: usize,
        to: usize,
        dial: u64,
        frame: Bytes,
    },
    Written {
        hive: usize,
        life: u64,
        write: u64,
    },
    /// A write that was told of before.
    Late {
        hive: usize,
        life: u64,
        record: Box<Record>,
    },
    /// A forager's call has reached the hive.
    Joined {
        forager: usize,
        life: u64,
        link: LinkId,
        hive: usize,
    },
    ToForager {
        forager: usize,
        link: LinkId,
        frame: Bytes,
        sent: Millis,
    },
    VersionWritten {
        hive: usize,
        link: LinkId,
        version: u64,
    },
    FromForager {
        forager: usize,
        link: LinkId,
        hive: usize,
        message: FromForager,
    },
    LinkLostAtForager {
        forager: usize,
        link: LinkId,
    },
    LinkLostAtHive {
        hive: usize,
        link: LinkId,
    },
    Call {
        hive: usize,
        ticket: Ticket,
        command: Command,
    },
    /// Nobody took the connection.
    NoCall {
        ticket: Ticket,
    },
    Answer {
        hive: usize,
        ticket: Ticket,
        answer: Answer,
    },
    Start {
        hive: usize,
    },
    StartForager {
        forager: usize,
    },
    Mend {
        hive: usize,
    },
    Thaw {
        hive: usize,
        life: u64,
    },
    ThawForager {
        forager: usize,
        life: u64,
    },
    Join {
        ways: Vec<(Endpoint, Endpoint)>,
    },
    Trouble(Trouble),
    Order {
        version: u64,
        word: u64,
        valid: bool,
    },
    /// An order as it was sent before.
    Again {
        version: u64,
        body: Bytes,
    },
    Drain {
        worker: usize,
        heir: bool,
        /// It is gone after so long, whatever it is told.
        notice: Option<Millis>,
    },
    /// A change meets a machine that is back or cut off.
    Meet {
        hive: usize,
        how: How,
    },
    /// What was armed, some time after a change was sent to this hive.
    Strike {
        trouble: Trouble,
        hive: usize,
    },
    /// The next one of a roll.
    Roll {
        left: Vec<usize>,
        trouble: Trouble,
    },
    /// It is not in use any more.
    Removed {
        hive: usize,
    },
    /// A disk is lost soon after another was repaired.
    Second {
        trouble: Trouble,
        not: usize,
    },
    /// Whether it is caught up is asked.
    CaughtUp {
        hive: usize,
        life: u64,
        since: Millis,
    },
    /// A hive is killed and started again.
    Restart {
        hive: usize,
    },
    RestartForager {
        forager: usize,
    },
    Stop {
        hive: usize,
        life: u64,
    },
    /// It was told to end, and has not.
    Kill {
        hive: usize,
        life: u64,
    },
    Gone {
        hive: usize,
    },
    StartWorker {
        place: usize,
    },
}

#[derive(Clone, Copy)]
enum Asked {
    Worker(usize),
    Order(usize),
    /// At least this version has to be read.
    Read(u64),
    /// It has to have this version at least, and a vote where the flag says so.
    Status(u64, bool),
}

#[derive(Clone, Copy)]
struct Caller {
    asked: Asked,
    hive: usize,
    life: u64,
    at: Millis,
}

/// What a day came to.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// Configurations acknowledged.
    pub acknowledged: u64,
    /// Departures acknowledged.
    pub departed: u64,
    /// Read back.
    pub reads: u64,
    /// Disks lost.
    pub wiped: u64,
    /// Events that were played.
    pub events: u64,
    /// Members found caught up in time.
    pub caught_up: u64,
    /// Times that a body came again after it had been acknowledged.
    pub again: u64,
    /// Bodies refused.
    pub refused: u64,
    /// Troubles that struck, and in what manner.
    pub struck: Vec<(Kind, How)>,
    /// Breaches of rules that were looked past.
    pub passed: BTreeMap<Rule, u64>,
}

pub(crate) struct World {
    now: Millis,
    story: Story,
    chance: Chance,
    coming: BTreeMap<(Millis, u64), Coming>,
    count: u64,
    machines: Vec<Machine>,
    foragers: Vec<Forager>,
    workers: Vec<Worker>,
    orders: Vec<Order>,
    callers: BTreeMap<Ticket, Caller>,
    /// How many cuts there are on a way, and how many of them refuse.
    cuts: BTreeMap<(Endpoint, Endpoint), (u32, u32)>,
    /// What a cut holds up.
    held: Vec<Coming>,
    last: BTreeMap<(Endpoint, Endpoint, u64), Millis>,
    /// What strikes at the next acknowledgement, departure, or change that is sent.
    armed: Vec<Trouble>,
    /// The hive that acknowledged last, and the one that was read last.
    leader: usize,
    reader: usize,
    /// The operator's list of seeds.
    seed_list: Vec<usize>,
    /// Answers to orders are lost until then.
    losing_until: Millis,
    /// Workers of this hive's zone reach no other one until then.
    side: Option<(usize, Millis)>,
    /// The hive with slow links, and until when.
    slow: Option<(usize, Millis)>,
    /// The hive that hears nothing, and until when: a fault put in.
    deaf: Option<(usize, Millis)>,
    ledger: Ledger,
    version: u64,
    calm: bool,
    summary: Summary,
}

/// Plays the day; or says which promise was broken, and when.
///
/// # Errors
///
/// The first broken promise.
pub fn play(story: &Story) -> Result<Summary, String> {
    let mut world = World::new(story.clone());
    while world.now < world.story.length && world.ledger.fault.is_none() {
        world.step();
    }
    world.close();
    match world.ledger.fault {
        Some(fault) => Err(fault),
        None => Ok(Summary {
            passed: world.ledger.passed,
            ..world.summary
        }),
    }
}

impl World {
    fn new(story: Story) -> Self {
        let mut world = Self {
            now: 0,
            chance: Chance::new(story.seed),
            coming: BTreeMap::new(),
            count: 0,
            machines: Vec::new(),
            foragers: Vec::new(),
            workers: Vec::new(),
            orders: Vec::new(),
            callers: BTreeMap::new(),
            cuts: BTreeMap::new(),
            held: Vec::new(),
            last: BTreeMap::new(),
            armed: Vec::new(),
            leader: 0,
            reader: 0,
            seed_list: (0..3).collect(),
            losing_until: 0,
            side: None,
            slow: None,
            deaf: None,
            ledger: Ledger::new(story.past.clone()),
            version: 0,
            calm: false,
            summary: Summary::default(),
            story,
        };
        let (hives, foragers) = (world.story.hives, world.story.foragers);
        // The seeds are three at the most, and their exchange brings as many again.
        for hive in 0..hives + 3 {
            world.machines.push(Machine {
                hive: None,
                life: 0,
                disk: Disk::default(),
                condition: DiskCondition::Well,
                writing: None,
                seeds: (0..3).map(ip).collect(),
                first: hive < hives,
                in_use: hive < hives,
                links: BTreeMap::new(),
                dials: BTreeMap::new(),
                leaves: false,
                lost_until: 0,
                ill: 0,
                frozen: None,
                clock: 5_800_000,
                stood: 0,
                together: 0,
                meets: None,
                busy: false,
                dark: false,
                gone: false,
            });
            if hive < hives {
                let at = world.chance.below(400) as Millis;
                world.at(at, Coming::Start { hive });
            }
        }
        for forager in 0..foragers {
            let seeds: Vec<Ipv4Addr> = (0..3).map(ip).collect();
            world.foragers.push(Forager {
                up: false,
                life: 0,
                follow: ControlNodeChoice::new(ZONES[forager % 3], &seeds),
                chance: Chance::new(world.story.seed ^ (forager as u64) << 32),
                table: Default::default(),
                version: 0,
                link: None,
                report_at: 0,
                ill: 0,
                frozen: None,
                reaches: None,
                told: false,
                begun: false,
                offered: None,
                assembly: elderpond_control_wire::Assembly::default(),
                content: None,
                vouched: 0,
            });
            let at = world.chance.below(400) as Millis;
            world.at(at, Coming::StartForager { forager });
        }
        for place in 0..WORKERS {
            world.start_worker(place);
        }
        let mut at = 2_000;
        while at < world.calm_from() - 2_000 {
            world.order_at(at);
            at += 2_500 + world.chance.below(3_000) as Millis;
        }
        for trouble in world.story.troubles.clone() {
            world.at(trouble.at, Coming::Trouble(trouble));
        }
        world
    }

    fn order_at(&mut self, at: Millis) {
        self.version += 1 + self.chance.below(2) as u64;
        let (version, word) = (self.version, self.chance.draw() % 1_000);
        self.at(
            at,
            Coming::Order {
                version,
                word,
                valid: true,
            },
        );
    }

    /// Troubles that are not over by then are.
    fn calm_from(&self) -> Millis {
        self.story.length - CALM
    }

    fn print(&self, text: &str) {
        if self.story.tell {
            println!("{:>6} {text}", self.now);
        }
    }

    // ---- Time and the network ----

    fn at(&mut self, at: Millis, coming: Coming) {
        self.count += 1;
        self.coming.insert((at, self.count), coming);
    }

    fn after(&mut self, wait: Millis, coming: Coming) {
        self.at(self.now + wait, coming);
    }

    fn latency(&mut self) -> Millis {
        1 + self.chance.below(2) as Millis
    }

    /// What a slow link adds.
    fn delay(&mut self, from: Endpoint, to: Endpoint) -> Millis {
        let now = self.now;
        let slow = |hive: usize, until: Millis| now < until && (hive == from || hive == to);
        match self.slow.is_some_and(|(hive, until)| slow(hive, until)) && from.max(to) < FORAGERS {
            true => self.chance.below(400) as Millis,
            false => 0,
        }
    }

    /// In order on one connection.
    fn stream(&mut self, from: Endpoint, to: Endpoint, line: u64, coming: Coming) {
        let soonest = self.now + self.latency() + self.delay(from, to);
        let last = self.last.entry((from, to, line)).or_default();
        *last = soonest.max(*last);
        let at = *last;
        self.at(at, coming);
    }

    fn cut(&self, from: Endpoint, to: Endpoint) -> bool {
        self.cuts.contains_key(&(from, to))
    }

    /// Whether a new connection is refused, not merely unanswered.
    fn refused(&self, from: Endpoint, to: Endpoint) -> bool {
        let refuses = |way| self.cuts.get(&way).is_some_and(|(_, refuse)| *refuse > 0);
        refuses((from, to)) || refuses((to, from))
    }

    fn step(&mut self) {
        self.now += 1;
        while let Some(entry) = self.coming.first_entry()
            && entry.key().0 <= self.now
        {
            let coming = entry.remove();
            self.summary.events += 1;
            self.come(coming);
        }
        for hive in 0..self.machines.len() {
            if (self.now + hive as u64 * 17).is_multiple_of(50) {
                self.tell(hive, Event::Tick);
            }
        }
        if self.now.is_multiple_of(10) {
            (0..self.foragers.len()).for_each(|forager| self.drive_forager(forager));
            (0..self.workers.len()).for_each(|worker| self.drive_worker(worker));
            (0..self.orders.len()).for_each(|order| self.drive_order(order));
        }
        if self.now.is_multiple_of(50) {
            self.look();
        }
        if self.now == self.calm_from() {
            self.calm = true;
            self.armed.clear();
        }
        if self.now.is_multiple_of(430) && self.now > 4_000 {
            self.ask_back();
        }
    }

    fn come(&mut self, coming: Coming) {
        let blocked = match &coming {
            Coming::Packet { from, to, .. } => {
                if self.cut(*from, *to) {
                    return;
                }
                false
            }
            Coming::Linked { from, to, .. } => self.cut(*from, *to) || self.cut(*to, *from),
            Coming::Frame { from, to, .. } => self.cut(*from, *to),
            Coming::Joined { forager, hive, .. } => {
                self.cut(FORAGERS + forager, *hive) || self.cut(*hive, FORAGERS + forager)
            }
            Coming::FromForager { forager, hive, .. } => self.cut(FORAGERS + forager, *hive),
            Coming::LinkLostAtHive { .. } | Coming::LinkLostAtForager { .. } => false,
            Coming::ToForager { forager, link, .. } => {
                let here = self.foragers[*forager].link.filter(|it| it.0 == *link);
                here.is_some_and(|(_, hive)| self.cut(hive, FORAGERS + forager))
            }
            Coming::Call { hive, .. } | Coming::Answer { hive, .. } => {
                if self.cut(*hive, *hive) {
                    return;
                }
                false
            }
            Coming::CaughtUp { .. } => false,
            _ => false,
        };
        if blocked {
            self.held.push(coming);
            return;
        }
        match coming {
            Coming::Packet { from, to, datagram } => {
                let from = ip(from);
                self.tell(to, Event::Packet { from, datagram });
            }
            Coming::Linked { from, to, dial } => self.linked(from, to, dial),
            Coming::Frame {
                from,
                to,
                dial,
                frame,
            } => {
                let life = self.machines[to].life;
                if self.machines[from].links.get(&to) == Some(&(dial, life)) {
                    let (from, message) = (ip(from), decode::<HiveToHive>(&frame));
                    self.tell(to, Event::FromHive { from, message });
                }
            }
            Coming::Written { hive, life, write } => self.written(hive, life, write),
            Coming::Late { hive, life, record } => {
                let machine = &mut self.machines[hive];
                if machine.life == life && machine.hive.is_some() {
                    machine.disk.put(*record);
                }
            }
            Coming::Joined {
                forager,
                life,
                link,
                hive,
            } => self.joined(forager, life, link, hive),
            Coming::ToForager {
                forager,
                link,
                frame,
                sent,
            } => {
                if self.foragers[forager].link.is_some_and(|it| it.0 == link) {
                    let message = unpack(decode(&frame)).expect("a message");
                    self.reach(forager, Heard::Message(link, message, sent));
                }
            }
            Coming::FromForager {
                link,
                hive,
                message,
                ..
            } => {
                self.tell(hive, Event::FromForager { link, message });
            }
            Coming::VersionWritten {
                hive,
                link,
                version,
            } => self.tell(hive, Event::VersionWritten { link, version }),
            Coming::LinkLostAtForager { forager, link } => {
                self.reach(forager, Heard::Lost(link));
            }
            Coming::LinkLostAtHive { hive, link } => self.tell(hive, Event::ForagerLost { link }),
            Coming::Call {
                hive,
                ticket,
                command,
            } => {
                self.tell(hive, Event::Call { ticket, command });
                if std::mem::take(&mut self.machines[hive].busy) {
                    let life = self.machines[hive].life;
                    self.come(Coming::Stop { hive, life });
                }
            }
            Coming::NoCall { ticket } => self.no_call(ticket),
            Coming::Answer {
                hive,
                ticket,
                answer,
            } => self.answered(hive, ticket, &answer),
            Coming::Start { hive } => self.start(hive),
            Coming::StartForager { forager } => self.start_forager(forager),
            Coming::Mend { hive } => {
                self.machines[hive].condition = DiskCondition::Well;
                self.machines[hive].ill = self.now;
                self.print(&format!("hive {hive}'s disk is well"));
                if let Some((write, _)) = self.machines[hive].writing {
                    let life = self.machines[hive].life;
                    self.after(1, Coming::Written { hive, life, write });
                }
            }
            Coming::Thaw { hive, life } => self.thaw(hive, life),
            Coming::ThawForager { forager, life } => self.thaw_forager(forager, life),
            Coming::Join { ways } => self.join(&ways),
            Coming::Trouble(trouble) => self.trouble(trouble),
            Coming::Order {
                version,
                word,
                valid,
            } => self.order(version, word, valid),
            Coming::Again { version, body } => self.send_order(version, body, true, None, false),
            Coming::Drain {
                worker,
                heir,
                notice,
            } => self.drain(worker, heir, notice),
            Coming::Meet { hive, how } => self.meet(hive, how),
            Coming::Strike { trouble, hive } => self.strike(trouble, hive),
            Coming::Roll { left, trouble } => self.roll(left, trouble),
            Coming::Removed { hive } => self.machines[hive].in_use = false,
            Coming::Second { trouble, not } => self.second(trouble, not),
            Coming::CaughtUp { hive, life, since } => self.ask_caught_up(hive, life, since),
            Coming::Restart { hive } => {
                let wait = 300 + self.chance.below(700) as Millis;
                self.down(hive, false, false);
                self.after(wait, Coming::Start { hive });
            }
            Coming::RestartForager { forager } => self.restart_forager(forager),
            Coming::Stop { hive, life } => {
                if self.machines[hive].life == life {
                    self.ledger.unsettled = self.now;
                    self.after(GRACE, Coming::Kill { hive, life });
                    self.tell(hive, Event::Stop);
                }
            }
            Coming::Kill { hive, life } => {
                let machine = &self.machines[hive];
                if machine.life == life && machine.hive.is_some() {
                    self.come(Coming::Gone { hive });
                }
            }
            Coming::Gone { hive } => {
                self.down(hive, false, false);
                if self.machines[hive].leaves {
                    self.machines[hive].in_use = false;
                } else {
                    let wait = 300 + self.chance.below(700) as Millis;
                    self.after(wait, Coming::Start { hive });
                }
            }
            Coming::StartWorker { place } => self.start_worker(place),
        }
    }
}

fn heartbeat_address(body: &[u8]) -> Option<usize> {
    let text = std::str::from_utf8(body).ok()?;
    let from = text.find("10.0.0.")?;
    let digits = text[from + 7..].split(':').next()?;
    Some(digits.parse::<usize>().ok()? - 1)
}

pub(crate) fn decode<M: serde::de::DeserializeOwned>(frame: &[u8]) -> M {
    let mut frames = Frames::default();
    frames.buffer.extend_from_slice(frame);
    frames.read().expect("a frame").expect("a whole one")
}
