//! The module's actor: owns the manager, its clock and timers, and carries out its actions.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use elderpond::Manager;
use elderpond::interface::{Action, Event, WorkerId};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

use crate::clock::Clock;
use crate::counters::Counters;
use crate::discovery::ListCall;

/// Events of one batch at the most; the rest waits for the next one.
const BATCH: usize = 8192;
/// Timers that may be pending. The module keeps one; more than this is a fault.
const TIMERS: usize = 65_536;

/// Where actions go.
pub struct Outlets {
    /// Replies to the relay's actor, each whole.
    pub orders: mpsc::Sender<Vec<Action>>,
    /// Workers to probe.
    pub probes: mpsc::Sender<WorkerId>,
    /// Calls on the list.
    pub list: mpsc::Sender<ListCall>,
}

/// The module's actor.
pub struct Decide {
    manager: Manager,
    clock: Clock,
    /// Shortest span between two batches.
    tick: Duration,
    last: Option<Instant>,
    /// What is never dropped.
    events: mpsc::Receiver<Event>,
    /// What is dropped by whoever finds no room for it.
    reports: mpsc::Receiver<Event>,
    /// Tokens of pending timers by the time they are due, in microseconds, and their number.
    timers: BTreeMap<(u64, u64), u64>,
    out: Outlets,
    counters: Arc<Counters>,
}

impl Decide {
    /// An actor for `manager`, which is given batches no faster than one in `tick_ms`.
    pub fn new(
        manager: Manager,
        tick_ms: f64,
        (events, reports): (mpsc::Receiver<Event>, mpsc::Receiver<Event>),
        out: Outlets,
        counters: Arc<Counters>,
    ) -> Self {
        Self {
            manager,
            clock: Clock::start(),
            tick: Duration::from_secs_f64((tick_ms / 1000.0).min(1.0)),
            last: None,
            events,
            reports,
            timers: BTreeMap::new(),
            out,
            counters,
        }
    }

    /// Hands batches to the module until nobody is left who could send an event.
    pub async fn run(mut self) {
        while let Some(first) = self.first().await {
            if let Some(last) = self.last {
                sleep_until(last + self.tick).await;
            }
            self.last = Some(Instant::now());
            let now = self.clock.now_ms();
            let batch = self.batch(first, now);
            if batch.is_empty() {
                continue; // woken for a timer a moment early
            }
            let (mut reply, begun) = (Vec::new(), Instant::now());
            self.manager.handle(now, &batch, &mut reply);
            let took_us = begun.elapsed().as_micros() as u64;
            self.counters.batches.one();
            self.counters.events.add(batch.len() as u64);
            self.counters.batch_longest_us.raise(took_us);
            let orders = self.carry_out(reply, now);
            if orders.is_empty() {
                continue;
            }
            self.counters.orders_made.add(orders.len() as u64);
            // Orders are never dropped. The relay's actor empties its mailbox during calls too, so
            // this waits for its turn on the core, never for the relay.
            if self.out.orders.send(orders).await.is_err() {
                return;
            }
        }
    }

    /// Waits for an event, or for a timer, which is no event yet.
    async fn first(&mut self) -> Option<Option<Event>> {
        let due = self.timers.keys().next();
        let due = due.map(|(at_us, _)| self.clock.moment(*at_us as f64 / 1000.0));
        tokio::select! {
            event = self.events.recv() => event.map(Some),
            Some(event) = self.reports.recv() => Some(Some(event)),
            () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => Some(None),
        }
    }

    /// All that has come by now, and the timers that are due.
    fn batch(&mut self, first: Option<Event>, now: f64) -> Vec<Event> {
        let mut batch: Vec<Event> = first.into_iter().collect();
        for mailbox in [&mut self.events, &mut self.reports] {
            while batch.len() < BATCH
                && let Ok(event) = mailbox.try_recv()
            {
                batch.push(event);
            }
        }
        while let Some(timer) = self.timers.first_entry()
            && timer.key().0 as f64 / 1000.0 <= now
        {
            let token = timer.remove();
            batch.push(Event::Timer { token });
        }
        batch
    }

    /// Carries out a reply, all but the orders, which it returns.
    fn carry_out(&mut self, reply: Vec<Action>, now: f64) -> Vec<Action> {
        let mut orders = Vec::new();
        for action in reply {
            match action {
                Action::Timer { after_ms, token } => {
                    let fits = self.timers.len() < TIMERS;
                    self.counters.hold(fits, "the module's timers are few");
                    if fits {
                        self.counters.timers.one();
                        let at_us = ((now + after_ms) * 1000.0) as u64;
                        let key = (at_us, self.counters.timers.get());
                        self.timers.insert(key, token);
                    }
                }
                Action::Log { text } => log::info!("{text}"),
                Action::Probe { worker } => {
                    if self.out.probes.try_send(worker).is_err() {
                        self.counters.probes_dropped.one();
                    }
                }
                Action::Observe => self.ask(ListCall::Observe),
                Action::QueryList => self.ask(ListCall::Query),
                order => orders.push(order),
            }
        }
        orders
    }

    /// A call that finds the mailbox full is one too many: those in it will be answered.
    fn ask(&self, call: ListCall) {
        let _ = self.out.list.try_send(call);
    }
}
