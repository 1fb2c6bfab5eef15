//! The world: clock, network, machines, and what operators and workers do.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::Ipv4Addr;

use bytes::Bytes;
use elderpond_consensus::Record;
use elderpond_control_wire::{Frames, FromForager, FromHive, Hello, HiveToHive, unpack};
use elderpond_forage::{Chance, Follow, Step};
use elderpond_hive::{Action, Answer, Command, Event, Hive, LinkId, Place, Ticket};
use elderpond_registry::{Change, State};

use crate::Millis;
use crate::judge::{ACKNOWLEDGE, CATCH_UP, CONTACT, DRAIN, Judge};
use crate::parts::{Bee, Disk, Heard, Machine, Mood, Order, Worker, configuration};
use crate::story::{Kind, Lie, Story, Trouble};

const BEAT: Millis = 1_500;
const ZONES: [&str; 3] = ["a", "b", "c"];
const WORKERS: usize = 6;
/// Packets that wait for a process which does not read them; further ones are lost.
const PACKETS: usize = 200;
/// Troubles that are not over by then are.
const CALM_FROM: Millis = 42_000;
const END: Millis = 60_000;

fn ip(hive: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, hive as u8 + 1)
}

fn at(node: Ipv4Addr) -> usize {
    usize::from(node.octets()[3]) - 1
}

/// A place in the network: machines first, then foragers.
type Spot = usize;
/// Whose spot this is: workers and operators are where nothing is cut.
const FORAGERS: Spot = 100;

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
        bee: usize,
        life: u64,
        link: LinkId,
        hive: usize,
    },
    ToBee {
        bee: usize,
        link: LinkId,
        frame: Bytes,
    },
    FromBee {
        bee: usize,
        link: LinkId,
        hive: usize,
        message: FromForager,
    },
    BeeLost {
        bee: usize,
        link: LinkId,
    },
    HiveLost {
        hive: usize,
        link: LinkId,
    },
    Call {
        hive: usize,
        ticket: Ticket,
        command: Command,
    },
    Answer {
        hive: usize,
        ticket: Ticket,
        answer: Answer,
    },
    Start {
        hive: usize,
    },
    StartBee {
        bee: usize,
    },
    Mend {
        hive: usize,
    },
    Thaw {
        hive: usize,
        life: u64,
    },
    ThawBee {
        bee: usize,
        life: u64,
    },
    Join {
        spots: Vec<(Spot, Spot)>,
    },
    Trouble(Trouble),
    Order {
        version: u64,
        word: u64,
        valid: bool,
    },
    Drain {
        worker: usize,
        heir: bool,
    },
    Stop {
        hive: usize,
    },
    Gone {
        hive: usize,
    },
    Hatch {
        place: usize,
    },
}

enum Caller {
    Worker(usize),
    Order(usize),
    Read(u64),
}

/// What a day came to.
#[derive(Clone, Copy, Debug, Default)]
pub struct Summary {
    /// Configurations acknowledged.
    pub acknowledged: u64,
    /// Departures acknowledged.
    pub let_go: u64,
    /// Read back.
    pub reads: u64,
    /// Disks lost.
    pub wiped: u64,
    /// Events that were played.
    pub events: u64,
}

