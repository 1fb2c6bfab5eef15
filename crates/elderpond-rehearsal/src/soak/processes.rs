//! Carries out what is scheduled for processes, and notes which were in trouble and when.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use rustix::process::Signal;
use tokio::time::{Instant, sleep};

use super::relay::Relay;
use super::schedule::{Machine, STARVE_EVERY_S};
use super::timeline::{Cause, Timeline};
use crate::clients::Front;
use crate::fleet::{Fleet, Role, signal_process};
use crate::ledger::Ledger;

/// The processes of a soak.
pub struct Processes {
    /// The fleet.
    pub fleet: Rc<Fleet>,
    /// Its proxies, as clients see them.
    pub fronts: Rc<Vec<Front>>,
    /// The clock of all.
    pub ledger: Rc<Ledger>,
    /// What was in trouble.
    pub timeline: RefCell<Timeline>,
    /// What went wrong with a process though nothing was done to it.
    pub faults: RefCell<Vec<String>>,
    control_nodes: usize,
    frozen: Vec<Cell<bool>>,
    starving: Vec<Cell<bool>>,
    /// Processes that were told to end and have not yet.
    ending: Vec<Cell<Option<u32>>>,
}

impl Processes {
    /// Of a fleet that was started.
    pub fn new(fleet: &Rc<Fleet>, fronts: &Rc<Vec<Front>>, ledger: &Rc<Ledger>) -> Self {
        let control_nodes = fleet.of(Role::ControlNode).count();
        Self {
            fleet: fleet.clone(),
            fronts: fronts.clone(),
            ledger: ledger.clone(),
            timeline: RefCell::new(Timeline {
                control_nodes,
                troubles: Vec::new(),
            }),
            faults: RefCell::default(),
            control_nodes,
            frozen: vec![Cell::new(false); fleet.machines.len()],
            starving: vec![Cell::new(false); fleet.machines.len()],
            ending: vec![Cell::new(None); fleet.machines.len()],
        }
    }

    /// The place of a machine in the fleet.
    pub fn place(&self, machine: Machine) -> usize {
        match machine {
            Machine::Control(node) => node.into(),
            Machine::Proxy(proxy) => self.control_nodes + usize::from(proxy),
        }
    }

    fn begin(&self, at: usize, cause: Cause) -> usize {
        let now = self.ledger.now();
        self.timeline.borrow_mut().begin(at, cause, now)
    }

    fn end(&self, trouble: usize) {
        let now = self.ledger.now();
        self.timeline.borrow_mut().end(trouble, now);
    }

    /// Starts a process that has ended.
    fn start(&self, at: usize) {
        if let Some(front) = at
            .checked_sub(self.control_nodes)
            .and_then(|proxy| self.fronts.get(proxy))
        {
            front.life.set(front.life.get() + 1);
        }
        if let Err(error) = self.fleet.start(at) {
            let name = &self.fleet.machines[at].name;
            let fault = format!("{name} cannot be started again: {error:#}");
            self.faults.borrow_mut().push(fault);
        }
    }

    /// Tells a process to end, and starts it again once it has.
    pub async fn terminate(&self, at: usize) {
        let Some(process) = self.fleet.pid(at) else {
            return;
        };
        let told = self.ledger.now();
        let trouble = self.begin(at, Cause::Planned);
        self.ending[at].set(Some(process));
        self.fleet.end(at).await;
        self.ending[at].set(None);
        let wrong = self.fleet.take_wrong(at);
        let timeline = self.timeline.borrow();
        let was_frozen = timeline.has_unplanned_on(at, told, self.ledger.now());
        drop(timeline);
        if !was_frozen {
            self.faults.borrow_mut().extend(wrong);
        }
        self.start(at);
        self.end(trouble);
    }

    /// Kills a process, and starts it again after a while.
    pub async fn kill(&self, at: usize, down_s: f64) {
        self.kill_then(at, down_s, || {}).await;
    }

    /// Kills a control node and empties its disk, and starts it again after a while.
    pub async fn empty(&self, at: usize, down_s: f64) {
        let empty_disk = || {
            if let Err(error) = self.fleet.empty_disk(at) {
                let name = &self.fleet.machines[at].name;
                let fault = format!("the disk of {name} cannot be emptied: {error}");
                self.faults.borrow_mut().push(fault);
            }
        };
        self.kill_then(at, down_s, empty_disk).await;
    }

