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
    /// The module.
    pub manager: Manager,
    /// Its clock.
    pub clock: Clock,
    /// Shortest span between two batches.
    pub tick_ms: f64,
    /// Where actions go.
    pub out: Outlets,
    /// Counts.
    pub counters: Arc<Counters>,
}

impl Decide {
    /// Hands batches to the module until nobody is left who could send an event. `events` holds
    /// what is never dropped, `reports` what may be.
    pub async fn run(
        mut self,
        mut events: mpsc::Receiver<Event>,
        mut reports: mpsc::Receiver<Event>,
    ) {
        let tick = Duration::from_secs_f64((self.tick_ms / 1000.0).min(1.0));
        let mut timers: BTreeMap<(u64, u64), u64> = BTreeMap::new();
        let mut timers_set = 0;
        let mut last: Option<Instant> = None;
        loop {
            let mut batch = Vec::new();
            let due = timers
                .keys()
                .next()
                .map(|(at_us, _)| *at_us as f64 / 1000.0);
            let due = due.map(|at| self.clock.moment(at));
            tokio::select! {
                event = events.recv() => match event {
                    Some(event) => batch.push(event),
                    None => return,
                },
                Some(event) = reports.recv() => batch.push(event),
                () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {}
            }
            if let Some(last) = last {
                sleep_until(last + tick).await;
            }
            last = Some(Instant::now());
            while let Some(event) = (batch.len() < BATCH)
                .then(|| events.try_recv().ok())
                .flatten()
            {
                batch.push(event);
            }
            while let Some(event) = (batch.len() < BATCH)
                .then(|| reports.try_recv().ok())
                .flatten()
            {
                batch.push(event);
            }
            let now = self.clock.now_ms();
            while let Some(timer) = timers.first_entry() {
                if timer.key().0 as f64 / 1000.0 > now {
                    break;
                }
                batch.push(Event::Timer {
                    token: timer.remove(),
                });
            }
            if batch.is_empty() {
                continue;
            }
            let mut reply = Vec::new();
            let begun = Instant::now();
            self.manager.handle(now, &batch, &mut reply);
            self.counters.batches.one();
            self.counters.events.add(batch.len() as u64);
            self.counters
                .batch_longest_us
                .raise(begun.elapsed().as_micros() as u64);
            let mut orders = Vec::new();
            for action in reply {
                match action {
                    Action::Timer { after_ms, token } => {
                        self.counters.timers.one();
                        let fits = timers.len() < TIMERS;
                        self.counters.hold(fits, "the module's timers are few");
                        if fits {
                            timers_set += 1;
                            let at_us = ((now + after_ms) * 1000.0) as u64;
                            timers.insert((at_us, timers_set), token);
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
            if !orders.is_empty() {
                self.counters.orders_made.add(orders.len() as u64);
                // Orders are never dropped. The relay's actor empties its mailbox during calls
                // too, so this waits for its turn on the core, never for the relay.
                if self.out.orders.send(orders).await.is_err() {
                    return;
                }
            }
        }
    }

    /// A call that finds the mailbox full is one too many: those in it will be answered.
    fn ask(&self, call: ListCall) {
        let _ = self.out.list.try_send(call);
    }
}
