//! Orders to the relay. One reply of the module is one call, and so one message a proxy; calls go
//! one at a time and in order, and each is repeated until the relay has said what it took.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use elderpond::interface::Action;
use hyper::Method;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep};

use crate::counters::Counters;
use crate::http::{Link, within};
use crate::outage::Outage;
use crate::roster::Names;
use elderpond_wire::relay::{self, Answer, Key, Order};

/// The relay answers within 50 ms or never; the rest is for a busy core.
const ANSWER: Duration = Duration::from_millis(150);
/// The relay closes connections that are idle for some 10 s: before that a new one is opened.
const IDLE: Duration = Duration::from_secs(4);
/// Pace of repeats while the relay is out of reach, and before the run begins.
const AGAIN: Duration = Duration::from_millis(50);
/// Bytes of an answer at the most.
const LARGEST: usize = 4096;
/// Calls that may wait behind one that is merely slow; past that they are folded too.
const WAITING: usize = 64;

/// Calls that wait for the relay; the first one may be under way, or done already.
#[derive(Default)]
struct Backlog {
    calls: VecDeque<Vec<Order>>,
}

impl Backlog {
    /// Puts a reply at the end: one call, or several if it is too large for one.
    fn push(&mut self, mut orders: Vec<Order>) {
        while !orders.is_empty() {
            let rest = orders.split_off(relay::fitting(&orders));
            self.calls.push_back(orders);
            orders = rest;
        }
    }

    /// Makes one reply of all that waits behind the first call, and tells how many orders that
    /// dropped. Orders are absolute, so only the newest of each key counts, and none for what a
    /// table held before it was emptied.
    ///
    /// Guards the channel: what waited for a relay out of reach would go to it at once, message
    /// after message, and the module has counted it as gone long since.
    fn fold(&mut self) -> usize {
        let Some(first) = self.calls.pop_front() else {
            return 0;
        };
        let waiting = std::mem::take(&mut self.calls);
        let orders: Vec<Order> = waiting.into_iter().flatten().collect();
        let before = orders.len();
        let mut newer = BTreeSet::new();
        let mut kept: Vec<Order> = Vec::new();
        for order in orders.into_iter().rev() {
            let emptied = match order.key {
                Key::Line(table, _) | Key::Level(Some(table), _) => {
                    newer.contains(&Key::Table(table))
                }
                _ => false,
            };
            if !emptied && newer.insert(order.key.clone()) {
                kept.push(order);
            }
        }
        kept.reverse();
        let dropped = before - kept.len();
        self.calls.push_back(first);
        self.push(kept);
        dropped
    }

    /// The relay took this many orders of the first call. Short of all, it halted at one that it
    /// cannot use: that one is dropped and returned, and what follows it still counts.
    fn taken(&mut self, count: usize) -> Option<Order> {
        let mut rest = self.calls.pop_front()?.into_iter().skip(count);
        let unusable = rest.next();
        let rest: Vec<Order> = rest.collect();
        if !rest.is_empty() {
            self.calls.push_front(rest);
        }
        unusable
    }
}

/// A connection that is kept for the next call.
struct Kept {
    link: Link,
    address: SocketAddr,
    used: Instant,
}

/// The actor of the orders.
pub struct Orders {
    /// Where the relay answers. It may move.
    address: watch::Receiver<SocketAddr>,
    names: watch::Receiver<Arc<Names>>,
    counters: Arc<Counters>,
    kept: Option<Kept>,
    /// The last call may have been carried out and was not answered.
    doubt: bool,
    outage: Outage,
}

impl Orders {
    /// For the relay at `address`.
    pub fn new(
        address: watch::Receiver<SocketAddr>,
        names: watch::Receiver<Arc<Names>>,
        counters: Arc<Counters>,
    ) -> Self {
        Self {
            address,
            names,
            counters,
            kept: None,
            doubt: false,
            outage: Outage::none("relay"),
        }
    }

