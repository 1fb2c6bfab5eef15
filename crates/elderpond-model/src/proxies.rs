//! Proxies: they let in what their levels say, pick from their tables, try again as they were told or
//! after proof that a try never ran, and judge nobody.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::hash::{BuildHasherDefault, Hasher};
use std::sync::Arc;

use elderpond::interface::{Admit, ProbeOutcome, Repeat, Retry};

use crate::chronicle::Topic;
use crate::platform::Message;
use crate::rules::{Parties, Rule};
use crate::scenario::{Cancel, Pick};
use crate::score::End;
use crate::slab::Key;
use crate::tables::{Level, Snapshot};
use crate::time::{NEVER, Time, ms, us};
use crate::workers::{Received, Up};
use crate::world::{Event, World, is_blocked};

/// Draws of a line before a proxy takes what it would rather not.
const DRAWS: usize = 8;
/// How long a probe is waited for.
const PROBE_WAIT: Time = 500_000;

/// A hash of small numbers that is the same on every machine.
#[derive(Default)]
pub struct Mixed(u64);

impl Hasher for Mixed {
    fn finish(&self) -> u64 {
        self.0
    }
    fn write(&mut self, bytes: &[u8]) {
        bytes
            .iter()
            .for_each(|byte| self.write_u32(u32::from(*byte)));
    }
    fn write_u32(&mut self, number: u32) {
        self.0 = (self.0 ^ u64::from(number))
            .wrapping_mul(0x9e37_79b9_7f4a_7c15)
            .rotate_left(26);
    }
}

/// What a proxy has to do with one worker.
#[derive(Default)]
pub struct Pair {
    /// Its requests there.
    out: u32,
    /// Its connections there, and the worker's life that they belong to.
    open: u32,
    life: u32,
    used_at: Time,
    /// Failures in a row, and until when it avoids the worker.
    failures: u32,
    avoided: Time,
}

/// One proxy.
pub struct Proxy {
    /// Its zone.
    pub zone: u16,
    /// Its part of the traffic.
    pub share: f64,
    /// Whether it runs.
    pub alive: bool,
    /// Troubles that keep it from every manager.
    pub cut_off: u32,
    /// The manager that it is joined to, and since when.
    pub manager: Option<usize>,
    /// Since when.
    pub joined_at: Time,
    /// Counts its streams: what was on its way in an earlier one is lost.
    pub stream: u32,
    /// Messages on their way, the first first.
    pub inbox: VecDeque<Message>,
    /// When the last of them arrives.
    pub inbox_at: Time,
    /// When the last one that it applied was ordered.
    pub ordered_at: Time,
    /// Whether it holds its standing table only.
    pub fresh: bool,
    /// Its tables, by class.
    pub views: Vec<Arc<Snapshot>>,
    /// With slices, their tables in place of these.
    pub slices: Arc<Vec<Arc<Snapshot>>>,
    /// When it lost its manager; never while it has one.
    pub left_at: Time,
    /// Workers that it is barred from.
    pub barred: Arc<BTreeSet<u32>>,
    /// It stands still until then.
    pub stalled: Time,
    /// Since when it has lacked a line for some class; never if it has them all.
    pub bare: Time,
    /// The same by class, or slice.
    lacking: Vec<Time>,
    pairs: HashMap<u32, Pair, BuildHasherDefault<Mixed>>,
    turn: u64,
    /// Allowances of levels that are rates, by class, and when they were last counted.
    tokens: Vec<(f64, Time)>,
}

impl Proxy {
    /// A proxy that holds a standing table.
    pub fn new(zone: u16, share: f64, table: Arc<Snapshot>, classes: usize) -> Self {
        Self {
            zone,
            share,
            alive: true,
            cut_off: 0,
            manager: None,
            joined_at: 0,
            stream: 0,
            inbox: VecDeque::new(),
            inbox_at: 0,
            ordered_at: 0,
            fresh: true,
            views: vec![table; classes],
            slices: Arc::default(),
            left_at: 0,
            barred: Arc::default(),
            stalled: 0,
            bare: NEVER,
            lacking: Vec::new(),
            pairs: HashMap::default(),
            turn: 0,
            tokens: vec![(0.0, 0); classes],
        }
    }