    /// Kills a process, does something while it is down, and starts it again after a while.
    async fn kill_then(&self, at: usize, down_s: f64, while_down: impl FnOnce()) {
        if self.fleet.pid(at).is_none() {
            return;
        }
        let trouble = self.begin(at, Cause::Unplanned);
        self.fleet.lose(at).await;
        while_down();
        sleep(Duration::from_secs_f64(down_s)).await;
        self.start(at);
        self.end(trouble);
    }

    /// Stops a process for a while.
    pub async fn freeze(&self, at: usize, frozen_s: f64) {
        let process = self.fleet.pid(at).or(self.ending[at].get());
        let Some(process) = process.filter(|_| !self.frozen[at].get()) else {
            return;
        };
        let trouble = self.begin(at, Cause::Unplanned);
        self.frozen[at].set(true);
        signal_process(process, Signal::STOP);
        sleep(Duration::from_secs_f64(frozen_s)).await;
        signal_process(process, Signal::CONT);
        self.frozen[at].set(false);
        self.end(trouble);
    }

    /// Lets a process run for a part of each half second only, for a while: whichever life of it there is.
    pub async fn starve(&self, at: usize, stopped_s: f64, span_s: f64) {
        if self.starving[at].replace(true) {
            return;
        }
        let trouble = self.begin(at, Cause::ShortOfTime);
        let until = Instant::now() + Duration::from_secs_f64(span_s);
        while Instant::now() < until {
            self.stop_shortly(at, stopped_s).await;
            sleep(Duration::from_secs_f64(STARVE_EVERY_S - stopped_s)).await;
        }
        self.starving[at].set(false);
        self.end(trouble);
    }

    /// Stops a process for a moment, unless it is frozen.
    async fn stop_shortly(&self, at: usize, stopped_s: f64) {
        let process = self.fleet.pid(at).or(self.ending[at].get());
        let process = process.filter(|_| !self.frozen[at].get());
        if let Some(process) = process {
            signal_process(process, Signal::STOP);
        }
        sleep(Duration::from_secs_f64(stopped_s)).await;
        // one that was frozen meanwhile goes on when that is over
        if let Some(process) = process.filter(|_| !self.frozen[at].get()) {
            signal_process(process, Signal::CONT);
        }
    }

    /// Cuts the way between two machines for a while.
    pub async fn cut(&self, relay: &Relay, one: usize, other: usize, cut_s: f64) {
        let between_control_nodes = one < self.control_nodes && other < self.control_nodes;
        let cause = match between_control_nodes {
            true => Cause::CutFromControlNodes,
            false => Cause::Unplanned,
        };
        let machines = match between_control_nodes {
            true => vec![one, other],
            // the control node goes on as before for all others
            false => vec![one.max(other)],
        };
        let troubles: Vec<usize> = machines
            .into_iter()
            .map(|at| self.begin(at, cause))
            .collect();
        relay.cut(one, other);
        sleep(Duration::from_secs_f64(cut_s)).await;
        relay.join(one, other);
        troubles.into_iter().for_each(|trouble| self.end(trouble));
    }

    /// Cuts two control nodes off from all other control nodes for a while.
    pub async fn isolate(&self, relay: &Relay, one: usize, other: usize, cut_s: f64) {
        let isolated = [one, other];
        let rest: Vec<usize> = (0..self.control_nodes)
            .filter(|node| !isolated.contains(node))
            .collect();
        let troubles = isolated.map(|at| self.begin(at, Cause::CutFromControlNodes));
        let ways = || {
            isolated
                .into_iter()
                .flat_map(|at| rest.iter().map(move |rest| (at, *rest)))
        };
        ways().for_each(|(at, rest)| relay.cut(at, rest));
        sleep(Duration::from_secs_f64(cut_s)).await;
        ways().for_each(|(at, rest)| relay.join(at, rest));
        troubles.into_iter().for_each(|trouble| self.end(trouble));
    }

    /// Has a process read its settings again.
    pub fn reload(&self, at: usize) {
        self.fleet.signal(at, Signal::HUP);
    }
}