    /// Sends replies until the module is gone. The mailbox is emptied during calls and waits too.
    pub async fn run(mut self, mut mailbox: mpsc::Receiver<Vec<Action>>) {
        let mut backlog = Backlog::default();
        let (counters, names) = (self.counters.clone(), self.names.clone());
        let mut repeats = 0;
        let mut begun = Instant::now();
        loop {
            let Some(call) = backlog.calls.front() else {
                let reply = tokio::select! {
                    reply = mailbox.recv() => reply,
                    Ok(()) = self.address.changed() => {
                        self.kept = self.connect().await;
                        continue;
                    }
                };
                let Some(reply) = reply else {
                    return;
                };
                backlog.push(encode(&reply, &names.borrow(), &counters));
                (begun, repeats) = (Instant::now(), 0);
                continue;
            };
            let (body, sent) = (Bytes::from(relay::call(call)), call.len());
            let mut exchange = pin!(self.exchange(body, sent, repeats));
            let answer = loop {
                tokio::select! {
                    answer = &mut exchange => break answer,
                    Some(reply) = mailbox.recv() => {
                        backlog.push(encode(&reply, &names.borrow(), &counters));
                        if repeats > 0 || backlog.calls.len() > WAITING {
                            counters.orders_folded.add(backlog.fold() as u64);
                        }
                        counters.calls_waiting_most.raise(backlog.calls.len() as u64);
                    }
                }
            };
            match answer {
                Some(Answer::Taken(taken)) => {
                    counters.orders_taken.add(taken as u64);
                    if let Some(order) = backlog.taken(taken) {
                        counters.calls_short.one();
                        counters.orders_dropped.one();
                        log::warn!("the relay cannot use {}", order.text);
                    } else {
                        counters.calls_taken.one();
                        counters
                            .calls_longest_ms
                            .raise(begun.elapsed().as_millis() as u64);
                        begun = Instant::now();
                    }
                    repeats = 0;
                }
                Some(Answer::Invalid) => {
                    // It would be invalid again: nothing behind it may wait for it.
                    counters.calls_invalid.one();
                    counters.orders_dropped.add(sent as u64);
                    log::error!("the relay calls a call of {sent} orders invalid");
                    backlog.calls.pop_front();
                    repeats = 0;
                }
                // Not begun, or done whole or not at all: it goes again, before anything newer.
                answer => {
                    if answer.is_some() {
                        counters.calls_throttled.one();
                        begun = Instant::now(); // the wait for the run's begin is nobody's delay
                    } else {
                        counters.calls_repeated.one();
                    }
                    repeats += 1;
                    counters.orders_folded.add(backlog.fold() as u64);
                }
            }
        }
    }

    /// One call, after a pause if it was tried more than once; none if no answer could be read.
    async fn exchange(&mut self, body: Bytes, sent: usize, repeats: u32) -> Option<Answer> {
        if repeats > 1 {
            sleep(AGAIN).await;
        }
        if self.doubt {
            // Guards the channel: a call that is not answered may have been carried out, and each
            // repeat with it. A call without orders costs nothing and tells if there are answers.
            self.counters.calls_empty.one();
            let answer = self.ask(relay::call(&[]).into(), 0).await?;
            if answer == Answer::Throttled {
                return Some(answer);
            }
            self.doubt = false;
        }
        self.counters.calls_sent.one();
        self.ask(body, sent).await
    }

    /// A connection for the next call: the one that is kept, or a new one where the relay is now.
    /// Until the relay serves there, the one to where it was still does.
    async fn connect(&mut self) -> Option<Kept> {
        let address = *self.address.borrow_and_update();
        let usable = |kept: &Kept| kept.link.is_ready() && kept.used.elapsed() < IDLE;
        let kept = self.kept.take().filter(usable);
        if kept.as_ref().is_some_and(|kept| kept.address == address) {
            return kept;
        }
        self.counters.relay_connects.one();
        match Link::open(address).await {
            Ok(link) => Some(Kept {
                link,
                address,
                used: Instant::now(),
            }),
            Err(cause) => {
                self.counters.relay_unreached.one();
                self.outage.failed(&cause);
                kept
            }
        }
    }

    async fn ask(&mut self, body: Bytes, sent: usize) -> Option<Answer> {
        // Without a connection nothing is sent, and so nothing carried out.
        let mut kept = self.connect().await?;
        let asked = Instant::now();
        let call = kept.link.call(Method::POST, relay::ORDERS, body, LARGEST);
        match within(ANSWER, call).await {
            Ok(Ok((_, answer))) => {
                if let Some(answer) = relay::answer(&answer, sent) {
                    let took_us = asked.elapsed().as_micros() as u64;
                    self.counters.answers_longest_us.raise(took_us);
                    self.outage.over();
                    kept.used = Instant::now();
                    self.kept = Some(kept);
                    return Some(answer);
                }
                self.counters.calls_broken.one();
                self.outage.failed(&"unreadable answer");
            }
            Ok(Err(cause)) => {
                self.counters.calls_broken.one();
                self.outage.failed(&cause);
            }
            Err(cause) => {
                self.counters.calls_silent.one();
                self.outage.failed(&cause);
            }
        }
        self.doubt = true;
        None
    }
}

