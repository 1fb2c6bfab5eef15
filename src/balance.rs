//! Every decision of a manager. Its settings, events and actions are defined in `src/interface.rs`,
//! the records that it keeps, which decide nothing, in `src/state.rs`.
//!
//! The ordinary path is the quorum capacity ceiling of `docs/design.md`: each report of a worker
//! is a reading of what it can serve; the quorum-th lowest recent reading is its ceiling; the one
//! table that all proxies share holds the lower of listed weight and ceiling. Readings, ceilings
//! and steps are counted in parts of the listed weight.

use std::collections::{BTreeMap, VecDeque};

use crate::interface::*;
use crate::state::*;

// ---- Constants; every other span and bound comes from the settings ----

/// The design page's starting values: a reading counts this long at least; changes gather; a worker
/// held below its listed weight is probed this often. The clock is looked at several times in each.
const SPAN_MS: f64 = 3000.0;
const GATHER_MS: f64 = 1000.0;
const PROBE_MS: f64 = 1000.0;
const LOOK_MS: f64 = 100.0;
/// Lines of one worker this close, or within half an interval, are one reading: a quorum must not
/// count zones of proxies, and a reading of a very quick report holds too few tries.
const FOLD_MIN_MS: f64 = 500.0;
const FULL: f64 = 0.85; // a reading this good against the fleet: small ones are no better than that
const SICK: f64 = 0.5; // no reading takes more from a worker that answers: it may have but a queue
/// A worker this busy, and so much more than the idler third, is about to queue, and may go down
/// to so much, no less: what else runs on the machine shows there too.
const HOT: f64 = 0.8;
const MORE_BUSY: f64 = 1.1;
const LEAST_BUSY: f64 = 0.6;
/// Part of the fleet's weight that workers which answer may lose: more pushes the rest over.
const MOST_LOST: f64 = 0.2;
/// First step of a worker that comes back, and each step above a half.
const TRIAL: f64 = 0.1;
const STEP: f64 = 0.15;
/// In a jam clients and proxies ask up to this many times as often, sooner than reports tell.
const SURGE: f64 = 4.0;
/// The fleet's median quality, against its best, when it is short of capacity and has room.
const SHORT: f64 = 0.96;
const ROOMY: f64 = 0.98;
/// Parts of the capacity seen that are let in while a little is late, and while dead work drains.
const LET_IN: f64 = 0.8;
const DRAIN: f64 = 0.35;
const FADE: f64 = 0.7; // what a second leaves of recent counts: they span the age of readings
/// Lines that may be under way with orders which cannot wait, joiners, other orders, and moves to the
/// shared table: parts of the queue cap, and what the channel carries so long at the pace seen. Orders
/// that can wait use half of that pace; without answers a tenth of the rate is counted as carried.
const URGENT: (f64, f64) = (0.9, f64::INFINITY);
const JOIN: (f64, f64) = (0.85, f64::INFINITY);
const ORDINARY: (f64, f64) = (0.35, GATHER_MS);
const MOVE: (f64, f64) = (0.25, GATHER_MS / 2.0);
const CHANNEL_PART: f64 = 0.5;
const CHANNEL_LEAST: f64 = 0.1;
const OPEN_RATE: f64 = 1e6; // requests a second that no proxy reaches
/// Numbers of tables; hands a zone, and proxies a hand at least.
const SHARED: TableId = 0;
const HANDS: TableId = 1000;
const ZONE_HANDS: u16 = 128;
const HAND_USERS: usize = 10;
/// For what its workers can do a hand may carry this much more than another of its zone; and, with
/// so many times the fleet's load, names no cold worker.
const UNEVEN: f64 = 1.2;
const CROWD: f64 = 2.0;

