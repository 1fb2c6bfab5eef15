//! Stories of hives on a network that loses, delays and cuts.

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

use elderpond_membership::*;
use yare::parameterized;

struct Net {
    now: Millis,
    hives: BTreeMap<Ipv4Addr, Membership>,
    /// Packets under way, by when they arrive.
    way: BTreeMap<(Millis, u64), (Ipv4Addr, Ipv4Addr, Packet)>,
    cuts: BTreeSet<(Ipv4Addr, Ipv4Addr)>,
    lost_percent: u64,
    random: u64,
    /// All but sends: who was told what.
    told: Vec<(Ipv4Addr, Action)>,
    most_sends: usize,
}

fn ip(n: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, n)
}

fn about(n: u8) -> About {
    About {
        zone: format!("{n:-<32}"), // as long as it may be
        port: 8000 + u16::from(n),
    }
}

impl Net {
    /// Hives that know the first two addresses only.
    fn new(count: u8) -> Self {
        let mut net = Self {
            now: 0,
            hives: BTreeMap::new(),
            way: BTreeMap::new(),
            cuts: BTreeSet::new(),
            lost_percent: 0,
            random: 1,
            told: Vec::new(),
            most_sends: 0,
        };
        (1..=count).for_each(|n| net.start(n, 1_700_000_000_000));
        net
    }

    /// The same after all have met.
    fn met(count: u8) -> Self {
        let mut net = Self::new(count);
        net.run(3000);
        assert!(net.agree(count.into()), "not all have met");
        net.told.clear();
        net
    }

    fn start(&mut self, n: u8, incarnation: u64) {
        let (seeds, pace) = ([ip(1), ip(2)], Pace::default());
        let hive = Membership::new(
            self.now,
            ip(n),
            incarnation,
            about(n),
            &seeds,
            pace,
            n.into(),
        );
        self.hives.insert(ip(n), hive);
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.random = self
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(99);
        (self.random >> 33) % below
    }

    fn tell(&mut self, node: Ipv4Addr, event: Event<'_>) {
        let Some(hive) = self.hives.get_mut(&node) else {
            return;
        };
        let mut out = Vec::new();
        hive.handle(self.now, event, &mut out);
        let sends = out
            .iter()
            .filter(|action| matches!(action, Action::Send { .. }));
        self.most_sends = self.most_sends.max(sends.count());
        for action in out {
            let Action::Send { to, packet } = action else {
                self.told.push((node, action));
                continue;
            };
            let bytes = postcard::to_stdvec(&packet).unwrap();
            assert!(bytes.len() < 1200, "{} bytes", bytes.len());
            let (lost, delay) = (self.draw(100), 1 + self.draw(20));
            if lost >= self.lost_percent && !self.cuts.contains(&(node, to)) {
                let key = (self.now + delay, self.draw(u64::MAX));
                let packet = postcard::from_bytes(&bytes).unwrap();
                self.way.insert(key, (node, to, packet));
            }
        }
    }

    fn run(&mut self, ms: Millis) {
        for _ in 0..ms / 10 {
            self.now += 10;
            while let Some(entry) = self.way.first_entry().filter(|e| e.key().0 <= self.now) {
                let (from, to, packet) = entry.remove();
                self.tell(to, Event::Packet { from, packet });
            }
            if self.now.is_multiple_of(50) {
                let nodes: Vec<Ipv4Addr> = self.hives.keys().copied().collect();
                nodes
                    .into_iter()
                    .for_each(|node| self.tell(node, Event::Tick));
            }
        }
    }

    /// Cuts the way from some to others.
    fn cut(&mut self, from: &[u8], to: &[u8]) {
        let pairs = from
            .iter()
            .flat_map(|a| to.iter().map(move |b| (ip(*a), ip(*b))));
        self.cuts.extend(pairs);
    }

    fn agree(&self, count: usize) -> bool {
        self.hives
            .values()
            .all(|hive| hive.alive().count() == count)
    }

    fn downs(&self) -> Vec<(Ipv4Addr, Ipv4Addr)> {
        let down = |(at, action): &(Ipv4Addr, Action)| match action {
            Action::Down(node) => Some((*at, *node)),
            _ => None,
        };
        self.told.iter().filter_map(down).collect()
    }
}

