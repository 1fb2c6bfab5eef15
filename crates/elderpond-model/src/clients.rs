//! Clients: requests come whether or not earlier ones are answered, wait, are tried again by whoever
//! asked, and end once. Everything is counted in the first try.

use elderpond::interface::Retry;

use crate::scenario::Curve;
use crate::score::End;
use crate::slab::Key;
use crate::time::{Time, ms, us};
use crate::world::{Event, World};

/// One request of a client, through all its tries.
pub struct Request {
    /// Index of its class.
    pub class: usize,
    /// The proxy that it comes to.
    pub proxy: usize,
    /// What it is about.
    pub key: u32,
    /// What it costs, in milliseconds of a core of speed 1.
    pub work: f64,
    /// When it was first asked.
    pub arrived: Time,
    /// Number of the client's try, from 1 on.
    pub client_try: u16,
    /// Further tries that the client has left.
    pub client_left: u32,
    /// Whether the client waits for its try.
    pub waiting: bool,
    /// The try that its proxy has out.
    pub current: Key,
    /// Tries that are somewhere still.
    pub tries: u32,
    /// Further tries that the proxy has left, and when it may make them.
    pub left: u8,
    /// What the proxy was told on trying again.
    pub mode: Retry,
    /// Times that it was run.
    pub effects: u32,
    /// Where and when it was first run, if it was.
    pub ran: Option<u16>,
    /// When the first try was sent that may have run.
    pub first_sent: Option<Time>,
    /// Whether a try within this try of the client may have run.
    pub open: bool,
    /// When its proxy took it in, for this try of the client.
    pub taken_at: Time,
    /// Whether its client is done with it.
    pub ended: bool,
}

/// Spans over which the rate counts as even.
const PIECE: Time = 20_000;

impl World {
    /// Sets the next arrival: the time until a unit of exponential chance is used up by the rate.
    pub(crate) fn set_arrival(&mut self) {
        let end = us(self.scenario.duration_ms);
        let mut chance = self.draws.clients.exponential();
        let (mut at, clients) = (self.now, &self.scenario.clients);
        let steady = matches!(clients.curve, Curve::Steady);
        while at < end {
            let rate = clients.rate * clients.curve.factor(ms(at)) * self.rush / 1e6;
            let piece = if steady { end - at } else { PIECE };
            let used = rate * piece as f64;
            if used >= chance && rate > 0.0 {
                at += (chance / rate) as Time;
                if at < end {
                    self.queue.push(at, Event::Arrive);
                }
                return;
            }
            chance -= used;
            at += piece;
        }
    }

    /// A request comes.
    pub(crate) fn arrive(&mut self) {
        self.set_arrival();
        let draws = &mut self.draws;
        let class = self.wheels.classes.spin(&mut draws.clients).unwrap_or(0);
        let proxy = self.wheels.proxies.spin(&mut draws.clients).unwrap_or(0);
        let key = match &self.wheels.keys {
            Some(keys) => keys.spin(&mut draws.clients).unwrap_or(0),
            None => draws.clients.below(self.scenario.clients.keys),
        };
        let kind = &self.scenario.classes[class];
        let mut work = kind.work.sample(&mut draws.clients);
        if self.heavy[class] > 0.0 && draws.clients.happens(self.heavy[class]) {
            work *= 10.0;
        }
        self.tally.asked(self.now, class, kind.worth);
        let request = self.requests.insert(Request {
            class,
            proxy,
            key: key as u32,
            work,
            arrived: self.now,
            client_try: 0,
            client_left: self.scenario.clients.retries,
            waiting: false,
            current: Key::NONE,
            tries: 0,
            left: 0,
            mode: Retry::No,
            effects: 0,
            ran: None,
            first_sent: None,
            open: false,
            taken_at: self.now,
            ended: false,
        });
        self.client_tries(request);
    }

    /// A client tries, for the first time or again.
    pub(crate) fn client_tries(&mut self, key: Key) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        request.client_try += 1;
        request.waiting = true;
        request.open = false;
        request.taken_at = self.now;
        let (class, number) = (request.class, request.client_try);
        let last = request.arrived + self.spans.give_up[class];
        let over = self.now + self.spans.patience[class];
        let event = Event::ClientOver(key, number);
        if over <= last {
            self.queue.push_in(self.lanes.client[class], over, event);
        } else {
            self.queue.push(last, event);
        }
        self.proxy_takes(key);
    }

    /// A client tries again after its wait.
    pub(crate) fn client_again(&mut self, key: Key, number: u16) {
        let request = self.requests.get(key);
        if request.is_some_and(|request| request.client_try == number && !request.ended) {
            self.tally.spent.client_retries += 1;
            self.client_tries(key);
        }
    }

    /// A client waits no longer for its try.
    pub(crate) fn client_over(&mut self, key: Key, number: u16) {
        let request = self.requests.get(key);
        let Some(request) =
            request.filter(|request| request.client_try == number && request.waiting)
        else {
            return;
        };
        let current = request.current;
        self.abandon(current);
        self.client_failed(key, End::TimedOut);
    }

    /// A client's try has failed: it tries again if it has time and tries left, or that was it.
    pub(crate) fn client_failed(&mut self, key: Key, end: End) {
        let backoff = self.scenario.clients.backoff_ms;
        let wait = match backoff.1 > 0.0 {
            true => self.draws.retries.between(backoff.0, backoff.1),
            false => 0.0,
        };
        let now = self.now;
        let Some(request) = self.requests.get_mut(key).filter(|request| !request.ended) else {
            return;
        };
        request.waiting = false;
        request.current = Key::NONE;
        let made = i32::from(request.client_try) - 1;
        let again = now + us(wait * 2f64.powi(made.min(20))).max(1);
        let last = request.arrived + self.spans.give_up[request.class];
        if request.client_left > 0 && again < last {
            request.client_left -= 1;
            let number = request.client_try;
            self.queue.push(again, Event::Again(key, number));
        } else {
            self.client_ends(key, end);
        }
    }

    /// A client is done with a request.
    pub(crate) fn client_ends(&mut self, key: Key, end: End) {
        let Some(request) = self.requests.get_mut(key).filter(|request| !request.ended) else {
            return;
        };
        (request.ended, request.waiting) = (true, false);
        let class = &self.scenario.classes[request.class];
        self.tally
            .ended((request.arrived, self.now), (request.class, class), end);
        if request.tries == 0 {
            self.requests.remove(key);
        }
    }

    /// A try of a request is nowhere any more.
    pub(crate) fn release(&mut self, key: Key) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        request.tries -= 1;
        if request.tries == 0 && request.ended {
            self.requests.remove(key);
        }
    }
}