struct World {
    now: Millis,
    story: Story,
    chance: Chance,
    coming: BTreeMap<(Millis, u64), Coming>,
    count: u64,
    machines: Vec<Machine>,
    bees: Vec<Bee>,
    workers: Vec<Worker>,
    orders: Vec<Order>,
    callers: BTreeMap<Ticket, Caller>,
    cuts: BTreeMap<(Spot, Spot), u32>,
    /// What a cut holds up.
    held: Vec<Coming>,
    last: BTreeMap<(Spot, Spot, u64), Millis>,
    armed: Vec<(Kind, usize, Millis)>,
    judge: Judge,
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
    while world.now < END && world.judge.fault.is_none() {
        world.step();
    }
    world.close();
    match world.judge.fault {
        Some(fault) => Err(fault),
        None => Ok(world.summary),
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
            bees: Vec::new(),
            workers: Vec::new(),
            orders: Vec::new(),
            callers: BTreeMap::new(),
            cuts: BTreeMap::new(),
            held: Vec::new(),
            last: BTreeMap::new(),
            armed: Vec::new(),
            judge: Judge::default(),
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
                mood: Mood::Well,
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
            });
            if hive < hives {
                let at = world.chance.below(400) as Millis;
                world.at(at, Coming::Start { hive });
            }
        }
        for bee in 0..foragers {
            let seeds: Vec<Ipv4Addr> = (0..3).map(ip).collect();
            world.bees.push(Bee {
                up: false,
                life: 0,
                follow: Follow::new(ZONES[bee % 3], &seeds),
                chance: Chance::new(world.story.seed ^ (bee as u64) << 32),
                table: Default::default(),
                version: 0,
                link: None,
                report_at: 0,
                ill: 0,
                frozen: None,
            });
            let at = world.chance.below(400) as Millis;
            world.at(at, Coming::StartBee { bee });
        }
        for place in 0..WORKERS {
            world.hatch(place);
        }
        let mut at = 2_000;
        while at < CALM_FROM - 2_000 {
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

    /// In order on one connection.
    fn stream(&mut self, from: Spot, to: Spot, line: u64, coming: Coming) {
        let soonest = self.now + self.latency();
        let last = self.last.entry((from, to, line)).or_default();
        *last = soonest.max(*last);
        let at = *last;
        self.at(at, coming);
    }

    fn cut(&self, from: Spot, to: Spot) -> bool {
        self.cuts.contains_key(&(from, to))
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
            (0..self.bees.len()).for_each(|bee| self.fly(bee));
            (0..self.workers.len()).for_each(|worker| self.work(worker));
            (0..self.orders.len()).for_each(|order| self.operate(order));
        }
        if self.now.is_multiple_of(50) {
            self.look();
        }
        if self.now == CALM_FROM {
            self.calm = true;
            self.armed.clear();
        }
        if self.now.is_multiple_of(1_700) && self.now > 4_000 {
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
            Coming::Joined { bee, hive, .. } => {
                self.cut(FORAGERS + bee, *hive) || self.cut(*hive, FORAGERS + bee)
            }
            Coming::FromBee { bee, hive, .. } => self.cut(FORAGERS + bee, *hive),
            Coming::HiveLost { .. } | Coming::BeeLost { .. } => false,
            Coming::ToBee { bee, link, .. } => {
                let here = self.bees[*bee].link.filter(|it| it.0 == *link);
                here.is_some_and(|(_, hive)| self.cut(hive, FORAGERS + bee))
            }
            Coming::Call { hive, .. } | Coming::Answer { hive, .. } => {
                if self.cut(*hive, *hive) {
                    return;
                }
                false
            }
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
                bee,
                life,
                link,
                hive,
            } => self.joined(bee, life, link, hive),
            Coming::ToBee { bee, link, frame } => {
                if self.bees[bee].link.is_some_and(|it| it.0 == link) {
                    let message = unpack(decode(&frame)).expect("a message");
                    self.reach(bee, Heard::Message(message));
                }
            }
            Coming::FromBee {
                link,
                hive,
                message,
                ..
            } => {
                self.tell(hive, Event::FromForager { link, message });
            }
            Coming::BeeLost { bee, link } => {
                self.reach(bee, Heard::Lost(link));
            }
            Coming::HiveLost { hive, link } => self.tell(hive, Event::ForagerLost { link }),
            Coming::Call {
                hive,
                ticket,
                command,
            } => {
                self.tell(hive, Event::Call { ticket, command });
            }
            Coming::Answer {
                hive,
                ticket,
                answer,
            } => self.answered(hive, ticket, &answer),
            Coming::Start { hive } => self.start(hive),
            Coming::StartBee { bee } => self.start_bee(bee),
            Coming::Mend { hive } => {
                self.machines[hive].mood = Mood::Well;
                self.machines[hive].ill = self.now;
                self.print(&format!("hive {hive}'s disk is well"));
                if let Some((write, _)) = self.machines[hive].writing {
                    let life = self.machines[hive].life;
                    self.after(1, Coming::Written { hive, life, write });
                }
            }
            Coming::Thaw { hive, life } => self.thaw(hive, life),
            Coming::ThawBee { bee, life } => self.thaw_bee(bee, life),
            Coming::Join { spots } => self.join(&spots),
            Coming::Trouble(trouble) => self.trouble(trouble),
            Coming::Order {
                version,
                word,
                valid,
            } => self.order(version, word, valid),
            Coming::Drain { worker, heir } => {
                let it = &mut self.workers[worker];
                if it.state == State::Ready {
                    (it.state, it.heir, it.beat_at, it.waits) =
                        (State::Draining, heir, self.now, None);
                }
            }
            Coming::Stop { hive } => {
                self.judge.unsettled = self.now;
                self.tell(hive, Event::Stop);
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
            Coming::Hatch { place } => self.hatch(place),
        }
    }

    // ---- Hives ----

    fn start(&mut self, hive: usize) {
        let machine = &mut self.machines[hive];
        if machine.hive.is_some() || !machine.in_use {
            return;
        }
        machine.life += 1;
        machine.writing = None;
        machine.frozen = None;
        let place = Place {
            me: ip(hive),
            name: format!("hive-{hive}"),
            zone: ZONES[hive % 3].into(),
            control_port: 8544,
            seeds: machine.seeds.clone(),
            first_start: std::mem::take(&mut machine.first),
            losses: self.story.hives / 2,
            beat: BEAT,
            reuse: 2_000,
            grace: 6_000,
            incarnation: machine.clock + self.now,
            random: self.story.seed ^ (hive as u64) << 8 ^ machine.life << 16,
        };
        let mut out = Vec::new();
        let stored = machine.disk.stored();
        machine.hive = Some(Hive::new(self.now, place, stored, &mut out));
        machine.ill = self.now;
        machine.lost_until = self.now + if self.now < 1_000 { 0 } else { CATCH_UP };
        self.judge.unsettled = self.now;
        self.print(&format!("hive {hive} starts"));
        self.carry_out(hive, out);
    }

    /// The process ends; without power, what was not synced is lost too.
    fn down(&mut self, hive: usize, power: bool, wiped: bool) {
        let machine = &mut self.machines[hive];
        if machine.hive.is_none() && !wiped {
            return;
        }
        let how = [("killed", "without power"), ("wiped", "wiped")][usize::from(wiped)];
        let how = if power { how.1 } else { how.0 };
        machine.hive = None;
        machine.links.clear();
        machine.dials.clear();
        if let Some((_, record)) = machine.writing.take()
            && !power
            && self.chance.below(2) == 0
        {
            machine.disk.put(*record);
        }
        if wiped {
            self.summary.wiped += 1;
            machine.disk = Disk::default();
        }
        machine.ill = self.now;
        machine.lost_until = Millis::MAX;
        self.judge.unsettled = self.now;
        self.print(&format!("hive {hive} is {how}"));
        if power {
            return;
        }
        for bee in 0..self.bees.len() {
            if let Some((link, _)) = self.bees[bee].link.filter(|it| it.1 == hive) {
                self.after(2, Coming::BeeLost { bee, link });
            }
        }
    }

    fn tell(&mut self, hive: usize, event: Event) {
        let machine = &mut self.machines[hive];
        if let Some(waits) = machine.frozen.as_mut().filter(|_| machine.hive.is_some()) {
            let room = match event {
                Event::Tick => false,
                Event::Packet { .. } => waits.len() < PACKETS,
                _ => true,
            };
            if room {
                waits.push_back(event);
            }
            return;
        }
        if let Some(it) = &mut machine.hive {
            let mut out = Vec::new();
            it.handle(self.now, event, &mut out);
            self.carry_out(hive, out);
        }
    }

    fn carry_out(&mut self, hive: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Answer { ticket, answer } => {
                    let wait = self.latency();
                    self.after(
                        wait,
                        Coming::Answer {
                            hive,
                            ticket,
                            answer,
                        },
                    );
                }
                Action::Packet { to, datagram } => {
                    if at(to) < self.machines.len() && self.chance.below(500) > 0 {
                        let (from, to, wait) = (hive, at(to), self.latency());
                        self.after(wait, Coming::Packet { from, to, datagram });
                    }
                }
                Action::Dial(node) => {
                    self.count += 1;
                    let (to, dial) = (at(node), self.count);
                    self.machines[hive].links.remove(&to);
                    self.machines[hive].dials.insert(to, dial);
                    self.after(
                        2,
                        Coming::Linked {
                            from: hive,
                            to,
                            dial,
                        },
                    );
                }
                Action::Hang(node) => {
                    self.machines[hive].links.remove(&at(node));
                    self.machines[hive].dials.remove(&at(node));
                }
                Action::ToHive { to, frame } => {
                    let (from, to) = (hive, at(to));
                    let link = self.machines[hive].links.get(&to).copied();
                    if let Some((dial, life)) = link {
                        if self.machines[to].life != life || self.machines[to].hive.is_none() {
                            // The other end says so, or somebody does once it is there again.
                            self.machines[hive].links.remove(&to);
                            self.after(100, Coming::Linked { from, to, dial });
                        } else {
                            self.stream(
                                from,
                                to,
                                dial,
                                Coming::Frame {
                                    from,
                                    to,
                                    dial,
                                    frame,
                                },
                            );
                        }
                    }
                }
                Action::ToForager { link, frame } => {
                    let bee = self
                        .bees
                        .iter()
                        .position(|it| it.link.is_some_and(|l| l.0 == link));
                    if let Some(bee) = bee {
                        let coming = Coming::ToBee { bee, link, frame };
                        self.stream(hive, FORAGERS + bee, link, coming);
                    }
                }
                Action::CloseLink { link } => {
                    let bee = self
                        .bees
                        .iter()
                        .position(|it| it.link.is_some_and(|l| l.0 == link));
                    if let Some(bee) = bee.filter(|bee| !self.cut(hive, FORAGERS + bee)) {
                        self.stream(hive, FORAGERS + bee, link, Coming::BeeLost { bee, link });
                    }
                }
                Action::Write { write, record } => {
                    let machine = &mut self.machines[hive];
                    machine.writing = Some((write, record));
                    let wait = match machine.mood {
                        Mood::Well | Mood::Full => 1,
                        Mood::Slow(times) => times / 2,
                        Mood::Stalled => continue,
                    };
                    let life = machine.life;
                    self.after(wait, Coming::Written { hive, life, write });
                }
                Action::Probe { worker, .. } => {
                    let (ok, took_ms, load) = (true, 20.0, None);
                    self.tell(
                        hive,
                        Event::Probed {
                            worker,
                            ok,
                            took_ms,
                            load,
                        },
                    );
                }
                Action::Log(text) => self.print(&format!("hive {hive}: {text}")),
                Action::Stopped => {
                    self.after(1, Coming::Gone { hive });
                }
            }
        }
    }

    fn linked(&mut self, from: usize, to: usize, dial: u64) {
        if self.machines[from].hive.is_none() || self.machines[from].dials.get(&to) != Some(&dial) {
            return;
        }
        if self.machines[to].hive.is_none() {
            self.after(100, Coming::Linked { from, to, dial });
            return;
        }
        let life = self.machines[to].life;
        self.machines[from].links.insert(to, (dial, life));
        self.tell(from, Event::HiveLinked(ip(to)));
    }

    fn written(&mut self, hive: usize, life: u64, write: u64) {
        let machine = &mut self.machines[hive];
        let stalled = machine.mood == Mood::Stalled;
        if machine.frozen.is_some() && machine.life == life {
            // The thread that writes stands still as well.
            let coming = Coming::Written { hive, life, write };
            self.after(50, coming);
            return;
        }
        if machine.life != life || machine.hive.is_none() || stalled {
            return;
        }
        let Some((_, record)) = machine.writing.take_if(|it| it.0 == write) else {
            return;
        };
        let ok = machine.mood != Mood::Full;
        if ok && self.story.lie == Some(Lie::DurableTooSoon) {
            self.after(200, Coming::Late { hive, life, record });
        } else if ok {
            machine.disk.put(*record);
        }
        self.tell(hive, Event::Written { write, ok });
    }

    // ---- Foragers ----

    fn start_bee(&mut self, bee: usize) {
        let seeds: Vec<Ipv4Addr> = self.seeds().into_iter().map(ip).collect();
        let it = &mut self.bees[bee];
        if it.up {
            return;
        }
        it.life += 1;
        (it.up, it.table, it.version, it.link) = (true, Default::default(), 0, None);
        it.frozen = None;
        it.follow = Follow::new(ZONES[bee % 3], &seeds);
        it.ill = self.now;
    }

    fn fly(&mut self, bee: usize) {
        let now = self.now;
        let it = &mut self.bees[bee];
        if !it.up || it.frozen.is_some() {
            return;
        }
        if let Some((link, hive)) = it.link
            && now >= it.report_at
        {
            it.report_at = now + 1_000;
            let (covers_ms, lines, misplaced) = (1_000, Vec::new(), Vec::new());
            let message = FromForager::Report {
                covers_ms,
                lines,
                misplaced,
            };
            let coming = Coming::FromBee {
                bee,
                link,
                hive,
                message,
            };
            self.stream(FORAGERS + bee, hive, link, coming);
        }
        let it = &mut self.bees[bee];
        if it.follow.due() > now && it.follow.node().is_some() {
            return;
        }
        let Step::Dial(node) = it.follow.step(now, &mut it.chance) else {
            return;
        };
        if it.link.is_some() {
            self.leave(bee);
            return;
        }
        self.count += 1;
        let (link, life, hive) = (self.count, self.bees[bee].life, at(node));
        if !self.cut(FORAGERS + bee, hive) && !self.cut(hive, FORAGERS + bee) {
            self.after(
                4,
                Coming::Joined {
                    bee,
                    life,
                    link,
                    hive,
                },
            );
        }
    }

    /// The link ends, from this side or the other.
    fn leave(&mut self, bee: usize) {
        let it = &mut self.bees[bee];
        it.follow.lost(self.now, &mut it.chance);
        if let Some((link, hive)) = it.link.take() {
            self.after(2, Coming::HiveLost { hive, link });
        }
    }

    fn joined(&mut self, bee: usize, life: u64, link: LinkId, hive: usize) {
        let it = &mut self.bees[bee];
        if !it.up || it.life != life || it.link.is_some() || it.follow.node() != Some(ip(hive)) {
            return;
        }
        if self.machines[hive].hive.is_none() {
            // Without power there is no answer, and the dial runs out.
            it.follow.lost(self.now, &mut it.chance);
            return;
        }
        it.follow.joined(self.now, ip(hive));
        it.link = Some((link, hive));
        it.report_at = self.now + 1_000;
        let version = it.version;
        let hello = Hello {
            node: Ipv4Addr::new(10, 0, 1, bee as u8),
            zone: ZONES[bee % 3].into(),
            life,
            version,
            departed: it.table.departed(256),
        };
        self.print(&format!("forager {bee} with {version} follows hive {hive}"));
        self.tell(hive, Event::ForagerJoined { link, hello });
    }

    /// Something reaches a forager, which may stand still.
    fn reach(&mut self, bee: usize, heard: Heard) {
        let it = &mut self.bees[bee];
        if let Some(waits) = &mut it.frozen {
            waits.push_back(heard);
            return;
        }
        match heard {
            Heard::Message(message) => self.hear(bee, message),
            Heard::Lost(link) if it.link.is_some_and(|it| it.0 == link) => self.leave(bee),
            Heard::Lost(_) => {}
        }
    }

    fn hear(&mut self, bee: usize, message: FromHive) {
        let now = self.now;
        let it = &mut self.bees[bee];
        it.follow.heard(now);
        let lie = self.story.lie;
        match message {
            FromHive::Version { version, .. }
                if lie == Some(Lie::DeafToVersions) && version.is_multiple_of(2) => {}
            FromHive::Version { version, body } => {
                if version > it.version {
                    it.version = version;
                    let from = it.link.map_or(0, |it| it.1);
                    self.print(&format!("forager {bee} has {version} from hive {from}"));
                    self.judge.seen(now, version, &body, "a forager");
                }
            }
            FromHive::Whole { settled, table } => it.table.replace(settled, &table),
            FromHive::Change(change) if lie == Some(Lie::DeafToDepartures) => {
                it.table.apply(&Change {
                    departed: Vec::new(),
                    ..change
                });
            }
            FromHive::Change(change) => it.table.apply(&change),
            FromHive::Pulse(pulse) => it.follow.pulse(now, pulse.majority, &pulse.hives),
            FromHive::Packed(_) => unreachable!("unpacked before"),
        }
    }

    // ---- Workers ----

    fn hatch(&mut self, place: usize) {
        self.count += 1;
        let hives = self.in_use();
        let hive = hives[self.chance.below(hives.len())];
        self.workers.push(Worker {
            id: format!("w{place}-{}", self.count),
            place,
            state: State::Ready,
            sequence: 0,
            hive,
            beat_at: self.now + self.chance.below(BEAT as usize) as Millis,
            waits: None,
            let_go: None,
            heir: false,
        });
    }

    fn work(&mut self, worker: usize) {
        let hives = self.in_use();
        let (now, pick) = (self.now, hives[self.chance.below(hives.len())]);
        let it = &mut self.workers[worker];
        if let Some((_, since)) = it.waits {
            if now < since + 1_000 {
                return;
            }
            (it.waits, it.hive, it.beat_at) = (None, pick, now);
        }
        let over = it.let_go.is_some_and(|(at, _)| now >= at + DRAIN + 500);
        if it.state == State::Draining && over {
            it.state = State::Gone;
            it.beat_at = now;
            if it.heir {
                let place = it.place;
                self.after(100, Coming::Hatch { place });
            }
        }
        let it = &mut self.workers[worker];
        if now < it.beat_at {
            return;
        }
        it.sequence += 1;
        let command = if it.state == State::Gone {
            Command::Leave { id: it.id.clone() }
        } else {
            let state = if it.state == State::Ready {
                "ready"
            } else {
                "draining"
            };
            let (place, sequence, zone) = (it.place + 1, it.sequence, ZONES[it.place % 3]);
            let port = it.sequence.min(1) + it.number().0 % 20_000 + 1_024;
            let body = format!(
                r#"{{"address":"10.9.0.{place}:{port}","information":{{"service":"s","zone":"{zone}",
                "slots":4}},"status":{{"state":"{state}","call-sequence":{sequence}}}}}"#
            );
            Command::beat(&it.id, body.as_bytes()).expect("a beat")
        };
        it.beat_at = if it.state == State::Gone {
            Millis::MAX
        } else {
            now + BEAT
        };
        let hive = it.hive;
        let ticket = self.call(hive, Caller::Worker(worker), command);
        self.workers[worker].waits = Some((ticket, now));
    }

    // ---- Operators ----

    fn order(&mut self, version: u64, word: u64, valid: bool) {
        let body = configuration(version, word, valid);
        if valid {
            self.judge
                .sent
                .entry(version)
                .or_default()
                .push(body.clone());
        }
        let hives = self.in_use();
        let hive = hives[self.chance.below(hives.len())];
        let (since, next) = (self.now, self.now);
        let (ticket, ended) = (None, false);
        self.orders.push(Order {
            version,
            body,
            valid,
            since,
            hive,
            next,
            ticket,
            ended,
        });
    }

    fn operate(&mut self, order: usize) {
        let hives = self.in_use();
        let now = self.now;
        if self.orders[order].ended || now < self.orders[order].next {
            return;
        }
        let it = &mut self.orders[order];
        it.next = now + 1_500;
        if it.ticket.is_some() {
            it.hive = hives[self.chance.below(hives.len())];
        }
        let (hive, body, valid) = (it.hive, it.body.clone(), it.valid);
        match Command::replace(body) {
            Ok(_) if !valid => self
                .judge
                .say(now, "an invalid configuration is taken".into()),
            Ok(command) => {
                let ticket = self.call(hive, Caller::Order(order), command);
                self.orders[order].ticket = Some(ticket);
            }
            Err(_) => self.orders[order].ended = true,
        }
    }

    fn ask_back(&mut self) {
        let hives = self.in_use();
        let hive = hives[self.chance.below(hives.len())];
        let least = self.judge.acknowledged.0;
        self.call(hive, Caller::Read(least), Command::Read);
    }

    fn call(&mut self, hive: usize, caller: Caller, command: Command) -> Ticket {
        self.count += 1;
        let (ticket, wait) = (self.count, self.latency());
        self.callers.insert(ticket, caller);
        self.after(
            wait,
            Coming::Call {
                hive,
                ticket,
                command,
            },
        );
        ticket
    }

    fn answered(&mut self, hive: usize, ticket: Ticket, answer: &Answer) {
        let (now, status) = (self.now, answer.status());
        match self.callers.remove(&ticket) {
            Some(Caller::Worker(worker)) => {
                let touch = now >= self.machines[hive].ill + CONTACT && self.judge.settled(now);
                let hives = self.in_use();
                let pick = hives[self.chance.below(hives.len())];
                let it = &mut self.workers[worker];
                if it.waits.is_none_or(|(waits, _)| waits != ticket) {
                    return;
                }
                it.waits = None;
                if status != 200 {
                    (it.hive, it.beat_at) = (pick, now + 200);
                } else if it.state == State::Draining && it.let_go.is_none() {
                    it.let_go = Some((now, touch));
                    self.summary.let_go += 1;
                } else if let Some(hive) = heartbeat_address(&answer.body) {
                    it.hive = hive;
                }
            }
            Some(Caller::Order(order)) => {
                let it = &mut self.orders[order];
                if it.ended {
                    return;
                }
                match status {
                    200 => {
                        it.ended = true;
                        let (version, body) = (it.version, it.body.clone());
                        self.summary.acknowledged += 1;
                        self.print(&format!("hive {hive} acknowledges {version}"));
                        self.judge.taken(now, version, &body);
                        self.just_acknowledged(hive);
                    }
                    409 => it.ended = true,
                    _ => it.next = now + 200,
                }
            }
            Some(Caller::Read(least)) => match status {
                200 => {
                    self.summary.reads += 1;
                    self.judge.read(now, least, Some(&answer.body));
                }
                404 => self.judge.read(now, least, None),
                _ => {}
            },
            None => {}
        }
    }

    // ---- Troubles ----

    fn in_use(&self) -> Vec<usize> {
        (0..self.machines.len())
            .filter(|it| self.machines[*it].in_use)
            .collect()
    }

    fn seeds(&self) -> Vec<usize> {
        self.in_use().into_iter().take(3).collect()
    }

    /// Whether this one may be lost now; for a disk to be lost the others' have to work.
    fn may_lose(&self, hive: usize, wiped: bool) -> bool {
        let now = self.now;
        let lost = |it: &usize| *it != hive && self.machines[*it].lost_until > now;
        let sick = |it: &usize| *it != hive && !self.machines[*it].mood.works();
        let hives = self.in_use();
        let lost = hives.iter().filter(|it| lost(it)).count();
        let sick = hives.iter().any(|it| wiped && sick(it));
        lost < self.story.hives / 2 && !sick
    }

    fn trouble(&mut self, trouble: Trouble) {
        let Trouble {
            kind, span, target, ..
        } = trouble;
        let hives = self.in_use();
        let hive = hives[target % hives.len()];
        let bee = target % self.bees.len();
        let wait = 300 + self.chance.below(700) as Millis;
        let loses = matches!(
            kind,
            Kind::CoreCut
                | Kind::OneWay
                | Kind::HiveCut
                | Kind::HiveKill
                | Kind::HiveTerm
                | Kind::HiveFreeze
                | Kind::ClockStep
                | Kind::SeedTurnover
        );
        if self.calm {
            return;
        }
        self.print(&format!(
            "{kind:?} at hive {hive} or forager {bee} for {span} ms"
        ));
        if loses && !self.may_lose(hive, false) {
            self.after(500, Coming::Trouble(trouble));
            return;
        }
        match kind {
            Kind::AfterAckKill
            | Kind::AfterAckWipe
            | Kind::CloseKill
            | Kind::ClosePower
            | Kind::CloseWipe => self.armed.push((kind, hive, self.now)),
            Kind::DiskFull | Kind::DiskSlow | Kind::DiskStall => {
                let times = 30 + self.chance.below(170) as Millis;
                self.machines[hive].mood = match kind {
                    Kind::DiskFull => Mood::Full,
                    Kind::DiskSlow => Mood::Slow(times),
                    _ => Mood::Stalled,
                };
                self.after(span.min(6_000), Coming::Mend { hive });
            }
            Kind::CoreCut | Kind::OneWay => {
                let others = hives.iter().copied().filter(|it| *it != hive);
                let mut spots: Vec<(Spot, Spot)> = others.clone().map(|it| (hive, it)).collect();
                if kind == Kind::CoreCut {
                    spots.extend(others.map(|it| (it, hive)));
                }
                self.cut_all(spots, span, Some(hive));
            }
            Kind::HiveCut => {
                let bees = (0..self.bees.len()).map(|it| FORAGERS + it);
                let others = (0..self.machines.len())
                    .filter(|it| *it != hive)
                    .chain(bees);
                let mut spots: Vec<(Spot, Spot)> =
                    others.flat_map(|it| [(hive, it), (it, hive)]).collect();
                spots.push((hive, hive)); // from workers and operators
                self.cut_all(spots, span, Some(hive));
            }
            Kind::ForagerCut => {
                let me = FORAGERS + bee;
                let others = 0..self.machines.len();
                let spots = others.flat_map(|it| [(me, it), (it, me)]).collect();
                self.cut_all(spots, span, None);
            }
            Kind::HiveKill => {
                self.down(hive, false, false);
                self.after(wait, Coming::Start { hive });
            }
            Kind::HiveFreeze => {
                let machine = &mut self.machines[hive];
                if machine.hive.is_some() && machine.frozen.is_none() {
                    machine.frozen = Some(VecDeque::new());
                    machine.lost_until = Millis::MAX;
                    self.judge.unsettled = self.now;
                    let life = machine.life;
                    self.after(span, Coming::Thaw { hive, life });
                }
            }
            Kind::ForagerFreeze => {
                let it = &mut self.bees[bee];
                if it.up && it.frozen.is_none() {
                    (it.frozen, it.ill) = (Some(VecDeque::new()), self.now);
                    let life = it.life;
                    self.after(span, Coming::ThawBee { bee, life });
                }
            }
            Kind::ClockStep => {
                // An hour at most, to either side.
                let step = self.chance.below(2_000) * 1_800;
                self.machines[hive].clock = 4_000_000 + step as Millis;
                self.down(hive, false, false);
                self.after(wait, Coming::Start { hive });
            }
            Kind::HiveTerm => {
                self.machines[hive].lost_until = Millis::MAX;
                self.after(0, Coming::Stop { hive });
            }
            Kind::ForagerKill => {
                let it = &mut self.bees[bee];
                (it.up, it.ill) = (false, self.now);
                if let Some((link, hive)) = it.link.take() {
                    self.after(2, Coming::HiveLost { hive, link });
                }
                self.after(wait, Coming::StartBee { bee });
            }
            Kind::HerdKill | Kind::HerdPower => self.herd(kind == Kind::HerdPower),
            Kind::SeedTurnover => self.turn_over(trouble, hive),
            Kind::Storm => {
                for nth in 0..8 {
                    self.order_at(self.now + nth * (50 + span / 40));
                }
            }
            Kind::Race => {
                self.version += 2;
                let version = self.version;
                for (version, word) in [(version, 1), (version, 2), (version - 1, 3)] {
                    let wait = self.chance.below(30) as Millis;
                    self.after(
                        wait,
                        Coming::Order {
                            version,
                            word,
                            valid: true,
                        },
                    );
                }
            }
            Kind::Bad => {
                for nth in 0..3 {
                    let (version, word) = (self.version + 100 + nth, 0);
                    self.after(
                        nth * 300,
                        Coming::Order {
                            version,
                            word,
                            valid: false,
                        },
                    );
                }
            }
            Kind::Old => {
                let (version, word) = (self.version.saturating_sub(1).max(1), 77);
                self.order(version, word, true);
            }
            Kind::Release | Kind::ScaleIn => {
                let ready = |it: &usize| self.workers[*it].state == State::Ready;
                let ready: Vec<usize> = (0..self.workers.len()).filter(ready).collect();
                let heir = kind == Kind::Release;
                let most = if heir { ready.len() } else { ready.len() / 2 };
                for (nth, worker) in ready.into_iter().take(most).enumerate() {
                    let wait = nth as Millis * (200 + span / 8);
                    self.after(wait, Coming::Drain { worker, heir });
                }
            }
        }
    }

    /// It goes on where it stood: the clock first, then what has waited.
    fn thaw(&mut self, hive: usize, life: u64) {
        let machine = &mut self.machines[hive];
        if machine.life != life || machine.hive.is_none() {
            return;
        }
        let waits = machine.frozen.take().unwrap_or_default();
        (machine.ill, machine.lost_until) = (self.now, self.now + CATCH_UP);
        self.judge.unsettled = self.now;
        self.print(&format!(
            "hive {hive} goes on, {} events waited",
            waits.len()
        ));
        self.tell(hive, Event::Tick);
        for event in waits {
            self.tell(hive, event);
        }
    }

    fn thaw_bee(&mut self, bee: usize, life: u64) {
        let it = &mut self.bees[bee];
        if it.life != life || !it.up {
            return;
        }
        it.ill = self.now;
        for heard in it.frozen.take().unwrap_or_default() {
            self.reach(bee, heard);
        }
    }

    fn turn_over(&mut self, trouble: Trouble, hive: usize) {
        let fresh = (0..self.machines.len()).find(|it| self.machines[*it].life == 0);
        let Some(fresh) = fresh else { return };
        // The new one comes, is told where others are, and then the old one goes.
        self.machines[fresh].in_use = true;
        self.machines[fresh].seeds = self.seeds().into_iter().map(ip).collect();
        self.start(fresh);
        let seeds: Vec<Ipv4Addr> = self
            .in_use()
            .into_iter()
            .filter(|it| *it != hive)
            .take(3)
            .map(ip)
            .collect();
        for it in self.in_use() {
            self.machines[it].seeds = seeds.clone();
            if it != fresh {
                self.tell(it, Event::Seeds(seeds.clone()));
            }
        }
        for bee in &mut self.bees {
            bee.follow.seeds(&seeds);
        }
        self.machines[hive].leaves = true;
        let next = Trouble {
            kind: Kind::SeedTurnover,
            target: trouble.target,
            ..trouble
        };
        self.after(4_000, Coming::Stop { hive });
        if self.machines.iter().any(|it| it.life == 0) {
            self.after(9_500, Coming::Trouble(next));
        }
    }

    fn herd(&mut self, power: bool) {
        for hive in self.in_use() {
            let wait = 300 + self.chance.below(700) as Millis;
            self.down(hive, power, false);
            self.after(wait, Coming::Start { hive });
        }
    }

    fn just_acknowledged(&mut self, hive: usize) {
        let armed = std::mem::take(&mut self.armed);
        for (kind, target, since) in armed {
            let wiped = kind == Kind::AfterAckWipe;
            let wait = 300 + self.chance.below(2_700) as Millis;
            match kind {
                Kind::AfterAckKill | Kind::AfterAckWipe if self.may_lose(hive, wiped) => {
                    self.down(hive, true, wiped);
                    self.after(wait, Coming::Start { hive });
                }
                Kind::CloseKill => self.herd(false),
                Kind::ClosePower => self.herd(true),
                Kind::CloseWipe if self.close_wipe(target) => {}
                _ => self.armed.push((kind, target, since)),
            }
        }
    }

    fn close_wipe(&mut self, target: usize) -> bool {
        let hives = self.in_use();
        let whole = |it: &usize| {
            let machine = &self.machines[*it];
            machine.lost_until <= self.now && machine.mood.works()
        };
        if hives.len() != self.story.hives || !hives.iter().all(whole) {
            return false;
        }
        for nth in 0..hives.len() {
            let hive = hives[(target + nth) % hives.len()];
            self.down(hive, true, nth < self.story.hives / 2);
            let wait = 300 + self.chance.below(700) as Millis;
            self.after(wait, Coming::Start { hive });
        }
        true
    }

    fn cut_all(&mut self, spots: Vec<(Spot, Spot)>, span: Millis, hive: Option<usize>) {
        for spot in &spots {
            *self.cuts.entry(*spot).or_default() += 1;
        }
        if let Some(hive) = hive {
            self.machines[hive].lost_until = Millis::MAX;
            self.judge.unsettled = self.now;
        }
        self.after(span, Coming::Join { spots });
    }

    fn join(&mut self, spots: &[(Spot, Spot)]) {
        let mut hives = BTreeSet::new();
        for spot in spots {
            if let Some(count) = self.cuts.get_mut(spot) {
                *count -= 1;
                if *count == 0 {
                    self.cuts.remove(spot);
                }
            }
            hives.extend([spot.0, spot.1].into_iter().filter(|it| *it < FORAGERS));
        }
        let core = spots
            .iter()
            .any(|(from, to)| *from < FORAGERS && *to < FORAGERS);
        for hive in hives {
            let machine = &mut self.machines[hive];
            if machine.lost_until == Millis::MAX && machine.hive.is_some() && core {
                machine.lost_until = self.now + CATCH_UP;
            }
        }
        if core {
            self.judge.unsettled = self.now;
        }
        for coming in std::mem::take(&mut self.held) {
            self.after(1, coming);
        }
    }

    // ---- Judging ----

    /// The machines that run and reach more than half of the core both ways.
    fn together(&self) -> Vec<usize> {
        let hives = self.in_use();
        let runs =
            |it: &usize| self.machines[*it].hive.is_some() && self.machines[*it].frozen.is_none();
        let running: Vec<usize> = hives.iter().copied().filter(runs).collect();
        let reaches = |hive: &usize| {
            let reached = running
                .iter()
                .filter(|it| *it == hive || !(self.cut(*hive, **it) || self.cut(**it, *hive)));
            reached.count() > hives.len() / 2
        };
        running.iter().copied().filter(reaches).collect()
    }

    fn look(&mut self) {
        let now = self.now;
        let together = self.together();
        if together.len() <= self.in_use().len() / 2 {
            (self.judge.unsettled, self.judge.scattered) = (now, now);
        }
        let moody = |it: &Machine| it.mood != Mood::Well || it.frozen.is_some();
        let moody = self.machines.iter().any(moody);
        if moody || !self.cuts.is_empty() || now < self.judge.unsettled + 100 {
            self.judge.harmed = now;
        }
        for hive in 0..self.machines.len() {
            let cut = self
                .cuts
                .keys()
                .any(|spot| spot.0 == hive || spot.1 == hive);
            let machine = &self.machines[hive];
            let stands = machine.hive.is_none() || machine.frozen.is_some();
            if stands || machine.mood != Mood::Well || cut {
                self.machines[hive].ill = now;
            }
        }
        let gone: Vec<_> = (self.workers.iter())
            .filter(|it| {
                it.let_go
                    .is_some_and(|(at, touch)| touch && now > at + DRAIN)
            })
            .map(|it| (it.id.clone(), it.number()))
            .collect();
        for bee in 0..self.bees.len() {
            let me = FORAGERS + bee;
            let apart = together
                .iter()
                .any(|it| self.cut(me, *it) || self.cut(*it, me));
            if apart || !self.bees[bee].up || self.bees[bee].frozen.is_some() {
                self.bees[bee].ill = now;
            }
            let it = &self.bees[bee];
            let due = self.judge.due(now, it.ill);
            if it.version < due {
                let fault = format!(
                    "forager {bee} has version {} where {due} is due",
                    it.version
                );
                self.judge.say(now, fault);
            }
            if now >= it.ill + CONTACT && self.judge.settled(now) {
                let listed = gone
                    .iter()
                    .find(|(_, number)| it.table.line(*number).is_some());
                if let Some((id, _)) = listed {
                    let fault = format!("forager {bee} still lists {id}, which was let go");
                    self.judge.say(now, fault);
                }
            }
        }
        let calm_since = self.judge.harmed.max(self.judge.unsettled) + CONTACT;
        let late = self
            .orders
            .iter()
            .find(|it| !it.ended && now > it.since + ACKNOWLEDGE && it.since >= calm_since);
        if let Some(order) = late {
            let fault = format!("version {} was not acknowledged in calm", order.version);
            self.judge.say(now, fault);
        }
    }

    /// After a calm end all agree, go on, and list just those workers that are there.
    fn close(&mut self) {
        if self.judge.fault.is_some() {
            return;
        }
        self.version += 1;
        let version = self.version;
        self.order(version, 0, true);
        for hive in self.in_use() {
            let least = self.judge.acknowledged.0;
            self.call(hive, Caller::Read(least), Command::Read);
        }
        let reads = self.summary.reads;
        let end = self.now + 3_000;
        while self.now < end && self.judge.fault.is_none() {
            self.now += 1;
            let now = self.now;
            while let Some(entry) = self.coming.first_entry()
                && entry.key().0 <= now
            {
                let coming = entry.remove();
                self.come(coming);
            }
            self.now -= 1;
            self.step();
        }
        let now = self.now;
        if self.summary.reads < reads + self.in_use().len() as u64 {
            self.judge
                .say(now, "not every hive could read in calm".into());
        }
        if self.judge.acknowledged.0 != version {
            self.judge
                .say(now, "the last version was not acknowledged".into());
        }
        for bee in 0..self.bees.len() {
            let it = &self.bees[bee];
            let mut listed: Vec<_> = it.table.lines().map(|(number, _)| *number).collect();
            let mut there: Vec<_> = (self.workers.iter())
                .filter(|it| it.state == State::Ready)
                .map(Worker::number)
                .collect();
            listed.sort_unstable();
            there.sort_unstable();
            let have = it.version;
            if listed != there {
                let fault = format!("forager {bee} lists {} of {}", listed.len(), there.len());
                self.judge.say(now, fault);
            }
            if have != version {
                self.judge.say(
                    now,
                    format!("forager {bee} ends with version {have} of {version}"),
                );
            }
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