#[parameterized(three = { 3 }, five = { 5 }, nine = { 9 }, sixteen = { 16 })]
fn given_two_seeds_when_hives_start_then_all_meet_once_and_each_call_sends_little(count: u8) {
    let mut net = Net::new(count);
    net.run(5000);
    assert!(net.agree(count.into()));
    let ups = usize::from(count) * usize::from(count - 1);
    assert!(
        net.told
            .iter()
            .all(|(_, action)| matches!(action, Action::Up(_)))
    );
    assert_eq!(net.told.len(), ups);
    assert_eq!(net.hives[&ip(3)].about(ip(2)), Some(&about(2)));
    assert!(net.most_sends <= 10, "{}", net.most_sends);
}

#[parameterized(five = { 5 }, nine = { 9 }, sixteen = { 16 })]
fn given_calm_when_there_are_many_then_each_is_reached_all_the_time(count: u8) {
    let mut net = Net::met(count);
    for _ in 0..200 {
        net.run(50);
        for (me, hive) in &net.hives {
            let others = (1..=count).map(ip).filter(|node| node != me);
            let unreached = others.filter(|node| !hive.reached_within(net.now, *node, 1200));
            assert_eq!(unreached.count(), 0, "at {} by {me}", net.now);
        }
    }
}

#[parameterized(three = { 3, 0 }, five = { 5, 10 }, nine = { 9, 10 })]
fn given_a_hive_that_stops_when_time_passes_then_all_others_say_so_soon(count: u8, lost: u64) {
    let mut net = Net::met(count);
    net.lost_percent = lost;
    net.hives.remove(&ip(2));
    net.run(2800);
    assert!(net.agree(usize::from(count) - 1));
    let mut downs = net.downs();
    downs.retain(|(_, node)| *node == ip(2));
    assert_eq!(downs.len(), usize::from(count) - 1);
    assert!(!net.hives[&ip(1)].reached_within(net.now, ip(2), 2000));
}

#[parameterized(
    some_loss = { 5, 5, &[], &[] },
    much_loss = { 9, 15, &[], &[] },
    one_way = { 5, 0, &[1], &[2] },
    one_way_to_two = { 9, 0, &[1], &[2, 3] },
    lossy_and_one_way = { 9, 5, &[4], &[5] },
)]
fn given_loss_or_one_way_cuts_when_others_still_reach_it_then_nobody_is_down(
    count: u8,
    lost: u64,
    from: &[u8],
    to: &[u8],
) {
    let mut net = Net::met(count);
    net.lost_percent = lost;
    net.cut(from, to);
    net.run(120_000);
    assert_eq!(net.downs(), []);
    for (a, b) in from.iter().zip(to) {
        assert!(!net.hives[&ip(*a)].reached_within(net.now, ip(*b), 5000));
        assert!(net.hives[&ip(7 % count)].reached_within(net.now, ip(*b), 5000));
    }
}

#[test]
fn given_a_hive_that_hears_nothing_when_it_calls_all_others_down_then_only_itself_is() {
    let mut net = Net::met(5);
    net.cut(&[1, 2, 3, 4], &[5]);
    net.run(30_000);
    let wrong = net
        .downs()
        .into_iter()
        .find(|(at, node)| *at != ip(5) && *node != ip(5));
    assert_eq!(wrong, None);
    assert!(!net.hives[&ip(1)].alive().any(|node| node == ip(5)));
    net.cuts.clear();
    net.run(5000);
    assert!(net.agree(5));
}

#[parameterized(short = { 10_000 }, longer_than_memory = { 200_000 })]
fn given_two_halves_when_the_cut_heals_then_all_are_found_again(ms: Millis) {
    let mut net = Net::met(6);
    net.cut(&[1, 2, 3], &[4, 5, 6]);
    net.cut(&[4, 5, 6], &[1, 2, 3]);
    net.run(ms);
    assert!(net.agree(3));
    net.cuts.clear();
    net.run(4000);
    assert!(net.agree(6));
}