    /// The level of a class.
    fn level(&self, class: usize, slice: Option<usize>) -> Option<Level> {
        self.view(class, slice).levels.get(class).copied().flatten()
    }

    fn view(&self, class: usize, slice: Option<usize>) -> &Arc<Snapshot> {
        slice
            .and_then(|slice| self.slices.get(slice))
            .unwrap_or(&self.views[class])
    }

    /// Notes since when it has lacked a line for each class, or slice, and since when for any.
    pub fn note_bare(&mut self, now: Time) {
        let views = if self.slices.is_empty() {
            &self.views
        } else {
            &*self.slices
        };
        let open = |worker: &u32| !self.barred.contains(worker);
        self.lacking.resize(views.len(), NEVER);
        for (since, view) in self.lacking.iter_mut().zip(views) {
            let served = match self.barred.is_empty() {
                true => !view.workers.is_empty(),
                false => view.workers.iter().any(open),
            };
            *since = if served { NEVER } else { now.min(*since) };
        }
        self.bare = self.lacking.iter().copied().min().unwrap_or(NEVER);
    }

    /// Picks a worker for a class, another than `not` if there is one.
    fn pick(
        &mut self,
        (class, slice, not): (usize, Option<usize>, Option<u32>),
        (pick, now): (Pick, Time),
        chance: &mut crate::chance::Chance,
    ) -> Option<u32> {
        let mut fallback = None;
        let view = self.view(class, slice).clone();
        for _ in 0..DRAWS {
            let worker = view.draw(pick, &mut self.turn, chance)?;
            if self.barred.contains(&worker) || not == Some(worker) {
                continue;
            }
            let avoided = |pairs: &HashMap<u32, Pair, _>, worker: &u32| {
                pairs.get(worker).is_some_and(|pair| pair.avoided > now)
            };
            if avoided(&self.pairs, &worker) {
                fallback = Some(worker);
                continue;
            }
            if pick != Pick::Pair {
                return Some(worker);
            }
            let other = view.draw(pick, &mut self.turn, chance)?;
            let out = |worker: &u32| self.pairs.get(worker).map_or(0, |pair| pair.out);
            let fits = other != worker && !self.barred.contains(&other) && not != Some(other);
            let fits = fits && !avoided(&self.pairs, &other);
            return Some(if fits && out(&other) < out(&worker) {
                other
            } else {
                worker
            });
        }
        let open = |worker: &&u32| !self.barred.contains(worker) && not != Some(**worker);
        fallback.or_else(|| view.workers.iter().find(open).copied())
    }

    /// Closes connections that were not used since `before`; how many, by worker and life.
    pub fn close_idle(&mut self, before: Time) -> Vec<(u32, u32, u32)> {
        let mut closed = Vec::new();
        self.pairs.retain(|worker, pair| {
            if pair.out == 0 && pair.open > 0 && pair.used_at < before {
                closed.push((*worker, pair.life, std::mem::take(&mut pair.open)));
            }
            pair.out > 0 || pair.open > 0 || pair.failures > 0
        });
        closed
    }

    /// Forgets all that it had with workers, as one that dies does.
    pub fn forget(&mut self) -> Vec<(u32, u32, u32)> {
        let pairs = std::mem::take(&mut self.pairs);
        pairs
            .into_iter()
            .map(|(worker, pair)| (worker, pair.life, pair.open))
            .collect()
    }
}

/// How a try went, as its proxy sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A good answer.
    Good,
    /// It failed, and may have run.
    Failed,
    /// It failed, and it is proven that it never ran.
    Proven,
}

