//! Every decision of a manager: here what it knows and how it takes in events, in `balance/` the rest, a
//! file a concern. Its settings, events and actions are defined in `src/interface.rs`, the records that
//! it keeps, which decide nothing, in `src/state.rs`.
//!
//! The ordinary path is the quorum capacity ceiling of `docs/design.md`: each report of a worker
//! is a reading of what it can serve; the quorum-th lowest recent reading is its ceiling; the one
//! table that all proxies share holds the lower of listed weight and ceiling. Readings, ceilings
//! and steps are counted in parts of the listed weight.

mod ceilings;
mod hands;
mod levels;
mod orders;
mod pace;
mod slices;
mod tables;

use std::collections::{BTreeMap, VecDeque};

use crate::interface::*;
use crate::state::*;

// Constants that several parts use. Every other span and bound comes from the settings.

/// Changes gather this long; the clock is looked at several times in each.
const GATHER_MS: f64 = 1000.0;
const LOOK_MS: f64 = 100.0;
const SICK: f64 = 0.5; // no reading takes more from a worker that answers: it may have but a queue
const LEAST_BUSY: f64 = 0.6; // no busy worker is eased below; a fleet under it has room for further tries
/// The fleet's median quality, against its best, when it is short of capacity and has room.
const SHORT: f64 = 0.96;
const ROOMY: f64 = 0.98;
/// Lines that may be under way with orders which cannot wait, joiners, other orders, and moves to the
/// shared table: parts of the queue cap, and what the channel carries so long at the pace seen.
const URGENT: (f64, f64) = (0.9, f64::INFINITY);
const JOIN: (f64, f64) = (0.85, f64::INFINITY);
const ORDINARY: (f64, f64) = (0.35, GATHER_MS);
const MOVE: (f64, f64) = (0.25, GATHER_MS / 2.0);
const CHANNEL_PART: f64 = 0.5; // of the channel's pace, for orders that can wait
const CHANNEL_LEAST: f64 = 0.1; // of its rate, counted as carried without answers
/// Numbers of tables.
const SHARED: TableId = 0;
const HANDS: TableId = 1000;

/// Decides for the proxies joined to it.
#[derive(Default)]
pub struct Manager {
    set: Settings,
    seed: u64,
    now: f64,
    workers: BTreeMap<WorkerId, Worker>,
    proxies: BTreeMap<ProxyId, Proxy>,
    /// The shared table and hands, or one a slice in charge.
    tables: BTreeMap<TableId, Table>,
    /// Hands that the workers of a zone are dealt into, and workers dealt so far.
    dealt: BTreeMap<ZoneId, (u16, u16)>,
    /// Whether some class may not leave its zone: then each zone has one hand, for all classes.
    home: bool,
    /// Requests that came of late, by class.
    demand: Vec<f64>,
    /// What a report line covers of late: the interval, or longer where lines outgrow the intake.
    period: f64,
    met: Met,
    /// Median quality of the fleet, as a part of the best it had of late; how busy its middle is (1 if not
    /// told); part of requests let in; of usual load that weight stands for where none must be overfed.
    fleet: f64,
    busy: f64,
    best: f64,
    admitted: f64,
    relief: f64,
    relief_seen: f64,
    measured_at: f64,
    /// Lines of orders that can wait take their turn behind these, which half of the channel's pace
    /// carries; the lines sent and known to have left it; lines a second that it carries.
    queue: f64,
    channel: Channel,
    pace: f64,
    flushed_at: f64,
    /// Lines of a hand, where there are hands.
    hand_lines: Option<usize>,
    /// The shared table's users are dealt hands, as the channel cannot tell them in time.
    flight: bool,
    /// Falls of the shared table wait: moves to it would take their turn.
    behind: bool,
    wake_at: f64,
    ask_at: f64,
    mark: u64,
}

impl Manager {
    /// A manager that knows its settings and nothing else.
    pub fn new(seed: u64, set: Settings) -> Self {
        Self {
            seed,
            home: set.classes.iter().any(|class| class.home_only),
            demand: vec![0.0; set.classes.len()],
            best: 1.0,
            period: set.report_interval_ms,
            admitted: 1.0,
            relief: 1.0,
            pace: set.channel_rate,
            ask_at: if set.subscribe { 0.0 } else { f64::INFINITY },
            set,
            ..Self::default()
        }
    }