#[parameterized(later = { 1_700_000_100_000 }, clock_set_back = { 5 })]
fn given_a_hive_that_left_when_it_starts_again_then_it_is_up_again(incarnation: u64) {
    let mut net = Net::met(5);
    net.tell(ip(4), Event::Leave);
    net.run(300);
    let left = net
        .told
        .iter()
        .filter(|(_, action)| *action == Action::Left(ip(4)));
    assert_eq!((left.count(), net.downs()), (4, vec![]));
    assert_eq!(net.hives[&ip(1)].alive().count(), 4);
    net.hives.remove(&ip(4));
    net.run(5000);
    net.start(4, incarnation);
    net.run(3000);
    assert!(net.agree(5));
    assert!(net.hives[&ip(4)].incarnation() >= incarnation);
}

#[test]
fn given_a_host_that_stood_still_when_it_goes_on_then_it_blames_nobody() {
    let mut net = Net::met(5);
    let hive = net.hives.remove(&ip(3)).unwrap();
    net.run(1200);
    net.hives.insert(ip(3), hive);
    net.run(3000);
    assert!(net.downs().iter().all(|(at, _)| *at != ip(3)));
    assert!(net.agree(5));
}

/// An answer is held back as long as the host that waits for it stands still.
#[test]
fn given_answers_that_waited_for_a_host_when_it_reads_them_then_they_show_no_contact_now() {
    let mut net = Net::met(3);
    let asked = |net: &Net| {
        net.way
            .values()
            .any(|(_, to, packet)| *to == ip(1) && matches!(packet.kind, Kind::Ack { .. }))
    };
    while !asked(&net) {
        net.run(10);
    }
    let waits = std::mem::take(&mut net.way).into_values();
    let waits: Vec<_> = waits.filter(|(_, to, _)| *to == ip(1)).collect();
    net.now += 20_000;
    for (from, to, packet) in waits {
        net.tell(to, Event::Packet { from, packet });
    }
    let reached = |net: &Net| {
        let hive = &net.hives[&ip(1)];
        (2..=3)
            .filter(|n| hive.reached_within(net.now, ip(*n), 1200))
            .count()
    };
    assert_eq!(reached(&net), 0);
    net.run(1500);
    assert_eq!(reached(&net), 2, "they answer what is asked now");
}

#[test]
fn given_a_hive_that_is_down_when_it_is_no_seed_then_it_is_forgotten_in_time() {
    let mut net = Net::met(4);
    net.hives.remove(&ip(4));
    net.run(30_000);
    let down = |m: Member<'_>| m.node == ip(4) && m.status == Status::Down;
    assert!(net.hives[&ip(1)].members().any(down));
    net.run(60_000);
    assert_eq!(net.hives[&ip(1)].members().count(), 2);
}

#[test]
fn given_packets_from_strangers_when_they_are_false_then_nobody_is_up() {
    let mut net = Net::met(3);
    let own = |n: u8, zone: &str| Record {
        node: ip(n),
        incarnation: 1,
        status: Status::Alive,
        about: About {
            zone: zone.to_owned(),
            port: 1,
        },
    };
    let kind = Kind::Ping { seq: 1, all: false };
    let packet = Packet {
        kind,
        own: own(8, ""),
        news: vec![],
    };
    net.tell(
        ip(1),
        Event::Packet {
            from: ip(9),
            packet,
        },
    );
    assert!(net.told.is_empty());
    let packet = Packet {
        kind,
        own: own(9, &"é".repeat(99)),
        news: vec![],
    };
    net.tell(
        ip(1),
        Event::Packet {
            from: ip(9),
            packet,
        },
    );
    assert_eq!(net.told, [(ip(1), Action::Up(ip(9)))]);
    assert_eq!(net.hives[&ip(1)].about(ip(9)).unwrap().zone.len(), 32);
}

#[parameterized(
    no_fan = { Pace { fan: 0, ..Pace::default() }, PaceError::Zero("fan") },
    no_span = { Pace { probe_every: 0, ..Pace::default() }, PaceError::Zero("probe_every") },
    crowd = { Pace { helpers: 9, ..Pace::default() }, PaceError::TooMany("helpers") },
    hasty = { Pace { suspicion: 200, ..Pace::default() }, PaceError::Hasty },
    forgetful = { Pace { forget: 8000, ..Pace::default() }, PaceError::Forgetful },
)]
fn given_a_pace_that_cannot_work_when_checked_then_it_says_why(pace: Pace, error: PaceError) {
    assert_eq!(pace.checked(), Err(error));
    assert!(Pace::default().checked().is_ok());
}