/// A reply as orders. What can't be named is dropped: the module names only what it was told.
fn encode(reply: &[Action], names: &Names, counters: &Counters) -> Vec<Order> {
    let orders = reply
        .iter()
        .filter_map(|action| relay::order(action, names));
    let orders: Vec<Order> = orders.collect();
    let unnamed = reply.len() - orders.len();
    counters.hold(unnamed == 0, "every order names what is known");
    counters.orders_dropped.add(unnamed as u64);
    orders
}

#[cfg(test)]
mod tests {
    use super::*;

    fn order(key: Key, text: &str) -> Order {
        let text = text.to_owned();
        Order { key, text }
    }

    fn texts(backlog: &Backlog) -> Vec<Vec<&str>> {
        let call = |call| -> Vec<&str> {
            let orders: &Vec<Order> = call;
            orders.iter().map(|order| &*order.text).collect()
        };
        backlog.calls.iter().map(call).collect()
    }

    #[test]
    fn a_reply_is_one_call_unless_it_is_too_large() {
        let mut backlog = Backlog::default();
        backlog.push(vec![
            order(Key::Line(0, 1), "a"),
            order(Key::Line(0, 2), "b"),
        ]);
        backlog.push(vec![order(Key::Line(0, 1), "c")]);
        assert_eq!(texts(&backlog), [vec!["a", "b"], vec!["c"]]);
        let long = "x".repeat(relay::LARGEST_CALL / 2);
        let large = (0..3).map(|worker| order(Key::Line(0, worker), &long));
        let mut backlog = Backlog::default();
        backlog.push(large.collect());
        assert_eq!(
            backlog.calls.iter().map(Vec::len).collect::<Vec<_>>(),
            [1, 1, 1]
        );
    }

    #[test]
    fn folding_keeps_the_first_call_and_the_newest_order_of_each_key() {
        let mut backlog = Backlog::default();
        backlog.push(vec![order(Key::Line(0, 1), "under way")]);
        backlog.push(vec![
            order(Key::Line(0, 1), "old"),
            order(Key::Line(0, 2), "two"),
        ]);
        backlog.push(vec![order(Key::Binding(3, 0), "bound")]);
        backlog.push(vec![
            order(Key::Line(0, 1), "new"),
            order(Key::Mark, "mark"),
        ]);
        assert_eq!(backlog.fold(), 1);
        assert_eq!(
            texts(&backlog),
            [vec!["under way"], vec!["two", "bound", "new", "mark"]]
        );
        assert_eq!(backlog.fold(), 0);
    }

    #[test]
    fn folding_drops_what_a_table_held_before_it_was_emptied() {
        let mut backlog = Backlog::default();
        backlog.push(vec![order(Key::Mark, "under way")]);
        backlog.push(vec![
            order(Key::Line(4, 1), "before"),
            order(Key::Level(Some(4), 1), "level before"),
            order(Key::Line(5, 1), "another table"),
        ]);
        backlog.push(vec![
            order(Key::Table(4), "emptied"),
            order(Key::Line(4, 2), "after"),
        ]);
        assert_eq!(backlog.fold(), 2);
        assert_eq!(texts(&backlog)[1], ["another table", "emptied", "after"]);
    }

    #[test]
    fn a_call_taken_in_part_goes_on_behind_the_order_that_cannot_be_used() {
        let call = || {
            vec![
                order(Key::Mark, "a"),
                order(Key::Mark, "b"),
                order(Key::Mark, "c"),
            ]
        };
        let mut backlog = Backlog::default();
        backlog.push(call());
        assert_eq!(
            backlog.taken(1).map(|order| order.text).as_deref(),
            Some("b")
        );
        assert_eq!(texts(&backlog), [["c"]]);
        assert_eq!(
            backlog.taken(0).map(|order| order.text).as_deref(),
            Some("c")
        );
        assert!(backlog.calls.is_empty());
        backlog.push(call());
        assert_eq!(backlog.taken(3), None);
        assert!(backlog.calls.is_empty());
    }
}
