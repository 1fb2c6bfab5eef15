//! Draws what happens to a soaked fleet from a seed.

use fastrand::Rng;

use super::schedule::{Event, Machine, Planned, Size};

/// Seconds until the first trouble.
const FIRST_S: f64 = 3.0;
/// Seconds within which the events of one series begin.
const SERIES_S: f64 = 1.2;
/// Seconds from the beginning of one series to that of the next, at most; there is no calm between them.
const BETWEEN_S: f64 = 4.0;
/// Seconds for which a control node counts as away after it is back.
const CATCH_UP_S: f64 = 5.0;
/// Between two changes that are sent while control nodes are isolated, in seconds.
const ISOLATED_EVERY_S: f64 = 0.4;
/// Events of one series, at most.
const MOST: usize = 6;
/// Seconds that clients may be idle, by what is drawn; the usual among them.
const IDLE_LIMITS_S: [f64; 5] = [0.4, 0.8, 2.0, 15.0, 15.0];
/// Seconds that a head may take.
const HEADER_LIMITS_S: [f64; 3] = [0.5, 1.0, 3.0];

/// What a soak is drawn for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// Planned work alone: ends, changes and workers that leave, by processes that may be short of time.
    Planned,
    /// Planned work, and losses of any kind.
    Any,
}

/// The trouble of a seed: every other one is of planned work alone.
#[must_use]
pub fn trouble_of(seed: u64) -> Trouble {
    match seed % 2 {
        0 => Trouble::Planned,
        _ => Trouble::Any,
    }
}

/// Control nodes that are away, and until when.
#[derive(Default)]
struct Away(Vec<(u8, f64)>);

impl Away {
    /// Whether an event that begins at a moment takes no more away than is borne; if so it is noted.
    fn admits(&mut self, event: &Event, at_s: f64, size: Size) -> bool {
        let nodes = match event {
            Event::Blackout(_) => (0..size.control_nodes).collect(),
            _ => event.takes_control_nodes(),
        };
        if nodes.is_empty() {
            return true;
        }
        let still = self.0.iter().filter(|(_, until_s)| *until_s > at_s);
        let still: Vec<u8> = still.map(|(node, _)| *node).collect();
        let alone = !nodes.iter().any(|node| still.contains(node));
        let borne = match event {
            Event::Blackout(_) => still.is_empty(),
            _ => still.len() + nodes.len() <= usize::from(size.losses()),
        };
        if alone && borne {
            let until_s = at_s + event.lasts_s() + CATCH_UP_S;
            self.0.extend(nodes.into_iter().map(|node| (node, until_s)));
        }
        alone && borne
    }
}

/// Draws the events of a soak: series that overlap, with no calm between them.
#[must_use]
pub fn draw(seed: u64, size: Size, seconds: f64) -> Vec<Planned> {
    let mut chance = Rng::with_seed(seed);
    let trouble = trouble_of(seed);
    let mut away = Away::default();
    let mut all = Vec::new();
    let mut at_s = FIRST_S;
    while at_s + SERIES_S < seconds {
        let mut series = draw_series(&mut chance, size, trouble);
        let mut begin_s: Vec<f64> = series
            .iter()
            .map(|_| at_s + SERIES_S * chance.f64())
            .collect();
        begin_s.sort_by(f64::total_cmp);
        for (event, begins_s) in series.drain(..).zip(begin_s) {
            if !away.admits(&event, begins_s, size) {
                continue;
            }
            let at_s = round(begins_s);
            all.push(Planned { at_s, event });
            if let Event::Isolate(_, _, cut_s) = event {
                let count = (cut_s / ISOLATED_EVERY_S) as u32;
                let event = Event::Changes(count, ISOLATED_EVERY_S);
                all.push(Planned { at_s, event });
            }
        }
        at_s += SERIES_S + (BETWEEN_S - SERIES_S) * chance.f64();
    }
    all.sort_by(|one, other| one.at_s.total_cmp(&other.at_s));
    all
}

/// Events that begin close together.
fn draw_series(chance: &mut Rng, size: Size, trouble: Trouble) -> Vec<Event> {
    if trouble == Trouble::Any && chance.u32(..8) == 0 {
        let changes = Event::Changes(chance.u32(4..12), 0.3);
        return vec![Event::Blackout(draw_span(chance, 0.3, 1.5)), changes];
    }
    let count = chance.usize(2..=MOST);
    let draw = match trouble {
        Trouble::Planned => draw_planned,
        Trouble::Any => draw_any,
    };
    (0..count).map(|_| draw(chance, size)).collect()
}