// ---- The manager ----

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
    /// Median quality of the fleet, as a part of the best it had of late, and whether half of it is idle;
    /// part of requests let in; of usual load that weight stands for where none must be overfed.
    fleet: f64,
    idle: bool,
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

    // ---- Following the list ----

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
            let known = self.workers.get(&entry.worker);
            let hand = known.map(|known| known.hand);
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

    /// The hand of a new worker. Where the whole table for all proxies would take the channel longer
    /// than a drain may wait, the workers of a zone are dealt into hands that take it half as long.
    fn deal(&mut self, zone: ZoneId, entries: &[Entry]) -> TableId {
        let (set, proxies) = (&self.set, self.set.proxies.max(1));
        let in_time = set.channel_rate * CHANNEL_PART * set.drain_grace_ms / 1000.0;
        let lines = in_time / 2.0 / proxies as f64 - set.head_lines - set.classes.len() as f64;
        let least = set.standing_lines.max(HAND_USERS * entries.len() / proxies);
        let size = least.max(lines as usize).max(1);
        let most = if self.home { 1 } else { ZONE_HANDS.into() };
        let (hands, dealt) = self.dealt.entry(zone).or_insert_with(|| {
            let all = entries.iter().filter(|entry| entry.zone == zone).count();
            ((all / size).clamp(1, most) as u16, 0)
        });
        *dealt = dealt.wrapping_add(1);
        let hand = HANDS + zone % ZONE_HANDS * ZONE_HANDS + *dealt % *hands;
        let late = !self.home && proxies as f64 * entries.len() as f64 > in_time;
        self.hand_lines = self.hand_lines.or(late.then_some(size));
        if self.set.slices == 0 && (self.home || self.hand_lines.is_some()) {
            self.tables.entry(hand).or_default();
        }
        hand
    }

    /// Time to the next call on the list; the seed keeps managers from calling in step.
    fn ask_again_ms(&self) -> f64 {
        let spread = 0.5 + (self.seed % 1024) as f64 / 1024.0;
        (self.set.ask_within_ms / 8.0).max(GATHER_MS) * spread
    }

    // ---- Readings and ceilings ----

    fn fold_ms(&self) -> f64 {
        (self.set.report_interval_ms / 2.0).max(FOLD_MIN_MS)
    }

    /// Enters what a report line or a probe says of a worker.
    fn note(&mut self, id: WorkerId, met: (u32, u32, f64), load: &[f64], probe: bool) {
        let (at, (tries, good, took_ms)) = (self.now, met);
        let busy = self.set.load(LoadField::Cpu, load);
        let fold = self.fold_ms();
        let settle = self.set.report_interval_ms + self.set.push_delay_max_ms + GATHER_MS;
        let Some(worker) = self.workers.get_mut(&id).filter(|_| tries > 0) else {
            return;
        };
        let time = took_ms.max(0.0).min(f64::from(u32::MAX)) * f64::from(good); // NaN counts as 0
        if let Some(last) = worker.readings.back_mut().filter(|last| !last.probe) {
            if probe && at - last.at < 2.0 * fold {
                return; // a probe tells less than work does: it speaks where there is none
            }
            if !probe && at - last.at < fold {
                last.tries = last.tries.saturating_add(tries);
                last.good = last.good.saturating_add(good);
                last.time += time;
                last.busy = busy;
                return;
            }
        }
        // The tries were made by the weight of before a change that is still on its way.
        let late = at - worker.stepped_at < settle;
        let carried = if late { worker.cap_before } else { worker.cap };
        let mut reading = Reading::default();
        (reading.part, reading.busy, reading.time) = (1.0, busy, time);
        (reading.at, reading.probe, reading.carried) = (at, probe, carried);
        (reading.tries, reading.good) = (tries, good);
        worker.readings.push_back(reading);
    }

    fn aim_ms(&self) -> f64 {
        let came = || self.set.classes.iter().zip(&self.demand);
        let sum: f64 = came().map(|(class, n)| class.aim_ms * (n + 1.0)).sum();
        let count: f64 = came().map(|(_, n)| n + 1.0).sum();
        (sum / count.max(1.0)).max(1.0)
    }

    /// Brings each worker's ceiling and steps up to date.
    ///
    /// A worker is judged against the fleet's median, so that what strikes all lowers no ceiling and
    /// herds no load. Nothing answered takes the whole weight. Failures and late answers may be a
    /// fault or a queue: they take half at most, and what is met at the lower weight tells more.
    /// While the fleet is short nothing is lowered, since every worker then looks sick in turn; that
    /// harms where more than half the fleet is truly sick.
    fn judge(&mut self, out: &mut Vec<Action>) {
        let (now, interval) = (self.now, self.set.report_interval_ms);
        let (aim, fold) = (self.aim_ms(), self.fold_ms());
        let age = SPAN_MS.max(2.5 * interval).max(1.5 * self.period);
        // Readings that must agree: a slow report sums up as many tries as several quick ones.
        let quorum = 1 + usize::from(2.0 * interval <= SPAN_MS && self.period <= SPAN_MS);
        let told = self.set.load_fields.contains(&LoadField::Cpu);
        let (mut qualities, mut times, mut busy) = (Vec::new(), Vec::new(), Vec::new());
        let (mut all, mut lost) = (0.0, 0.0);
        let quality = |reading: &Reading| reading.answered() * reading.in_time(aim);
        for worker in self.workers.values_mut() {
            worker.readings.retain(|reading| now - reading.at <= age);
            for reading in worker.readings.iter_mut().filter(|_| !told) {
                reading.busy = (2.0 * reading.time_in(aim)).min(1.0); // nearest to a load there is
            }
            if worker.ready() {
                all += worker.entry.weight;
                lost += worker.entry.weight * (1.0 - worker.cap);
                let work = worker.readings.iter().rev().find(|last| !last.probe);
                qualities.extend(work.map(quality));
                let met = work.filter(|reading| told || reading.good > 0);
                let failing = |reading: &Reading| if told { reading.answered() } else { 1.0 };
                times.extend(met.map(|reading| failing(reading) * reading.in_time(aim)));
                busy.extend(work.map(|reading| reading.busy));
            }
        }
        // Not known to be short, nor to have room, until work has been reported. Where load is not
        // told, failures beside answers in time are a fault, however many workers have it.
        let times = ranked(times, 0.5).unwrap_or(self.best * (SHORT + ROOMY) / 2.0);
        (self.best, self.fleet) = (self.best.max(times), times / self.best.max(times));
        self.busy = ranked(busy.clone(), 0.5).filter(|_| told).unwrap_or(1.0);
        self.idle = told && ranked(busy.clone(), 0.5).is_some_and(|busy| busy < LEAST_BUSY);
        let middle = ranked(qualities, 0.5).unwrap_or(1.0);
        let hot = (MORE_BUSY * ranked(busy, 1.0 / 3.0).unwrap_or(0.0)).max(HOT);
        let short = self.fleet < SHORT;
        let settle = self.period.max(interval + GATHER_MS) + self.set.push_delay_max_ms;
        let first_backoff = interval.max(PROBE_MS);
        let last_backoff = first_backoff.max(self.set.cold_ms / 2.0);
        for (id, worker) in &mut self.workers {
            for reading in &mut worker.readings {
                if now - reading.at >= fold {
                    continue; // closed
                }
                let (part, carried) = (quality(reading) / middle.max(0.05), reading.carried);
                let full = part >= FULL;
                let next = reading.busy * (carried + STEP) / carried;
                reading.part = match lost < all * MOST_LOST {
                    // Answers are in time, but the load report says that they soon will not be.
                    _ if (full || short) && reading.busy > hot && lost < all * 2.0 * MOST_LOST => {
                        LEAST_BUSY.max((carried * hot / reading.busy * 10.0).floor() / 10.0)
                    }
                    _ if full && (LEAST_BUSY..1.0).contains(&carried) && next > hot => carried,
                    _ if full || short && part >= SICK => 1.0,
                    _ if !short && reading.good == 0 && reading.tries as usize + quorum > 2 => 0.0,
                    true if !short => (carried * part.max(SICK) * 10.0).round() / 10.0,
                    _ => carried,
                };
            }
            // A cold worker that carries its part with room to spare can do more than is certain.
            let work = worker.readings.back().filter(|last| told && !last.probe);
            if let Some(last) = work.filter(|last| last.at - worker.proven_at > settle) {
                let step = (LEAST_BUSY / last.busy.max(TRIAL)).clamp(SICK, 1.0 + SICK);
                worker.proven = (worker.proven * step).clamp(1.0, 1.0 / TRIAL);
                worker.proven_at = last.at;
            }
            let ceiling = worker.ceiling(quorum);
            if ceiling < worker.cap {
                lost += worker.entry.weight * (worker.cap - ceiling);
                worker.set_cap(now, ceiling);
                if ceiling == 0.0 {
                    worker.backoff = (2.0 * worker.backoff).clamp(first_backoff, last_backoff);
                    out.push(Action::log(format!("worker {id} held out: it fails")));
                }
            }
            // Return by steps: a quorum of good readings in a row earns the next one. Without any
            // reading (where none may be asked for) the lapse stands in for them.
            let since = worker.readings.iter().rev();
            let since = since.take_while(|last| last.at > worker.stepped_at && last.part >= 1.0);
            let earned = since.count() >= quorum
                || worker.readings.is_empty() && now - worker.stepped_at > age;
            let waits = worker.cap == 0.0 && now - worker.stepped_at < worker.backoff;
            if worker.cap < 1.0 && !waits && earned {
                let step = [STEP, worker.cap.max(TRIAL)][usize::from(worker.cap < SICK)];
                worker.set_cap(now, worker.cap + step);
                worker.readings.clear();
                if worker.cap >= 1.0 {
                    worker.backoff = 0.0;
                    out.push(Action::log(format!("worker {id} back in full")));
                }
            }
            let last = worker.readings.back();
            let idle = last.is_none_or(|last| last.probe || now - last.at >= PROBE_MS);
            let held = worker.ready() && worker.cap < 1.0;
            if self.set.probes && held && idle && now - worker.probed_at >= PROBE_MS {
                worker.probed_at = now;
                out.push(Action::Probe { worker: *id });
            }
        }
    }

    // ---- Levels and further tries ----

    /// Compares what comes with the most that was seen to be served.
    fn measure(&mut self) {
        let met = &mut self.met;
        let top = [HANDS, TableId::MAX][usize::from(self.set.slices > 0)];
        let laid = self.tables.range(..top);
        let weight: f64 = laid.flat_map(|(_, table)| table.lines.values()).sum();
        met.weight += weight;
        if weight >= 0.95 * (1.0 - FADE) * met.weight {
            // Answers come from the weight of before: while it falls they would seem too many.
            let most = met.good / f64::max(met.weight, 1e-9);
            if most > met.most {
                (met.most, met.busy) = (most, self.busy);
            }
        }
        let capacity = met.most * met.weight;
        // In coarse steps, or every report would move the weights of cold workers.
        let relief = (capacity / met.busy.clamp(SICK, 1.0) / met.tries.max(1e-9)).clamp(0.05, 1.0);
        // Reports come every second time or so: what came seems to double and halve in between.
        let before = std::mem::replace(&mut self.relief_seen, relief);
        self.relief = 0.8f64.powf(((relief + before) / 2.0).log(0.8).ceil());
        self.best = (self.best * 0.997).max(0.05); // where aims are tight, not short for ever
        let came: f64 = self.demand.iter().sum();
        let can = (capacity / came.max(1e-9)).max(0.1);
        if self.fleet < SHORT {
            let let_in = DRAIN + (LET_IN - DRAIN) * self.fleet / SHORT;
            self.admitted = self.admitted.min(let_in * can);
        } else if self.fleet > ROOMY {
            let most = (can / LET_IN).clamp(self.admitted, 1.0);
            self.admitted = (self.admitted + 0.1).min(most);
        }
        let sums = [&mut met.tries, &mut met.good, &mut met.weight];
        for sum in sums.into_iter().chain(&mut self.demand) {
            *sum *= FADE;
        }
    }

    /// What each class is let in by: the least worth gives way first, and is refused at once. It is tried
    /// again after proof that the first try never ran, unless half the fleet is busy and answers are short.
    fn wanted_levels(&self) -> Vec<Level> {
        let classes = &self.set.classes;
        let mut order: Vec<usize> = (0..classes.len()).collect();
        order.sort_by(|a, b| classes[*a].worth.total_cmp(&classes[*b].worth));
        let mut refuse = (1.0 - self.admitted) * self.demand.iter().sum::<f64>();
        let calm = self.idle || self.admitted >= 1.0 && self.fleet >= SHORT;
        let mut levels = vec![(1.0, Retry::No); order.len()];
        for index in order {
            let demand = self.demand[index].max(1e-9);
            let part = (refuse / demand).min(0.95);
            refuse -= part * demand;
            let quota = match self.set.admit {
                Admit::Ratio => ((1.0 - part) * 10.0).ceil() / 10.0,
                Admit::Rate | Admit::Off => OPEN_RATE,
            };
            let again = calm && !(self.set.single_owner && classes[index].writes);
            levels[index] = (quota, if again { Retry::Proven } else { Retry::No });
        }
        levels
    }

    // ---- Tables ----

    /// The part of its listed weight that a worker is to carry: its ceiling; while it is cold, or
    /// back from a fault and perhaps cold, what it can do for certain: by that measure it is never
    /// nearer to its limit than the others (rule 4), whoever else sends to it.
    fn part(&self, worker: &Worker) -> f64 {
        let warmth = self.warmth(worker);
        let covered = self.set.tip_multiple >= SURGE && self.set.admit == Admit::Ratio;
        let frail = warmth * self.set.tip_multiple < 1.0 || self.fleet.min(self.admitted) < ROOMY;
        match warmth < 1.0 {
            // As a jam begins, proxies avoid worker after worker, and all would go to a new one.
            true if self.set.ejects > 0 && !covered && frail => 0.0,
            true => {
                let sure = warmth * self.relief * (self.set.tip_multiple / SURGE).min(1.0);
                (sure * worker.proven).min(worker.cap)
            }
            false if worker.backoff > 0.0 => worker.cap * self.relief,
            false => worker.cap,
        }
    }

    /// All tables as they should stand: the lower of listed weight and ceiling; if that leaves a
    /// table nothing, the listed weights. A hand without a warm worker, or crowded, names no cold one.
    fn wanted(&self, loads: &BTreeMap<TableId, f64>) -> BTreeMap<TableId, Lines> {
        let slices = self.set.slices > 0;
        let mut held = self.held();
        let mut slice = |table| slices.then(|| self.wanted_slice(table, &mut held));
        let tables = self.tables.iter();
        let tables = tables.map(|(&id, table)| (id, slice(table).unwrap_or_default()));
        let mut wanted: BTreeMap<TableId, Lines> = tables.collect();
        let ready = || self.workers.iter().filter(|(_, w)| w.ready() && !slices);
        for (&id, worker) in ready() {
            let weight = worker.entry.weight * self.part(worker);
            for table in [SHARED, worker.hand] {
                let lines = wanted.get_mut(&table).filter(|_| weight > 0.0);
                lines.map(|lines| lines.insert(id, weight));
            }
        }
        // The users of a hand whose workers are nearly all new would push the cold ones over.
        let able = |id: &WorkerId| self.workers[id].entry.weight * self.warmth(&self.workers[id]);
        let able = |lines: &Lines| lines.keys().map(able).sum::<f64>().max(1e-9);
        let mean = loads.values().sum::<f64>() / wanted.get(&SHARED).map_or(1.0, able);
        for (id, lines) in wanted.range_mut(HANDS..).filter(|_| !self.home) {
            let warm = |id: &WorkerId| self.warmth(&self.workers[id]) >= 1.0;
            let crowded = loads.get(id).copied().unwrap_or(0.0) > CROWD * mean * able(lines);
            if crowded || !lines.keys().any(warm) {
                lines.retain(|id, _| warm(id));
            }
        }
        for (&id, lines) in &mut wanted {
            if slices || !lines.is_empty() || id != SHARED && !self.home {
                continue;
            }
            let own = ready().filter(|(_, w)| id == SHARED || w.hand == id);
            lines.extend(own.map(|(&id, w)| (id, w.entry.weight * self.warmth(w))));
        }
        wanted
    }

    /// A slice stays where it is until its worker cannot serve, and then goes to the fit worker
    /// that holds least. With a single owner nobody has it until all have let go of the former.
    /// Slices that have lost their worker together are dealt out, or all would go to one, cold perhaps.
    fn wanted_slice(&self, table: &Table, held: &mut BTreeMap<WorkerId, usize>) -> Lines {
        let ready = |id: &WorkerId| self.workers.get(id).is_some_and(Worker::ready);
        let fit = |id: &WorkerId| ready(id) && self.part(&self.workers[id]) >= SICK;
        let mut lines = table.lines.clone();
        if !self.workers.keys().any(fit) {
            lines.retain(|id, _| ready(id));
            return lines;
        }
        lines.retain(|id, _| fit(id));
        let released = table.holding.is_empty() && self.now >= table.free_at;
        let must_wait = self.set.single_owner && !(table.lines.is_empty() && released);
        if lines.is_empty() && !must_wait {
            let count = |id: &WorkerId| held.get(id).map_or(0.0, |held| *held as f64);
            let able = |id: &WorkerId| self.workers[id].entry.weight * self.part(&self.workers[id]);
            let load = |id: &WorkerId| (count(id) + 1.0) / able(id);
            let least = self.workers.keys().filter(|id| fit(id));
            let least = least.min_by(|a, b| load(a).total_cmp(&load(b))).copied();
            if let Some(id) = least {
                lines.insert(id, 1.0);
                *held.entry(id).or_default() += 1;
            }
        }
        lines
    }

    /// Slices that each worker has.
    fn held(&self) -> BTreeMap<WorkerId, usize> {
        let mut held = BTreeMap::new();
        for &id in self.tables.values().flat_map(|table| table.lines.keys()) {
            *held.entry(id).or_default() += 1;
        }
        held
    }

    /// With a single owner: the longest that one who was not reached may still be written to.
    fn release_ms(&self) -> f64 {
        self.set.tenure_ms + self.set.write_life_ms + self.set.push_delay_max_ms
    }

    /// A proxy has let go of what was cleared up to `mark`; its writes may live on from `at`.
    fn let_go(&mut self, proxy: ProxyId, mark: u64, at: f64) {
        for table in self.tables.values_mut() {
            if table.mark <= mark && table.holding.remove(&proxy) {
                table.free_at = table.free_at.max(at + self.set.write_life_ms);
            }
        }
    }

    // ---- Pacing: published and wanted state meet here and nowhere else ----

    fn publish(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        if now - self.measured_at >= GATHER_MS {
            self.measure_channel();
            self.measured_at = now;
            let all = self.admitted >= 1.0;
            self.measure();
            if all != (self.admitted >= 1.0) {
                let text = ["room again", "short of capacity"][usize::from(all)];
                out.push(Action::log(text.to_owned()));
            }
        }
        let due = now - self.flushed_at >= GATHER_MS;
        let (first, sent) = (out.len(), self.channel.sent);
        self.mark = (self.mark + 1) % 65536;
        let mut users: BTreeMap<Option<TableId>, Vec<ProxyId>> = BTreeMap::new();
        let mut loads: BTreeMap<TableId, f64> = BTreeMap::new();
        for (&id, proxy) in &self.proxies {
            users.entry(proxy.on).or_default().push(id);
            *loads.entry(proxy.on.unwrap_or(SHARED)).or_default() += proxy.who.rate;
        }
        let levels = self.wanted_levels();
        // Who has waited longest goes first, or a shared table in unrest leaves the hands nothing.
        let mut wanted = Vec::from_iter(self.wanted(&loads));
        let written = |id| self.tables[&id].written_at;
        wanted.sort_by(|a, b| written(a.0).total_cmp(&written(b.0)));
        for (id, lines) in wanted {
            let on = if self.set.slices > 0 { SHARED } else { id };
            let users = users.get(&Some(on)).map_or(&[][..], Vec::as_slice);
            self.write_table(id, (&lines, &levels), users, due, out);
        }
        self.bind(loads, out);
        if self.channel.sent > sent || self.set.single_owner && out.len() > first {
            out.push(Action::Mark { mark: self.mark });
            self.channel.marked(self.mark, now);
        }
    }

    /// The pace of the channel, where answers show that it held messages up: a slow one that is sent as
    /// much as ever holds orders back for tens of seconds, and overflows. Answers that do not come show
    /// nothing: whom a cut zone or a broken stream has silenced does not answer either.
    fn measure_channel(&mut self) {
        let (rate, seconds) = (
            self.set.channel_rate,
            (self.now - self.measured_at) / 1000.0,
        );
        let (took, carried) = self.channel.measure();
        let pace = match took {
            Some(took) if took > self.set.push_delay_max_ms + GATHER_MS / 2.0 => {
                (self.pace + carried / seconds) / 2.0
            }
            Some(_) => self.pace * 1.5,
            None => self.pace,
        };
        self.pace = pace.min(rate).max(rate * CHANNEL_LEAST);
    }

    /// Orders the difference between a table as it is and as it should be: first what a rule asks
    /// for, at once; then, gathered, levels, falls to nothing and the largest other changes.
    fn write_table(
        &mut self,
        id: TableId,
        (wanted, levels): (&Lines, &[Level]),
        mut users: &[ProxyId],
        due: bool,
        out: &mut Vec<Action>,
    ) {
        let (table, slices) = (&self.tables[&id], self.set.slices > 0);
        let bare = !table.lines.keys().any(|id| wanted.contains_key(id));
        let mut orders = Vec::new();
        let gone = table.lines.keys().filter(|id| !wanted.contains_key(id));
        for &worker in wanted.keys().chain(gone) {
            let have = table.lines.get(&worker).copied().unwrap_or(0.0);
            let want = wanted.get(&worker).copied().unwrap_or(0.0);
            let state = self.workers.get(&worker);
            let barred = state.is_none_or(|w| !w.ready() || self.warmth(w) < 1.0);
            let urgent = slices || bare || barred && want < have; // rules 1, 3 and 4
            if want != have {
                let class = if urgent { 0 } else { 2 + u8::from(want > 0.0) };
                orders.push((class, -(want - have).abs(), Order::Line(worker, want)));
            }
        }
        for (k, level) in levels.iter().enumerate() {
            if !slices && table.levels.get(&k) != Some(level) {
                orders.push((1, 0.0, Order::Level(k, *level)));
            }
        }
        orders.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        let upto = |class: u8| orders.iter().filter(|order| order.0 <= class).count();
        let fits = self.room(users, URGENT);
        if id == SHARED && !users.is_empty() {
            let much = self.hand_lines.is_some_and(|lines| upto(0) / 2 > lines);
            let mut hands = self.tables.range(HANDS..);
            self.flight |= upto(0) > fits && much;
            self.flight &= hands.any(|(_, table)| !table.lines.is_empty());
            if self.flight {
                return;
            }
        }
        if id >= HANDS && wanted.is_empty() {
            for id in std::mem::take(&mut users) {
                let proxy = self.proxies.entry(*id);
                proxy.and_modify(|proxy| proxy.on = None);
            }
        }
        let left = self.messages_left(users);
        // What cannot wait gathers too while it does not all fit: heads would take the channel.
        let soon = self.now - self.flushed_at >= GATHER_MS / 2.0;
        let urgent = left > 0 && (soon || upto(0) <= fits);
        let mut count = upto(0).min(if urgent { fits } else { 0 });
        if users.is_empty() {
            count = orders.len(); // nobody to send it to: it costs nothing
        } else if (due || count > 0) && left > self.set.update_cap / 4 {
            count = count.max(orders.len().min(self.room(users, ORDINARY)));
        }
        if id == SHARED {
            self.behind = count < upto(2);
        }
        if count > 0 && !users.is_empty() {
            self.flushed_at = self.now;
            self.spend(users, count);
        }
        let (now, free_at) = (self.now, self.now + self.release_ms());
        let table = self.tables.entry(id).or_default();
        table.written_at = if count > 0 { now } else { table.written_at };
        for (.., order) in orders.into_iter().take(count) {
            match order {
                Order::Line(worker, weight) => {
                    out.push(Action::set_weight(id, worker, weight));
                    if table.lines.insert(worker, weight).is_some() && weight == 0.0 {
                        table.lines.remove(&worker);
                        (table.mark, table.free_at) = (self.mark, free_at);
                        table.holding = users.iter().copied().collect();
                    }
                }
                Order::Level(k, level) => {
                    out.push(Action::allow(Scope::Table(id), k, level));
                    table.levels.insert(k, level);
                }
            }
        }
    }

    /// Puts joiners on their tables as fast as the queue allows: what they follow until then, old
    /// tables and withdrawals, nobody keeps up to date. Where there are hands each is first dealt the
    /// one of its zone that carries least for what it can do, and moved to the shared table as orders
    /// leave room, from the fullest hands first.
    fn bind(&mut self, mut loads: BTreeMap<TableId, f64>, out: &mut Vec<Action>) {
        let place = |proxy: &Proxy| match proxy.on {
            None => Some(false),
            Some(SHARED) => (self.flight || self.home).then_some(false),
            Some(_) => (!self.flight && !self.behind && !self.home).then_some(true),
        };
        let laid = self.tables.range(HANDS..);
        let laid = laid.filter(|(_, table)| !table.lines.is_empty() && self.set.slices == 0);
        let hands: BTreeMap<TableId, f64> =
            laid.map(|(id, table)| (*id, able(&table.lines))).collect();
        let full = |loads: &BTreeMap<TableId, f64>, id: TableId, more: f64| {
            (loads.get(&id).copied().unwrap_or(0.0) + more) / hands.get(&id).copied().unwrap_or(1.0)
        };
        let joiners = self.proxies.values().filter_map(|proxy| {
            let held = place(proxy)?;
            let full = proxy
                .on
                .filter(|_| held)
                .map_or(0.0, |on| full(&loads, on, 0.0));
            Some((held, full, proxy.who.clone()))
        });
        let mut queue: Vec<(bool, f64, Joined)> = joiners.collect();
        let first = |a: f64, b: f64| b.total_cmp(&a);
        queue.sort_by(|a, b| {
            let fullest = a.0.cmp(&b.0).then(first(a.1, b.1));
            fullest.then(first(a.2.rate, b.2.rate))
        });
        for (held, _, who) in queue {
            let least = |a: &TableId, b: &TableId| {
                full(&loads, *a, who.rate).total_cmp(&full(&loads, *b, who.rate))
            };
            let near = |id: &TableId| (*id - HANDS) / ZONE_HANDS == who.zone % ZONE_HANDS;
            let near = hands.keys().copied().filter(near).min_by(least);
            let any = || hands.keys().copied().filter(|_| !self.home).min_by(least);
            let was = self.proxies[&who.proxy].on.unwrap_or(SHARED);
            let uneven =
                |id: &TableId| full(&loads, was, 0.0) > UNEVEN * full(&loads, *id, who.rate);
            let hand = match held {
                true => near.filter(uneven),
                false => near.or_else(any),
            };
            let (on, proxy) = (hand.unwrap_or(SHARED), [who.proxy]);
            let table = self.tables.get(&on);
            let (lines, levels) = table.map_or((0, 0), |t| (t.lines.len(), t.levels.len()));
            let part = if held { MOVE } else { JOIN };
            if lines == 0 || self.room(&proxy, part) <= lines + levels {
                break;
            }
            let may = self.messages_left(&proxy) > usize::from(held) * (self.set.update_cap / 4);
            let state = self.proxies.get_mut(&who.proxy);
            if let Some(state) = state.filter(|state| may && state.on != Some(on)) {
                state.on = Some(on);
                *loads.entry(was).or_default() -= who.rate;
                *loads.entry(on).or_default() += who.rate;
                self.spend(&proxy, 1 + lines + levels);
                out.push(Action::bind(0, on, who.proxy));
            }
        }
        self.flight &= self.proxies.values().any(|proxy| proxy.on == Some(SHARED));
    }

    /// Messages that each of these proxies may still be sent.
    fn messages_left(&self, users: &[ProxyId]) -> usize {
        if self.set.update_cap == 0 {
            return usize::MAX;
        }
        let span = self.set.update_span_ms + GATHER_MS;
        let late = |sent: &&f64| self.now - **sent <= span;
        let count = |id: &ProxyId| self.proxies[id].sent.iter().filter(late).count();
        let most = users.iter().map(count).max().unwrap_or(0);
        self.set.update_cap.saturating_sub(most)
    }

    /// Lines that a message to each of these proxies may hold.
    fn room(&self, users: &[ProxyId], (part, span_ms): (f64, f64)) -> usize {
        let (under_way, way) = (self.channel.under_way(), self.set.push_delay_ms / 1000.0);
        let span = self.pace * span_ms / 1000.0;
        // Messages that have left the channel are on their way, and not answered yet.
        let before = match span_ms < f64::INFINITY {
            true => self.queue.max(under_way - self.pace * way),
            false => under_way,
        };
        let most = (self.set.queue_cap * part).min(span);
        let room = (most - before) / users.len().max(1) as f64;
        (room - self.set.head_lines).max(0.0) as usize
    }

    fn spend(&mut self, users: &[ProxyId], lines: usize) {
        let lines = users.len() as f64 * (self.set.head_lines + 1.0 + lines as f64); // and a mark
        (self.queue, self.channel.sent) = (self.queue + lines, self.channel.sent + lines);
        for id in users.iter().filter(|_| self.set.update_cap > 0) {
            if let Some(proxy) = self.proxies.get_mut(id) {
                proxy.sent.truncate(self.set.update_cap);
                proxy.sent.push_front(self.now);
            }
        }
    }

    /// The part of its capacity that a started worker has for certain.
    fn warmth(&self, worker: &Worker) -> f64 {
        let (started, cold_ms) = (worker.entry.started, self.set.cold_ms);
        let age = (self.now - started).max(0.0);
        if started <= 0.0 || age >= cold_ms {
            return 1.0;
        }
        let grown = age / cold_ms * (1.0 - self.set.start_capacity);
        let part = (self.set.start_capacity + grown).clamp(0.05, 1.0);
        (part * 20.0).floor() / 20.0
    }
}