/// One try of a proxy, or a probe of a manager.
pub struct Try {
    /// The request; of a probe, none.
    pub request: Key,
    /// The worker.
    pub worker: u32,
    /// The proxy; of a probe, the manager.
    pub from: usize,
    /// Whether it is a probe, and the manager's life that it is for.
    pub probe: Option<u32>,
    /// When it was sent.
    pub sent: Time,
    /// Its cost at the worker.
    pub work: f64,
    /// Whether the proxy made it on its own after another.
    pub further: bool,
    /// Whether it opened a connection.
    pub handshake: bool,
    /// Whether it waits for a core.
    pub waits: bool,
    /// Whether the worker has it in hand as a write of a slice with a single owner.
    pub holds: bool,
    /// Whether the proxy waits for it.
    pub at_proxy: bool,
    /// Whether it is on its way, at the worker, or on its way back.
    pub at_worker: bool,
    /// How it went, once it is on its way back.
    pub outcome: Outcome,
}

impl World {
    /// A request comes to its proxy.
    pub(crate) fn proxy_takes(&mut self, key: Key) {
        let now = self.now;
        let slice = self
            .requests
            .get(key)
            .and_then(|request| self.slice(request.key));
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let (class, number) = (request.class, request.proxy);
        let proxy = &mut self.proxies[number];
        if !proxy.alive {
            self.client_failed(key, End::Refused);
            return;
        }
        if let Some(manager) = proxy.manager {
            self.managers[manager].demand[slice.unwrap_or(number)][class].0 += 1;
        }
        let level = proxy.level(class, slice);
        request.mode = level.map_or(self.scenario.proxies.usual, |(_, retry)| retry);
        request.left = match request.mode {
            Retry::No => 0,
            Retry::Proven | Retry::Once => 1,
            Retry::Twice => 2,
        };
        let let_in = match (self.settings.admit, level) {
            (Admit::Off, _) | (_, None) => true,
            (Admit::Ratio, Some((quota, _))) => quota >= 1.0 || self.draws.proxies.happens(quota),
            (Admit::Rate, Some((quota, _))) => {
                let (tokens, counted) = &mut proxy.tokens[class];
                let more = ms(now - *counted) / 1000.0 * quota;
                (*tokens, *counted) = ((*tokens + more).min(quota.max(1.0)), now);
                let any = *tokens >= 1.0;
                *tokens -= f64::from(u8::from(any));
                any
            }
        };
        if !let_in {
            self.client_failed(key, End::Refused);
            return;
        }
        self.route(key);
    }