    /// Takes in what has happened by `now` and appends what is to be done.
    pub fn handle(&mut self, now: f64, events: &[Event], out: &mut Vec<Action>) {
        let seconds = (now - self.now).max(0.0) / 1000.0;
        let least = seconds * self.set.channel_rate * CHANNEL_LEAST;
        self.now = now;
        self.channel.carry(least);
        self.queue = (self.queue - seconds * self.pace * CHANNEL_PART).max(0.0);
        for event in events {
            self.take_in(event);
        }
        // Reports, probes and answers wait for the next look: each alone would have all tables gone over.
        let waits = |event: &Event| match event {
            Event::Heard(_) | Event::Demand { .. } | Event::Probed(_) => true,
            Event::Applied { .. } => !self.set.single_owner,
            _ => false,
        };
        if now < self.wake_at && events.iter().all(waits) {
            return;
        }
        self.judge(out);
        self.publish(out);
        if now >= self.ask_at {
            self.ask_at = now + self.ask_again_ms();
            out.push(Action::Observe);
        }
        if now >= self.wake_at {
            let after_ms = LOOK_MS.max(self.set.tick_ms);
            self.wake_at = now + after_ms;
            out.push(Action::Timer { after_ms, token: 0 });
        }
    }

    fn take_in(&mut self, event: &Event) {
        let now = self.now;
        match *event {
            Event::List { kind, ref entries } => self.follow_list(kind, entries),
            Event::Joined(ref who) => {
                let on = (self.set.slices > 0).then_some(SHARED);
                let (who, sent) = (who.clone(), VecDeque::new());
                self.proxies.insert(who.proxy, Proxy { who, on, sent });
            }
            Event::Left { proxy } => {
                self.proxies.remove(&proxy);
                self.let_go(proxy, u64::MAX, now + self.set.tenure_ms);
            }
            Event::Applied { mark, proxy } => {
                self.channel.answered(mark, now);
                self.let_go(proxy, mark, now);
            }
            Event::Heard(ref heard) => {
                let covers = heard.covers_ms.max(0.0).min(self.set.cold_ms); // NaN counts as 0
                self.period += (covers - self.period) / 50.0;
                let good = heard.tries.saturating_sub(heard.failed);
                self.met.tries += f64::from(heard.tries);
                self.met.good += f64::from(good);
                let met = (heard.tries, good, heard.took_ms);
                self.note(heard.worker, met, &heard.load, false);
            }
            Event::Probed(ref probed) => {
                let tries = u32::from(probed.outcome != ProbeOutcome::Rejected);
                let good = u32::from(probed.outcome == ProbeOutcome::Ok);
                self.note(probed.worker, (tries, good, 0.0), &probed.load, true);
            }
            Event::Demand { class, came, .. } => {
                if let Some(demand) = self.demand.get_mut(class) {
                    *demand += f64::from(came);
                }
            }
            Event::Charge { slice, given } => {
                self.tables.remove(&slice);
                if given {
                    self.tables.entry(slice).or_default().free_at = now + self.release_ms();
                }
            }
            Event::Stored(ref line) => {
                let table = self.tables.get_mut(&line.slice);
                table.map(|table| table.lines.insert(line.worker, line.weight));
            }
            Event::Timer { .. } | Event::Peer => {}
        }
    }

    fn follow_list(&mut self, kind: ListKind, entries: &[Entry]) {
        if kind == ListKind::Failed {
            self.ask_at = self.now + self.ask_again_ms();
            return;
        }
        if kind != ListKind::Cached {
            self.ask_at = f64::INFINITY; // subscribed: if that breaks, it is told as a failure
        }
        if kind != ListKind::Delta {
            // A worker that a full list lacks is gone, whatever was known of it.
            for worker in self.workers.values_mut() {
                worker.entry.condition = Condition::Gone;
            }
        }
        for entry in entries {
            let hand = self.workers.get(&entry.worker).map(|known| known.hand);
            let hand = hand.unwrap_or_else(|| self.deal(entry.zone, entries));
            let known = self.workers.entry(entry.worker);
            let known = known.or_insert_with(|| Worker::new(entry, hand));
            if known.entry.started != entry.started {
                *known = Worker::new(entry, hand); // cold: nothing measured before holds
            }
            known.entry = entry.clone();
            if !(entry.weight.is_finite() && entry.weight > 0.0) {
                known.entry.weight = 1.0;
            }
        }
        let gone = |worker: &Worker| worker.entry.condition == Condition::Gone;
        self.workers.retain(|_, worker| !gone(worker)); // in a table still, they are barred
        if self.set.slices == 0 {
            self.tables.entry(SHARED).or_default();
        }
    }

    /// Time to the next call on the list; the seed keeps managers from calling in step.
    fn ask_again_ms(&self) -> f64 {
        let spread = 0.5 + (self.seed % 1024) as f64 / 1024.0;
        (self.set.ask_within_ms / 8.0).max(GATHER_MS) * spread
    }
}