impl Worker {
    fn set_cap(&mut self, now: f64, cap: f64) {
        (self.cap_before, self.stepped_at) = (self.cap, now);
        self.cap = if cap > 0.99 { 1.0 } else { cap };
    }

    /// The quorum-th lowest recent reading, once a quorum is in.
    fn ceiling(&self, quorum: usize) -> f64 {
        let mut parts: Vec<f64> = self.readings.iter().map(|reading| reading.part).collect();
        parts.sort_by(f64::total_cmp);
        parts.get(quorum - 1).copied().unwrap_or(1.0)
    }
}

impl Reading {
    /// Share of good answers, one failure forgiven as chance.
    fn answered(&self) -> f64 {
        let good = f64::from(self.good) + f64::from(self.good.min(1));
        (good / f64::from(self.tries.max(1))).min(1.0)
    }

    /// The part of them in time: a slow worker gives good answers too.
    fn in_time(&self, aim: f64) -> f64 {
        1.0 / (1.0 + self.time_in(aim).powi(4))
    }

    /// Mean time of the good answers as a part of the aim.
    fn time_in(&self, aim: f64) -> f64 {
        self.time / f64::from(self.good.max(1)) / aim
    }
}

/// What the lines of a table can do together.
fn able(lines: &Lines) -> f64 {
    lines.values().sum::<f64>().max(1e-9)
}

fn ranked(mut values: Vec<f64>, part: f64) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get((values.len() as f64 * part) as usize).copied()
}