    /// A request that was let in goes to a worker of the table, waits for one, or fails.
    pub(crate) fn route(&mut self, key: Key) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        let (class, number) = (request.class, request.proxy);
        let slice = self.slice(request.key);
        let pick = (self.scenario.proxies.pick, self.now);
        let picked = match self.may_write(number, class) {
            true => self.proxies[number].pick((class, slice, None), pick, &mut self.draws.proxies),
            false => None,
        };
        match picked {
            Some(worker) => self.send(key, worker, false),
            None if self.holds(key) => {}
            None => self.unanswered(key),
        }
    }

    /// What was let in and got no answer is counted, and its client hears of it.
    fn unanswered(&mut self, key: Key) {
        if let Some(request) = self.requests.get(key) {
            let (class, number) = (request.class, request.proxy);
            let source = self.slice(request.key).unwrap_or(number);
            if let Some(manager) = self.proxies[number].manager {
                self.managers[manager].demand[source][class].1 += 1;
            }
        }
        self.client_failed(key, End::Refused);
    }

    /// A proxy sends a request to a worker.
    fn send(&mut self, key: Key, worker: u32, further: bool) {
        let now = self.now;
        let Some(request) = self.requests.get(key) else {
            return;
        };
        let (class, number, first_sent) = (request.class, request.proxy, request.first_sent);
        let may_have_run = further && request.open;
        let (left, mode, ran) = (request.left, request.mode, request.ran);
        let at = worker as usize;
        if may_have_run {
            let zone = self.workers[at].zone;
            self.judge_repeat((number, at), class, (first_sent, ran), zone);
        }
        let proxy = &mut self.proxies[number];
        if let Some(manager) = proxy.manager {
            let told = self.managers[manager].told_out[at];
            let since = told.max(proxy.joined_at);
            if told != NEVER && now > since + self.spans.drain_grace {
                let parties = Parties {
                    manager: Some(manager),
                    proxy: Some(number),
                    worker: Some(at),
                };
                self.watch.breach(&self.chronicle, Rule::DrainsKept, now, parties, || {
                    let late = ms(now - since) / 1000.0;
                    format!(
                        "proxy {number} sends to worker {at} {late:.2} s after manager {manager} was told \
                         that it drains or is gone"
                    )
                });
            }
        }
        let state = &mut self.workers[at];
        let spent = &mut self.tally.spent;
        spent.tries += 1;
        spent.retries += u64::from(further);
        spent.crossing += u64::from(proxy.zone != state.zone);
        let pair = proxy.pairs.entry(worker).or_default();
        if pair.life != state.life {
            (pair.life, pair.open) = (state.life, 0);
        }
        let handshake = pair.out >= pair.open * self.scenario.network.streams;
        pair.out += 1;
        pair.used_at = now;
        let blocked = is_blocked(&self.cuts, proxy.zone, state.zone);
        let crosses = usize::from(proxy.zone != state.zone);
        let way = self.spans.way[crosses];
        let stall = proxy.stalled.saturating_sub(now);
        let mut event = Event::Reach as fn(Key) -> Event;
        let (mut reach, mut on_its_way) = (now + stall + way, true);
        let mut lane = (stall == 0).then_some(self.lanes.way[crosses]);
        if handshake {
            spent.handshakes += 1;
            lane = None;
            if blocked || state.up == Up::Silent {
                event = Event::Unconnected;
                reach = now + stall + self.spans.connect;
            } else if state.up == Up::Dead || state.open >= state.connections {
                event = Event::Unconnected;
                reach = now + stall + 2 * way;
            } else {
                state.open += 1;
                pair.open += 1;
                reach = now + stall + 3 * way;
            }
        } else if blocked {
            on_its_way = false;
        }
        let sent = Try {
            request: key,
            worker,
            from: number,
            probe: None,
            sent: now,
            work: 0.0,
            further,
            handshake,
            waits: false,
            holds: false,
            at_proxy: true,
            at_worker: on_its_way,
            outcome: Outcome::Failed,
        };
        let sent = self.tries.insert(sent);
        if on_its_way {
            match lane {
                Some(lane) => self.queue.push_in(lane, reach, event(sent)),
                None => self.queue.push(reach, event(sent)),
            }
        }
        if left > 0 && matches!(mode, Retry::Once | Retry::Twice) {
            let over = now + stall + self.spans.wait[class];
            self.queue
                .push_in(self.lanes.wait[class], over, Event::TryOver(sent));
        }
        if let Some(request) = self.requests.get_mut(key) {
            request.tries += 1;
            request.current = sent;
        }
    }

    /// The second rule, as it is worded: what a proxy resends after a try that may have run.
    fn judge_repeat(
        &mut self,
        (proxy, worker): (usize, usize),
        class: usize,
        (first_sent, ran): (Option<Time>, Option<u16>),
        zone: u16,
    ) {
        let now = self.now;
        let age = ms(now - first_sent.unwrap_or(now));
        let broken = match self.scenario.classes[class].repeat {
            Repeat::ReadLike => false,
            Repeat::Never => true,
            Repeat::Keyed { window_ms, all } => {
                age > window_ms || !all && ran.is_some_and(|ran| ran != zone)
            }
        };
        if broken {
            let manager = self.proxies[proxy].manager;
            let parties = Parties {
                manager,
                proxy: Some(proxy),
                worker: Some(worker),
            };
            let name = &self.scenario.classes[class].name;
            self.watch.breach(&self.chronicle, Rule::NoEffectTwice, now, parties, || {
                format!(
                    "proxy {proxy} sends a `{name}` to worker {worker} {age:.0} ms after a try of it that \
                     may have run"
                )
            });
        }
    }

    /// A connection did not come up.
    pub(crate) fn unconnected(&mut self, key: Key) {
        let Some(tried) = self.tries.get_mut(key) else {
            return;
        };
        tried.at_worker = false;
        if tried.at_proxy {
            self.try_ends(key, Outcome::Proven);
        } else {
            self.let_go(key);
        }
    }

    /// A try, or a probe, reaches its worker.
    pub(crate) fn reach(&mut self, key: Key) {
        let now = self.now;
        let Some(tried) = self.tries.get(key) else {
            return;
        };
        let (at, request) = (tried.worker as usize, tried.request);
        let (handshake, wanted, probe) = (tried.handshake, tried.at_proxy, tried.probe.is_some());
        let (from, further) = (tried.from, tried.further);
        match self.workers[at].up {
            Up::Silent => return self.lose(key),
            Up::Dead => return self.answer(key, Outcome::Failed),
            Up::Yes => {}
        }
        if self.workers[at].cancel != Cancel::Keeps && !wanted {
            return self.lose(key);
        }
        let mut work = self.scenario.managers.probe_work;
        if !probe {
            let Some(asked) = self.requests.get(request) else {
                return self.lose(key);
            };
            let (class, first_sent) = (asked.class, asked.first_sent);
            work = asked.work;
            let (number, ran) = (asked.key, asked.ran);
            let worker = &mut self.workers[at];
            work *= 1.0 - worker.recall(now, number);
            if handshake {
                work += self.scenario.network.handshake_work;
            }
            if worker.is_cold(now, &self.scenario.rules) {
                self.press(at, work, from);
                if self.workers[at].up != Up::Yes {
                    return self.answer(key, Outcome::Failed);
                }
            }
            if let (Some(zone), Repeat::Keyed { window_ms, all }) =
                (ran, self.scenario.classes[class].repeat)
            {
                let age = ms(now - first_sent.unwrap_or(now));
                if age <= window_ms && (all || zone == self.workers[at].zone) {
                    self.tally.spent.dropped_repeats += 1;
                    return self.answer(key, Outcome::Good);
                }
            }
            let worker = &self.workers[at];
            let fails = worker.fails >> class & 1 == 1;
            if fails || worker.errors > 0.0 && self.draws.workers.happens(worker.errors) {
                self.workers[at].served(0.0, false);
                return self.answer(key, Outcome::Failed);
            }
        } else if self.workers[at].errors > 0.0
            && self.draws.workers.happens(self.workers[at].errors)
        {
            return self.answer(key, Outcome::Failed);
        }
        if let Some(tried) = self.tries.get_mut(key) {
            tried.work = work;
        }
        match self.workers[at].receive(now, key, work) {
            Received::Runs(finish) => {
                self.accepts_write(key);
                self.begins(request, at, further);
                self.set_finish(at, finish);
            }
            Received::Waits => {
                self.accepts_write(key);
                if let Some(tried) = self.tries.get_mut(key) {
                    tried.waits = true;
                }
            }
            Received::Full => {
                self.workers[at].served(0.0, false);
                self.answer(key, Outcome::Proven);
            }
        }
    }

    fn set_finish(&mut self, worker: usize, finish: Option<crate::workers::Finish>) {
        if let Some((place, stamp, due)) = finish {
            self.queue
                .push(due, Event::Done(worker as u32, place, stamp));
        }
    }

    /// A request begins to run: its effect can no longer be taken back.
    fn begins(&mut self, key: Key, worker: usize, further: bool) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let repeat = self.scenario.classes[request.class].repeat;
        request.effects += 1;
        request.ran = request.ran.or(Some(self.workers[worker].zone));
        if request.effects < 2 || repeat == Repeat::ReadLike {
            return;
        }
        if further && request.open {
            self.tally.spent.doubled_by_orders += 1;
            let proxy = request.proxy;
            let manager = self.proxies[proxy].manager;
            let name = &self.scenario.classes[request.class].name;
            let parties = Parties {
                manager,
                proxy: Some(proxy),
                worker: Some(worker),
            };
            self.watch.breach(&self.chronicle, Rule::NoEffectTwice, now, parties, || {
                format!("a `{name}` that proxy {proxy} has repeated takes effect again at worker {worker}")
            });
        } else {
            self.tally.spent.doubled_by_clients += 1;
        }
    }

    /// Work reaches a cold worker: it may fall over, and the fourth rule asks who knew.
    fn press(&mut self, at: usize, work: f64, from: usize) {
        let now = self.now;
        let proxy = &self.proxies[from];
        let knew = proxy.manager.is_some_and(|manager| {
            let known = self.managers[manager].told_start[at];
            known != NEVER && (proxy.ordered_at >= known || now > known + self.spans.drain_grace)
        });
        let manager = proxy.manager;
        let Some(knew) = self.workers[at].burden(now, work, knew, &self.scenario.rules) else {
            return;
        };
        self.tally.spent.fallen += 1;
        let age = ms(now - self.workers[at].started.unwrap_or(now)) / 1000.0;
        let parties = Parties::worker(at);
        let text = format!("worker {at} falls over, {age:.2} s after its start");
        self.chronicle.note(now, Topic::Worker, parties, text);
        if knew {
            let parties = Parties {
                manager,
                proxy: Some(from),
                worker: Some(at),
            };
            self.watch.breach(&self.chronicle, Rule::NoColdWorkerPushedOver, now, parties, || {
                format!("worker {at} is pushed over {age:.2} s after its start, by proxies that knew")
            });
        }
        self.goes_down(at, Up::Dead);
        self.queue.push(
            now + us(self.scenario.rules.down_ms),
            Event::Restart(at as u32),
        );
    }

    /// A core has finished.
    pub(crate) fn done(&mut self, at: u32, place: u16, stamp: u32) {
        let (now, at) = (self.now, at as usize);
        let Some(key) = self.workers[at].finish(now, place, stamp) else {
            return;
        };
        if let Some(tried) = self.tries.get(key) {
            let (work, wanted) = (tried.work, tried.at_proxy);
            self.workers[at].served(ms(now - tried.sent), true);
            if tried.probe.is_none() {
                self.tally.spent.work_ms += work;
                self.tally.spent.wasted_ms += if wanted { 0.0 } else { work };
            }
            self.answer(key, Outcome::Good);
        }
        self.next_runs(at);
    }

    /// A free core takes the next one that waits and was not cancelled.
    fn next_runs(&mut self, at: usize) {
        while let Some(key) = self.workers[at].waiting.pop_front() {
            let Some(tried) = self.tries.get_mut(key) else {
                continue;
            };
            tried.waits = false;
            let (work, request, further) = (tried.work, tried.request, tried.further);
            self.workers[at].waits -= 1;
            let finish = self.workers[at].start(self.now, key, work);
            self.begins(request, at, further);
            self.set_finish(at, finish);
            return;
        }
    }

    /// A worker answers.
    pub(crate) fn answer(&mut self, key: Key, outcome: Outcome) {
        self.lets_go_of_write(key);
        let Some(tried) = self.tries.get_mut(key) else {
            return;
        };
        (tried.outcome, tried.waits) = (outcome, false);
        let worker = &self.workers[tried.worker as usize];
        let zone = match tried.probe {
            None => self.proxies[tried.from].zone,
            Some(_) => self.managers[tried.from].zone,
        };
        if worker.one_sided || is_blocked(&self.cuts, zone, worker.zone) {
            return self.lose(key);
        }
        let crosses = usize::from(zone != worker.zone);
        let back = self.now + self.spans.way[crosses];
        self.queue
            .push_in(self.lanes.way[crosses], back, Event::Back(key));
    }

    /// A try is lost on its way: its proxy hears nothing of it.
    pub(crate) fn lose(&mut self, key: Key) {
        self.lets_go_of_write(key);
        let Some(tried) = self.tries.get_mut(key) else {
            return;
        };
        (tried.at_worker, tried.waits) = (false, false);
        if !tried.at_proxy {
            self.let_go(key);
        }
    }

    /// Nobody has anything to do with a try any more.
    fn let_go(&mut self, key: Key) {
        if let Some(tried) = self.tries.remove(key)
            && tried.probe.is_none()
        {
            self.release(tried.request);
        }
    }

    /// An answer is back.
    pub(crate) fn back(&mut self, key: Key) {
        let Some(tried) = self.tries.get_mut(key) else {
            return;
        };
        tried.at_worker = false;
        let outcome = tried.outcome;
        if !tried.at_proxy {
            self.let_go(key);
        } else if tried.probe.is_none() && !self.proxies[tried.from].alive {
            // Its proxy has died: nobody takes it, and the client waits in vain.
        } else if tried.probe.is_some() {
            let result = match outcome {
                Outcome::Good => ProbeOutcome::Ok,
                Outcome::Failed => ProbeOutcome::Failed,
                Outcome::Proven => ProbeOutcome::Rejected,
            };
            self.probed(key, result);
        } else {
            self.try_ends(key, outcome);
        }
    }

    /// A proxy, or a manager that probes, has waited long enough.
    pub(crate) fn try_over(&mut self, key: Key) {
        let Some(tried) = self.tries.get(key).filter(|tried| tried.at_proxy) else {
            return;
        };
        if tried.probe.is_some() {
            self.probed(key, ProbeOutcome::Failed);
        } else {
            self.hang_up(key);
            self.try_ends(key, Outcome::Failed);
        }
    }

    /// A client has gone, and its proxy waits for a try no longer.
    pub(crate) fn abandon(&mut self, key: Key) {
        if self.tries.get(key).is_none_or(|tried| !tried.at_proxy) {
            return;
        }
        self.hang_up(key);
        self.count_try(key, Outcome::Failed);
        let Some(tried) = self.tries.get_mut(key) else {
            return;
        };
        tried.at_proxy = false;
        if let Some(request) = self.requests.get_mut(tried.request) {
            request.first_sent = request.first_sent.or(Some(tried.sent));
        }
        if !tried.at_worker {
            self.let_go(key);
        }
    }

    /// The connection of a try that was waited for in vain is closed, and the worker may drop it.
    fn hang_up(&mut self, key: Key) {
        let Some(tried) = self.tries.get(key) else {
            return;
        };
        let (at, waits) = (tried.worker as usize, tried.waits);
        let pair = self.proxies[tried.from]
            .pairs
            .entry(tried.worker)
            .or_default();
        let worker = &mut self.workers[at];
        if pair.life == worker.life && pair.open > 0 {
            pair.open -= 1;
            worker.open = worker.open.saturating_sub(1);
        }
        let stopped = match worker.cancel {
            Cancel::Keeps => false,
            Cancel::DropsWaiting => waits,
            Cancel::Stops => waits || worker.stop(self.now, key),
        };
        if stopped {
            worker.waits -= usize::from(waits);
            self.lets_go_of_write(key);
            if let Some(tried) = self.tries.get_mut(key) {
                tried.at_worker = false;
            }
            if !waits {
                self.next_runs(at);
            }
        }
    }

    /// Takes a try into the proxy's own counts and the reports.
    fn count_try(&mut self, key: Key, outcome: Outcome) {
        let now = self.now;
        let Some(tried) = self.tries.get(key) else {
            return;
        };
        let proxy = &mut self.proxies[tried.from];
        let pair = proxy.pairs.entry(tried.worker).or_default();
        pair.out = pair.out.saturating_sub(1);
        pair.used_at = now;
        let ejects = self.scenario.proxies.ejects;
        if outcome == Outcome::Good {
            pair.failures = 0;
        } else {
            pair.failures += 1;
            if ejects > 0 && pair.failures >= ejects {
                let (low, high) = self.scenario.proxies.eject_ms;
                pair.failures = 0;
                pair.avoided = now + us(self.draws.proxies.between(low, high));
            }
        }
        if let Some(manager) = proxy.manager {
            let worker = &self.workers[tried.worker as usize];
            let load = (outcome == Outcome::Good).then_some(worker.load);
            let took = ms(now - tried.sent);
            self.managers[manager].hear(tried.worker, proxy.zone, outcome, took, load);
        }
    }

    /// A try has ended for its proxy: an answer, another try, or bad news.
    fn try_ends(&mut self, key: Key, outcome: Outcome) {
        self.count_try(key, outcome);
        let Some(tried) = self.tries.get_mut(key) else {
            return;
        };
        tried.at_proxy = false;
        let (request, worker, sent) = (tried.request, tried.worker, tried.sent);
        let at_worker = tried.at_worker;
        if let Some(request) = self.requests.get_mut(request)
            && outcome == Outcome::Failed
        {
            request.open = true;
            request.first_sent = request.first_sent.or(Some(sent));
        }
        self.after_try(request, worker, outcome);
        if !at_worker {
            self.let_go(key);
        }
    }

    fn after_try(&mut self, key: Key, worker: u32, outcome: Outcome) {
        let Some(request) = self.requests.get_mut(key).filter(|request| request.waiting) else {
            return;
        };
        if outcome == Outcome::Good {
            self.client_ends(key, End::Answered);
            return;
        }
        let may = match request.mode {
            Retry::No => false,
            Retry::Proven => outcome == Outcome::Proven,
            Retry::Once | Retry::Twice => true,
        };
        if may && request.left > 0 {
            request.left -= 1;
            let (class, number, asked) = (request.class, request.proxy, request.key);
            let slice = self.slice(asked);
            let pick = (self.scenario.proxies.pick, self.now);
            let other = self.proxies[number].pick(
                (class, slice, Some(worker)),
                pick,
                &mut self.draws.proxies,
            );
            if let Some(other) = other {
                return self.send(key, other, true);
            }
        }
        self.unanswered(key);
    }

    /// A manager probes a worker.
    pub(crate) fn probe(&mut self, manager: usize, worker: u32) {
        let at = worker as usize;
        if at >= self.workers.len() || !self.scenario.managers.probes {
            self.bad_orders += 1;
            return;
        }
        self.tally.spent.probes += 1;
        let (zone, life) = (self.managers[manager].zone, self.managers[manager].life);
        let crosses = usize::from(zone != self.workers[at].zone);
        let blocked = is_blocked(&self.cuts, zone, self.workers[at].zone);
        let probe = self.tries.insert(Try {
            request: Key::NONE,
            worker,
            from: manager,
            probe: Some(life),
            sent: self.now,
            work: 0.0,
            further: false,
            handshake: true,
            waits: false,
            holds: false,
            at_proxy: true,
            at_worker: !blocked,
            outcome: Outcome::Failed,
        });
        if !blocked {
            let reach = self.now + 3 * self.spans.way[crosses];
            self.queue.push(reach, Event::Reach(probe));
        }
        self.queue.push_in(
            self.lanes.probe,
            self.now + PROBE_WAIT,
            Event::TryOver(probe),
        );
    }

    /// A probe has ended for its manager.
    fn probed(&mut self, key: Key, outcome: ProbeOutcome) {
        let Some(tried) = self.tries.get_mut(key) else {
            return;
        };
        tried.at_proxy = false;
        let (manager, worker, sent) = (tried.from, tried.worker, tried.sent);
        let (life, at_worker) = (tried.probe, tried.at_worker);
        let load = match outcome {
            ProbeOutcome::Ok => self.load_of(worker as usize),
            ProbeOutcome::Rejected | ProbeOutcome::Failed => Vec::new(),
        };
        if life == Some(self.managers[manager].life) {
            let took_ms = ms(self.now - sent);
            let probed = elderpond::interface::Probed {
                worker,
                outcome,
                took_ms,
                load,
            };
            self.tell(manager, elderpond::interface::Event::Probed(probed));
        }
        if !at_worker {
            self.let_go(key);
        }
    }
}