/// Planned work, and processes short of time.
fn draw_planned(chance: &mut Rng, size: Size) -> Event {
    let proxy = Machine::Proxy(chance.u8(..size.proxies));
    match chance.u8(..20) {
        0..6 => Event::Terminate(proxy),
        6 => Event::Roll(draw_span(chance, 0.1, 1.0)),
        7 => Event::Reload(proxy),
        8..11 => Event::Changes(chance.u32(4..30), draw_span(chance, 0.1, 0.5)),
        11..13 => draw_limits(chance),
        13..16 => Event::Starve(
            proxy,
            draw_span(chance, 0.02, 0.45),
            draw_span(chance, 2.0, 8.0),
        ),
        16 => Event::StarveAll(draw_span(chance, 0.02, 0.45), draw_span(chance, 2.0, 8.0)),
        17..19 => Event::Drain(chance.u8(..size.workers)),
        _ => Event::Slow(chance.u8(..size.workers), draw_span(chance, 1.0, 6.0)),
    }
}

fn draw_limits(chance: &mut Rng) -> Event {
    let idle_s = IDLE_LIMITS_S[chance.usize(..IDLE_LIMITS_S.len())];
    let header_s = HEADER_LIMITS_S[chance.usize(..HEADER_LIMITS_S.len())];
    Event::Limits(idle_s, header_s)
}

/// Anything: one event of planned work for each three others.
fn draw_any(chance: &mut Rng, size: Size) -> Event {
    match chance.u8(..4) {
        0 => draw_planned(chance, size),
        _ => draw_event(chance, size),
    }
}

fn draw_event(chance: &mut Rng, size: Size) -> Event {
    let machine = match chance.u8(..3) {
        0 => Machine::Control(chance.u8(..size.control_nodes)),
        _ => Machine::Proxy(chance.u8(..size.proxies)),
    };
    match chance.u8(..21) {
        0..3 => Event::Terminate(machine),
        3..5 => Event::Kill(machine, draw_span(chance, 0.2, 2.0)),
        5..7 => Event::Freeze(machine, draw_span(chance, 0.2, 2.5)),
        7 => Event::Reload(machine),
        8 => Event::Empty(chance.u8(..size.control_nodes), draw_span(chance, 0.2, 1.5)),
        9..12 => Event::Changes(chance.u32(4..30), draw_span(chance, 0.1, 0.5)),
        12 => Event::Invalid,
        13 => Event::Race,
        14 => Event::Drain(chance.u8(..size.workers)),
        15 => Event::Slow(chance.u8(..size.workers), draw_span(chance, 1.0, 6.0)),
        18 => draw_swap(chance, size),
        19 => draw_cut(chance, size),
        16..18 => draw_isolation(chance, size),
        _ => Event::Crash(chance.u8(..size.workers)),
    }
}

/// The way from any machine to a control node.
fn draw_cut(chance: &mut Rng, size: Size) -> Event {
    let node = chance.u8(..size.control_nodes);
    let other = match chance.bool() {
        true => Machine::Proxy(chance.u8(..size.proxies)),
        false => Machine::Control((node + 1) % size.control_nodes),
    };
    Event::Cut(Machine::Control(node), other, draw_span(chance, 0.5, 6.0))
}

fn draw_swap(chance: &mut Rng, size: Size) -> Event {
    let one = chance.u8(..size.workers);
    let step = chance.u8(1..size.workers);
    Event::Swap(one, (one + step) % size.workers)
}

fn draw_isolation(chance: &mut Rng, size: Size) -> Event {
    let one = chance.u8(..size.control_nodes);
    let step = chance.u8(1..size.control_nodes);
    let other = (one + step) % size.control_nodes;
    Event::Isolate(one, other, draw_span(chance, 2.0, 14.0))
}

fn draw_span(chance: &mut Rng, from_s: f64, to_s: f64) -> f64 {
    round(from_s + (to_s - from_s) * chance.f64())
}

/// To the milliseconds that a written schedule holds.
fn round(seconds: f64) -> f64 {
    (seconds * 1000.0).round() / 1000.0
}
